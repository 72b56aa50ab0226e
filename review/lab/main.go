package main

// This file defines the command line: the name of a case and the path of its record.

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of each case to the function that plays it. It returns how often the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken int, err error){
	"stop":      playStop,
	"unframed":  playUnframed,
	"line-ends": playLineEnds,
	"odd-entry": playOddEntry,
	"drill":     playDrill,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	f, err := newFleet(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-lab:", err)
		return exitNotRun
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.printf("case %s, trouble %t", name, trouble)
	broken, err := cases[name](f, trouble)
	if err != nil {
		f.record.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	f.record.printf("the rule was broken %d times", broken)
	fmt.Printf("the rule was broken %d times\n", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
