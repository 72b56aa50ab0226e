package lab

// This file defines the experiment coldstart: model servers start cold under full load
// and become cold again without notice.

import (
	"context"
	"time"
)

// coldStartPhase is how long the load runs after each cold start.
const coldStartPhase = 30 * time.Second

// measureColdStart runs the experiment coldstart.
func measureColdStart(e *Env) (*Report, error) {
	o := CurrentFleetOptions(e.Seed)
	r := &Report{}
	for _, p := range []Policy{FleetWide, FirstCome, PerRouter} {
		e.logf("running %s for %v", p, 2*coldStartPhase)
		startCrashes, windowPercent, restartCrashes, l, err := runColdStart(o, p, e.Seed)
		if err != nil {
			return nil, err
		}
		if p != FleetWide {
			r.addBaseline(p, float64(startCrashes), windowPercent, float64(restartCrashes), float64(l.incorrect.Load()), float64(l.failed.Load()))
			continue
		}
		r.addAtMost("overload crashes of model servers after the cold start of all", "", float64(startCrashes), 0)
		r.addAtLeast("concurrency windows 30 s after the cold start of all, sum over all slots", "%", windowPercent, 100)
		r.addAtMost("overload crashes of model servers after three became cold without notice", "", float64(restartCrashes), 0)
		r.addAtMost("responses incomplete without an error, or of another request", "", float64(l.incorrect.Load()), 0)
		// Requests in progress on a model server when it restarts fail; their responses report it.
		r.addFigure("failed requests, not-run excluded", "", float64(l.failed.Load()))
	}
	return r, nil
}

// runColdStart starts all model servers cold under load, and restarts three of them at
// once after coldStartPhase. It returns the overload crashes in each of the two phases
// and the sum of the concurrency windows at the end of the first, in percent of all slots.
func runColdStart(o FleetOptions, p Policy, seed uint64) (startCrashes int, windowPercent float64, restartCrashes int, l *Load, err error) {
	s, err := StartSystem(o, p)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	defer s.Close()
	for _, server := range s.ModelServers {
		server.Crash() // restarts the warm-up, so that it happens under load and not while the system starts
	}
	l = NewLoad(s, o.Customers, seed)
	err = runUnderLoad(l, unevenGroups(o.Customers, len(s.RouterAddresses())), func(context.Context) error {
		time.Sleep(coldStartPhase)
		startCrashes = overloadCrashes(s)
		windowSum := 0
		s.ForEachWindow(func(name string, size, _ int) {
			if name[:len(modelServerPrefix)] == modelServerPrefix {
				windowSum += size
			}
		})
		windowPercent = 100 * float64(windowSum) / float64(o.ModelServers*o.ModelServerOptions.Slots)
		for _, server := range s.ModelServers[:3] {
			server.Crash()
		}
		time.Sleep(coldStartPhase)
		restartCrashes = overloadCrashes(s) - startCrashes
		return nil
	})
	return startCrashes, windowPercent, restartCrashes, l, err
}

// overloadCrashes returns how often model servers crashed because their batch was too large.
func overloadCrashes(s *System) int {
	n := 0
	for _, server := range s.ModelServers {
		n += server.Stats().OverloadCrashes
	}
	return n
}
