package faultmatrix_test

// This file defines harness: an entry router, the shard leaders and their backend servers, with
// fakes for the links and the table, into which faults are injected.

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

// harness is the small fleet of one cell: two zones, each with one model server and one plain
// service, a leader for each shard, and an entry router that reaches the leaders over fake links.
type harness struct {
	t            *testing.T
	table        *fakeTable
	store        *config.Store
	log          *ledger.Log
	modelServers []*standin.ModelServer
	plainServers []*standin.PlainService
	entry        *caller.EntryRouter
	callerServer *caller.Server
	links        *fakeLinks
	tracker      *tracker
	ctx          context.Context
	stop         context.CancelFunc
	tasks        sync.WaitGroup
	lastID       atomic.Uint64

	mu          sync.Mutex
	armedStep   step
	armedOnce   bool // the armed function is called once
	onArmedStep func()
	firing      int // calls of armed functions that have not returned
	fired       *sync.Cond
}

// reached calls the armed function if s is the armed step, and disarms it if it is armed once.
func (h *harness) reached(s step) {
	h.mu.Lock()
	injectFault := h.onArmedStep
	if injectFault == nil || h.armedStep != s {
		h.mu.Unlock()
		return
	}
	if h.armedOnce {
		h.onArmedStep = nil
	}
	h.firing++
	h.mu.Unlock()
	injectFault()
	h.mu.Lock()
	h.firing--
	h.fired.Broadcast()
	h.mu.Unlock()
}

// arm has f called when step s is reached next, or each time unless once is set. It replaces an earlier
// armed function.
func (h *harness) arm(s step, once bool, f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armedStep, h.armedOnce, h.onArmedStep = s, once, f
}

// disarm has no function called from then on, and waits for the calls that have begun.
func (h *harness) disarm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onArmedStep = nil
	for h.firing > 0 {
		h.fired.Wait()
	}
}

var modelServerOptions = standin.ModelServerOptions{
	Slots: 4, TokenInterval: time.Millisecond, WarmUpTime: time.Millisecond, MaxCachedPrefixes: 8, ReportLag: time.Millisecond,
}

// listenAddress is a loopback address on which the system chooses a free port.
const listenAddress = "127.0.0.1:0"

// newHarness starts the backend servers, the leaders and the entry router.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, table: newFakeTable(), store: config.NewStore(), tracker: &tracker{quarantine: schedule.NewQuarantine()}}
	h.fired = sync.NewCond(&h.mu)
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.log = ledger.NewLog(h.table, h.table)
	h.table.reached = h.reached
	h.startBackends()
	h.writeConfig()
	h.links = &fakeLinks{harness: h, leaders: map[config.ShardID]*leader{}}
	for _, sh := range h.store.View().AllShards() {
		h.links.startLeader(sh.ID)
	}
	h.startEntryRouter()
	return h
}

func (h *harness) startBackends() {
	for range 2 {
		model, err := standin.NewModelServer(listenAddress, modelServerOptions)
		if err != nil {
			h.t.Fatal(err)
		}
		plain, err := standin.NewPlainService(listenAddress, time.Millisecond)
		if err != nil {
			h.t.Fatal(err)
		}
		model.OnStep(func(s standin.Step) { h.backendReached(s) })
		plain.OnStep(func(s standin.Step) { h.backendReached(s) })
		h.modelServers, h.plainServers = append(h.modelServers, model), append(h.plainServers, plain)
	}
}

// backendReached reports a step of a backend server stand-in.
func (h *harness) backendReached(s standin.Step) {
	if s == standin.StepRunning {
		h.reached(stepFirstByte)
		return
	}
	h.reached(step(s))
}

// writeConfig commits the configuration to the log and the harness's store.
func (h *harness) writeConfig() {
	labels := func(kv ...string) map[string]string { return map[string]string{kv[0]: kv[1]} }
	objects := []*config.Object{
		{Kind: config.KindZone, Name: "kgn-a"}, {Kind: config.KindZone, Name: "kgn-b"},
		{Kind: config.KindService, Name: lab.ModelService, Labels: labels("kind", "model")},
		{Kind: config.KindService, Name: lab.PlainService, Labels: labels("kind", "plain")},
		{Kind: config.KindAccess, Name: "models", Service: lab.ModelService},
		{Kind: config.KindAccess, Name: "plain", Service: lab.PlainService},
	}
	for i, zone := range []string{"kgn-a", "kgn-b"} {
		objects = append(objects,
			&config.Object{Kind: config.KindBackend, Name: "engine-" + zone, Zone: zone, Service: lab.ModelService, Address: h.modelServers[i].Address(), Labels: labels("slots", "4")},
			&config.Object{Kind: config.KindBackend, Name: "plain-" + zone, Zone: zone, Service: lab.PlainService, Address: h.plainServers[i].Address(), Labels: labels("slots", "4")})
	}
	for i := range 2 {
		c := lab.CustomerName(i)
		objects = append(objects, &config.Object{Kind: config.KindCustomer, Name: c},
			&config.Object{Kind: config.KindCaller, Name: c, Customer: c, KeyHash: config.HashKey(lab.CallerKey(c))})
	}
	for i, o := range objects {
		if _, err := h.commitChange(h.store, fmt.Sprintf("seed-%d", i), "lab", config.ChangeRequest{Object: o}); err != nil {
			h.t.Fatal(err)
		}
	}
}

// commitChange commits a change through a router whose store is s; number is the request number.
func (h *harness) commitChange(s *config.Store, number, office string, wish config.ChangeRequest) (*config.Change, error) {
	return h.log.Commit(s, ledger.Proposal{Request: number, Operator: office, Office: office, Plan: func(st *config.State) (*config.Change, error) {
		c, _, err := config.Plan(st, wish)
		return c, err
	}})
}

// startEntryRouter starts the entry router and its HTTP server for callers.
func (h *harness) startEntryRouter() {
	h.entry = caller.NewEntryRouter(caller.EntryRouterOptions{
		Zone: "kgn-a", MaxWait: 6 * time.Second, Limits: schedule.Limits{Requests: 50, Bytes: 1 << 20},
	}, h.links, zerolog.Nop(), tally.NoopScope)
	h.entry.Configure(h.store.View())
	h.store.Watch(func(v *config.View) {
		h.links.configure(v)
		h.entry.Configure(v)
	})
	var err error
	h.callerServer, err = caller.NewServer(caller.ServerOptions{
		Listen: listenAddress, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 8192, RequestReadTimeout: 5 * time.Second, Logger: zerolog.Nop(),
		Ready: func() error { h.reached(stepAccept); h.reached(stepIdentify); return nil },
	}, h.entry, h.store, ledger.NewClaims(claimTable{h.table}))
	if err != nil {
		h.t.Fatal(err)
	}
	h.tasks.Go(func() { h.entry.Run(h.ctx) })
	h.tasks.Go(func() { h.callerServer.Run(h.ctx) })
}

// close removes all faults and stops the fleet.
func (h *harness) close() {
	for _, e := range h.modelServers {
		e.SetFrozen(false)
	}
	for _, p := range h.plainServers {
		p.SetFrozen(false)
	}
	h.table.setFaults(tableFaults{})
	h.links.restore()
	h.stop()
	h.tasks.Wait()
	for i := range h.modelServers {
		h.modelServers[i].Close()
		h.plainServers[i].Close()
	}
}

// tracker implements backend.Tracker, the part of a router that its leaders share.
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

func (k *tracker) RecordCrash(d uint64, _, _ string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quarantine.RecordCrash(time.Now(), d)
}

func (k *tracker) RecordCompletion(d uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quarantine.RecordCompletion(d)
}

func (k *tracker) CapacityAvailable(config.ShardID, request.LoadHint) {}

// leader is a shard's leader with the function that stops it.
type leader struct {
	*backend.Leader
	stop context.CancelFunc
}

// fakeLinks replaces the links between the entry router and the leaders.
type fakeLinks struct {
	harness *harness

	mu           sync.Mutex
	leaders      map[config.ShardID]*leader
	disconnected bool
	resumed      chan struct{} // closed when paused leaders resume; nil if they are not paused
	inFlight     map[*linkRequest]struct{}
}

// linkRequest is a request on a fake link.
type linkRequest struct {
	sink   request.Sink
	cancel context.CancelFunc
	lost   atomic.Bool
	ended  atomic.Bool
}

var backendTimeouts = backend.Timeouts{Connect: 200 * time.Millisecond, Header: 300 * time.Millisecond, Idle: 300 * time.Millisecond}

// startLeader starts a leader without state for a shard. It replaces an earlier leader, which it
// does not stop. The caller holds k.mu, except before the entry router starts.
func (k *fakeLinks) startLeader(id config.ShardID) {
	h := k.harness
	ctx, cancel := context.WithCancel(h.ctx)
	l := backend.NewLeader(backend.LeaderConfig{
		Shard: id, VM: "leader", Incarnation: h.lastID.Add(1), Client: backend.NewClient(backendTimeouts), Tracker: h.tracker,
		Options: schedule.Options{FirstEstimate: 10, MaxDebt: 1000}, Logger: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	l.Configure(time.Now(), h.store.View())
	k.leaders[id] = &leader{l, cancel}
	h.tasks.Go(func() { l.Run(ctx) })
}

func (k *fakeLinks) configure(v *config.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leaders {
		l.Configure(time.Now(), v)
	}
}

var errDisconnected = errors.New("link is disconnected")

// Submit sends a request to its shard's leader, or fails if the links are disconnected.
func (k *fakeLinks) Submit(ctx context.Context, r *request.Request, sink request.Sink) (func(), error) {
	k.harness.reached(stepQueue)
	k.harness.reached(stepForward)
	k.mu.Lock()
	l := k.leaders[r.Shard]
	if k.disconnected || l == nil {
		k.mu.Unlock()
		return nil, errDisconnected
	}
	ctx, cancel := context.WithCancel(ctx)
	onLink := &linkRequest{sink: sink, cancel: cancel}
	if k.inFlight == nil {
		k.inFlight = map[*linkRequest]struct{}{}
	}
	k.inFlight[onLink] = struct{}{}
	k.mu.Unlock()
	return l.Submit(ctx, r, func(e request.Event) error { return k.deliver(onLink, e) }), nil
}

// deliver passes an event on to the entry router, after a pause of the leaders has ended. It fails
// if the request's link was lost.
func (k *fakeLinks) deliver(r *linkRequest, e request.Event) error {
	if e.Kind == request.EventAdmitted {
		k.harness.reached(stepAdmit)
	}
	k.mu.Lock()
	pauseEnd := k.resumed
	k.mu.Unlock()
	if pauseEnd != nil {
		<-pauseEnd
	}
	if r.lost.Load() {
		return errDisconnected
	}
	if e.Kind == request.EventEnd {
		k.mu.Lock()
		delete(k.inFlight, r)
		k.mu.Unlock()
		if r.ended.Swap(true) {
			return nil
		}
	}
	return r.sink(e)
}

func (k *fakeLinks) Reachable(config.ShardID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.disconnected
}

// failRequests ends all requests on the links as a lost link does. The leaders cancel the requests
// only if notifyLeaders is set.
func (k *fakeLinks) failRequests(notifyLeaders bool) {
	k.mu.Lock()
	requests := k.inFlight
	k.inFlight = nil
	k.mu.Unlock()
	for r := range requests {
		r.lost.Store(true)
		if notifyLeaders {
			r.cancel()
		}
		if !r.ended.Swap(true) {
			go r.sink(request.NewFailure(request.CodeLinkLost, "link lost").EndEvent(request.OutcomeUnknown))
		}
	}
}

// disconnect partitions the entry router from all leaders.
func (k *fakeLinks) disconnect() {
	k.mu.Lock()
	k.disconnected = true
	k.mu.Unlock()
	k.failRequests(true)
}

// restore reconnects the links and resumes paused leaders.
func (k *fakeLinks) restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.disconnected = false
	if k.resumed != nil {
		close(k.resumed)
		k.resumed = nil
	}
}

// pauseLeaders holds back the leaders' events for 50 ms, as a pause past the timeout does: the
// entry router treats the leaders as dead, and new leaders start while the old ones still run the
// requests that they admitted.
func (k *fakeLinks) pauseLeaders() {
	k.mu.Lock()
	if k.resumed == nil {
		k.resumed = make(chan struct{})
	}
	for id, l := range k.leaders {
		defer l.stop()
		k.startLeader(id)
	}
	k.mu.Unlock()
	k.failRequests(false)
	time.AfterFunc(50*time.Millisecond, k.restore)
}

// restartLeaders replaces every leader with one without state.
func (k *fakeLinks) restartLeaders() {
	k.mu.Lock()
	for id, l := range k.leaders {
		l.stop()
		k.startLeader(id)
	}
	k.mu.Unlock()
	k.failRequests(true)
}
