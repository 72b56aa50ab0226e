package main

// This file defines the command that tells a request's story from the logs of routers.

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

// logEntry is one line of a log that tells of the request or of a server that it went to.
type logEntry struct {
	time, router, message string
	fields                map[string]any
}

var errNoRequest = errors.New("no log line names this request; give the logs of all routers of its time, and the id of the attempt")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of a request from log files of routers, or from standard input",
		ArgsUsage: "ID [FILE...]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("name the request's id first, then the log files")
			}
			return explain(os.Stdout, c.Args().First(), c.Args().Slice()[1:])
		},
	}
}

func explain(out io.Writer, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	servers := map[string]bool{}
	var story []logEntry
	for _, e := range lines {
		if e.fields["request"] == id {
			story = append(story, e)
			list, _ := e.fields["servers"].([]any)
			for _, s := range list {
				if name, ok := s.(string); ok {
					servers[name] = true
				}
			}
		}
	}
	if len(story) == 0 {
		return errNoRequest
	}
	last := story[len(story)-1].time
	for _, e := range lines {
		name, _ := e.fields["server"].(string)
		if servers[name] && e.fields["request"] != id && e.router == story[0].router && e.time <= last {
			story = append(story, e)
		}
	}
	slices.SortStableFunc(story, func(a, b logEntry) int { return cmp.Compare(a.time, b.time) })
	for _, e := range story {
		fmt.Fprintln(out, e)
	}
	return nil
}

// jsonStart finds a log line that stands behind a prefix of whoever collected it.
var jsonStart = regexp.MustCompile(`\{"level"`)

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

const maxLogLine = 1 << 20 // bytes

func scanLog(r io.Reader) ([]logEntry, error) {
	var entries []logEntry
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		at := jsonStart.FindIndex(s.Bytes())
		if at == nil {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(s.Bytes()[at[0]:], &fields) != nil {
			continue
		}
		e := logEntry{fields: fields}
		e.time, _ = fields["time"].(string)
		e.router, _ = fields["vm"].(string)
		e.message, _ = fields["message"].(string)
		entries = append(entries, e)
	}
	return entries, s.Err()
}

// String returns the entry as a line for a person: when, where, what, and the inputs by name.
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
	fmt.Fprintf(&b, "%s %s %s", e.time, e.router, e.message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.fields[name])
	}
	return b.String()
}
