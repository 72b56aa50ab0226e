package lab

// This file defines the experiment spread: how long a change takes from its
// acceptance to being in force on every live router.

import (
	"fmt"
	"sync"
	"time"

	"bulrushtally/config"
	"bulrushtally/operator"
)

const (
	spreadChanges = 300
	spreadRate    = 20 // changes per second
)

func spread(e *Env) (*Report, error) {
	r := &Report{}
	for _, n := range []struct{ zones, perZone int }{{3, 2}, {24, 4}} {
		e.say("%d changes at %d a second on %d nodes", spreadChanges, spreadRate, n.zones*n.perZone)
		if err := spreadOver(e, r, n.zones, n.perZone); err != nil {
			return r, err
		}
	}
	return r, nil
}

// arrivals records when each router first held each revision.
type arrivals struct {
	mu sync.Mutex
	at map[uint64][]time.Time
}

func spreadOver(e *Env, r *Report, zones, perZone int) error {
	o := Today(e.Seed)
	o.Zones, o.RoutersPerZone, o.Engines, o.Plains, o.Customers = zoneNames(zones), perZone, zones, 0, 4
	s, err := StartSystem(o, Ours)
	if err != nil {
		return err
	}
	defer s.Close()
	a := &arrivals{at: map[uint64][]time.Time{}}
	for _, x := range s.Routers {
		last := x.Store().View().Revision()
		x.Store().Watch(func(v *config.View) {
			now := time.Now()
			a.mu.Lock()
			defer a.mu.Unlock()
			for ; last < v.Revision(); last++ {
				a.at[last+1] = append(a.at[last+1], now)
			}
		})
	}
	before := s.Platform.Stats()
	accepted := map[uint64]time.Time{}
	t := time.NewTicker(time.Second / spreadRate)
	defer t.Stop()
	began := time.Now()
	for i := range spreadChanges {
		<-t.C
		c := operator.NewClient("http://"+s.Routers[i%len(s.Routers)].Address(), OperatorKey)
		change := operator.LabelChange{Set: map[string]string{"n": fmt.Sprint(i)}}
		acc, err := c.Label(config.KindCustomer, Customer(i%4), change, operator.How{Version: "*"})
		if err != nil {
			return err
		}
		accepted[acc.Change.Revision] = time.Now()
	}
	took := time.Since(began).Seconds()
	after := s.Platform.Stats()
	time.Sleep(6 * time.Second)
	return a.report(r, len(s.Routers), accepted, took, before.Reads, after.Reads, before.Writes, after.Writes)
}

func (a *arrivals) report(r *Report, nodes int, accepted map[uint64]time.Time, took float64, reads0, reads1, writes0, writes1 int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := newHistogram()
	missing := 0
	for revision, when := range accepted {
		list := a.at[revision]
		missing += nodes - len(list)
		for _, at := range list {
			h.RecordValue(max(1, at.Sub(when).Microseconds()))
		}
	}
	name := fmt.Sprintf("%d nodes: ", nodes)
	target := 1000.0
	if nodes > 6 {
		target = 5000
	}
	r.atMost(name+"acceptance to in force p99", "ms", float64(h.ValueAtQuantile(99))/1000, target)
	r.atMost(name+"acceptance to in force, most", "ms", float64(h.Max())/1000, 5000)
	r.atMost(name+"changes that some router never held", "", float64(missing), 0)
	r.figure(name+"changes a second", "1/s", float64(len(accepted))/took)
	r.atMost(name+"table reads", "1/s", float64(reads1-reads0)/took, 2000)
	r.atMost(name+"table writes", "1/s", float64(writes1-writes0)/took, 500)
	return nil
}
