package serverstatus_test

// This file defines fleet, which simulates routers that tell each other of servers that leave, without a network and in
// simulated time.

import (
	"math/rand/v2"
	"time"

	"bulrushtally/serverstatus"
)

// fleet is routers in zones, of which the first ones each send for their zone.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	zones   int
	routers []*serverstatus.Register
	reports int // that were sent to a router
}

func newFleet(seed uint64, routers, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), zones: zones}
	for range routers {
		f.routers = append(f.routers, serverstatus.NewRegister())
	}
	return f
}

// pass lets time pass: routers exchange reports, of which a fraction is lost.
func (f *fleet) pass(d time.Duration, lost float64) {
	const period = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(period) {
		for j, from := range f.routers {
			own := from.Reports(f.now, serverstatus.Zone)
			var zone []serverstatus.Report
			if j < f.zones {
				zone = from.Reports(f.now, serverstatus.OtherZones)
			}
			for i, to := range f.routers {
				sameZone := i%f.zones == j%f.zones
				told := zone
				if sameZone {
					told = own
				}
				if i == j || len(told) == 0 {
					continue
				}
				f.reports += len(told)
				if f.random.Float64() >= lost {
					to.Merge(f.now, told, sameZone)
				}
			}
		}
	}
}

// staying returns how many routers take the server to stay.
func (f *fleet) staying(id string) (n int) {
	for _, r := range f.routers {
		if !r.Of(id).Leaving(f.now) {
			n++
		}
	}
	return n
}
