package main

// This file defines the operators' commands, which call the operator API of a router.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"bulrushtally/config"
	"bulrushtally/operator"
)

func operatorCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "get", Usage: "show objects: get KIND [NAME]", ArgsUsage: "KIND [NAME]", Action: getObjects,
			Flags: append(connectionFlags(), &cli.StringFlag{Name: "selector", Aliases: []string{"l"}, Usage: "show only objects whose labels match"})},
		{Name: "label", Usage: "set and remove labels: label KIND NAME k=v k-", ArgsUsage: "KIND NAME k=v|k- ...", Action: changeLabels, Flags: changeFlags()},
		{Name: "selector", Usage: "set a selector: selector access|outage NAME customers|backends|zones SELECTOR", ArgsUsage: "KIND NAME FIELD SELECTOR", Action: setSelector, Flags: changeFlags()},
		{Name: "zone", Usage: "take an availability zone out of service or back in: zone out|in NAME", ArgsUsage: "out|in NAME", Action: setZoneState, Flags: changeFlags()},
		{Name: "apply", Usage: "create or replace the objects in a file of JSON objects", Action: applyFile,
			Flags: append(changeFlags(), &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "file, or - for standard input"})},
		{Name: "delete", Usage: "delete an object: delete KIND NAME", ArgsUsage: "KIND NAME", Action: deleteObject, Flags: changeFlags()},
		{Name: "audit", Usage: "list configuration changes: revision, time, office, operator, object", Action: listChanges,
			Flags: append(connectionFlags(), &cli.Uint64Flag{Name: "after", Usage: "revision to start after"})},
		{Name: "suspects", Usage: "list the requests suspected of crashing backend servers, or clear one: suspects [DIGEST]", ArgsUsage: "[DIGEST]", Action: listOrClearSuspects, Flags: connectionFlags()},
		{Name: "status", Usage: "show the routers with their revisions, and the shards that the router at -url leads with their backend servers", Action: showStatus, Flags: connectionFlags()},
	}
}

// connectionFlags returns the flags of every operators' command.
func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "url", Value: "http://127.0.0.1:8080", Sources: cli.EnvVars("BULRUSHTALLY_URL"), Usage: "URL of any router"},
		&cli.StringFlag{Name: "key", Required: true, Sources: cli.EnvVars("BULRUSHTALLY_KEY"), Usage: "operator's bearer key"},
		&cli.StringFlag{Name: "o", Value: "table", Usage: "output format: table or json"},
	}
}

// changeFlags returns the flags of the commands that change the configuration.
func changeFlags() []cli.Flag {
	return append(connectionFlags(),
		&cli.StringFlag{Name: "request", Usage: "request number; a change repeated with the same number takes effect at most once"},
		&cli.StringFlag{Name: "version", Usage: "version of the object that the change is based on; any version if omitted"},
		&cli.BoolFlag{Name: "dry-run", Usage: "print the effects of the change without making it"},
		&cli.BoolFlag{Name: "force", Usage: "make the change even if it leaves a customer or service without a backend server"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every live router"},
	)
}

func newClient(c *cli.Command) *operator.Client {
	return operator.NewClient(strings.TrimSuffix(c.String("url"), "/"), c.String("key"))
}

// changeOptions returns the options of a change from the flags. Without -version it applies
// to any version of an existing object.
func changeOptions(c *cli.Command) operator.ChangeOptions {
	options := operator.ChangeOptions{RequestNumber: c.String("request"), Version: c.String("version"), DryRun: c.Bool("dry-run"), Force: c.Bool("force")}
	if options.Version == "" {
		options.Version = "*"
	}
	return options
}

// arguments returns the command's arguments, or an error if there are fewer than minCount.
func arguments(c *cli.Command, minCount int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < minCount {
		return nil, fmt.Errorf("too few arguments: %d; usage: %s %s", len(args), c.Name, c.ArgsUsage)
	}
	return args, nil
}

func getObjects(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	if len(args) > 1 {
		o, err := newClient(c).Get(config.Kind(args[0]), args[1])
		if err != nil {
			return err
		}
		return printJSON(o)
	}
	list, err := newClient(c).List(config.Kind(args[0]), c.String("selector"))
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printObjects(list)
}

func changeLabels(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 3)
	if err != nil {
		return err
	}
	change := operator.LabelChange{Set: map[string]string{}}
	for _, arg := range args[2:] {
		k, v, ok := strings.Cut(arg, "=")
		switch {
		case ok:
			change.Set[k] = v
		case strings.HasSuffix(arg, "-"):
			change.Remove = append(change.Remove, strings.TrimSuffix(arg, "-"))
		default:
			return fmt.Errorf("%q is neither k=v, to set a label, nor k-, to remove one", arg)
		}
	}
	acc, err := newClient(c).Label(config.Kind(args[0]), args[1], change, changeOptions(c))
	return reportAccepted(c, acc, err)
}

// setSelector replaces one selector of an object. Without -version the change is based on
// the version that it read, so a concurrent change leads to a conflict.
func setSelector(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 4)
	if err != nil {
		return err
	}
	o, err := newClient(c).Get(config.Kind(args[0]), args[1])
	if err != nil {
		return err
	}
	switch args[2] {
	case "customers":
		o.CustomerSelector = args[3]
	case "backends":
		o.BackendSelector = args[3]
	case "zones":
		o.ZoneSelector = args[3]
	default:
		return fmt.Errorf("%q is not a selector; use customers, backends or zones", args[2])
	}
	options := changeOptions(c)
	if c.String("version") == "" {
		options.Version = fmt.Sprint(o.Version)
	}
	acc, err := newClient(c).Put(o, options)
	return reportAccepted(c, acc, err)
}

// setZoneState takes a zone out of service by setting its label config.LabelZoneService to "out", or
// puts it back in service by removing the label.
func setZoneState(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 2)
	if err != nil {
		return err
	}
	change := operator.LabelChange{}
	switch args[0] {
	case "out":
		change.Set = map[string]string{config.LabelZoneService: "out"}
	case "in":
		change.Remove = []string{config.LabelZoneService}
	default:
		return fmt.Errorf("zone state %q is neither out nor in", args[0])
	}
	acc, err := newClient(c).Label(config.KindZone, args[1], change, changeOptions(c))
	return reportAccepted(c, acc, err)
}

// applyFile creates or replaces each object of the file in order. It stops at the first error;
// earlier objects stay changed.
func applyFile(_ context.Context, c *cli.Command) error {
	in := os.Stdin
	if name := c.String("file"); name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	decoder := json.NewDecoder(in)
	for n := 1; decoder.More(); n++ {
		o := &config.Object{}
		if err := decoder.Decode(o); err != nil {
			return fmt.Errorf("object %d of the file: %w", n, err)
		}
		acc, err := applyObject(c, o)
		if err := reportAccepted(c, acc, err); err != nil {
			return fmt.Errorf("object %d of the file, %s %q: %w", n, o.Kind, o.Name, err)
		}
	}
	return nil
}

// applyObject creates an object, or replaces it if it exists. Without -version a replacement
// is based on the version that it read.
func applyObject(c *cli.Command, o *config.Object) (*operator.ChangeResult, error) {
	options := changeOptions(c)
	existing, err := newClient(c).Get(o.Kind, o.Name)
	if failure, ok := err.(*operator.Failure); ok && failure.Code == "not-found" {
		options.Version = ""
	} else if err != nil {
		return nil, err
	} else if c.String("version") == "" {
		options.Version = fmt.Sprint(existing.Version)
	}
	o.Version = 0
	return newClient(c).Put(o, options)
}

func deleteObject(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 2)
	if err != nil {
		return err
	}
	acc, err := newClient(c).Delete(config.Kind(args[0]), args[1], changeOptions(c))
	return reportAccepted(c, acc, err)
}

func listChanges(_ context.Context, c *cli.Command) error {
	list, err := newClient(c).Audit(c.Uint64("after"))
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printChanges(list)
}

func listOrClearSuspects(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		digest, err := strconv.ParseUint(c.Args().First(), 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a digest; run suspects without an argument to list the digests", c.Args().First())
		}
		return newClient(c).ClearSuspect(digest)
	}
	list, err := newClient(c).Suspects()
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printSuspects(list)
}

func showStatus(_ context.Context, c *cli.Command) error {
	s, err := newClient(c).Status()
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(s)
	}
	return printStatus(s)
}

// laggingError reports that a change is accepted but not yet in force on every live router.
type laggingError struct {
	revision uint64
	routers  []string // VMs of the routers that have an earlier revision
}

// Error returns the revision, the lagging routers and the remedy.
func (e *laggingError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not yet in force on routers %q; check their revisions with the status command", e.revision, e.routers)
}

// Waiting for a change to be in force on all routers.
const (
	waitTimeout      = 30 * time.Second
	waitPollInterval = 100 * time.Millisecond
)

// reportAccepted prints an accepted change. With -wait it polls the status until the change
// is in force on every live router, and returns a *laggingError after waitTimeout. It returns
// err if err is not nil.
func reportAccepted(c *cli.Command, a *operator.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		if err := printJSON(a); err != nil {
			return err
		}
	} else {
		printAccepted(a)
	}
	if !c.Bool("wait") || a.DryRun {
		return nil
	}
	var lagging []string
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(waitPollInterval) {
		status, err := newClient(c).Status()
		if err != nil {
			return err
		}
		if lagging = status.LaggingRouters(a.Change.Revision); len(lagging) == 0 {
			fmt.Printf("in force on all %d live routers\n", len(status.Routers))
			return nil
		}
	}
	return &laggingError{a.Change.Revision, lagging}
}
