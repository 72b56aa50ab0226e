package lab

// This file defines the experiment zonechange: a zone is taken out of service under load
// and returned to service.

import (
	"context"
	"time"

	"bulrushtally/config"
)

const (
	zoneDrainTime   = 3 * time.Second  // after this, a zone out of service must get no new requests
	zonePhase       = 12 * time.Second // measured time with the zone in service, and without it
	zoneReturnLimit = 60 * time.Second // within this, a returned zone must have its share of requests again
)

// moderateGroups returns load that two zones of three can sustain.
func moderateGroups(customers, routers int) []CallerGroup {
	var groups []CallerGroup
	for i := range customers {
		groups = append(groups, CallerGroup{
			Customer: i, Callers: 3, Routers: []int{i % routers, (i + 1) % routers}, MaxTokens: 48, PromptBytes: promptBytes, MeanPause: 250 * time.Millisecond,
		})
	}
	return groups
}

// measureZoneChange runs the experiment zonechange.
func measureZoneChange(e *Env) (*Report, error) {
	s, err := startWarmSystem(e.Seed)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r := &Report{}
	l := NewLoad(s, s.Options.Customers, e.Seed)
	if err := warmUp(s, e.Seed+1); err != nil {
		return nil, err
	}
	err = runUnderLoad(l, moderateGroups(s.Options.Customers, len(s.RouterAddresses())), func(context.Context) error { return s.removeAndRestoreZone(e, l, r) })
	r.addAtMost("failed requests, interrupted ones included, not-run excluded", "", float64(l.failed.Load()), 0)
	return r, err
}

// removeAndRestoreZone takes the first zone out of service, returns it to service, and
// adds the figures to r.
func (s *System) removeAndRestoreZone(e *Env, l *Load, r *Report) error {
	zone := s.Options.Zones[0]
	time.Sleep(2 * time.Second)
	l.Reset()
	e.logf("all zones in service for %v", zonePhase)
	requestsBefore := s.firstZoneRequests()
	time.Sleep(zonePhase)
	requestsPerSecond := float64(s.firstZoneRequests()-requestsBefore) / zonePhase.Seconds()
	p95InService := l.FirstTokenPercentile(-1, 95)
	e.logf("taking zone %s out of service", zone)
	failed := l.failed.Load()
	outOfService := &config.Object{Kind: config.KindZone, Name: zone, Labels: map[string]string{config.LabelZoneService: "out"}}
	if err := s.CommitChange(config.ChangeRequest{Object: outOfService, AnyVersion: true}); err != nil {
		return err
	}
	time.Sleep(zoneDrainTime)
	requestsAfterDrain := s.firstZoneRequests()
	l.Reset()
	time.Sleep(zonePhase)
	r.addAtMost("requests sent to the zone from 3 s after its removal was accepted", "", float64(s.firstZoneRequests()-requestsAfterDrain), 0)
	p95OutOfService := l.FirstTokenPercentile(-1, 95)
	r.addFigure("time to first token p95, zone in service", "ms", milliseconds(p95InService))
	r.addFigure("time to first token p95, zone out of service", "ms", milliseconds(p95OutOfService))
	r.addAtMost("ratio of p95 with the zone out of service to p95 in service", "", float64(p95OutOfService)/float64(p95InService), 1.2)
	e.logf("returning zone %s to service", zone)
	if err := s.CommitChange(config.ChangeRequest{Object: &config.Object{Kind: config.KindZone, Name: zone}, AnyVersion: true}); err != nil {
		return err
	}
	r.addAtMost("time until the zone has 90 % of its share of requests again", "s", s.secondsUntilShareRegained(requestsPerSecond), zoneReturnLimit.Seconds())
	l.failed.Add(failed) // add those from before the counters were reset
	return nil
}

// firstZoneRequests returns how many requests the first zone's model servers have received.
func (s *System) firstZoneRequests() int {
	n := 0
	for i := 0; i < len(s.ModelServers); i += len(s.Options.Zones) {
		n += s.ModelServers[i].Stats().Requests
	}
	return n
}

// secondsUntilShareRegained waits until the first zone receives nine tenths of a rate of
// requests again, at most about zoneReturnLimit, and returns the seconds that this took.
func (s *System) secondsUntilShareRegained(requestsPerSecond float64) float64 {
	const step = 2 * time.Second
	start := time.Now()
	for time.Since(start) < zoneReturnLimit {
		before := s.firstZoneRequests()
		time.Sleep(step)
		if float64(s.firstZoneRequests()-before)/step.Seconds() >= 0.9*requestsPerSecond {
			break
		}
	}
	return time.Since(start).Seconds()
}
