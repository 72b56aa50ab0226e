package lab

// This file defines the experiment coldstart: engines start cold under full load
// and turn cold again without warning.

import (
	"context"
	"time"
)

const coldRun = 30 * time.Second

func coldstart(e *Env) (*Report, error) {
	o := Today(e.Seed)
	r := &Report{}
	for _, p := range []Policy{Ours, FirstCome, PerRouter} {
		e.say("running %s for %v", p, 2*coldRun)
		fell, full, again, l, err := runColdstart(o, p, e.Seed)
		if err != nil {
			return nil, err
		}
		if p != Ours {
			r.baseline(p, float64(fell), full, float64(again), float64(l.wrong.Load()), float64(l.bad.Load()))
			continue
		}
		r.atMost("engines that fell over after a cold start", "", float64(fell), 0)
		r.atLeast("admitted slots of full windows 30 s after a healthy start", "%", full, 100)
		r.atMost("engines that fell over after turning cold unannounced", "", float64(again), 0)
		r.atMost("answers that were not whole or not own", "", float64(l.wrong.Load()), 0)
		r.figure("answers cut off by an engine's restart, and said so", "", float64(l.bad.Load()))
	}
	return r, nil
}

// runColdstart counts how many engines fell over at their start, and after three
// of them restarted at once under load.
func runColdstart(o FleetOptions, p Policy, seed uint64) (fell int, full float64, again int, l *Load, err error) {
	s, err := StartSystem(o, p)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	defer s.Close()
	for _, x := range s.Engines {
		x.Crash() // its start under load, not while the laboratory was built
	}
	l = NewLoad(s, o.Customers, seed)
	err = under(l, unevenGroups(o.Customers, len(s.Addresses())), func(context.Context) error {
		time.Sleep(coldRun)
		fell = fellOver(s)
		window := 0
		s.Windows(func(name string, size, _ int) {
			if name[:len(enginePrefix)] == enginePrefix {
				window += size
			}
		})
		full = 100 * float64(window) / float64(o.Engines*o.Engine.Slots)
		for _, x := range s.Engines[:3] {
			x.Crash()
		}
		time.Sleep(coldRun)
		again = fellOver(s) - fell
		return nil
	})
	return fell, full, again, l, err
}

func fellOver(s *System) int {
	n := 0
	for _, x := range s.Engines {
		n += x.Stats().FellOver
	}
	return n
}
