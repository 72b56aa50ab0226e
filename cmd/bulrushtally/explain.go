package main

// This file defines the explain command, which extracts the log lines that concern one
// request from the logs of routers.

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

// logEntry is one parsed log line of a router.
type logEntry struct {
	time, vm, event string         // fields "time", "vm" and "message"; empty if absent
	fields          map[string]any // all fields of the line
}

var errRequestNotFound = errors.New("no log line has this request ID; pass the logs of all routers from the time of the request (a gateway logs the attempt ID as the request ID)")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines that concern a request, from log files of routers or from standard input",
		ArgsUsage: "ID [FILE...]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("the request ID is missing; usage: explain ID [FILE...]")
			}
			return explain(os.Stdout, c.Args().First(), c.Args().Slice()[1:])
		},
	}
}

// explain prints, ordered by time, the log lines of the request with an ID. It adds the lines of
// the same router about the backend servers to which the request was sent, and about the roll-out
// that decided its version, up to the time of the request's last line. It fails if a log cannot be read or has no line of the request.
func explain(out io.Writer, id string, files []string) error {
	entries, err := readLogs(files)
	if err != nil {
		return err
	}
	servers, rollouts := map[string]bool{}, map[string]bool{}
	var selected []logEntry
	for _, e := range entries {
		if e.fields["request"] == id {
			selected = append(selected, e)
			if service, ok := e.fields["service"].(string); ok && e.fields["rollout_version"] != nil {
				rollouts[service] = true
			}
			tried, _ := e.fields["servers"].([]any)
			for _, s := range tried {
				if name, ok := s.(string); ok {
					servers[name] = true
				}
			}
		}
	}
	if len(selected) == 0 {
		return errRequestNotFound
	}
	lastTime := selected[len(selected)-1].time
	for _, e := range entries {
		name, _ := e.fields["server"].(string)
		service, _ := e.fields["service"].(string)
		concerned := servers[name] || rollouts[service] && strings.HasPrefix(e.event, "rollout-")
		if concerned && e.fields["request"] != id && e.vm == selected[0].vm && e.time <= lastTime {
			selected = append(selected, e)
		}
	}
	slices.SortStableFunc(selected, func(a, b logEntry) int { return cmp.Compare(a.time, b.time) })
	for _, e := range selected {
		fmt.Fprintln(out, e)
	}
	return nil
}

// logLineStart matches the start of the JSON object in a line. Log collectors may put a
// prefix before it.
var logLineStart = regexp.MustCompile(`\{"level"`)

// readLogs returns the entries of the files in order, or of standard input if there are no files.
func readLogs(files []string) ([]logEntry, error) {
	if len(files) == 0 {
		return scanLog(os.Stdin)
	}
	var all []logEntry
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("log cannot be read: %w", err)
		}
		entries, err := scanLog(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("log %q cannot be read: %w", name, err)
		}
		all = append(all, entries...)
	}
	return all, nil
}

const maxLogLineBytes = 1 << 20

// scanLog returns the log entries that r holds and skips lines without a JSON object. It fails
// if reading fails or a line is longer than maxLogLineBytes.
func scanLog(r io.Reader) ([]logEntry, error) {
	var entries []logEntry
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		start := logLineStart.FindIndex(s.Bytes())
		if start == nil {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(s.Bytes()[start[0]:], &fields) != nil {
			continue
		}
		e := logEntry{fields: fields}
		e.time, _ = fields["time"].(string)
		e.vm, _ = fields["vm"].(string)
		e.event, _ = fields["message"].(string)
		entries = append(entries, e)
	}
	return entries, s.Err()
}

// String returns the entry as one line: time, VM, event, and the other fields sorted by name.
func (e logEntry) String() string {
	var names []string
	for name := range e.fields {
		switch name {
		case "time", "vm", "message", "level":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", e.time, e.vm, e.event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.fields[name])
	}
	return b.String()
}
