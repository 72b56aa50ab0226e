package main

// This file defines how the operators' commands print.

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bulrushtally/config"
	"bulrushtally/operator"
	"bulrushtally/schedule"
)

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func table() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

func printObjects(list []*config.Object) error {
	t := table()
	fmt.Fprintln(t, "NAME\tVERSION\tLABELS\tDETAILS")
	for _, o := range list {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\n", o.Name, o.Version, labels(o.Labels), details(o))
	}
	return t.Flush()
}

func labels(m map[string]string) string {
	parts := make([]string, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, k+"="+m[k])
	}
	return strings.Join(parts, ",")
}

func details(o *config.Object) string {
	var parts []string
	for _, f := range []struct{ name, value string }{
		{"service", o.Service}, {"zone", o.Zone}, {"address", o.Address}, {"customer", o.Customer}, {"office", o.Office},
		{"customers", o.CustomerSelector}, {"backends", o.BackendSelector}, {"zones", o.ZoneSelector},
	} {
		if f.value != "" {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	return strings.Join(parts, "; ")
}

func printChanges(list []*config.Change) error {
	t := table()
	fmt.Fprintln(t, "REVISION\tWHEN\tOFFICE\tOPERATOR\tOBJECT\tCHANGE\tREQUEST")
	for _, c := range list {
		when := time.UnixMilli(c.When).UTC().Format(time.DateTime)
		id := c.Object()
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s %s\t%s\t%s\n", c.Revision, when, c.Office, c.Operator, id.Kind, id.Name, difference(c), c.Request)
	}
	return t.Flush()
}

func difference(c *config.Change) string {
	switch {
	case c.Before == nil:
		return "created " + labels(c.After.Labels)
	case c.After == nil:
		return "deleted"
	}
	var parts []string
	if a, b := labels(c.Before.Labels), labels(c.After.Labels); a != b {
		parts = append(parts, fmt.Sprintf("labels %q to %q", a, b))
	}
	if a, b := details(c.Before), details(c.After); a != b {
		parts = append(parts, fmt.Sprintf("%q to %q", a, b))
	}
	return strings.Join(parts, "; ")
}

func printSuspects(list []schedule.CrashRecord) error {
	t := table()
	fmt.Fprintln(t, "DIGEST\tDEATHS")
	for _, x := range list {
		fmt.Fprintf(t, "%d\t%d\n", x.Digest, x.Deaths)
	}
	return t.Flush()
}

func printStatus(s *operator.Status) error {
	t := table()
	fmt.Fprintf(t, "as seen by %s at revision %d\n", s.VM, s.Revision)
	fmt.Fprintln(t, "VM\tZONE\tREVISION\tREADY\tLEAVING")
	for _, r := range s.Routers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%t\t%t\n", r.VM, r.Zone, r.Revision, r.Ready, r.Leaving)
	}
	fmt.Fprintln(t, "SHARD\tWINDOW\tFREE\tWAITING")
	for _, x := range s.Shards {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", x.Shard, x.Window, x.Free, x.Waiting)
	}
	fmt.Fprintln(t, "BACKEND\tWINDOW\tIN FLIGHT")
	for _, b := range s.Backends {
		fmt.Fprintf(t, "%s\t%d\t%d\n", b.Name, b.Window, b.InFlight)
	}
	return t.Flush()
}

func printAccepted(a *operator.Accepted) {
	verb := "accepted as"
	if a.DryRun {
		verb = "would be"
	}
	fmt.Printf("%s revision %d\n", verb, a.Change.Revision)
	for _, r := range a.Effects.Gained {
		fmt.Printf("  customer %s gains %d backend servers of %s\n", r.Customer, r.Backends, r.Service)
	}
	for _, r := range a.Effects.Lost {
		fmt.Printf("  customer %s loses %d backend servers of %s\n", r.Customer, r.Backends, r.Service)
	}
}
