package placement_test

// This file tests what callers of one router get that takes much more than the others while its zone is full.

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushtally/placement"
	"bulrushtally/route"
	"bulrushtally/spillover"
)

// runningGrant is a request that a server runs, and when it was sent.
type runningGrant struct {
	*placement.Grant
	sentAt time.Duration
}

// sleep lets simulated time pass.
func (f *zoneFleet) sleep(d time.Duration) {
	time.Sleep(d)
	f.now = time.Now()
}

// playBusyRouter has one of 86 routers take some requests a second for 20 s, each of which lasts a time. By the reports, the
// servers of its zone are full, and those of the other zones run others requests each. It returns how many were served at once. It
// has to be called in simulated time, since Admit reads the clock.
func playBusyRouter(perSecond, others int, lasts time.Duration) (served, refused int) {
	const routers, servers, interval, step = 86, 90, 172 * time.Millisecond, 50 * time.Millisecond
	f := &zoneFleet{now: time.Now(), server: map[string]string{}, sent: make([][2]int, 1)}
	table := route.New(1, nil, []*route.Service{{Name: "models", Slots: 16, KVCapacity: 4440000, ColdTime: 3 * time.Second, ColdPerSecond: 23}}, nil, route.Limits{})
	p := placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: routers, Now: f.now})
	p.Configure(table)
	p.SetRouters(routers, 7, interval)
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		f.server[id] = zones[i%len(zones)]
		p.SetServer(f.now, placement.ServerEntry{ID: id, Service: "models", Address: "127.0.0.1:1", Zone: f.server[id], Slots: 16, Version: "v1"})
	}
	f.routers, f.zones = []*placement.Placement{p}, []string{"zone-a"}
	report := func() {
		f.fill("zone-a", 16)
		for _, zone := range []string{"zone-b", "zone-c"} {
			f.fill(zone, others)
			p.ApplySummary(f.now, &placement.Summary{Router: zone, Incarnation: 1, Zone: zone, ZoneRouters: 28})
		}
	}
	for range 200 { // until the policy follows the load
		f.sleep(spillover.Period(interval))
		report()
		p.Tick(f.now)
	}
	var running []runningGrant
	owed, nextReport := 0.0, time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += step {
		f.sleep(step)
		if at >= nextReport {
			report()
			nextReport += interval
		}
		p.Tick(f.now)
		for len(running) > 0 && at-running[0].sentAt >= lasts {
			running[0].End(time.Now(), placement.Done)
			running = running[1:]
		}
		for owed += float64(perSecond) * step.Seconds(); owed >= 1; owed-- {
			if g := f.send(0, newRequest("a", 10)); g != nil {
				served++
				running = append(running, runningGrant{g, at})
				continue
			}
			refused++
		}
	}
	return served, refused
}

// Fails if the equal parts of the bound have callers of one busy router refused while the servers of other zones are half idle.
func TestBusyRouterOfAFullZoneUsesOtherZones(t *testing.T) {
	for _, others := range []int{2, 8} {
		for _, lasts := range []time.Duration{time.Second, 4 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				if served, refused := playBusyRouter(40, others, lasts); refused > served/100 {
					t.Errorf("other zones run %d of 16, requests last %v: got %d of %d requests refused, want 1 of 100 at most", others, lasts, refused, served+refused)
				}
			})
		}
	}
}

// Fails if a request right after the servers were listed finds the roles of a moment before, when there were too few of them to
// prefill for each other.
func TestServersThatAreListedTakeTheirRolesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlacement(modelServices(true), 1, 2)
		p.Tick(time.Now()) // assigns roles, too
		for _, id := range []string{"i-2", "i-3"} {
			p.SetServer(time.Now(), placement.ServerEntry{ID: id, Service: "models", Address: "127.0.0.1:1", Zone: "zone-a", Slots: 64, Version: "v1"})
		}
		g, refusal := admitWithoutWaiting(p, newRequest("a", 20000))
		if g == nil {
			t.Fatalf("got %v, want a server", refusal)
		}
		g.RecordFirstEvent(time.Now())
		if g.Migrate(time.Now()) == nil {
			t.Error("got no migration of a long prompt with four servers, want one")
		}
		g.End(time.Now(), placement.Done)
	})
}
