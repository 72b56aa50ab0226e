package lab

// This file defines OuterLoad, load on a router that the laboratory did not start.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// OuterLoad describes load on a router.
type OuterLoad struct {
	Router  string // IP number and port
	Key     string
	Model   string
	Callers int
	Tokens  int
	Time    time.Duration
	Seed    uint64
}

// RunLoad sends the load and prints what came of it; an error means that some
// answer was neither whole nor refused with an outcome.
func RunLoad(ctx context.Context, w io.Writer, o OuterLoad) error {
	ctx, cancel := context.WithTimeout(ctx, o.Time)
	defer cancel()
	b := newBoard()
	c := NewClient()
	c.key, c.model = o.Key, o.Model
	var g conc.WaitGroup
	for k := range o.Callers {
		g.Go(func() {
			r := rand.New(rand.NewPCG(o.Seed, uint64(k)))
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d request %d of %d", k, n, r.Uint64())
				b.add(c.Complete(context.Background(), o.Router, "all", prompt, 1+r.IntN(o.Tokens), true))
			}
		})
	}
	g.Wait()
	t := b.totals()
	fmt.Fprintf(w, "%d requests, %d whole and own, %d not-run, %d unknown, %d bad; first token p50 %v, p95 %v\n",
		t.requests, t.good, t.notRun, t.unknown, t.bad, quantile(t.first, 50), quantile(t.first, 95))
	if t.bad > 0 {
		return fmt.Errorf("%d bad answers, the first: %s", t.bad, b.faults[0])
	}
	return nil
}
