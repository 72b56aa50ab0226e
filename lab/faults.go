package lab

// This file defines the experiment faults: faults are injected in random order into six
// routers under load that includes non-repeatable calls.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"bulrushtally/request"
	"bulrushtally/standin"
)

const (
	faultRunDuration = 60 * time.Second
	faultDuration    = 3 * time.Second // of each fault
	recoveryTime     = 2 * time.Second // between the end of a fault and the next fault
	plainCallMs      = 20              // running time of a call to the plain service
)

// fault is a temporary fault. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(s *System, r *rand.Rand) (undo func())
}

var faultKinds = []fault{
	{"model server crashes", func(s *System, r *rand.Rand) func() { s.ModelServers[r.IntN(9)].Crash(); return func() {} }},
	{"model server refuses connections", func(s *System, r *rand.Rand) func() {
		server := s.ModelServers[r.IntN(9)]
		server.SetDown(true)
		return func() { server.SetDown(false) }
	}},
	{"model server hangs", func(s *System, r *rand.Rand) func() {
		server := s.ModelServers[r.IntN(9)]
		server.SetFrozen(true)
		return func() { server.SetFrozen(false) }
	}},
	{"model server slow", func(s *System, r *rand.Rand) func() {
		server := s.ModelServers[r.IntN(9)]
		server.SetSlowdown(8)
		return func() { server.SetSlowdown(1) }
	}},
	{"model server drains", func(s *System, r *rand.Rand) func() {
		server := s.ModelServers[r.IntN(9)]
		server.SetLeaving(true)
		return func() { server.SetLeaving(false) }
	}},
	{"connections to model servers break", func(s *System, r *rand.Rand) func() {
		for _, server := range s.ModelServers {
			server.DropConns()
		}
		return func() {}
	}},
	{"plain service drops a call", func(s *System, r *rand.Rand) func() {
		for _, server := range s.PlainServers {
			server.FailNextCall([]string{"before", "after"}[r.IntN(2)])
		}
		return func() {}
	}},
	{"platform down", platformFault(standin.PlatformFaults{Down: true})},
	{"platform loses responses", platformFault(standin.PlatformFaults{LostResponses: 0.7})},
	{"platform throttles", platformFault(standin.PlatformFaults{Throttle: 0.7})},
	{"platform slow", platformFault(standin.PlatformFaults{Delay: 500 * time.Millisecond})},
	{"zone cut off, connections closed", zoneFault(LinkBroken)},
	{"zone cut off, connections silent", zoneFault(LinkSilent)},
	{"router replaced", func(s *System, r *rand.Rand) func() {
		i := r.IntN(len(s.Routers))
		s.replaceRouter(i)
		return func() {}
	}},
}

// platformFault returns a fault's inject function that applies f to the platform.
func platformFault(f standin.PlatformFaults) func(*System, *rand.Rand) func() {
	return func(s *System, _ *rand.Rand) func() {
		s.Platform.SetFaults(f)
		return func() { s.Platform.SetFaults(standin.PlatformFaults{}) }
	}
}

// zoneFault returns a fault's inject function that cuts a random zone off from the
// other zones and the platform by setting its links to a state.
func zoneFault(state LinkState) func(*System, *rand.Rand) func() {
	return func(s *System, r *rand.Rand) func() {
		zone := s.Options.Zones[r.IntN(len(s.Options.Zones))]
		s.setZoneLinkState(zone, state)
		return func() { s.setZoneLinkState(zone, LinkUp) }
	}
}

// replaceRouter stops router i and starts a new one with the same name and no state.
// If the new router cannot be created, the stopped one stays in the list.
func (s *System) replaceRouter(i int) {
	old := s.Routers[i]
	old.Stop()
	replacement, err := s.NewRouter(i)
	if err != nil {
		return
	}
	replacement.Start()
	s.setRouter(i, replacement)
}

// plainResults holds the results that callers of the plain service received.
type plainResults struct {
	mu     sync.Mutex
	byCall map[string]Result
}

// measureFaults runs the experiment faults.
func measureFaults(e *Env) (*Report, error) {
	o := CurrentFleetOptions(e.Seed)
	o.StartWarm, o.FaultProxies = true, true
	o.PlainCallTime = plainCallMs * time.Millisecond
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r := &Report{}
	l := NewLoad(s, o.Customers, e.Seed)
	results := &plainResults{byCall: map[string]Result{}}
	goodputByFault := map[string][]float64{}
	err = runUnderLoad(l, moderateGroups(o.Customers, len(s.RouterAddresses())), func(ctx context.Context) error {
		var g conc.WaitGroup
		ctx, cancel := context.WithCancel(ctx)
		for k := range 8 {
			g.Go(func() { s.runPlainCaller(ctx, results, k) })
		}
		time.Sleep(rampTime)
		withoutFault := goodput(l, faultDuration)
		r.addFigure("complete responses per second without a fault", "1/s", withoutFault)
		s.injectFaults(e, l, goodputByFault)
		time.Sleep(recoveryTime)
		cancel()
		g.Wait()
		for _, f := range faultKinds {
			if rates := goodputByFault[f.name]; len(rates) > 0 {
				r.addFigure("complete responses during: "+f.name, "% of rate without a fault", 100*mean(rates)/withoutFault)
			}
		}
		return nil
	})
	results.addChecks(s, r)
	r.addAtMost("responses incomplete without an error, or of another request", "", float64(l.incorrect.Load()), 0)
	r.addFigure("failed requests, not-run excluded", "", float64(l.failed.Load()))
	r.Notes = append(r.Notes, l.failures[:min(len(l.failures), 5)]...)
	return r, err
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// goodput waits for d and returns the complete responses per second within it.
func goodput(l *Load, d time.Duration) float64 {
	before := l.succeeded.Load()
	time.Sleep(d)
	return float64(l.succeeded.Load()-before) / d.Seconds()
}

// injectFaults injects all faults one after another, in a new random order each round,
// until faultRunDuration has passed. It appends the goodput during each fault to the
// fault's list.
func (s *System) injectFaults(e *Env, l *Load, goodputByFault map[string][]float64) {
	r := rand.New(rand.NewPCG(e.Seed, 99))
	start := time.Now()
	for time.Since(start) < faultRunDuration {
		for _, i := range r.Perm(len(faultKinds)) {
			if time.Since(start) >= faultRunDuration {
				return
			}
			f := faultKinds[i]
			e.logf("%5.1f s: %s", time.Since(start).Seconds(), f.name)
			undo := f.inject(s, r)
			goodputByFault[f.name] = append(goodputByFault[f.name], goodput(l, faultDuration))
			undo()
			time.Sleep(recoveryTime)
		}
	}
}

var lastCallNumber atomic.Int64

// runPlainCaller sends non-repeatable calls to the plain service, one after another,
// until the context ends, and records the results. Callers with an even number k send
// an idempotency key; if the outcome of such a call is unknown, they send it once more
// with the same key through the next router.
func (s *System) runPlainCaller(ctx context.Context, results *plainResults, k int) {
	c := NewClient()
	for ctx.Err() == nil {
		call := fmt.Sprintf("call-%d-", lastCallNumber.Add(1))
		key := ""
		if k%2 == 0 {
			key = "key-of-" + call
		}
		r := c.CallPlain(context.Background(), s.routerAddress(k), CustomerName(k), call, key)
		if key != "" && r.Outcome == request.OutcomeUnknown {
			r = c.CallPlain(context.Background(), s.routerAddress(k+1), CustomerName(k), call, key)
		}
		results.mu.Lock()
		results.byCall[call] = r
		results.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// addChecks compares the results that callers received with the runs that the plain
// servers recorded, and adds the figures to r.
func (results *plainResults) addChecks(s *System, r *Report) {
	runs := map[string]int{}
	for _, server := range s.PlainServers {
		for call, n := range server.CallCounts() {
			runs[call] += n
		}
	}
	var repeated, ranDespiteNotRun, neverRan, unknown float64
	for call, res := range results.byCall {
		n := runs[call]
		switch {
		case n > 1:
			repeated++
		case n > 0 && res.Outcome == request.OutcomeNotRun:
			ranDespiteNotRun++
		case n == 0 && res.Succeeded():
			neverRan++
		}
		if res.Outcome == request.OutcomeUnknown {
			unknown++
		}
	}
	r.addFigure("non-repeatable calls", "", float64(len(results.byCall)))
	r.addAtMost("non-repeatable calls that ran more than once", "", repeated, 0)
	r.addAtMost("non-repeatable calls that ran although reported as not-run", "", ranDespiteNotRun, 0)
	r.addAtMost("non-repeatable calls answered with success that did not run", "", neverRan, 0)
	r.addFigure("non-repeatable calls whose outcome the caller does not know", "", unknown)
}
