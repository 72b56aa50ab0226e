package caller

// This file defines Entry, which sends requests to leaders as its
// schedule.Dispatchers decide. One request's state is in flow.go.

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/config"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// Leaders carries requests to the leaders of shards, here or at other routers.
type Leaders interface {
	// Submit sends a request to the leader of its shard; an error means that
	// nothing was sent. The sink gets the events, the context gives the request
	// up, and recall asks for it back if it still waits.
	Submit(ctx context.Context, r *request.Request, sink request.Sink) (recall func(), err error)
	// Reachable reports whether a shard has a leader that this router can reach.
	Reachable(id config.ShardID) bool
}

// EntryOptions are an Entry's parameters.
type EntryOptions struct {
	Zone   string
	Limits schedule.Limits // of one customer at one service
	Wait   time.Duration   // longest time in queues
}

// tickInterval is the longest time for which a change that no event tells of goes unnoticed.
const tickInterval = 250 * time.Millisecond

// maxReturns bounds how often a request may come back from leaders without running.
const maxReturns = 1000

// Entry is the entry router's side of all requests; it may be used from many goroutines.
//
// Invariant: each request given to Do gets exactly one EventEnd.
type Entry struct {
	options EntryOptions
	leaders Leaders
	logger  zerolog.Logger
	metrics tally.Scope
	done    chan struct{}

	mu          sync.Mutex
	view        *config.View
	dispatchers map[string]*schedule.Dispatcher // by service
	flows       map[*schedule.Held]*flow
	nextID      uint64
	stopping    bool
}

// NewEntry returns an Entry without configuration.
func NewEntry(o EntryOptions, l Leaders, logger zerolog.Logger, metrics tally.Scope) *Entry {
	return &Entry{
		options: o, leaders: l, logger: logger, metrics: metrics, done: make(chan struct{}),
		dispatchers: map[string]*schedule.Dispatcher{}, flows: map[*schedule.Held]*flow{},
		view: config.NewView(&config.State{}),
	}
}

// Done returns a channel that is closed when the entry was stopped and the last request ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Configure takes in a configuration.
func (e *Entry) Configure(v *config.View) {
	e.mu.Lock()
	e.view = v
	for _, svc := range v.List(config.KindService, nil) {
		d := e.dispatchers[svc.Name]
		if d == nil {
			d = schedule.NewDispatcher(e.options.Limits)
			e.dispatchers[svc.Name] = d
		}
		d.Configure(e.destinations(v, svc.Name))
	}
	e.mu.Unlock()
	e.pump()
}

func (e *Entry) destinations(v *config.View, service string) []schedule.Destination {
	var list []schedule.Destination
	for _, sh := range v.Shards(service) {
		if !sh.InService {
			continue
		}
		id := sh.ID
		list = append(list, schedule.Destination{
			Shard: id.String(),
			Near:  id.Zone == e.options.Zone,
			Usable: func(customer string) bool {
				return v.Mask(customer, id) != 0 && e.leaders.Reachable(id)
			},
		})
	}
	return list
}

// Do queues a request and returns. The sink gets the events of its answer; the
// context says that the caller left.
func (e *Entry) Do(ctx context.Context, r *request.Request, sink request.Sink) {
	e.mu.Lock()
	if e.stopping {
		e.mu.Unlock()
		sink(request.Fail(request.CodeStopping, "this router stops").End(request.NotRun))
		return
	}
	d := e.dispatchers[r.Service]
	if d == nil || !e.view.MayUse(r.Customer, r.Service) {
		e.mu.Unlock()
		sink(request.Fail(request.CodeForbidden, "no selector lets customer %q use service %q", r.Customer, r.Service).End(request.NotRun))
		return
	}
	e.nextID++
	f := &flow{
		entry: e, request: r, sink: sink, ctx: ctx, began: time.Now(),
		held: &schedule.Held{ID: e.nextID, Customer: r.Customer, Bytes: len(r.Body)},
	}
	if err := d.Add(f.held); err != nil {
		e.mu.Unlock()
		full := request.Fail(request.CodeQueueFull, "%v", err)
		full.RetryAfter = time.Second
		sink(full.End(request.NotRun))
		return
	}
	e.flows[f.held] = f
	e.mu.Unlock()
	f.watch(e.options.Wait)
	e.pump()
}

// pump sends every request that may be sent now.
func (e *Entry) pump() {
	e.mu.Lock()
	now := time.Now()
	var out []func()
	for _, d := range e.dispatchers {
		for _, h := range d.Pump(now) {
			f := e.flows[h]
			f.prepare(e.shard(f.request.Service, h.Shard()))
			r, attempt := f.sent, f.attempt
			out = append(out, func() { f.submit(r, attempt) })
		}
	}
	e.mu.Unlock()
	for _, submit := range out {
		submit()
	}
}

func (e *Entry) shard(service, name string) config.ShardID {
	for _, sh := range e.view.Shards(service) {
		if sh.ID.String() == name {
			return sh.ID
		}
	}
	return config.ShardID{}
}

// Hint takes in a shard's load and moves waiting requests to where there is room.
func (e *Entry) Hint(id config.ShardID, h request.Hint) {
	e.mu.Lock()
	d := e.dispatchers[id.Service]
	if d == nil {
		e.mu.Unlock()
		return
	}
	d.Hint(time.Now(), id.String(), h.Free, h.Waiting, h.Window)
	e.mu.Unlock()
	e.pump()
	if h.Free > 0 {
		e.recall(id)
	}
}

// recall asks other leaders for requests that a shard with room could run.
func (e *Entry) recall(id config.ShardID) {
	e.mu.Lock()
	var recalls []func()
	if d := e.dispatchers[id.Service]; d != nil {
		for _, h := range d.Recalls(time.Now(), id.String()) {
			if f := e.flows[h]; f != nil && f.recall != nil {
				recalls = append(recalls, f.recall)
			}
		}
	}
	e.mu.Unlock()
	e.metrics.Counter("requests_recalled").Inc(int64(len(recalls)))
	for _, recall := range recalls {
		recall()
	}
}

// Run keeps requests moving until the context ends, then hands back all that
// wait and returns when the last request in flight has ended.
func (e *Entry) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.drain()
			close(e.done)
			return nil
		case <-t.C:
			e.pump()
		}
	}
}

// drain takes nothing new, hands back what waits, and waits for the rest.
func (e *Entry) drain() {
	e.mu.Lock()
	e.stopping = true
	var list []*flow
	for _, f := range e.flows {
		list = append(list, f)
	}
	e.mu.Unlock()
	for _, f := range list {
		f.expire(request.Fail(request.CodeStopping, "this router stops"))
	}
	for e.InFlight() > 0 {
		time.Sleep(drainStep)
	}
}

// drainStep is the time between two looks at what is still in flight.
const drainStep = 10 * time.Millisecond

// InFlight returns the number of requests that have not ended.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}
