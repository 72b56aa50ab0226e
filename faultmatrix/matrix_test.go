package faultmatrix_test

// This file runs all cells of the matrix and writes docs/FAULTS.md from its tables.

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
	update     = flag.Bool("update", false, "write docs/FAULTS.md")
	seed       = flag.Uint64("seed", 1, "seed of the order in which the cells of requests start")
	cellFilter = flag.String("only", "", "run only the cells whose name contains this text")
)

const faultsDocument = "../docs/FAULTS.md"

// listCells returns the cells that can occur at the steps, with single faults and pairs, and the
// number of those that cannot.
func listCells(steps []step) (list []cell, impossibleCount int) {
	for i, a := range faults {
		for _, s := range steps {
			if whyImpossible(a, s) != "" {
				impossibleCount++
				continue
			}
			list = append(list, cell{[]fault{a}, s})
		}
		for _, b := range faults[i+1:] {
			for _, s := range steps {
				if whyImpossible(a, s) != "" || whyImpossible(b, s) != "" || whyExcluded(a, b) != "" {
					impossibleCount++
					continue
				}
				list = append(list, cell{[]fault{a, b}, s})
			}
		}
	}
	return list, impossibleCount
}

// maxParallelCells limits the cells that run at once. It may exceed the number of CPUs, as a cell
// waits most of its time.
const maxParallelCells = 24

// TestMatrix runs every cell and checks that the cell's step was reached.
func TestMatrix(t *testing.T) {
	requestCells, impossibleRequests := listCells(requestSteps)
	changeCells, impossibleChanges := listCells(changeSteps)
	r := rand.New(rand.NewPCG(*seed, 0))
	r.Shuffle(len(requestCells), func(i, j int) { requestCells[i], requestCells[j] = requestCells[j], requestCells[i] })
	p := pool.New().WithMaxGoroutines(maxParallelCells)
	var mu sync.Mutex
	ran := 0
	run := func(c cell, f func(*testing.T, cell) bool) {
		if !strings.Contains(c.String(), *cellFilter) {
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
	for _, c := range requestCells {
		run(c, runRequestCell)
	}
	for _, c := range changeCells {
		run(c, runChangeCell)
	}
	p.Wait()
	t.Logf("%d cells run, %d cannot occur", ran, impossibleRequests+impossibleChanges)
}

// TestDocumentMatchesTable checks that docs/FAULTS.md is what renderDocument returns.
func TestDocumentMatchesTable(t *testing.T) {
	want := renderDocument()
	if *update {
		if err := os.WriteFile(faultsDocument, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(faultsDocument)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the tables of the test; run go test ./faultmatrix -run Document -update", faultsDocument)
	}
}

// renderDocument returns the content of docs/FAULTS.md.
func renderDocument() string {
	var b strings.Builder
	requestCells, impossibleRequests := listCells(requestSteps)
	changeCells, impossibleChanges := listCells(changeSteps)
	fmt.Fprintf(&b, `# Fault matrix

Written by `+"`go test ./faultmatrix -run Document -update`"+` from the tables of the test; do not edit.

Each cell injects one fault or two at a step, through fakes and stand-ins, and checks these invariants.
For a request: each call gets exactly one outcome, and the outcome is true; a response is complete and belongs to the
caller's own request; a request that may not be repeated runs at most once; a request with the outcome not-run never
runs; no model server crashes from overload; another customer is served as soon as the fault is over. For a
configuration change: it is in the log exactly once if it was accepted and not at all if it was refused; no router's
revision decreases; all routers end at the same revision. Each cell of a request makes four kinds of calls: a
streamed completion, a completion in one response, a plain call that may not be repeated, and a plain call with an
idempotency key.

Run it with `+"`go test ./faultmatrix`"+`; a seed for another order of the cells: `+"`go test ./faultmatrix -seed 7`"+`; one cell:
`+"`go test ./faultmatrix -only 'platform down] at claim'`"+`.

| | cells that run | cells that cannot occur |
| --- | --- | --- |
| of a request, single faults and pairs | %d | %d |
| of a change, single faults and pairs | %d | %d |

## Single faults

An x marks a cell that runs; a number refers to the reason why the cell cannot occur.

`, len(requestCells), impossibleRequests, len(changeCells), impossibleChanges)
	steps := append(append([]step{}, requestSteps...), changeSteps...)
	b.WriteString("| fault |")
	for _, s := range steps {
		fmt.Fprintf(&b, " %s |", s)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(steps)+1) + "\n")
	var reasons []string
	for _, f := range faults {
		fmt.Fprintf(&b, "| %s |", f)
		for _, s := range steps {
			fmt.Fprintf(&b, " %s |", cellMark(whyImpossible(f, s), &reasons))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	for i, r := range reasons {
		fmt.Fprintf(&b, "%d. %s\n", i+1, r)
	}
	b.WriteString("\n## Pairs\n\nEvery pair of faults runs at every step where both can occur, except these pairs:\n\n")
	for i, x := range faults {
		for _, y := range faults[i+1:] {
			if why := whyExcluded(x, y); why != "" {
				fmt.Fprintf(&b, "- %s with %s: %s\n", x, y, why)
			}
		}
	}
	return b.String()
}

// cellMark returns the text of a cell in the table: x if why is empty, otherwise the number of the
// reason in reasons, to which it adds a new reason.
func cellMark(why string, reasons *[]string) string {
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
