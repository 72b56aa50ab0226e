package main

// This file defines the operators' commands.

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
		{Name: "get", Usage: "show objects: get KIND [NAME]", ArgsUsage: "KIND [NAME]", Action: get,
			Flags: append(connectFlags(), &cli.StringFlag{Name: "selector", Aliases: []string{"l"}, Usage: "show only objects whose labels match"})},
		{Name: "label", Usage: "set and remove labels: label KIND NAME k=v k-", ArgsUsage: "KIND NAME k=v|k- ...", Action: label, Flags: changeFlags()},
		{Name: "selector", Usage: "set a selector: selector access|outage NAME customers|backends|zones SELECTOR", ArgsUsage: "KIND NAME FIELD SELECTOR", Action: selector, Flags: changeFlags()},
		{Name: "zone", Usage: "take an availability zone out of service or back in: zone out|in NAME", ArgsUsage: "out|in NAME", Action: zone, Flags: changeFlags()},
		{Name: "apply", Usage: "create or replace the objects in a file of JSON objects", Action: apply,
			Flags: append(changeFlags(), &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "file, or - for standard input"})},
		{Name: "delete", Usage: "delete an object: delete KIND NAME", ArgsUsage: "KIND NAME", Action: remove, Flags: changeFlags()},
		{Name: "audit", Usage: "list changes: who, where, when, what", Action: audit,
			Flags: append(connectFlags(), &cli.Uint64Flag{Name: "after", Usage: "revision to start after"})},
		{Name: "suspects", Usage: "list requests that were running when backend servers died, or clear one: suspects [DIGEST]", ArgsUsage: "[DIGEST]", Action: suspects, Flags: connectFlags()},
		{Name: "status", Usage: "show the routers and their revisions", Action: status, Flags: connectFlags()},
	}
}

func connectFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "url", Value: "http://127.0.0.1:8080", Sources: cli.EnvVars("BULRUSHTALLY_URL"), Usage: "URL of any router"},
		&cli.StringFlag{Name: "key", Required: true, Sources: cli.EnvVars("BULRUSHTALLY_KEY"), Usage: "operator's key"},
		&cli.StringFlag{Name: "o", Value: "table", Usage: "table or json"},
	}
}

func changeFlags() []cli.Flag {
	return append(connectFlags(),
		&cli.StringFlag{Name: "request", Usage: "request number; the same number again never changes twice"},
		&cli.StringFlag{Name: "version", Usage: "version that the change is based on; any if left out"},
		&cli.BoolFlag{Name: "dry-run", Usage: "only say what would change"},
		&cli.BoolFlag{Name: "force", Usage: "even if somebody is left with no backend server"},
		&cli.BoolFlag{Name: "wait", Usage: "until every live router holds the change"},
	)
}

func client(c *cli.Command) *operator.Client {
	return operator.NewClient(strings.TrimSuffix(c.String("url"), "/"), c.String("key"))
}

func how(c *cli.Command) operator.How {
	h := operator.How{Request: c.String("request"), Version: c.String("version"), DryRun: c.Bool("dry-run"), Force: c.Bool("force")}
	if h.Version == "" {
		h.Version = "*"
	}
	return h
}

func arguments(c *cli.Command, least int) ([]string, error) {
	a := c.Args().Slice()
	if len(a) < least {
		return nil, fmt.Errorf("%d arguments are too few; usage: %s %s", len(a), c.Name, c.ArgsUsage)
	}
	return a, nil
}

func get(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 1)
	if err != nil {
		return err
	}
	if len(a) > 1 {
		o, err := client(c).Get(config.Kind(a[0]), a[1])
		if err != nil {
			return err
		}
		return printJSON(o)
	}
	list, err := client(c).List(config.Kind(a[0]), c.String("selector"))
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printObjects(list)
}

func label(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 3)
	if err != nil {
		return err
	}
	l := operator.LabelChange{Set: map[string]string{}}
	for _, x := range a[2:] {
		k, v, ok := strings.Cut(x, "=")
		switch {
		case ok:
			l.Set[k] = v
		case strings.HasSuffix(x, "-"):
			l.Remove = append(l.Remove, strings.TrimSuffix(x, "-"))
		default:
			return fmt.Errorf("%q is neither k=v nor k-", x)
		}
	}
	acc, err := client(c).Label(config.Kind(a[0]), a[1], l, how(c))
	return accepted(c, acc, err)
}

func selector(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 4)
	if err != nil {
		return err
	}
	o, err := client(c).Get(config.Kind(a[0]), a[1])
	if err != nil {
		return err
	}
	switch a[2] {
	case "customers":
		o.CustomerSelector = a[3]
	case "backends":
		o.BackendSelector = a[3]
	case "zones":
		o.ZoneSelector = a[3]
	default:
		return fmt.Errorf("%q is not a selector; use customers, backends or zones", a[2])
	}
	h := how(c)
	if c.String("version") == "" {
		h.Version = fmt.Sprint(o.Version)
	}
	acc, err := client(c).Put(o, h)
	return accepted(c, acc, err)
}

func zone(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 2)
	if err != nil {
		return err
	}
	l := operator.LabelChange{}
	switch a[0] {
	case "out":
		l.Set = map[string]string{config.LabelState: "out"}
	case "in":
		l.Remove = []string{config.LabelState}
	default:
		return fmt.Errorf("%q is neither out nor in", a[0])
	}
	acc, err := client(c).Label(config.KindZone, a[1], l, how(c))
	return accepted(c, acc, err)
}

func apply(_ context.Context, c *cli.Command) error {
	in := os.Stdin
	if name := c.String("file"); name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	d := json.NewDecoder(in)
	for n := 1; d.More(); n++ {
		o := &config.Object{}
		if err := d.Decode(o); err != nil {
			return fmt.Errorf("object %d of the file: %w", n, err)
		}
		acc, err := applyOne(c, o)
		if err := accepted(c, acc, err); err != nil {
			return fmt.Errorf("object %d of the file, %s %q: %w", n, o.Kind, o.Name, err)
		}
	}
	return nil
}

// applyOne creates an object, or replaces it if it exists.
func applyOne(c *cli.Command, o *config.Object) (*operator.Accepted, error) {
	h := how(c)
	have, err := client(c).Get(o.Kind, o.Name)
	if f, ok := err.(*operator.Failure); ok && f.Code == "not-found" {
		h.Version = ""
	} else if err != nil {
		return nil, err
	} else if c.String("version") == "" {
		h.Version = fmt.Sprint(have.Version)
	}
	o.Version = 0
	return client(c).Put(o, h)
}

func remove(_ context.Context, c *cli.Command) error {
	a, err := arguments(c, 2)
	if err != nil {
		return err
	}
	acc, err := client(c).Delete(config.Kind(a[0]), a[1], how(c))
	return accepted(c, acc, err)
}

func audit(_ context.Context, c *cli.Command) error {
	list, err := client(c).Audit(c.Uint64("after"))
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printChanges(list)
}

func suspects(_ context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		digest, err := strconv.ParseUint(c.Args().First(), 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no digest; suspects without one lists them", c.Args().First())
		}
		return client(c).ClearSuspect(digest)
	}
	list, err := client(c).Suspects()
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(list)
	}
	return printSuspects(list)
}

func status(_ context.Context, c *cli.Command) error {
	s, err := client(c).Status()
	if err != nil {
		return err
	}
	if c.String("o") == "json" {
		return printJSON(s)
	}
	return printStatus(s)
}

// laggingError says that a change is accepted but not yet held by every router.
type laggingError struct {
	revision uint64
	routers  []string
}

// Error describes which routers lag and the remedy.
func (e *laggingError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but routers %q do not hold it yet; see status", e.revision, e.routers)
}

// Waiting for routers to hold a change.
const (
	waitLimit = 30 * time.Second
	waitStep  = 100 * time.Millisecond
)

// accepted prints what became of a change and waits for it if asked to.
func accepted(c *cli.Command, a *operator.Accepted, err error) error {
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
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(waitStep) {
		s, err := client(c).Status()
		if err != nil {
			return err
		}
		if lagging = s.Lagging(a.Change.Revision); len(lagging) == 0 {
			fmt.Printf("in force on all %d live routers\n", len(s.Routers))
			return nil
		}
	}
	return &laggingError{a.Change.Revision, lagging}
}
