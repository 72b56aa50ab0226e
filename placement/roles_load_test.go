package placement_test

// This file tests the roles of model servers under load: what callers get from model servers that prefill between the
// decode steps of their streams. It has no network, and the time is that of a synctest bubble.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushtally/placement"
	"bulrushtally/route"
)

// loadClass is requests of one kind.
type loadClass struct {
	shared, own, events, tokens int
	perSecond                   float64
}

// loadDeployment is a deployment of docs/design/roles.md; those with more than 9 servers have a tenth of their servers and requests.
type loadDeployment struct {
	name               string
	servers, slots     int
	kvCapacity         int
	tokensPerMs        float64 // of prefill
	stepMs, perSlot    float64
	kvBytes            int
	mbps, setUpMs      float64
	gapMs              int
	classes            []loadClass
	wantPrefillServers bool
	leastShareOfSplit  float64 // callers served in time, at least, relative to a pool that is always split
}

var loadDeployments = []loadDeployment{
	{name: "A", servers: 9, slots: 64, kvCapacity: 444000, tokensPerMs: 140, stepMs: 2.2, kvBytes: 131072, mbps: 1100000, setUpMs: 1.7, gapMs: 300,
		classes: []loadClass{{5382, 6610, 38, 10, 35.8}, {198, 628, 29, 10, 134}, {568, 1800, 2, 10, 96.6}}, wantPrefillServers: true, leastShareOfSplit: 0.97},
	{name: "B", servers: 9, slots: 64, kvCapacity: 363647, tokensPerMs: 64.2, stepMs: 4.23, perSlot: 0.0008, kvBytes: 163840, mbps: 1100000, setUpMs: 1.7, gapMs: 400,
		classes: []loadClass{{5382, 6610, 64, 6, 21.7}, {198, 628, 49, 6, 73.7}, {568, 1800, 4, 6, 42.2}}, wantPrefillServers: true, leastShareOfSplit: 0.97},
	{name: "D", servers: 9, slots: 16, kvCapacity: 444000, tokensPerMs: 140, stepMs: 2.2, kvBytes: 131072, mbps: 1100000, setUpMs: 1.7, gapMs: 300,
		classes: []loadClass{{5382, 6610, 26, 15, 34.5}, {198, 628, 19, 15, 62.1}, {568, 1800, 2, 15, 98.6}}, wantPrefillServers: true, leastShareOfSplit: 0.97},
	{name: "E", servers: 14, slots: 12, kvCapacity: 374201, tokensPerMs: 56.6, stepMs: 3.79, perSlot: 0.089, kvBytes: 18432, mbps: 370000, setUpMs: 5, gapMs: 500,
		classes: []loadClass{{5382, 6610, 42, 9, 29.2}, {198, 628, 32, 9, 48.1}, {568, 1800, 3, 9, 51.5}}, leastShareOfSplit: 0.98},
	{name: "F", servers: 9, slots: 16, kvCapacity: 526501, tokensPerMs: 101, stepMs: 2.97, perSlot: 0.022, kvBytes: 327680, mbps: 260000, setUpMs: 2.7, gapMs: 400,
		classes: []loadClass{{5382, 6610, 35, 11, 35.9}, {198, 628, 26, 11, 41.5}, {568, 1800, 2, 11, 71.2}}, leastShareOfSplit: 1.03},
	{name: "G", servers: 14, slots: 12, kvCapacity: 263929, tokensPerMs: 56.6, stepMs: 3.79, perSlot: 0.089, kvBytes: 18432, mbps: 370000, setUpMs: 5, gapMs: 500,
		classes: []loadClass{{6300, 2890, 7, 8, 93.3}, {568, 1800, 3, 8, 96.1}, {172, 543, 35, 8, 23.1}}, leastShareOfSplit: 1.2},
}

// loadStream is a request at a loadServer.
type loadStream struct {
	prefillMs    float64
	total, event int // tokens of the output, and of each event
	generated    int
	lastEvent    time.Time
	longestGap   time.Duration
	first, done  chan struct{}
}

// loadServer prefills one prompt at a time, and runs a decode step of all its streams after each.
type loadServer struct {
	mu       sync.Mutex
	prefills []*loadStream
	streams  []*loadStream
	wake     chan struct{}
	linkFree time.Time // when the copies that leave the server have ended
}

// add adds a stream that needs a prefill, or one that goes on.
func (s *loadServer) add(x *loadStream, prefill bool) {
	s.mu.Lock()
	if prefill {
		s.prefills = append(s.prefills, x)
	} else {
		s.streams = append(s.streams, x)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// copyTime returns how long a copy of this duration takes after those that the link has to make before.
func (s *loadServer) copyTime(now time.Time, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(d)
	return s.linkFree.Sub(now)
}

// run serves until the context ends.
func (s *loadServer) run(ctx context.Context, d *loadDeployment) {
	for ctx.Err() == nil {
		s.mu.Lock()
		var x *loadStream
		if len(s.prefills) > 0 {
			x, s.prefills = s.prefills[0], s.prefills[1:]
		}
		batch := min(len(s.streams), d.slots)
		s.mu.Unlock()
		if x == nil && batch == 0 {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			continue
		}
		if x != nil {
			time.Sleep(ms(x.prefillMs))
			x.lastEvent, x.generated = time.Now(), x.event
			close(x.first)
			time.Sleep(time.Nanosecond) // the router decides on a migration before the next step
		}
		if batch > 0 {
			time.Sleep(ms(d.stepMs + d.perSlot*float64(batch)))
			s.step(batch)
		}
	}
}

// step generates a token for each of the first streams.
func (s *loadServer) step(batch int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	kept := s.streams[:0]
	for i, x := range s.streams {
		if i < batch {
			x.generated++
			if x.generated%x.event == 0 || x.generated >= x.total {
				x.longestGap, x.lastEvent = max(x.longestGap, now.Sub(x.lastEvent)), now
			}
			if x.generated >= x.total {
				close(x.done)
				continue
			}
		}
		kept = append(kept, x)
	}
	clear(s.streams[len(kept):])
	s.streams = kept
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// loadResult counts what callers got, after the time in which roles are decided.
type loadResult struct {
	mu                                               sync.Mutex
	arrived, refused, lateFirst, gapMissed, migrated int
	changes                                          []placement.RoleDecision
}

// inTime returns the fraction of callers that were served within their objectives.
func (r *loadResult) inTime() float64 {
	return 1 - float64(r.refused+r.lateFirst+r.gapMissed)/float64(max(1, r.arrived))
}

// loadRun is a fleet of routers in front of model servers.
type loadRun struct {
	*loadDeployment
	routers []*placement.Placement
	byID    map[string]*loadServer
	result  loadResult
	random  *rand.Rand
	late    bool // no request reaches the last router before lateStart
}

const (
	loadObjective = 600 * time.Millisecond // for the first event
	loadWarmUp    = 8 * time.Second        // in which the routers learn; what callers get then is not counted
	loadTime      = 25 * time.Second
	loadRouters   = 3
	lateStart     = 8 * time.Second
)

// newLoadRun returns a run. Without the link figures the pool is always split.
func newLoadRun(d *loadDeployment, link bool) *loadRun {
	s := &route.Service{Name: "models", Slots: d.slots, KVCapacity: d.kvCapacity, Migrates: true}
	if link {
		s.KVBytesPerToken, s.LinkMbps = d.kvBytes, d.mbps
	}
	run := &loadRun{loadDeployment: d, byID: map[string]*loadServer{}, random: rand.New(rand.NewPCG(1, 2))}
	for rank := range loadRouters {
		p := placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: loadRouters, Now: time.Now()})
		p.Configure(route.New(1, nil, []*route.Service{s}, nil, route.Limits{}))
		p.SetRouters(loadRouters, rank, 60*time.Millisecond)
		for i := range d.servers {
			p.SetServer(time.Now(), placement.ServerEntry{ID: fmt.Sprint("i-", i), Service: "models", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "zone-a", Slots: d.slots, Version: "v1"})
		}
		run.routers = append(run.routers, p)
	}
	for i := range d.servers {
		run.byID[fmt.Sprint("i-", i)] = &loadServer{wake: make(chan struct{}, 1)}
	}
	return run
}

// play lets requests arrive for loadTime and waits for their ends.
func (l *loadRun) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var servers, callers sync.WaitGroup
	for _, s := range l.byID {
		servers.Go(func() { s.run(ctx, l.loadDeployment) })
	}
	servers.Go(func() { l.exchange(ctx) })
	began, perSecond := time.Now(), 0.0
	for _, c := range l.classes {
		perSecond += c.perSecond
	}
	for time.Since(began) < loadTime {
		time.Sleep(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		at := l.random.Float64() * perSecond
		for _, c := range l.classes {
			if at -= c.perSecond; at < 0 {
				routers := l.routers
				if l.late && time.Since(began) < lateStart {
					routers = routers[:loadRouters-1]
				}
				p, prefix, counted := routers[l.random.IntN(len(routers))], l.random.Uint64N(20), time.Since(began) > loadWarmUp
				callers.Go(func() { l.call(p, c, prefix, counted) })
				break
			}
		}
	}
	callers.Wait()
	cancel()
	servers.Wait()
}

// exchange ticks the routers and lets them exchange summaries.
func (l *loadRun) exchange(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(10 * time.Millisecond)
		for _, p := range l.routers {
			p.Tick(time.Now())
		}
		if n%6 == 0 {
			exchangeSummaries(l.routers)
		}
	}
	for _, p := range l.routers {
		for _, d := range p.RoleDecisions() {
			if d.Changed {
				l.result.changes = append(l.result.changes, d)
			}
		}
	}
}

// call is one request from its arrival to its end.
func (l *loadRun) call(p *placement.Placement, c loadClass, prefix uint64, counted bool) {
	now := time.Now()
	req := &placement.Request{
		Service: "models", Customer: "a", PromptTokens: c.shared + c.own, OutputTokens: c.events * c.tokens,
		Segments:         []placement.Segment{{ID: uint64(c.shared)<<8 | prefix, Tokens: c.shared}},
		LatencyObjective: loadObjective, MaxEventGap: time.Duration(l.gapMs) * time.Millisecond, Objective: now.Add(loadObjective), Deadline: now.Add(20 * time.Second),
	}
	p.RecordArrival(now, req)
	g, _ := p.Admit(context.Background(), req)
	if g == nil {
		l.count(counted, func(r *loadResult) { r.refused++ })
		return
	}
	missing := float64(g.PrefillTokens())
	x := &loadStream{
		prefillMs: missing * (1 + 4.1e-5*(float64(req.PromptTokens)-missing/2)) / l.tokensPerMs,
		total:     req.OutputTokens, event: c.tokens, first: make(chan struct{}), done: make(chan struct{}),
	}
	source := l.byID[g.ID()]
	source.add(x, true)
	<-x.first
	first := time.Now()
	g.RecordFirstEvent(first)
	to := g.Migrate(first)
	if to == nil {
		source.add(x, false)
		<-x.done
		g.End(time.Now(), placement.Done)
	} else {
		copyMs := float64(req.PromptTokens) * float64(l.kvBytes) * 8 / (l.mbps * 1000)
		time.Sleep(ms(l.setUpMs) + source.copyTime(first, ms(copyMs)))
		g.End(time.Now(), placement.Done)
		l.byID[to.ID()].add(x, false)
		<-x.done
		to.End(time.Now(), placement.Done)
	}
	l.count(counted, func(r *loadResult) {
		if to != nil {
			r.migrated++
		}
		switch {
		case first.Sub(now) > loadObjective:
			r.lateFirst++
		case x.longestGap > req.MaxEventGap && req.OutputTokens > 64:
			r.gapMissed++
		}
	})
}

// count counts one arrival with its outcome.
func (l *loadRun) count(counted bool, outcome func(*loadResult)) {
	if !counted {
		return
	}
	l.result.mu.Lock()
	defer l.result.mu.Unlock()
	l.result.arrived++
	outcome(&l.result)
}

// A constant split left callers of E and F without an answer in time that the same servers could have given. Where the split is
// right, callers must get what they got.
func TestCallersGetMoreWithRolesFromTheEngineAndLoad(t *testing.T) {
	for _, d := range loadDeployments {
		t.Run(d.name, func(t *testing.T) {
			var always, decided *loadRun
			synctest.Test(t, func(t *testing.T) {
				always = newLoadRun(&d, false)
				always.play()
			})
			synctest.Test(t, func(t *testing.T) {
				decided = newLoadRun(&d, true)
				decided.play()
			})
			for _, r := range []*loadRun{always, decided} {
				x := &r.result
				t.Logf("in time %.3f of %d, refused %d, first event late %d, event gap missed %d, migrated %d, changes %d", x.inTime(), x.arrived, x.refused, x.lateFirst, x.gapMissed, x.migrated, len(x.changes))
			}
			split := map[bool]int{}
			for _, c := range decided.result.changes {
				split[c.Split]++
			}
			want := loadRouters
			if d.wantPrefillServers {
				want = 0
			}
			if split[false] != want || split[true] != 0 {
				t.Errorf("got %d decisions against a split and %d for one by %d routers, want %d and 0", split[false], split[true], loadRouters, want)
			}
			if got, least := decided.result.inTime(), d.leastShareOfSplit*always.result.inTime(); got < least {
				t.Errorf("got %.3f of the callers served in time, want at least %.3f", got, least)
			}
		})
	}
}

// A router that starts while the others have given up the split splits the pool at first. It must come to their decision, though it
// measures the decode steps of servers that the others let prefill.
func TestRouterThatStartsLaterComesToTheSameRoles(t *testing.T) {
	for _, d := range loadDeployments {
		if d.name != "D" && d.name != "E" && d.name != "G" { // the time of a token matters least for the others
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLoadRun(&d, true)
				r.late = true
				r.play()
				want := loadRouters
				if d.wantPrefillServers {
					want = 0
				}
				if got := len(r.result.changes); got != want {
					t.Errorf("got %d changes of roles by %d routers, want %d", got, loadRouters, want)
				}
			})
		})
	}
}

// Without the link figures, the roles must be as they were before these were read, also where a configuration drops them.
func TestConfigurationWithoutLinkFiguresSplitsThePool(t *testing.T) {
	d := &loadDeployments[len(loadDeployments)-1]
	synctest.Test(t, func(t *testing.T) {
		r := newLoadRun(d, true)
		r.play()
		p := r.routers[0]
		if got := p.ServicesWithoutPrefillServers(); got != 1 {
			t.Fatalf("got %d services without prefill servers, want 1", got)
		}
		without := &route.Service{Name: "models", Slots: d.slots, KVCapacity: d.kvCapacity, Migrates: true}
		p.Configure(route.New(2, nil, []*route.Service{without}, nil, route.Limits{}))
		if g, refusal := admitWithoutWaiting(p, newRequest("a", 300)); g == nil {
			t.Fatalf("got refusal %v, want a server", refusal)
		}
		if got := p.ServicesWithoutPrefillServers(); got != 0 {
			t.Errorf("got %d services without prefill servers after the link figures were dropped, want none", got)
		}
	})
}
