package faultmatrix_test

// This file runs the whole matrix and writes docs/FAULTS.md from it.

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/sourcegraph/conc/pool"
)

var (
	update = flag.Bool("update", false, "write docs/FAULTS.md")
	seed   = flag.Uint64("seed", 1, "order of the cells")
	only   = flag.String("only", "", "run only cells whose name contains this text")
)

const document = "../docs/FAULTS.md"

// cells returns every cell that can occur, and how many cannot.
func cells(steps []step) (list []cell, cannot int) {
	for i, a := range faults {
		for _, s := range steps {
			if impossible(a, s) != "" {
				cannot++
				continue
			}
			list = append(list, cell{[]fault{a}, s})
		}
		for _, b := range faults[i+1:] {
			for _, s := range steps {
				if impossible(a, s) != "" || impossible(b, s) != "" || excluded(a, b) != "" {
					cannot++
					continue
				}
				list = append(list, cell{[]fault{a, b}, s})
			}
		}
	}
	return list, cannot
}

// parallelCells is how many cells run at once; most of their time is waiting.
const parallelCells = 24

func TestMatrix(t *testing.T) {
	requests, noRequest := cells(requestSteps)
	changes, noChange := cells(changeSteps)
	r := rand.New(rand.NewPCG(*seed, 0))
	r.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	p := pool.New().WithMaxGoroutines(parallelCells)
	var mu sync.Mutex
	ran := 0
	run := func(c cell, f func(*testing.T, cell) bool) {
		if !strings.Contains(c.String(), *only) {
			return
		}
		p.Go(func() {
			reached := f(t, c)
			mu.Lock()
			defer mu.Unlock()
			ran++
			if !reached {
				t.Errorf("%v: the step was never reached", c)
			}
		})
	}
	for _, c := range requests {
		run(c, runRequests)
	}
	for _, c := range changes {
		run(c, runChange)
	}
	p.Wait()
	t.Logf("%d cells run, %d cannot occur", ran, noRequest+noChange)
}

// TestDocument checks that docs/FAULTS.md is what the table says.
func TestDocument(t *testing.T) {
	want := describe()
	if *update {
		if err := os.WriteFile(document, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(document)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the table; run go test ./faultmatrix -run Document -update", document)
	}
}

func describe() string {
	var b strings.Builder
	requests, noRequest := cells(requestSteps)
	changes, noChange := cells(changeSteps)
	fmt.Fprintf(&b, `# Fault matrix

Written by `+"`go test ./faultmatrix -run Document -update`"+` from the table of the test; do not edit.

Each cell injects a fault at a step, through fakes at the interfaces, and checks what must always hold: one
outcome for each call and a true one, whole answers that are the caller's own, at most one run of what may not be
repeated, no run after not-run, no engine that falls over, another customer served as soon as the fault is over;
for a change: in the log once if accepted and not at all if refused, no revision that goes back, every router at
the same revision in the end. Each cell of a request runs four kinds of calls: a streamed and a whole completion,
a plain call that may not be repeated, and one with an idempotency key.

Run it with `+"`go test ./faultmatrix`"+`; a seed orders the cells: `+"`go test ./faultmatrix -seed 7`"+`; one cell:
`+"`go test ./faultmatrix -only 'platform down] at claim'`"+`.

| | cells that run | cells that cannot occur |
| --- | --- | --- |
| of a request, single faults and pairs | %d | %d |
| of a change, single faults and pairs | %d | %d |

## Single faults

A mark says that the cell runs; a number says why it cannot occur.

`, len(requests), noRequest, len(changes), noChange)
	all := append(append([]step{}, requestSteps...), changeSteps...)
	b.WriteString("| fault |")
	for _, s := range all {
		fmt.Fprintf(&b, " %s |", s)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(all)+1) + "\n")
	var reasons []string
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s |", f)
		for _, s := range all {
			fmt.Fprintf(&b, " %s |", mark(impossible(f, s), &reasons))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	for i, r := range reasons {
		fmt.Fprintf(&b, "%d. %s\n", i+1, r)
	}
	b.WriteString("\n## Pairs\n\nEvery pair of faults runs at every step where both can occur, but for these:\n\n")
	for i, x := range faults {
		for _, y := range faults[i+1:] {
			if why := excluded(x, y); why != "" {
				fmt.Fprintf(&b, "- %s with %s: %s\n", x, y, why)
			}
		}
	}
	return b.String()
}

// mark returns a cell's mark, numbering each reason once.
func mark(why string, reasons *[]string) string {
	if why == "" {
		return "x"
	}
	for i, r := range *reasons {
		if r == why {
			return fmt.Sprint(i + 1)
		}
	}
	*reasons = append(*reasons, why)
	return fmt.Sprint(len(*reasons))
}
