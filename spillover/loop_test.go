package spillover_test

// This file tests the price in the loop that it closes: it moves requests between zones, and follows the load that they cause there.

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/spillover"
)

// loop is zones whose routers all act alike on reports that are some periods old, which is the worst case for a herd. Load is in
// parts of a zone's capacity.
type loop struct {
	demand   []float64 // by zone, what its callers would keep in use
	duration int       // of a request in periods
	delay    int       // of reports in periods
	policies []spillover.Policy
	flows    [][]float64 // by step and zone, requests that began
	use      [][]float64 // by step and zone
}

// step lets one period pass.
func (l *loop) step() {
	now := start.Add(time.Duration(len(l.use)) * spillover.Period(interval))
	known := make([]float64, len(l.demand))
	if n := len(l.use); n > l.delay {
		known = l.use[n-1-l.delay]
	}
	flow := make([]float64, len(l.demand))
	for home := range l.policies {
		v := newView()
		v.Home = v.Zones[home].Name
		for i := range v.Zones {
			v.Zones[i].Utilization = min(1, known[i])
			v.Zones[i].Free = 160 * max(0, 0.95-known[i])
		}
		p := &l.policies[home]
		p.Update(now, v)
		stay := (p.PriceMs() - spillover.MinPriceMs) / (30 - spillover.MinPriceMs)
		arrivals := l.demand[home] / float64(l.duration)
		for i := range flow {
			flow[i] += arrivals * (1 - stay) / float64(len(flow))
		}
		flow[home] += arrivals * stay
	}
	l.flows = append(l.flows, flow)
	use := make([]float64, len(flow))
	for _, f := range l.flows[max(0, len(l.flows)-l.duration):] {
		for i := range use {
			use[i] += f[i]
		}
	}
	l.use = append(l.use, use)
}

// Fails if the loads of zones swing for ever since all routers follow the same old reports, or if an uneven demand fills a zone while
// another one has room.
func TestLoadsOfZonesSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &loop{duration: rapid.IntRange(1, 30).Draw(t, "duration"), delay: rapid.IntRange(0, 2).Draw(t, "delay"), policies: make([]spillover.Policy, 3)}
		for range l.policies {
			l.demand = append(l.demand, rapid.Float64Range(0.05, 1.4).Draw(t, "demand"))
		}
		total := l.demand[0] + l.demand[1] + l.demand[2]
		if total > 2.4 {
			t.Skip("the zones are too full for a policy")
		}
		const steps, settled = 400, 300
		for range steps {
			l.step()
		}
		for zone := range l.demand {
			var use []float64
			for _, u := range l.use[settled:] {
				use = append(use, u[zone])
			}
			least, most := slices.Min(use), slices.Max(use)
			if most-least > 0.15 {
				t.Fatalf("got a use of zone %d between %.2f and %.2f after %d periods, want it steady", zone, least, most, settled)
			}
			if most > 0.95 {
				t.Fatalf("got a use of %.2f in zone %d at a total of %.2f, want room in it", most, zone, total)
			}
		}
	})
}
