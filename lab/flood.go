package lab

// This file defines the experiment flood: one customer sends far more requests than the
// model servers can run, which must not slow down the light load of the other customers.

import (
	"context"
	"time"
)

const (
	floodCallers = 1500
	floodPhase   = 15 * time.Second // measured time without the flood, and with it
)

// lightGroups returns the light load of all customers but customer 0.
func lightGroups(customers, routers int) []CallerGroup {
	var groups []CallerGroup
	for i := 1; i < customers; i++ {
		groups = append(groups, CallerGroup{
			Customer: i, Callers: 2, Routers: []int{i % routers}, MaxTokens: 32, PromptBytes: promptBytes, MeanPause: 150 * time.Millisecond,
		})
	}
	return groups
}

// floodResult holds what the customers with light load saw, and the requests of the
// flooding customer that were answered not-run.
type floodResult struct {
	p95WithoutFlood, p95WithFlood time.Duration // time to first token
	notRun, failed                int64         // requests during the flood
	floodNotRun                   int64
}

// measureFlood runs the experiment flood.
func measureFlood(e *Env) (*Report, error) {
	o := fairnessOptions(e.Seed)
	r := &Report{}
	for _, p := range []Policy{FleetWide, FirstCome, PerRouter} {
		e.logf("running %s for %v", p, rampTime+2*floodPhase)
		res, err := runFlood(o, p, e.Seed)
		if err != nil {
			return nil, err
		}
		p95Ratio := float64(res.p95WithFlood) / float64(res.p95WithoutFlood)
		if p != FleetWide {
			r.addBaseline(p, milliseconds(res.p95WithoutFlood), milliseconds(res.p95WithFlood), p95Ratio, float64(res.notRun), float64(res.failed), float64(res.floodNotRun))
			continue
		}
		r.addFigure("other customers' time to first token p95, without flood", "ms", milliseconds(res.p95WithoutFlood))
		r.addFigure("other customers' time to first token p95, with flood", "ms", milliseconds(res.p95WithFlood))
		r.addFigure("ratio of p95 with flood to p95 without", "", p95Ratio)
		r.addAtMost("other customers' requests answered not-run", "", float64(res.notRun), 0)
		r.addAtMost("other customers' failed requests, not-run excluded", "", float64(res.failed), 0)
		r.addFigure("flooding customer's requests answered not-run", "", float64(res.floodNotRun))
	}
	r.Notes = append(r.Notes, "Running requests are not preempted: while all slots are taken, a request waits until a running one ends.")
	return r, nil
}

// runFlood measures the light load under a policy, first alone and then with the flood.
func runFlood(o FleetOptions, p Policy, seed uint64) (floodResult, error) {
	var res floodResult
	s, err := StartSystem(o, p)
	if err != nil {
		return res, err
	}
	defer s.Close()
	routers := len(s.RouterAddresses())
	light := NewLoad(s, o.Customers, seed)
	if err := warmUp(s, seed+1); err != nil {
		return res, err
	}
	err = runUnderLoad(light, lightGroups(o.Customers, routers), func(context.Context) error {
		time.Sleep(2 * time.Second)
		light.Reset()
		time.Sleep(floodPhase)
		res.p95WithoutFlood = light.FirstTokenPercentile(-1, 95)
		heavy := NewLoad(s, o.Customers, seed+2)
		groups := []CallerGroup{{Customer: 0, Callers: floodCallers, Routers: allRouters(routers), MaxTokens: 64, PromptBytes: promptBytes}}
		return runUnderLoad(heavy, groups, func(context.Context) error {
			time.Sleep(2 * time.Second)
			light.Reset()
			time.Sleep(floodPhase)
			res.p95WithFlood = light.FirstTokenPercentile(-1, 95)
			res.notRun, res.failed = light.notRun.Load(), light.failed.Load()
			res.floodNotRun = heavy.notRun.Load()
			return nil
		})
	})
	return res, err
}
