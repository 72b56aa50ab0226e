package lab

// This file defines the experiment partition: one zone is cut off from the others
// and from the platform under load, and rejoins.

import (
	"context"
	"time"
)

const partTime = 20 * time.Second

func partition(e *Env) (*Report, error) {
	o := fairnessOptions(e.Seed)
	o.Wires = true
	s, err := StartSystem(o, Ours)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	l := NewLoad(s, o.Customers, e.Seed)
	r := &Report{}
	customers := allCustomers(o.Customers)
	err = under(l, unevenGroups(o.Customers, len(s.Addresses())), func(context.Context) error {
		time.Sleep(rampTime)
		for _, c := range []Cut{Broken, Silent} {
			name := map[Cut]string{Broken: "broken", Silent: "silent"}[c]
			e.say("zone %s cut off, links %s", o.Zones[0], name)
			whole := l.meter.rateOver(5 * time.Second)
			good := l.good.Load()
			s.cutOff(o.Zones[0], c)
			time.Sleep(5 * time.Second)
			inside := s.zoneRequests()
			cut := l.meter.rateOver(partTime - 5*time.Second)
			r.atLeast("service while cut off, "+name, "% of whole", 100*cut/whole, 80)
			r.atLeast("requests run inside the cut-off zone, "+name, "", float64(s.zoneRequests()-inside), 1)
			s.cutOff(o.Zones[0], Whole)
			healed := time.Now()
			r.atMost("seconds until every router knows all again, "+name, "s", s.knowsAll(healed), 15)
			at := l.meter.now()
			time.Sleep(20 * time.Second)
			r.atLeast("Jain's index over the 20 s after rejoining, "+name, "", l.meter.Jain(at, customers, equal), 0.95)
			r.atLeast("least service of a customer after rejoining, "+name, "% of mean", l.meter.least(at), 50)
			r.figure("answers, "+name, "", float64(l.good.Load()-good))
		}
		return nil
	})
	r.atMost("answers that were not whole or not own", "", float64(l.wrong.Load()), 0)
	r.figure("requests that failed with an outcome", "", float64(l.bad.Load()))
	return r, err
}

// cutOff cuts, silences or heals all that lies between a zone and the rest.
func (s *System) cutOff(zone string, c Cut) {
	for _, z := range s.Options.Zones {
		if z != zone {
			s.Partition(zone, z, c)
		}
	}
	s.Partition(zone, PlatformSide, c)
}

// knowsAll waits until every router knows every other again.
func (s *System) knowsAll(since time.Time) float64 {
	for time.Since(since) < time.Minute {
		if s.Fleet.ready() == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(since).Seconds()
}
