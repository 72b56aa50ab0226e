package lab

// This file defines Load, a closed-loop load: each caller sends its next request after the
// response to the last.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

// CallerGroup describes callers of one customer that behave alike.
type CallerGroup struct {
	Customer    int
	Callers     int
	Routers     []int         // indices of the routers that they call, assigned to callers in turn
	MaxTokens   int           // each request asks for a random 1 to MaxTokens output tokens
	PromptBytes int           // minimum length of a prompt in bytes
	MeanPause   time.Duration // mean time from a response to the caller's next request
}

// Load sends the requests of callers to a system and collects their results.
type Load struct {
	system *System
	meter  *Meter // service received by each customer
	seed   uint64
	client *Client

	succeeded, notRun, failed atomic.Int64 // calls: complete response; not run; failed otherwise
	incorrect                 atomic.Int64 // responses with status 200 that were incomplete, or belonged to another call
	mu                        sync.Mutex
	firstToken                map[int]*hdrhistogram.Histogram // time to first token in µs, by customer, since the last Reset
	allFirstToken             *hdrhistogram.Histogram         // the same for all customers together
	failures                  []string                        // descriptions of calls that failed otherwise
}

// NewLoad returns a load on a system with a number of customers; Run adds its callers.
func NewLoad(s *System, customers int, seed uint64) *Load {
	l := &Load{system: s, meter: NewMeter(customers), seed: seed, client: NewClient()}
	l.Reset()
	return l
}

// Reset clears the latencies and the counts of complete, not-run and failed calls, so that
// they cover only what follows. It keeps the count of incorrect responses and the
// descriptions of failed calls.
func (l *Load) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstToken = map[int]*hdrhistogram.Histogram{}
	l.allFirstToken = newHistogram()
	l.succeeded.Store(0)
	l.notRun.Store(0)
	l.failed.Store(0)
}

// Run runs the callers of all groups until the context ends, which also cancels the
// requests in flight.
func (l *Load) Run(ctx context.Context, groups []CallerGroup) {
	var callers conc.WaitGroup
	for n, group := range groups {
		for k := range group.Callers {
			r := rand.New(rand.NewPCG(l.seed, uint64(n)<<32|uint64(k)))
			callers.Go(func() { l.runCaller(ctx, group, k, r) })
		}
	}
	callers.Wait()
}

// runCaller sends the requests of caller number k of a group, one after another.
func (l *Load) runCaller(ctx context.Context, group CallerGroup, k int, r *rand.Rand) {
	name := CustomerName(group.Customer)
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("%s caller %d request %d seed %d ", name, k, n, r.Uint64())
		for len(prompt) < group.PromptBytes {
			prompt += "of a floor that is cracked " // 27 bytes, which the limits of experiment fairness allow for
		}
		address := l.system.routerAddress(group.Routers[k%len(group.Routers)])
		res := l.client.CompleteMetered(ctx, address, name, prompt, 1+r.IntN(group.MaxTokens), func(cost int) { l.meter.Add(group.Customer, cost) })
		l.record(group.Customer, res, ctx)
		if group.MeanPause > 0 {
			time.Sleep(time.Duration(r.Int64N(int64(2 * group.MeanPause))))
		}
	}
}

// record counts a result. A call that fails once the context has ended is not counted as a
// failure, because the end of the context cancels the calls in flight.
func (l *Load) record(customer int, res Result, ctx context.Context) {
	if !res.MatchesCall || res.Err == nil && res.Status == 200 && !res.IsComplete {
		l.incorrect.Add(1)
	}
	switch {
	case res.Succeeded():
		l.succeeded.Add(1)
	case ctx.Err() != nil:
		return
	case res.Outcome == "not-run":
		l.notRun.Add(1)
		time.Sleep(50 * time.Millisecond) // the caller backs off before its next request
		return
	default:
		l.failed.Add(1)
		l.mu.Lock()
		l.failures = append(l.failures, fmt.Sprintf("%s: status %d, outcome %q, error %v", res.Customer, res.Status, res.Outcome, res.Err))
		l.mu.Unlock()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.firstToken[customer]
	if h == nil {
		h = newHistogram()
		l.firstToken[customer] = h
	}
	h.RecordValue(res.TimeToFirstToken.Microseconds())
	l.allFirstToken.RecordValue(res.TimeToFirstToken.Microseconds())
}

// FirstTokenPercentile returns a percentile (0 to 100) of the time to the first token, of one
// customer or, if customer is negative, of all. It returns 0 if the customer has had
// no complete response since the last Reset.
func (l *Load) FirstTokenPercentile(customer int, percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.allFirstToken
	if customer >= 0 {
		h = l.firstToken[customer]
	}
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
