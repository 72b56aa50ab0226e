package faultmatrix_test

// This file defines world: an entry router, two leaders and their backend
// servers, with fakes for links and the table, where faults are injected.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/backend"
	"bulrushtally/caller"
	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/ledger"
	"bulrushtally/request"
	"bulrushtally/schedule"
	"bulrushtally/standin"
)

// world is one cell's small fleet: two zones, each with a leader for one engine
// and one plain service, and an entry router that reaches them over fake links.
type world struct {
	t       *testing.T
	table   *table
	store   *config.Store
	log     *ledger.Log
	engines []*standin.Engine
	plains  []*standin.Plain
	entry   *caller.Entry
	server  *caller.Server
	links   *links
	tracker *tracker
	ctx     context.Context
	stop    context.CancelFunc
	parts   sync.WaitGroup
	lives   atomic.Uint64

	mu    sync.Mutex
	armed step
	fire  func()
}

// at runs the fault if it is to be injected at this step, once.
func (w *world) at(s step) {
	w.mu.Lock()
	f := w.fire
	if w.armed != s {
		f = nil
	}
	if f != nil {
		w.fire = nil
	}
	w.mu.Unlock()
	if f != nil {
		f()
	}
}

// arm has a fault injected when a step is reached next.
func (w *world) arm(s step, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.fire = s, f
}

var engineOptions = standin.EngineOptions{
	Slots: 4, TokenTime: time.Millisecond, WarmTime: time.Millisecond, CachedPrompt: 8, ReportLag: time.Millisecond,
}

const anyPort = "127.0.0.1:0"

func newWorld(t *testing.T) *world {
	w := &world{t: t, table: newTable(), store: config.NewStore(), tracker: &tracker{quarantine: schedule.NewQuarantine()}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.log = ledger.NewLog(w.table, w.table)
	w.table.at = w.at
	w.startBackends()
	w.configure()
	w.links = &links{world: w, leaders: map[config.ShardID]*leader{}}
	for _, sh := range w.store.View().AllShards() {
		w.links.lead(sh.ID)
	}
	w.startEntry()
	return w
}

func (w *world) startBackends() {
	for range 2 {
		e, err := standin.NewEngine(anyPort, engineOptions)
		if err != nil {
			w.t.Fatal(err)
		}
		p, err := standin.NewPlain(anyPort, time.Millisecond)
		if err != nil {
			w.t.Fatal(err)
		}
		e.OnStep(func(s standin.Step) { w.atBackend(s) })
		p.OnStep(func(s standin.Step) { w.atBackend(s) })
		w.engines, w.plains = append(w.engines, e), append(w.plains, p)
	}
}

func (w *world) atBackend(s standin.Step) {
	if s == standin.StepFirst {
		w.at(atFirst)
		return
	}
	w.at(step(s))
}

// configure writes the configuration into the log.
func (w *world) configure() {
	labels := func(kv ...string) map[string]string { return map[string]string{kv[0]: kv[1]} }
	list := []*config.Object{
		{Kind: config.KindZone, Name: "kgn-a"}, {Kind: config.KindZone, Name: "kgn-b"},
		{Kind: config.KindService, Name: lab.ModelService, Labels: labels("kind", "model")},
		{Kind: config.KindService, Name: lab.PlainService, Labels: labels("kind", "plain")},
		{Kind: config.KindAccess, Name: "models", Service: lab.ModelService},
		{Kind: config.KindAccess, Name: "plain", Service: lab.PlainService},
	}
	for i, zone := range []string{"kgn-a", "kgn-b"} {
		list = append(list,
			&config.Object{Kind: config.KindBackend, Name: "engine-" + zone, Zone: zone, Service: lab.ModelService, Address: w.engines[i].Address(), Labels: labels("slots", "4")},
			&config.Object{Kind: config.KindBackend, Name: "plain-" + zone, Zone: zone, Service: lab.PlainService, Address: w.plains[i].Address(), Labels: labels("slots", "4")})
	}
	for i := range 2 {
		c := lab.Customer(i)
		list = append(list, &config.Object{Kind: config.KindCustomer, Name: c},
			&config.Object{Kind: config.KindCaller, Name: c, Customer: c, KeyHash: config.HashKey(lab.CallerKey(c))})
	}
	for i, o := range list {
		if _, err := w.change(w.store, fmt.Sprintf("seed-%d", i), "lab", config.Wish{Object: o}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// change has a change accepted by a router with a store of its own.
func (w *world) change(s *config.Store, number, office string, wish config.Wish) (*config.Change, error) {
	return w.log.Commit(s, ledger.Draft{Request: number, Operator: office, Office: office, Plan: func(st *config.State) (*config.Change, error) {
		c, _, err := config.Plan(st, wish)
		return c, err
	}})
}

func (w *world) startEntry() {
	w.entry = caller.NewEntry(caller.EntryOptions{
		Zone: "kgn-a", Wait: 6 * time.Second, Limits: schedule.Limits{Requests: 50, Bytes: 1 << 20},
	}, w.links, zerolog.Nop(), tally.NoopScope)
	w.entry.Configure(w.store.View())
	w.store.Watch(func(v *config.View) {
		w.links.configure(v)
		w.entry.Configure(v)
	})
	var err error
	w.server, err = caller.NewServer(caller.ServerOptions{
		Listen: anyPort, MaxBody: 1 << 20, MaxHeaders: 8192, Timeout: 5 * time.Second, Logger: zerolog.Nop(),
		Ready: func() error { w.at(atAccept); w.at(atIdentify); return nil },
	}, w.entry, w.store, ledger.NewClaims(claimTable{w.table}))
	if err != nil {
		w.t.Fatal(err)
	}
	w.parts.Go(func() { w.entry.Run(w.ctx) })
	w.parts.Go(func() { w.server.Run(w.ctx) })
}

func (w *world) close() {
	for _, e := range w.engines {
		e.SetFrozen(false)
	}
	for _, p := range w.plains {
		p.SetFrozen(false)
	}
	w.table.set(tableFaults{})
	w.links.heal()
	w.stop()
	w.parts.Wait()
	for i := range w.engines {
		w.engines[i].Close()
		w.plains[i].Close()
	}
}

// tracker is the part of a router that leaders share.
type tracker struct {
	mu         sync.Mutex
	quarantine *schedule.Quarantine
}

func (k *tracker) Charge(config.ShardID, string, float64) {}

func (k *tracker) Verdict(d uint64) schedule.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quarantine.Verdict(time.Now(), d)
}

func (k *tracker) Died(d uint64, _, _ string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quarantine.Died(time.Now(), d)
}

func (k *tracker) Cleared(d uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quarantine.Cleared(d)
}

func (k *tracker) HasRoom(config.ShardID, request.Hint) {}

// leader is a shard's leader and how to stop it.
type leader struct {
	*backend.Leader
	stop context.CancelFunc
}

// links is the fake between the entry router and the leaders.
type links struct {
	world *world

	mu      sync.Mutex
	leaders map[config.ShardID]*leader
	cut     bool
	paused  chan struct{} // closed when the leaders go on; nil while they run
	open    map[*flow]struct{}
}

// flow is a request on a fake link.
type flow struct {
	sink   request.Sink
	cancel context.CancelFunc
	lost   atomic.Bool
	ended  atomic.Bool
}

var timeouts = backend.Timeouts{Connect: 200 * time.Millisecond, First: 300 * time.Millisecond, Progress: 300 * time.Millisecond}

// lead starts a leader with no memory for a shard.
func (k *links) lead(id config.ShardID) {
	w := k.world
	ctx, cancel := context.WithCancel(w.ctx)
	l := backend.NewLeader(backend.LeaderConfig{
		Shard: id, VM: "leader", Incarnation: w.lives.Add(1), Client: backend.NewClient(timeouts), Tracker: w.tracker,
		Options: schedule.Options{FirstEstimate: 10, MaxDebt: 1000}, Logger: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	l.Configure(time.Now(), w.store.View())
	k.leaders[id] = &leader{l, cancel}
	w.parts.Go(func() { l.Run(ctx) })
}

func (k *links) configure(v *config.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leaders {
		l.Configure(time.Now(), v)
	}
}

var errCut = errors.New("link is cut")

func (k *links) Submit(ctx context.Context, r *request.Request, sink request.Sink) (func(), error) {
	k.world.at(atQueue)
	k.world.at(atForward)
	k.mu.Lock()
	l := k.leaders[r.Shard]
	if k.cut || l == nil {
		k.mu.Unlock()
		return nil, errCut
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &flow{sink: sink, cancel: cancel}
	if k.open == nil {
		k.open = map[*flow]struct{}{}
	}
	k.open[f] = struct{}{}
	k.mu.Unlock()
	return l.Submit(ctx, r, func(e request.Event) error { return k.deliver(f, e) }), nil
}

// deliver passes an event on unless the link was lost meanwhile.
func (k *links) deliver(f *flow, e request.Event) error {
	if e.Kind == request.EventAdmitted {
		k.world.at(atAdmit)
	}
	k.mu.Lock()
	wait := k.paused
	k.mu.Unlock()
	if wait != nil {
		<-wait
	}
	if f.lost.Load() {
		return errCut
	}
	if e.Kind == request.EventEnd {
		k.mu.Lock()
		delete(k.open, f)
		k.mu.Unlock()
		if f.ended.Swap(true) {
			return nil
		}
	}
	return f.sink(e)
}

func (k *links) Reachable(config.ShardID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.cut
}

// lose ends all requests on links, as their end does; the leaders learn of it if told.
func (k *links) lose(tell bool) {
	k.mu.Lock()
	open := k.open
	k.open = nil
	k.mu.Unlock()
	for f := range open {
		f.lost.Store(true)
		if tell {
			f.cancel()
		}
		if !f.ended.Swap(true) {
			go f.sink(request.Fail(request.CodeLinkLost, "link lost").End(request.Unknown))
		}
	}
}

// part cuts the links; heal restores them and wakes paused leaders.
func (k *links) part() {
	k.mu.Lock()
	k.cut = true
	k.mu.Unlock()
	k.lose(true)
}

func (k *links) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = false
	if k.paused != nil {
		close(k.paused)
		k.paused = nil
	}
}

// pause stops the leaders' events; the entry router takes them for dead, and new
// leaders begin while the old ones still run what they admitted.
func (k *links) pause() {
	k.mu.Lock()
	if k.paused == nil {
		k.paused = make(chan struct{})
	}
	for id, l := range k.leaders {
		defer l.stop()
		k.lead(id)
	}
	k.mu.Unlock()
	k.lose(false)
	time.AfterFunc(50*time.Millisecond, k.heal)
}

// restart has every leader lose its memory.
func (k *links) restart() {
	k.mu.Lock()
	for id, l := range k.leaders {
		l.stop()
		k.lead(id)
	}
	k.mu.Unlock()
	k.lose(true)
}
