package rollout_test

// This file tests the verdicts on good and bad versions, and the bounds on what bad ones get, over whole fleets.

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/rollout"
)

// during returns a version that has a fault in a part of the order's time.
func during(from, to float64, fault traffic) traffic {
	return after(from, sound, after(to, fault, sound))
}

// overloaded is a version whose servers fail when one runs more than a number of requests.
func overloaded(most int) traffic {
	return func(f *fleet, route string) (bool, float64) {
		fails, factor := sound(f, route)
		_, servers := f.routers[0].Trial(service)
		if servers == 0 {
			servers = versionServers
		}
		return fails || f.newRunning > most*servers && f.random.Float64() < 0.5, factor
	}
}

// cutOff cuts all links between routers.
func cutOff(*fleet, int, int) bool { return true }

// inHalves cuts the links between two halves of the fleet.
func inHalves(_ *fleet, from, to int) bool { return from%2 != to%2 }

// Guards against a good version that is rolled back or late, and a bad one that is completed or gets more than its bounds.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   rollout.State
		change func(f *fleet)
	}{
		{"good", rollout.Complete, func(*fleet) {}},
		{"good at 20 requests a second", rollout.Complete, func(f *fleet) { f.perSec = 20 }},
		{"good at 5 requests a second", rollout.Complete, func(f *fleet) { f.perSec = 5 }},
		{"good for a minute", rollout.Complete, func(f *fleet) { f.order.Duration, f.perSec = time.Minute, 20 }},
		{"good with long answers", rollout.Complete, func(f *fleet) { f.takes = 2 * time.Second }},
		{"good and slow to start", rollout.Complete, func(f *fleet) { f.new = after(0.1, slowBy(4), sound) }},
		{"good and slower to start", rollout.Complete, func(f *fleet) { f.new = after(0.15, slowBy(4), sound) }},
		{"good beside failing old servers", rollout.Complete, func(f *fleet) { f.old = failing(0.4) }},
		{"good in an outage of both", rollout.Complete, func(f *fleet) { f.new, f.old = during(0.2, 0.4, failing(0.5)), during(0.2, 0.4, failing(0.5)) }},
		{"good in a burst that slows both", rollout.Complete, func(f *fleet) { f.new, f.old = during(0.2, 0.4, slowBy(3)), during(0.2, 0.4, slowBy(3)) }},
		{"good with lost and late reports", rollout.Complete, func(f *fleet) { f.lost, f.delay = 0.5, time.Second }},
		{"failing", rollout.RolledBack, func(f *fleet) { f.new = failing(0.3) }},
		{"failing at once under load", rollout.RolledBack, func(f *fleet) { f.new, f.perSec = failing(1), 2000 }},
		{"failing a little", rollout.RolledBack, func(f *fleet) { f.new = failing(0.15) }},
		{"failing at 20 requests a second", rollout.RolledBack, func(f *fleet) { f.new, f.perSec = failing(0.3), 20 }},
		{"failing at 5 requests a second", rollout.RolledBack, func(f *fleet) { f.new, f.perSec = failing(0.3), 5 }},
		{"failing for a minute", rollout.RolledBack, func(f *fleet) { f.new, f.order.Duration, f.perSec = failing(0.2), time.Minute, 20 }},
		{"failing with lost and late reports", rollout.RolledBack, func(f *fleet) { f.new, f.lost, f.delay = failing(0.3), 0.5, time.Second }},
		{"failing with the fleet in halves", rollout.RolledBack, func(f *fleet) { f.new, f.cut = failing(0.5), inHalves }},
		{"failing like failing old servers", rollout.RolledBack, func(f *fleet) { f.new, f.old = failing(0.4), failing(0.4) }},
		{"failing late", rollout.RolledBack, func(f *fleet) { f.new = after(0.45, sound, failing(0.4)) }},
		{"failing late in a minute", rollout.RolledBack, func(f *fleet) { f.new, f.order.Duration = after(0.4, sound, failing(0.3)), time.Minute }},
		{"failing under load", rollout.RolledBack, func(f *fleet) { f.new = overloaded(3) }},
		{"failing on one route", rollout.RolledBack, func(f *fleet) { f.new = on("other", failing(0.5)) }},
		{"slow", rollout.RolledBack, func(f *fleet) { f.new = slowBy(3) }},
		{"slow at 20 requests a second", rollout.RolledBack, func(f *fleet) { f.new, f.perSec = slowBy(3), 20 }},
		{"slow late", rollout.RolledBack, func(f *fleet) { f.new = after(0.45, sound, slowBy(4)) }},
		{"slow on one route", rollout.RolledBack, func(f *fleet) { f.new = on("flaky", slowBy(4)) }},
	} {
		for _, n := range []int{1, 6} {
			t.Run(fmt.Sprintf("%s at %d", c.name, n), func(t *testing.T) {
				for seed := range uint64(2) {
					f := newFleetWith(t, seed, n, c.change)
					f.run(f.order.Duration + 3*time.Second)
					f.wantVerdict(c.want)
					// While the old servers fail as often, nothing tells that the version is bad: it is only not completed.
					if c.want == rollout.RolledBack && c.name != "failing like failing old servers" {
						f.wantBounds()
					}
					if f.oldAtComplete > 0 && f.status.State == rollout.Complete {
						t.Errorf("old requests at complete: got %d, want 0", f.oldAtComplete)
					}
				}
			})
		}
	}
}

// Guards against bounds that hold in small fleets only.
func TestVerdictsOfLargeFleet(t *testing.T) {
	for _, c := range []struct {
		want rollout.State
		new  traffic
	}{{rollout.Complete, sound}, {rollout.RolledBack, failing(0.3)}, {rollout.RolledBack, slowBy(4)}} {
		f := newFleetWith(t, 1, 90, func(f *fleet) { f.new = c.new })
		f.run(14 * time.Second)
		f.wantVerdict(c.want)
		if c.want == rollout.RolledBack {
			f.wantBounds()
		}
	}
}

// Guards against bounds that are exceeded by routers that hear nothing of each other.
func TestBoundsWithoutReports(t *testing.T) {
	for _, n := range []int{6, 90, 410} {
		for _, share := range []float64{0.3, 1} {
			t.Run(fmt.Sprintf("%d routers, %v failing", n, share), func(t *testing.T) {
				f := newFleetWith(t, 3, n, func(f *fleet) {
					f.cut, f.new, f.perSec, f.period = cutOff, failing(share), 1000, time.Second
					f.away = func(*fleet, int) bool { return true }
				})
				f.run(12 * time.Second)
				f.wantBounds()
			})
		}
	}
}

// Guards against rounding that lets many routers with few requests each exceed the exposure bound.
func TestExposureOverSplits(t *testing.T) {
	for _, n := range []int{1, 90, 410} {
		for _, perSec := range []float64{2, 20, 200} {
			f := newFleetWith(t, uint64(n), n, func(f *fleet) { f.cut, f.perSec, f.period = cutOff, perSec, time.Hour })
			f.away = func(*fleet, int) bool { return true }
			f.new = func(f *fleet, route string) (bool, float64) { return false, 1000 } // no answer in time: no evidence
			f.run(12 * time.Second)
			f.wantBounds()
		}
	}
}

// Guards against a cut-off fleet that rolls a good version back for lack of evidence.
func TestGoodVersionWithoutReports(t *testing.T) {
	for _, n := range []int{6, 30} {
		f := newFleetWith(t, 2, n, func(f *fleet) { f.cut = cutOff })
		f.run(20 * time.Second)
		if got := f.status.State; got == rollout.RolledBack {
			t.Errorf("verdict at %d routers: got %v (%v), want none", n, got, f.reason)
		}
	}
}

// Guards against evidence that lacks the error of a rate that few answers gave.
func TestGoodVersionsOfManySeeds(t *testing.T) {
	wrong := 0
	const orders = 100
	for seed := range uint64(orders) {
		f := newFleetWith(t, 100+seed, 2, func(f *fleet) { f.perSec = 50 })
		f.run(15 * time.Second)
		if f.status.State != rollout.Complete || f.writtenAt.Sub(start) > f.order.Duration {
			wrong++
			t.Logf("seed %d: %v (%v) after %v", seed, f.status.State, f.reason, f.writtenAt.Sub(start))
		}
	}
	if want := orders / 100; wrong > want {
		t.Errorf("good versions not complete by the deadline: got %d of %d, want at most %d", wrong, orders, want)
	}
}
