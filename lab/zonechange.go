package lab

// This file defines the experiment zonechange: a zone goes out of service under
// load and returns.

import (
	"context"
	"time"

	"bulrushtally/config"
)

const (
	zoneSettle = 3 * time.Second // after which a zone must get nothing new
	zoneStay   = 12 * time.Second
	zoneReturn = 60 * time.Second // in which its share must be back
)

// zoneGroups is load that two zones of three can carry.
func zoneGroups(customers, routers int) []Group {
	var list []Group
	for i := range customers {
		list = append(list, Group{
			Customer: i, Callers: 3, Routers: []int{i % routers, (i + 1) % routers}, MaxTokens: 48, Prompt: promptBytes, Pause: 250 * time.Millisecond,
		})
	}
	return list
}

func zonechange(e *Env) (*Report, error) {
	s, err := startWarm(e.Seed)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	r := &Report{}
	l := NewLoad(s, s.Options.Customers, e.Seed)
	if err := warmUp(s, e.Seed+1); err != nil {
		return nil, err
	}
	err = under(l, zoneGroups(s.Options.Customers, len(s.Addresses())), func(context.Context) error { return s.zoneOutAndIn(e, l, r) })
	r.atMost("bad answers, none cut off", "", float64(l.bad.Load()), 0)
	return r, err
}

func (s *System) zoneOutAndIn(e *Env, l *Load, r *Report) error {
	zone := s.Options.Zones[0]
	time.Sleep(2 * time.Second)
	l.Reset()
	e.say("steady for %v", zoneStay)
	before := s.zoneRequests()
	time.Sleep(zoneStay)
	share := float64(s.zoneRequests()-before) / zoneStay.Seconds()
	steady := l.FirstToken(-1, 95)
	e.say("zone %s out", zone)
	bad := l.bad.Load()
	out := &config.Object{Kind: config.KindZone, Name: zone, Labels: map[string]string{config.LabelState: "out"}}
	if err := s.Apply(config.Wish{Object: out, Any: true}); err != nil {
		return err
	}
	time.Sleep(zoneSettle)
	quiet := s.zoneRequests()
	l.Reset()
	time.Sleep(zoneStay)
	r.atMost("new requests in the zone from 3 s after acceptance", "", float64(s.zoneRequests()-quiet), 0)
	away := l.FirstToken(-1, 95)
	r.figure("first token p95, steady", "ms", ms(steady))
	r.figure("first token p95, zone out", "ms", ms(away))
	r.atMost("zone out over steady", "", float64(away)/float64(steady), 1.2)
	e.say("zone %s back in", zone)
	if err := s.Apply(config.Wish{Object: &config.Object{Kind: config.KindZone, Name: zone}, Any: true}); err != nil {
		return err
	}
	r.atMost("seconds until the zone's share is back", "s", s.shareBack(share), zoneReturn.Seconds())
	l.bad.Add(bad)
	return nil
}

// zoneRequests returns how many requests the first zone's engines were sent.
func (s *System) zoneRequests() int {
	n := 0
	for i := 0; i < len(s.Engines); i += len(s.Options.Zones) {
		n += s.Engines[i].Stats().Requests
	}
	return n
}

// shareBack waits until the first zone gets nine tenths of its share of requests.
func (s *System) shareBack(share float64) float64 {
	const step = 2 * time.Second
	began := time.Now()
	for time.Since(began) < zoneReturn {
		was := s.zoneRequests()
		time.Sleep(step)
		if float64(s.zoneRequests()-was)/step.Seconds() >= 0.9*share {
			break
		}
	}
	return time.Since(began).Seconds()
}
