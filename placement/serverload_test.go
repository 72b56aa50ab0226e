package placement_test

// This file defines a model of servers that state their load, which real Placements send requests to in simulated time, and
// tests what callers get.

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushtally/placement"
	"bulrushtally/route"
	"bulrushtally/serverload"
)

// unevenServer is a plain server with slots and a queue.
type unevenServer struct {
	slots            chan struct{}
	slowness         float64
	momentPeriod     time.Duration // the time that work takes changes in such periods; 0 if it stays
	running, waiting int
	seed             uint64
}

// moment returns the time that work takes now against the usual one of the server.
func (s *unevenServer) moment() float64 {
	if s.momentPeriod == 0 {
		return 1
	}
	r := rand.New(rand.NewPCG(s.seed, uint64(time.Now().UnixNano()/int64(s.momentPeriod))))
	return []float64{0.7, 0.7, 1, 1, 1, 2}[r.IntN(6)]
}

// unevenFleet is routers that send requests to the same plain servers.
type unevenFleet struct {
	random      *rand.Rand
	mu          sync.Mutex
	routers     []*placement.Placement
	servers     map[string]*unevenServer
	states      bool // servers state their load
	percent     bool // also how long work takes
	percentMean bool // against the usual time of the service, not of the server
	durations   []time.Duration
	refused     int
}

func newUnevenFleet(seed uint64, routers, servers int, slowness func(i int) float64) *unevenFleet {
	f := &unevenFleet{random: rand.New(rand.NewPCG(seed, 7)), servers: map[string]*unevenServer{}}
	table := route.New(1, nil, []*route.Service{{Name: "plain", Slots: 6}}, nil, route.Limits{CostPerSecond: 300000})
	for range routers {
		f.routers = append(f.routers, placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: routers, Now: time.Now()}))
	}
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		f.servers[id] = &unevenServer{slots: make(chan struct{}, 6), slowness: slowness(i), seed: seed*1000 + uint64(i)}
	}
	for rank, p := range f.routers {
		p.Configure(table)
		p.SetRouters(routers, rank, max(60*time.Millisecond, time.Duration(routers)*6*time.Millisecond))
		for id := range f.servers {
			p.SetServer(time.Now(), placement.ServerEntry{ID: id, Service: "plain", Address: "127.0.0.1:1", Zone: "zone-a", StartedMs: 1})
		}
	}
	return f
}

// run sends requests at a mean rate for a time, and waits for the last answer.
func (f *unevenFleet) run(d time.Duration, perSecond float64) {
	var running sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		p := f.routers[f.random.IntN(len(f.routers))]
		work := time.Duration((15 + 45*math.Pow(f.random.Float64(), 2)) * float64(time.Millisecond))
		running.Go(func() { f.request(p, work) })
	}
	running.Wait()
}

// request sends one request through a router.
func (f *unevenFleet) request(p *placement.Placement, work time.Duration) {
	began := time.Now()
	req := &placement.Request{Service: "plain", Customer: "a", LatencyObjective: 120 * time.Millisecond, Objective: began.Add(120 * time.Millisecond), Deadline: began.Add(time.Second)}
	p.RecordArrival(began, req)
	g, _ := p.Admit(context.Background(), req)
	if g == nil {
		f.mu.Lock()
		f.refused++
		f.mu.Unlock()
		return
	}
	load := f.serve(f.servers[g.ID()], work)
	now := time.Now()
	g.RecordStatement(now, placement.Statement{Load: load})
	g.RecordFirstEvent(now)
	g.End(now, placement.Done)
	f.mu.Lock()
	f.durations = append(f.durations, now.Sub(began))
	f.mu.Unlock()
}

// serve runs a request on a server and returns the statement that its answer begins with.
func (f *unevenFleet) serve(s *unevenServer, work time.Duration) (load serverload.Statement) {
	const oneWay = 500 * time.Microsecond
	time.Sleep(oneWay)
	f.count(&s.waiting, 1)
	s.slots <- struct{}{}
	f.count(&s.waiting, -1)
	f.count(&s.running, 1)
	time.Sleep(time.Duration(float64(work) * s.slowness * s.moment()))
	f.mu.Lock()
	if f.states {
		load = serverload.Statement{Running: s.running, Waiting: s.waiting, Slots: cap(s.slots)}
	}
	if f.percent {
		usual := 100.0
		if f.percentMean {
			usual *= s.slowness
		}
		load.Percent = int(usual * s.moment())
	}
	f.mu.Unlock()
	f.count(&s.running, -1)
	<-s.slots
	time.Sleep(oneWay)
	return load
}

func (f *unevenFleet) count(n *int, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n += change
}

// late returns the fraction of the requests that were refused or took longer than a time.
func (f *unevenFleet) late(objective time.Duration) float64 {
	n := f.refused
	for _, d := range f.durations {
		if d > objective {
			n++
		}
	}
	return float64(n) / float64(n+len(f.durations))
}

// quantile returns a quantile of the durations.
func (f *unevenFleet) quantile(q float64) time.Duration {
	slices.Sort(f.durations)
	return f.durations[int(q*float64(len(f.durations)-1))]
}

// unevenSpeeds is the speeds of servers that share their machines with others, 0.55 to 1.2.
func unevenSpeeds(i int) float64 { return 1 / (0.55 + 0.65*float64(i%13)/12) }

// lateWith returns the fraction of requests that take longer than 120 ms at a utilization, after a second of warm-up.
func lateWith(t *testing.T, routers, servers int, utilization float64, configure func(f *unevenFleet)) (late float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newUnevenFleet(1, routers, servers, unevenSpeeds)
		configure(f)
		perSecond := 0.0
		for _, s := range f.servers {
			perSecond += utilization * 6 / 0.030 / s.slowness // mean work is 30 ms
		}
		f.run(time.Second, perSecond)
		f.durations, f.refused = nil, 0
		f.run(2*time.Second, perSecond)
		late = f.late(120 * time.Millisecond)
		t.Logf("%d routers, %d servers, utilization %.2f: late %.3f, 95th percentile %v, refused %d", routers, servers, utilization, late, f.quantile(0.95), f.refused)
	})
	return late
}

// Fails if callers of a plain service with servers of uneven speed are served late, where no router sees enough of each server
// to know its load, although the servers state it.
func TestStatedLoadKeepsRequestsFromBusyAndSlowServers(t *testing.T) {
	without := lateWith(t, 86, 90, 0.8, func(f *unevenFleet) {})
	if without < 0.08 {
		t.Errorf("got %.3f of the requests late without statements, want at least 0.08: the load does not test anything", without)
	}
	for name, configure := range map[string]func(f *unevenFleet){
		"load":                         func(f *unevenFleet) { f.states = true },
		"load and own moment":          func(f *unevenFleet) { f.states, f.percent = true, true },
		"load and moment of a service": func(f *unevenFleet) { f.states, f.percent, f.percentMean = true, true, true },
	} {
		if got, most := lateWith(t, 86, 90, 0.8, configure), without/3; got > most {
			t.Errorf("%s: got %.3f of the requests late, want at most %.3f, a third of those without statements", name, got, most)
		}
	}
}

// Fails if routers that have the same view all send to the servers which look best, or if a small fleet, whose reports come often,
// is served worse with statements than without.
func TestStatedLoadDoesNotMakeRoutersChooseTheSameServer(t *testing.T) {
	for _, size := range []struct{ routers, servers int }{{2, 9}, {6, 9}, {86, 9}} {
		without := lateWith(t, size.routers, size.servers, 0.6, func(f *unevenFleet) {})
		with := lateWith(t, size.routers, size.servers, 0.6, func(f *unevenFleet) { f.states, f.percent, f.percentMean = true, true, true })
		if with > without+0.01 {
			t.Errorf("%d routers: got %.3f of the requests late, want at most %.3f as without statements and 0.01 more", size.routers, with, without)
		}
	}
}

// Fails if the time that work takes changes so quickly that trusting a statement for long makes requests late.
func TestQuickChangesOfSpeedAreNotTrustedLong(t *testing.T) {
	moments := func(f *unevenFleet) {
		for _, s := range f.servers {
			s.momentPeriod = 100 * time.Millisecond
		}
	}
	loadOnly := lateWith(t, 30, 26, 0.7, func(f *unevenFleet) { moments(f); f.states = true })
	got := lateWith(t, 30, 26, 0.7, func(f *unevenFleet) { moments(f); f.states, f.percent = true, true })
	if got > loadOnly+0.01 {
		t.Errorf("got %.3f of the requests late, want at most %.3f as without the figure and 0.01 more", got, loadOnly)
	}
}

// newStatingPlacement returns a Placement of one of many routers with n idle servers of a plain service, whose start is 1.
func newStatingPlacement(n int) *placement.Placement {
	p := placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: 86, Now: time.Now()})
	p.Configure(route.New(1, nil, []*route.Service{{Name: "plain", Slots: 6}}, nil, route.Limits{}))
	p.SetRouters(86, 0, 500*time.Millisecond)
	for i := range n {
		p.SetServer(time.Now(), placement.ServerEntry{ID: fmt.Sprintf("i-%d", i), Service: "plain", Address: "127.0.0.1:1", Zone: "zone-a", StartedMs: 1})
	}
	return p
}

// newPlainRequest returns a request to the plain service.
func newPlainRequest() *placement.Request {
	now := time.Now()
	return &placement.Request{Service: "plain", Customer: "a", LatencyObjective: 120 * time.Millisecond, Objective: now.Add(120 * time.Millisecond), Deadline: now.Add(time.Second)}
}

// Fails if an answer of before a restart says anything of the server that runs now.
func TestStatementsOfBeforeARestartDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newStatingPlacement(2)
		busy := serverload.Statement{Running: 6, Waiting: 30, Slots: 6, Percent: 300}
		idle := serverload.Statement{Running: 1, Slots: 6, Percent: 100}
		grants := map[string]*placement.Grant{}
		state := func(n int) {
			for range n {
				time.Sleep(20 * time.Millisecond)
				g, _ := admitWithoutWaiting(p, newPlainRequest())
				grants[g.ID()] = g
				load := idle
				if g.ID() == "i-0" {
					load = busy
				}
				g.RecordStatement(time.Now(), placement.Statement{Load: load})
				g.End(time.Now(), placement.Done)
			}
		}
		chosen := func() (n int) {
			for range 100 {
				g, _ := admitWithoutWaiting(p, newPlainRequest())
				if g.ID() == "i-0" {
					n++
				}
				g.End(time.Now(), placement.Done)
			}
			return n
		}
		state(200)
		if got := chosen(); got > 5 {
			t.Errorf("got %d of 100 requests at a server that states that it is busy, want at most 5", got)
		}
		p.SetServer(time.Now(), placement.ServerEntry{ID: "i-0", Service: "plain", Address: "127.0.0.1:1", Zone: "zone-a", StartedMs: 2})
		grants["i-0"].RecordStatement(time.Now(), placement.Statement{Load: busy}) // late, of the earlier start
		time.Sleep(2 * time.Second)
		if got := chosen(); got < 20 {
			t.Errorf("got %d of 100 requests at the server after its restart, want at least 20", got)
		}
	})
}

// Fails if what another router of the zone measured does not change where a router sends that knows the servers' loads alone, or if
// it still does after a restart of the server.
func TestSpeedsOfAnotherRouterAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := placement.ServerEntry{Service: "plain", Address: "127.0.0.1:1", Zone: "zone-a", StartedMs: 1, Slots: 1}
		p, other := newStatingPlacement(0), newStatingPlacement(0)
		for _, id := range []string{"i-0", "i-1"} {
			entry.ID = id
			p.SetServer(time.Now(), entry)
			other.SetServer(time.Now(), entry)
		}
		// run sends requests in pairs, one to each server since they have one slot, and returns how often the first of the two went to i-0.
		run := func(p *placement.Placement, pairs int, percent map[string]int) (first int) {
			for range pairs {
				var grants []*placement.Grant
				for i := range 2 {
					g, _ := admitWithoutWaiting(p, newPlainRequest())
					if grants = append(grants, g); i == 0 && g.ID() == "i-0" {
						first++
					}
				}
				slices.SortFunc(grants, func(a, b *placement.Grant) int { return percent[a.ID()] - percent[b.ID()] })
				sent := time.Now()
				for _, g := range grants {
					time.Sleep(time.Until(sent.Add(time.Duration(percent[g.ID()]) * 200 * time.Microsecond)))
					g.RecordStatement(time.Now(), placement.Statement{Load: serverload.Statement{Running: 1, Slots: 1, Percent: percent[g.ID()]}})
					g.RecordFirstEvent(time.Now())
					g.End(time.Now(), placement.Done)
				}
			}
			return first
		}
		equal := map[string]int{"i-0": 100, "i-1": 100}
		run(other, 200, map[string]int{"i-0": 70, "i-1": 140})
		report := other.SpeedReport(time.Now())
		report.Router, report.Sequence = "other", 1
		if len(report.Speeds) != 2 {
			t.Fatalf("got a report of %d servers, want both", len(report.Speeds))
		}
		run(p, 60, equal)
		if !p.ApplySpeedReport(time.Now(), report) || p.ApplySpeedReport(time.Now(), report) {
			t.Error("got a report ignored or taken twice")
		}
		run(p, 60, equal)
		if got := run(p, 100, equal); got < 90 {
			t.Errorf("got %d of 100 pairs whose first request went to the faster server, want at least 90", got)
		}
		for i, id := range []string{"i-0", "i-1"} {
			entry.ID, entry.StartedMs = id, int64(2+i)
			p.SetServer(time.Now(), entry)
		}
		run(p, 60, equal)
		if got := run(p, 100, equal); got < 20 || got > 80 {
			t.Errorf("got %d of 100 pairs whose first request went to the server that was faster before its restart, want 20 to 80", got)
		}
	})
}

// Fails if a server that fails at once looks quick, and so draws requests to itself.
func TestQuickFailuresDoNotMakeAServerLookFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newStatingPlacement(0)
		for i := range 4 { // with one slot each, so that each gets one of four requests
			p.SetServer(time.Now(), placement.ServerEntry{ID: fmt.Sprintf("i-%d", i), Service: "plain", Address: "127.0.0.1:1", Zone: "zone-a", StartedMs: 1, Slots: 1})
		}
		for i := range 200 {
			var grants []*placement.Grant
			for range 4 {
				g, _ := admitWithoutWaiting(p, newPlainRequest())
				grants = append(grants, g)
			}
			time.Sleep(time.Millisecond)
			for _, g := range grants {
				g.RecordStatement(time.Now(), placement.Statement{Load: serverload.Statement{Running: 1, Slots: 1}})
				if g.ID() == "i-0" && i%4 == 0 {
					g.RecordFirstEvent(time.Now())
					g.End(time.Now(), placement.ServerError)
				}
			}
			time.Sleep(29 * time.Millisecond)
			for _, g := range grants {
				g.RecordFirstEvent(time.Now())
				g.End(time.Now(), placement.Done)
			}
		}
		for _, c := range p.SlownessChanges() {
			t.Errorf("got a slowness of %.2f for %s, want it near 1: its tasks took as long as those of the others", c.To, c.Server)
		}
	})
}

// BenchmarkAdmitWithStatements measures the choice among 140 servers of a plain service that state their load, with 30 customers.
func BenchmarkAdmitWithStatements(b *testing.B) {
	for _, states := range []bool{false, true} {
		b.Run(fmt.Sprintf("states=%v", states), func(b *testing.B) {
			p := newStatingPlacement(140)
			ctx := context.Background()
			req := newPlainRequest()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.Customer = customers[i%len(customers)]
				g, _ := p.Admit(ctx, req)
				if states {
					g.RecordStatement(time.Now(), placement.Statement{Load: serverload.Statement{Running: 3, Slots: 6, Percent: 80 + i%40}})
				}
				g.End(time.Now(), placement.Done)
			}
		})
	}
}

var customers = func() (names []string) {
	for i := range 30 {
		names = append(names, fmt.Sprint("c", i))
	}
	return names
}()
