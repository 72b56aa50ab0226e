package lab

// This file defines the experiment partition: one zone is cut off from the other zones
// and from the platform under load, and reconnected.

import (
	"context"
	"time"
)

const partitionDuration = 20 * time.Second

// measurePartition runs the experiment partition twice: with connections closed, and
// with connections that stay open but carry nothing.
func measurePartition(e *Env) (*Report, error) {
	o := fairnessOptions(e.Seed)
	o.FaultProxies = true
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	l := NewLoad(s, o.Customers, e.Seed)
	r := &Report{}
	customers := allCustomers(o.Customers)
	err = runUnderLoad(l, unevenGroups(o.Customers, len(s.RouterAddresses())), func(context.Context) error {
		time.Sleep(rampTime)
		for _, state := range []LinkState{LinkBroken, LinkSilent} {
			name := map[LinkState]string{LinkBroken: "broken", LinkSilent: "silent"}[state]
			e.logf("cutting off zone %s, links %s", o.Zones[0], name)
			rateBefore := l.meter.measureServiceRate(5 * time.Second)
			responsesBefore := l.succeeded.Load()
			s.setZoneLinkState(o.Zones[0], state)
			time.Sleep(5 * time.Second)
			requestsBefore := s.firstZoneRequests()
			rateDuring := l.meter.measureServiceRate(partitionDuration - 5*time.Second)
			r.addAtLeast("service per second during the partition, "+name, "% of rate before", 100*rateDuring/rateBefore, 80)
			r.addAtLeast("requests run inside the cut-off zone, "+name, "", float64(s.firstZoneRequests()-requestsBefore), 1)
			s.setZoneLinkState(o.Zones[0], LinkUp)
			reconnected := time.Now()
			r.addAtMost("time until every router is ready and knows all others again, "+name, "s", s.secondsUntilReady(reconnected), 15)
			readyAt := l.meter.lastSampleTime()
			time.Sleep(20 * time.Second)
			r.addAtLeast("Jain's fairness index over the 20 s after reconnection, "+name, "", l.meter.JainIndex(readyAt, customers, equalWeight), 0.95)
			r.addAtLeast("service of the least served customer after reconnection, "+name, "% of mean", l.meter.leastServicePercent(readyAt), 50)
			r.addFigure("complete responses, "+name, "", float64(l.succeeded.Load()-responsesBefore))
		}
		return nil
	})
	r.addAtMost("responses incomplete without an error, or of another request", "", float64(l.incorrect.Load()), 0)
	r.addFigure("failed requests, not-run excluded", "", float64(l.failed.Load()))
	return r, err
}

// setZoneLinkState sets the state of the links between a zone and every other zone, and
// between the zone and the platform.
func (s *System) setZoneLinkState(zone string, state LinkState) {
	for _, other := range s.Options.Zones {
		if other != zone {
			s.SetLinkState(zone, other, state)
		}
	}
	s.SetLinkState(zone, PlatformSide, state)
}

// secondsUntilReady waits until every router is ready and knows all others, at most until
// a minute after start. It returns the seconds since start.
func (s *System) secondsUntilReady(start time.Time) float64 {
	for time.Since(start) < time.Minute {
		if s.Fleet.checkReady() == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start).Seconds()
}
