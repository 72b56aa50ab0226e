package main

// This file defines the output of the operators' commands.

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

func newTableWriter() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

func printObjects(list []*config.Object) error {
	table := newTableWriter()
	fmt.Fprintln(table, "NAME\tVERSION\tLABELS\tDETAILS")
	for _, o := range list {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", o.Name, o.Version, formatLabels(o.Labels), formatDetails(o))
	}
	return table.Flush()
}

// formatLabels returns the labels as k=v, sorted by key and separated by commas.
func formatLabels(labels map[string]string) string {
	parts := make([]string, 0, len(labels))
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, k+"="+labels[k])
	}
	return strings.Join(parts, ",")
}

// formatDetails returns the object's service, zone, address, customer, office and selectors, as
// far as they are set.
func formatDetails(o *config.Object) string {
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
	table := newTableWriter()
	fmt.Fprintln(table, "REVISION\tWHEN\tOFFICE\tOPERATOR\tOBJECT\tCHANGE\tREQUEST")
	for _, c := range list {
		when := time.UnixMilli(c.AcceptedUnixMs).UTC().Format(time.DateTime)
		id := c.Object()
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s %s\t%s\t%s\n", c.Revision, when, c.Office, c.Operator, id.Kind, id.Name, describeChange(c), c.RequestNumber)
	}
	return table.Flush()
}

// describeChange returns what a change created, deleted or modified.
func describeChange(c *config.Change) string {
	switch {
	case c.Before == nil:
		return "created " + formatLabels(c.After.Labels)
	case c.After == nil:
		return "deleted"
	}
	var parts []string
	if before, after := formatLabels(c.Before.Labels), formatLabels(c.After.Labels); before != after {
		parts = append(parts, fmt.Sprintf("labels %q to %q", before, after))
	}
	if before, after := formatDetails(c.Before), formatDetails(c.After); before != after {
		parts = append(parts, fmt.Sprintf("%q to %q", before, after))
	}
	return strings.Join(parts, "; ")
}

func printSuspects(list []schedule.CrashRecord) error {
	table := newTableWriter()
	fmt.Fprintln(table, "DIGEST\tDEATHS")
	for _, record := range list {
		fmt.Fprintf(table, "%d\t%d\n", record.Digest, record.Crashes)
	}
	return table.Flush()
}

func printStatus(s *operator.Status) error {
	table := newTableWriter()
	fmt.Fprintf(table, "as seen by %s at revision %d\n", s.VM, s.Revision)
	fmt.Fprintln(table, "VM\tZONE\tREVISION\tREADY\tLEAVING")
	for _, r := range s.Routers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%t\n", r.VM, r.Zone, r.Revision, r.Ready, r.Leaving)
	}
	fmt.Fprintln(table, "SHARD\tWINDOW\tFREE\tWAITING")
	for _, shard := range s.Shards {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", shard.Shard, shard.Window, shard.Free, shard.Waiting)
	}
	fmt.Fprintln(table, "BACKEND\tWINDOW\tIN FLIGHT")
	for _, b := range s.Backends {
		fmt.Fprintf(table, "%s\t%d\t%d\n", b.Name, b.Window, b.InFlight)
	}
	return table.Flush()
}

func printAccepted(a *operator.ChangeResult) {
	prefix := "accepted as"
	if a.DryRun {
		prefix = "would be"
	}
	fmt.Printf("%s revision %d\n", prefix, a.Change.Revision)
	for _, r := range a.Effects.Gained {
		fmt.Printf("  customer %s gains %d backend servers of %s\n", r.Customer, r.Backends, r.Service)
	}
	for _, r := range a.Effects.Lost {
		fmt.Printf("  customer %s loses %d backend servers of %s\n", r.Customer, r.Backends, r.Service)
	}
}
