package lab

// This file defines Demo, a short run of a whole fleet under load that prints its
// progress and results.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

// Durations of a demonstration, and the most output tokens of its completions.
const (
	demoDuration         = 15 * time.Second
	demoProgressInterval = 3 * time.Second
	demoMaxTokens        = 40
)

// resultTotals sums up the results of calls, of one customer or of all.
type resultTotals struct {
	requests, succeeded, notRun, unknown, failed int // the last counts calls that neither succeeded nor ended as not-run or unknown
	cost                                         float64
	firstToken                                   *hdrhistogram.Histogram // time to first token of complete responses, in µs
}

// resultCollector collects the results of concurrent callers.
type resultCollector struct {
	mu         sync.Mutex
	byCustomer map[string]*resultTotals
	failures   []string // descriptions of the calls counted as bad in the table
}

func newResultCollector() *resultCollector {
	return &resultCollector{byCustomer: map[string]*resultTotals{}}
}

// Range and precision of histograms of the time to first token.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// add counts the result of a call.
func (c *resultCollector) add(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byCustomer[r.Customer]
	if t == nil {
		t = &resultTotals{firstToken: newHistogram()}
		c.byCustomer[r.Customer] = t
	}
	t.requests++
	t.cost += r.Cost
	switch {
	case r.Succeeded():
		t.succeeded++
		t.firstToken.RecordValue(r.TimeToFirstToken.Microseconds())
	case r.Outcome == "not-run":
		t.notRun++
	case r.Outcome == "unknown":
		t.unknown++
	default:
		t.failed++
		c.failures = append(c.failures, fmt.Sprintf("%s: status %d, complete %v, own response %v, error %v", r.Customer, r.Status, r.IsComplete, r.MatchesCall, r.Err))
	}
}

// totals returns the sum over all customers.
func (c *resultCollector) totals() resultTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := resultTotals{firstToken: newHistogram()}
	for _, t := range c.byCustomer {
		sum.requests += t.requests
		sum.succeeded += t.succeeded
		sum.notRun += t.notRun
		sum.unknown += t.unknown
		sum.failed += t.failed
		sum.cost += t.cost
		sum.firstToken.Merge(t.firstToken)
	}
	return sum
}

// Demo runs a fleet of the current production size under a mix of customers' calls and
// prints the results by customer. It fails unless every response was complete and belonged
// to its call.
func Demo(w io.Writer, seed uint64) error {
	fmt.Fprintln(w, "starting a stand-in platform, 9 model servers, 3 plain servers and 6 routers in 3 zones")
	o := CurrentFleetOptions(seed)
	f, err := StartFleet(o)
	if err != nil {
		return err
	}
	defer f.Close()
	results := newResultCollector()
	ctx, cancel := context.WithTimeout(context.Background(), demoDuration)
	defer cancel()
	utilization := sampleUtilization(ctx, (&System{Fleet: f}).ForEachWindow)
	var g conc.WaitGroup
	for customer := range o.Customers {
		for k := range demoCallerCount(customer) {
			g.Go(func() { f.runDemoCaller(ctx, results, customer, k) })
		}
	}
	g.Go(func() { printProgress(ctx, w, results) })
	g.Wait()
	results.printTable(w, o.Customers)
	t := results.totals()
	fmt.Fprintf(w, "\n%d requests: %d complete and own, %d not-run, %d unknown, %d bad; %.0f %% of admitted slots in use\n",
		t.requests, t.succeeded, t.notRun, t.unknown, t.failed, 100*utilization())
	for _, fault := range results.failures[:min(len(results.failures), 5)] {
		fmt.Fprintln(w, "bad response:", fault)
	}
	if t.succeeded != t.requests {
		return fmt.Errorf("%d of %d calls did not get a complete response of their own", t.requests-t.succeeded, t.requests)
	}
	return nil
}

// demoCallerCount returns the number of callers of a customer. The first three customers
// are large.
func demoCallerCount(customer int) int {
	if customer < 3 {
		return 24
	}
	return 3
}

// runDemoCaller sends one call after another, each fifth to the plain service, until the
// context ends. The callers of a customer use only two routers, so that customers load
// the routers unevenly.
func (f *Fleet) runDemoCaller(ctx context.Context, results *resultCollector, customer, k int) {
	c := NewClient()
	name := CustomerName(customer)
	for n := 0; ctx.Err() == nil; n++ {
		r := f.Routers[(customer+k%2)%len(f.Routers)]
		callID := fmt.Sprintf("%s caller %d request %d", name, k, n)
		if (n+k)%5 == 4 {
			results.add(c.CallPlain(context.Background(), r.Address(), name, callID, ""))
		} else {
			results.add(c.Complete(context.Background(), r.Address(), name, callID, demoMaxTokens, n%3 != 0))
		}
	}
}

// printProgress prints the totals every demoProgressInterval until the context ends.
func printProgress(ctx context.Context, w io.Writer, results *resultCollector) {
	t := time.NewTicker(demoProgressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s := results.totals()
			fmt.Fprintf(w, "%6d complete responses so far, %d calls without one\n", s.succeeded, s.requests-s.succeeded)
		}
	}
}

// printTable prints a row for each customer that has made a call.
func (c *resultCollector) printTable(w io.Writer, customers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "customer\trequests\tcomplete\tnot-run\tunknown\tbad\tservice\tfirst token p50\tfirst token p95\t")
	for i := range customers {
		x := c.byCustomer[CustomerName(i)]
		if x == nil {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\t\n", CustomerName(i), x.requests, x.succeeded, x.notRun, x.unknown, x.failed,
			x.cost, latencyPercentile(x.firstToken, 50), latencyPercentile(x.firstToken, 95))
	}
	t.Flush()
}

// latencyPercentile returns a percentile (0 to 100) of a histogram that holds microseconds, rounded
// to 0.1 ms.
func latencyPercentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}
