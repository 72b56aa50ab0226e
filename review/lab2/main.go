package main

// This file defines the command line: which case runs, where its record goes, and the exit code.

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is what a case found. Broken is set if its rule was broken.
type verdict struct {
	Broken bool
	Text   string
}

// A scenario is one case. Trouble is false for the run without the disruption.
type scenario func(r *record, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"long-length":   longLength,
	"crlf-events":   crlfEvents,
	"last-customer": lastCustomer,
	"large-bodies":  largeBodies,
}

// errSetUp wraps the errors of a case that could not run.
var errSetUp = errors.New("the case could not run")

func main() {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run, ok := scenarios[flag.Arg(0)]
	if !ok {
		names := []string{}
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: lab2 -record FILE CASE; cases: %s\n", strings.Join(names, ", "))
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, *recordPath, os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit code.
func play(run scenario, recordPath string, trouble bool) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	v, err := run(r, trouble)
	if err != nil {
		r.say("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	r.say("verdict: %s", v.Text)
	fmt.Println(v.Text)
	if v.Broken {
		return exitBroken
	}
	return exitHeld
}
