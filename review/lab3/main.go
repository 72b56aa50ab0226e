package main

// This file defines the program: the case that it plays is its first argument.

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is a case. trouble says whether it comes with its disruption. It reports whether the rule was broken.
type play func(r *record, trouble bool) (broken bool, err error)

// cases are the plays by name.
var cases = map[string]play{
	"crash-beside-move":  playCrashBesideMove,
	"crash-after-resume": playCrashAfterResume,
	"part-17":            playPart17,
	"reload":             playReload,
}

func main() { os.Exit(run()) }

// run plays a case and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return notRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cleanUp()
		os.Exit(notRun)
	}()
	defer cleanUp()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with its disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		r.printf("the rule was broken")
		return ruleBroken
	}
	r.printf("the rule held")
	return ruleHeld
}
