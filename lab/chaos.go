package lab

// This file defines the experiment faults: faults at random over six routers
// under load, with calls that may not be repeated among it.

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
	faultRun  = 60 * time.Second
	faultTime = 3 * time.Second // that a fault lasts
	calmTime  = 2 * time.Second // between two
	plainWork = 20
)

// fault is something that goes wrong for a time.
type fault struct {
	name  string
	begin func(s *System, r *rand.Rand) (end func())
}

var faultList = []fault{
	{"engine crashes", func(s *System, r *rand.Rand) func() { s.Engines[r.IntN(9)].Crash(); return func() {} }},
	{"engine down", func(s *System, r *rand.Rand) func() {
		x := s.Engines[r.IntN(9)]
		x.SetDown(true)
		return func() { x.SetDown(false) }
	}},
	{"engine silent", func(s *System, r *rand.Rand) func() {
		x := s.Engines[r.IntN(9)]
		x.SetFrozen(true)
		return func() { x.SetFrozen(false) }
	}},
	{"engine slow", func(s *System, r *rand.Rand) func() {
		x := s.Engines[r.IntN(9)]
		x.SetSlow(8)
		return func() { x.SetSlow(1) }
	}},
	{"engine leaves", func(s *System, r *rand.Rand) func() {
		x := s.Engines[r.IntN(9)]
		x.SetLeaving(true)
		return func() { x.SetLeaving(false) }
	}},
	{"connections break", func(s *System, r *rand.Rand) func() {
		for _, x := range s.Engines {
			x.DropConns()
		}
		return func() {}
	}},
	{"plain service breaks", func(s *System, r *rand.Rand) func() {
		for _, x := range s.Plains {
			x.DieNext([]string{"before", "after"}[r.IntN(2)])
		}
		return func() {}
	}},
	{"platform down", platformFault(standin.PlatformFaults{Down: true})},
	{"platform loses answers", platformFault(standin.PlatformFaults{LoseAnswer: 0.7})},
	{"platform throttles", platformFault(standin.PlatformFaults{Throttle: 0.7})},
	{"platform slow", platformFault(standin.PlatformFaults{Slow: 500 * time.Millisecond})},
	{"zone cut off", zoneFault(Broken)},
	{"zone silent", zoneFault(Silent)},
	{"router replaced", func(s *System, r *rand.Rand) func() {
		i := r.IntN(len(s.Routers))
		s.replace(i)
		return func() {}
	}},
}

func platformFault(f standin.PlatformFaults) func(*System, *rand.Rand) func() {
	return func(s *System, _ *rand.Rand) func() {
		s.Platform.SetFaults(f)
		return func() { s.Platform.SetFaults(standin.PlatformFaults{}) }
	}
}

func zoneFault(c Cut) func(*System, *rand.Rand) func() {
	return func(s *System, r *rand.Rand) func() {
		z := s.Options.Zones[r.IntN(len(s.Options.Zones))]
		s.cutOff(z, c)
		return func() { s.cutOff(z, Whole) }
	}
}

// replace stops a router and starts a new one with its name and no memory.
func (s *System) replace(i int) {
	old := s.Routers[i]
	old.Stop()
	n, err := s.NewRouter(i)
	if err != nil {
		return
	}
	n.Start()
	s.swap(i, n)
}

// callRecord holds what callers of the plain service were told.
type callRecord struct {
	mu    sync.Mutex
	calls map[string]Result
}

func faults(e *Env) (*Report, error) {
	o := Today(e.Seed)
	o.Warm, o.Wires = true, true
	o.PlainWork = plainWork * time.Millisecond
	s, err := StartSystem(o, Ours)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r := &Report{}
	l := NewLoad(s, o.Customers, e.Seed)
	book := &callRecord{calls: map[string]Result{}}
	good := map[string][]float64{}
	err = under(l, zoneGroups(o.Customers, len(s.Addresses())), func(ctx context.Context) error {
		var g conc.WaitGroup
		ctx, cancel := context.WithCancel(ctx)
		for k := range 8 {
			g.Go(func() { s.plainCaller(ctx, book, k) })
		}
		time.Sleep(rampTime)
		calm := goodput(l, faultTime)
		r.figure("answers a second without a fault", "1/s", calm)
		s.injectRandomly(e, l, good)
		time.Sleep(calmTime)
		cancel()
		g.Wait()
		for _, f := range faultList {
			if list := good[f.name]; len(list) > 0 {
				r.figure("answers during: "+f.name, "% of calm", 100*mean(list)/calm)
			}
		}
		return nil
	})
	book.judge(s, r)
	r.atMost("answers that were not whole or not own", "", float64(l.wrong.Load()), 0)
	r.figure("completions that failed with an outcome", "", float64(l.bad.Load()))
	r.Notes = append(r.Notes, l.faults[:min(len(l.faults), 5)]...)
	return r, err
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func goodput(l *Load, d time.Duration) float64 {
	before := l.good.Load()
	time.Sleep(d)
	return float64(l.good.Load()-before) / d.Seconds()
}

// injectRandomly goes through the faults in a random order until the time is over.
func (s *System) injectRandomly(e *Env, l *Load, good map[string][]float64) {
	r := rand.New(rand.NewPCG(e.Seed, 99))
	began := time.Now()
	for time.Since(began) < faultRun {
		for _, i := range r.Perm(len(faultList)) {
			if time.Since(began) >= faultRun {
				return
			}
			f := faultList[i]
			e.say("%5.1f s: %s", time.Since(began).Seconds(), f.name)
			end := f.begin(s, r)
			good[f.name] = append(good[f.name], goodput(l, faultTime))
			end()
			time.Sleep(calmTime)
		}
	}
}

var callNumbers atomic.Int64

// plainCaller makes calls that may not be repeated, half of them with a key; a
// call with a key whose end is unknown is asked for again.
func (s *System) plainCaller(ctx context.Context, b *callRecord, k int) {
	c := NewClient()
	for ctx.Err() == nil {
		call := fmt.Sprintf("call-%d-", callNumbers.Add(1))
		key := ""
		if k%2 == 0 {
			key = "key-of-" + call
		}
		r := c.Call(context.Background(), s.address(k), Customer(k), call, key)
		if key != "" && r.Outcome == request.Unknown {
			r = c.Call(context.Background(), s.address(k+1), Customer(k), call, key)
		}
		b.mu.Lock()
		b.calls[call] = r
		b.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// judge compares what callers were told with what the services recorded.
func (b *callRecord) judge(s *System, r *Report) {
	ran := map[string]int{}
	for _, p := range s.Plains {
		for call, n := range p.Ran() {
			ran[call] += n
		}
	}
	var twice, lied, lost, unknown float64
	for call, res := range b.calls {
		n := ran[call]
		switch {
		case n > 1:
			twice++
		case n > 0 && res.Outcome == request.NotRun:
			lied++
		case n == 0 && res.Good():
			lost++
		}
		if res.Outcome == request.Unknown {
			unknown++
		}
	}
	r.figure("calls that may not be repeated", "", float64(len(b.calls)))
	r.atMost("of them run twice", "", twice, 0)
	r.atMost("of them run after not-run", "", lied, 0)
	r.atMost("of them answered but not run", "", lost, 0)
	r.figure("of them unknown to their caller", "", unknown)
}
