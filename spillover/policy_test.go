package spillover_test

// This file tests the decisions of single policies.

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/spillover"
)

const interval = 100 * time.Millisecond

var start = time.Unix(1_800_000_000, 0)

// newView returns what a router of zone "a" knows of three zones with ten servers of 16 slots each, at a utilization of 0.2.
func newView() *spillover.View {
	v := &spillover.View{Home: "a", Versions: 1, Routers: 12, Interval: interval, TieMarginMs: 10}
	for _, name := range []string{"a", "b", "c"} {
		v.Zones = append(v.Zones, spillover.ZoneLoad{Name: name, Servers: 10, RoleServers: 10, Free: 104, Utilization: 0.2, Heard: true})
	}
	return v
}

// update updates a policy for a number of periods from now on, and returns the time afterwards.
func update(p *spillover.Policy, now time.Time, v *spillover.View, periods int) time.Time {
	for range periods {
		p.Update(now, v)
		now = now.Add(spillover.Period(v.Interval))
	}
	return now
}

// Fails if requests leave a zone that has room for them, or stay in one that is full.
func TestPriceFollowsUtilizationOfHome(t *testing.T) {
	for _, c := range []struct {
		utilization float64
		state       spillover.State
		least, most float64
	}{{0.1, spillover.Room, 30, 30}, {0.6, spillover.Filling, 10, 20}, {0.8, spillover.Full, 3, 3}} {
		var p spillover.Policy
		v := newView()
		v.Zones[0].Utilization = c.utilization
		update(&p, start, v, 200)
		if got := p.PriceMs(); p.State() != c.state || got < c.least || got > c.most {
			t.Errorf("got state %s and price %v at utilization %v, want %s and %v to %v", p.State(), got, c.utilization, c.state, c.least, c.most)
		}
	}
}

// Fails if a request with a short objective waits at home for most of it.
func TestPriceIsSmallPartOfObjective(t *testing.T) {
	var p spillover.Policy
	update(&p, start, newView(), 200)
	if got, want := p.PriceFor(400*time.Millisecond, 0.5), 30.0; got != want {
		t.Errorf("got %v ms for an objective of 400 ms, want %v", got, want)
	}
	if got, want := p.PriceFor(120*time.Millisecond, 0), 12.0; got != want {
		t.Errorf("got %v ms for an objective of 120 ms, want %v", got, want)
	}
	if got, want := p.PriceFor(time.Millisecond, 0), spillover.MinPriceMs; got != want {
		t.Errorf("got %v ms for an objective of 1 ms, want %v", got, want)
	}
}

// Fails if the policy sets a price or a bound where a deployment must be served as without it.
func TestPolicyIsOffWhereItCouldDoHarm(t *testing.T) {
	for want, change := range map[spillover.State]func(v *spillover.View){
		spillover.OneZone:         func(v *spillover.View) { v.Zones[1].Servers, v.Zones[2].Servers = 0, 0 },
		spillover.FewHomeServers:  func(v *spillover.View) { v.Zones[0].RoleServers = 2 },
		spillover.SeveralVersions: func(v *spillover.View) { v.Versions = 2 },
		spillover.Unheard: func(v *spillover.View) {
			for i := range v.Zones {
				v.Zones[i].ReportAge = 2 * time.Second
			}
		},
		spillover.AllFull: func(v *spillover.View) {
			for i := range v.Zones {
				v.Zones[i].Utilization, v.Zones[i].Free = 0.8, 0
			}
		},
	} {
		var p spillover.Policy
		v := newView()
		now := update(&p, start, v, 200)
		change(v)
		update(&p, now, v, 1)
		if p.State() != want || p.On() || p.PriceMs() != spillover.MinPriceMs || !p.Allows("b", 1000, false) {
			t.Errorf("got state %s, price %v and a bound %v, want %s, the least price and no bound", p.State(), p.PriceMs(), !p.Allows("b", 1000, false), want)
		}
	}
}

// Fails if a router that no longer hears its own zone takes home for idle, since it knows the load of its own requests only.
func TestPolicyIsOffWhereHomeIsNotHeard(t *testing.T) {
	var p spillover.Policy
	v := newView()
	now := update(&p, start, v, 200)
	v.Zones[0].ReportAge = 2 * time.Second
	update(&p, now, v, 1)
	if got, want := p.State(), spillover.Unheard; got != want || p.On() {
		t.Errorf("got state %s, want %s", got, want)
	}
}

// Fails if a sudden change of the load moves all routers to another price at once.
func TestPriceMovesByBoundedSteps(t *testing.T) {
	var p spillover.Policy
	v := newView()
	now, before := start, p.PriceMs()
	for i := range 40 {
		v.Zones[0].Utilization = 0.1
		if i%10 >= 5 {
			v.Zones[0].Utilization = 0.9
		}
		now = update(&p, now, v, 1)
		if got, want := p.PriceMs()-before, (30.0-3)/24+1e-9; got > want || got < -want {
			t.Fatalf("got a change of %v ms in a period, want at most %v", got, want)
		}
		before = p.PriceMs()
	}
}

// Fails if noise in the utilization of home moves the price.
func TestPriceIgnoresSmallChanges(t *testing.T) {
	var p spillover.Policy
	v := newView()
	v.Zones[0].Utilization = 0.6
	now := update(&p, start, v, 200)
	before := p.PriceMs()
	for i := range 10 {
		v.Zones[0].Utilization = 0.592 + 0.016*float64(i%2)
		now = update(&p, now, v, 1)
		if got := p.PriceMs(); got != before {
			t.Fatalf("got price %v after a small change, want %v", got, before)
		}
	}
}

// Fails if the routers together exceed a zone's free capacity in a period, however it is split.
func TestSumOverRoutersIsWithinFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 410).Draw(t, "routers")
		free := rapid.Float64Range(1, 5000).Draw(t, "free")
		at := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time")))
		sum := 0
		for rank := range routers {
			var p spillover.Policy
			v := newView()
			v.Routers, v.Rank, v.Zones[1].Free, v.Zones[1].Running = routers, rank, free, rank%3
			p.Update(at, v)
			running := v.Zones[1].Running
			for p.Allows("b", running, false) {
				running++
			}
			sum += running - v.Zones[1].Running
		}
		if float64(sum) > free/2+1 {
			t.Fatalf("got %d requests of %d routers in a period, want at most half of %v", sum, routers, free)
		}
	})
}

// Fails if the remainder of a split always goes to the same routers, so that the others send nothing for long.
func TestEachRouterGetsSmallParts(t *testing.T) {
	for rank := range 40 {
		var p spillover.Policy
		v := newView()
		v.Routers, v.Rank, v.Zones[1].Free = 40, rank, 16 // 8 requests a period for 40 routers
		now, sum := start, 0
		for range 50 {
			now = update(&p, now, v, 1)
			if p.Allows("b", 0, false) {
				sum++
			}
		}
		if sum < 5 || sum > 15 {
			t.Errorf("got %d requests of rank %d in 50 periods, want about 10", sum, rank)
		}
	}
}

// Fails if requests spill over to a zone that is cut off, out of service or cold, or if it gets its whole part as soon as it
// is back.
func TestZoneThatIsBackGetsLittleAtFirst(t *testing.T) {
	for name, close := range map[string]func(z *spillover.ZoneLoad){
		"cut off":        func(z *spillover.ZoneLoad) { z.ReportAge = 2 * time.Second },
		"out of service": func(z *spillover.ZoneLoad) { z.OutOfService = true },
		"cold":           func(z *spillover.ZoneLoad) { z.Servers, z.RoleServers, z.Free = 0, 0, 0 },
	} {
		var p spillover.Policy
		v := newView()
		open := v.Zones[1]
		now := update(&p, start, v, 5)
		full := allowed(&p)
		close(&v.Zones[1])
		now = update(&p, now, v, 2)
		if got := allowed(&p); got != 0 {
			t.Errorf("got %d requests allowed while the zone is %s, want 0", got, name)
		}
		v.Zones[1] = open
		now = update(&p, now, v, 2)
		if got := allowed(&p); got > full/4 {
			t.Errorf("got %d requests allowed after the zone was %s, want at most %d", got, name, full/4)
		}
		update(&p, now, v, 20)
		if got := allowed(&p); got < full-1 || got > full+1 {
			t.Errorf("got %d requests allowed long after the zone was %s, want about %d", got, name, full)
		}
	}
}

// allowed returns how many requests may be in flight in zone "b".
func allowed(p *spillover.Policy) (n int) {
	for n < 1000 && p.Allows("b", n, false) {
		n++
	}
	return n
}

// Fails if a customer above its fair share takes the whole part, so that the others are held.
func TestSpareRequestsLeavePartToOthers(t *testing.T) {
	var p spillover.Policy
	update(&p, start, newView(), 1)
	most := allowed(&p)
	if p.Allows("b", most/2+1, true) || !p.Allows("b", most/2+1, false) {
		t.Errorf("got the same bound for spare requests, want them held at half of %d", most)
	}
}

// Fails if a zone whose routers are gone for good, while its servers work, is never used again.
func TestLongSilentZoneIsNotBounded(t *testing.T) {
	var p spillover.Policy
	v := newView()
	v.Zones[1].ReportAge = 11 * time.Second
	update(&p, start, v, 1)
	if !p.Allows("b", 1000, false) {
		t.Error("got a bound on a zone that has been silent for 11 s, want none")
	}
}

// Fails if more requests spill over to a zone without free capacity, or if those that run there end at once, so that all come home together.
func TestFullZoneGetsNoMore(t *testing.T) {
	var p spillover.Policy
	v := newView()
	v.Zones[1].Free, v.Zones[1].Utilization, v.Zones[1].Running = 0, 0.96, 64
	update(&p, start, v, 1)
	if got, want := allowed(&p), 64; got != want {
		t.Errorf("got %d requests allowed in a full zone with 64 in flight, want %d", got, want)
	}
}

// reportingZone is a zone of simulated load: its use is known to routers only by the report of two steps ago.
type reportingZone struct {
	capacity float64
	use      []int // by step
}

// Fails if many routers that act on old reports overfill a zone together, or if what they send there swings for ever.
func TestRoutersOnOldReportsNeitherHerdNorOscillate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(6, 150).Draw(t, "routers")
		wanted := rapid.IntRange(1, 5).Draw(t, "requests wanted by each router")
		zone := reportingZone{capacity: float64(rapid.IntRange(20, 400).Draw(t, "capacity"))}
		policies, running := make([]spillover.Policy, routers), make([]int, routers)
		now := start
		for step := range 60 {
			known := 0
			if step >= 2 {
				known = zone.use[step-2]
			}
			use := 0
			for i := range policies {
				v := newView()
				v.Routers, v.Rank, v.Zones[0].Utilization = routers, i, 0.9
				v.Zones[1].Free, v.Zones[1].Utilization, v.Zones[1].Running = max(0, zone.capacity-float64(known)), min(1, float64(known)/zone.capacity)*0.7, running[i]
				policies[i].Update(now, v)
				for running[i] < wanted && policies[i].Allows("b", running[i], false) {
					running[i]++
				}
				use += running[i]
			}
			zone.use = append(zone.use, use)
			if most := zone.capacity*1.25 + 3; float64(use) > most {
				t.Fatalf("got %d requests at step %d, want at most %v for a capacity of %v", use, step, most, zone.capacity)
			}
			now = now.Add(spillover.Period(interval))
		}
		least, most := slices.Min(zone.use[40:]), slices.Max(zone.use[40:])
		if float64(most-least) > 0.2*zone.capacity+2 {
			t.Fatalf("got between %d and %d requests in the last 20 steps, want a steady number for a capacity of %v", least, most, zone.capacity)
		}
	})
}

// Measures a decision for one request: the price and the bounds of 24 zones.
func BenchmarkDecision(b *testing.B) {
	var p spillover.Policy
	v := newView()
	for len(v.Zones) < 24 {
		z := v.Zones[1]
		z.Name = string(rune('a' + len(v.Zones)))
		v.Zones = append(v.Zones, z)
	}
	update(&p, start, v, 5)
	b.ReportAllocs()
	for b.Loop() {
		p.PriceFor(400*time.Millisecond, 0.5)
		for i := range v.Zones {
			p.Allows(v.Zones[i].Name, 2, false)
		}
	}
}

// Measures the update of a period with three zones.
func BenchmarkUpdate(b *testing.B) {
	var p spillover.Policy
	v := newView()
	update(&p, start, v, 5)
	b.ReportAllocs()
	for b.Loop() {
		p.Update(start, v)
	}
}
