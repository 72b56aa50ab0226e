package lab

// This file defines the experiment fairness.

import (
	"context"
	"time"
)

// The customers of the experiments on fairness.
const (
	largeCallers  = 100
	smallCallers  = 16
	dearestTokens = 128
	promptBytes   = 120
)

// unevenGroups has 3 large customers: one at a single router, one at two, one at
// all; and 13 small ones, each at one router.
func unevenGroups(customers, routers int) []Group {
	var list []Group
	for i := range customers {
		g := Group{Customer: i, Callers: smallCallers, Routers: []int{i % routers}, MaxTokens: 32 + 96*(i%2), Prompt: promptBytes}
		switch i {
		case 0:
			g.Callers = largeCallers
		case 1:
			g.Callers, g.Routers = largeCallers, []int{1 % routers, 2 % routers}
		case 2:
			g.Callers, g.Routers = largeCallers, allRouters(routers)
		}
		list = append(list, g)
	}
	return list
}

func allRouters(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// allCustomers lists the customers by number.
func allCustomers(n int) []int { return allRouters(n) }

func equal(int) float64 { return 1 }

// fairnessOptions is today's fleet with slots that six routers can split evenly.
func fairnessOptions(seed uint64) FleetOptions {
	o := Today(seed)
	o.Engine.Slots = 12
	o.Warm = true
	return o
}

func fairness(e *Env) (*Report, error) {
	o := fairnessOptions(e.Seed)
	r := &Report{}
	servers := o.Engines / len(o.Zones)
	dearest := float64(promptBytes+27)/4 + 2*dearestTokens
	batch := float64(servers*o.Engine.Slots) * dearest
	for _, p := range []Policy{Ours, FirstCome, PerRouter} {
		e.say("running %s for %v", p, rampTime+measureTime)
		m, busy, l, err := runFairness(o, p, e.Seed)
		if err != nil {
			return nil, err
		}
		customers := allCustomers(o.Customers)
		g, j := m.Gap(rampTime, customers, equal), m.Jain(rampTime, customers, equal)
		r.plotService(string(p), m)
		first := ms(l.FirstToken(-1, 50))
		if p != Ours {
			r.baseline(p, m.Rate(rampTime), g, j, 100*busy, float64(l.bad.Load()), first)
			continue
		}
		exchange := m.Rate(rampTime) * exchangeTime.Seconds() / float64(o.Customers)
		r.figure("service per second", "cost/s", m.Rate(rampTime))
		r.atMost("greatest gap over any stretch", "cost", g, 2*batch+exchange)
		r.atLeast("Jain's index over 30 s", "", j, 0.99)
		r.atLeast("admitted slots in use while work waits", "%", 100*busy, 98)
		r.atMost("bad answers", "", float64(l.bad.Load()), 0)
		r.figure("first token p50", "ms", first)
	}
	return r, nil
}

// exchangeTime is how long a sum of service takes to reach every router at most:
// a heartbeat to the relay, one to the other relays, one to their zones.
const exchangeTime = 3 * time.Second

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func runFairness(o FleetOptions, p Policy, seed uint64) (*Meter, float64, *Load, error) {
	s, err := StartSystem(o, p)
	if err != nil {
		return nil, 0, nil, err
	}
	defer s.Close()
	l := NewLoad(s, o.Customers, seed)
	var busy float64
	err = under(l, unevenGroups(o.Customers, len(s.Addresses())), func(ctx context.Context) error {
		time.Sleep(rampTime)
		l.Reset()
		ctx, cancel := context.WithTimeout(ctx, measureTime)
		defer cancel()
		f := watchBusy(ctx, s.Windows)
		<-ctx.Done()
		busy = f()
		return nil
	})
	return l.meter, busy, l, err
}
