package lab

// This file defines ExternalLoad, load on a router that this process did not start.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
)

// ExternalLoad describes load on a router.
type ExternalLoad struct {
	RouterAddress string // IP address and port where the router listens for callers
	CallerKey     string // caller's bearer key
	Service       string // service to call
	Callers       int    // concurrent callers
	MaxTokens     int    // upper bound of max_tokens, which is random for each request
	Duration      time.Duration
	Seed          uint64
}

// RunLoad sends the load until its time has passed or the context ends, and writes a
// summary to w. It returns an error if a response was neither complete nor a failure
// with the outcome not-run or unknown.
func RunLoad(ctx context.Context, w io.Writer, o ExternalLoad) error {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	results := newResultCollector()
	c := NewClient()
	c.key, c.model = o.CallerKey, o.Service
	var g conc.WaitGroup
	for k := range o.Callers {
		g.Go(func() {
			r := rand.New(rand.NewPCG(o.Seed, uint64(k)))
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d request %d of %d", k, n, r.Uint64())
				results.add(c.Complete(context.Background(), o.RouterAddress, "all", prompt, 1+r.IntN(o.MaxTokens), true))
			}
		})
	}
	g.Wait()
	t := results.totals()
	fmt.Fprintf(w, "%d requests: %d complete and correct, %d not-run, %d unknown, %d failed; time to first token p50 %v, p95 %v\n",
		t.requests, t.succeeded, t.notRun, t.unknown, t.failed, latencyPercentile(t.firstToken, 50), latencyPercentile(t.firstToken, 95))
	if t.failed > 0 {
		return fmt.Errorf("%d failed or incorrect responses, first: %s", t.failed, results.failures[0])
	}
	return nil
}
