package caller

// This file defines EntryRouter, which queues requests and sends them to the shard
// leaders that its schedule.Dispatchers choose. The state of one request is in inflight.go.

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

// Leaders sends requests to the leaders of shards, on this router or on others.
type Leaders interface {
	// Submit sends a request to the leader of its shard. After an error nothing was
	// sent. The sink receives the request's events. Ending ctx cancels the request.
	// The function recall asks the leader to return the request if it has not been
	// admitted; EventEnd then has the failure code request.CodeRecalled.
	Submit(ctx context.Context, r *request.Request, sink request.Sink) (recall func(), err error)
	// Reachable reports whether the shard has a leader that this router can reach.
	Reachable(id config.ShardID) bool
}

// EntryRouterOptions are the parameters of an EntryRouter.
type EntryRouterOptions struct {
	Zone    string          // zone of this router, whose shards are preferred
	Limits  schedule.Limits // of the waiting requests of one customer at one service
	MaxWait time.Duration   // maximum time that a request may wait before it is admitted
}

// dispatchInterval is the interval at which waiting requests are dispatched even if no
// event has caused a dispatch, for example after a leader has become reachable.
const dispatchInterval = 250 * time.Millisecond

// maxResubmissions is how often a request may be returned by leaders and sent again. When
// it is returned once more, it fails.
const maxResubmissions = 1000

// EntryRouter handles the requests of a router's own callers: it queues them, sends them to
// shard leaders and forwards the events of their responses. It is safe for concurrent use.
//
// Invariant: the sink of each request that is passed to Enqueue receives exactly one EventEnd.
type EntryRouter struct {
	options EntryRouterOptions
	leaders Leaders
	logger  zerolog.Logger
	metrics tally.Scope
	done    chan struct{}

	mu          sync.Mutex
	view        *config.View
	dispatchers map[string]*schedule.Dispatcher // by service name
	inFlight    map[*schedule.PendingRequest]*inFlightRequest
	nextID      uint64
	stopping    bool
}

// NewEntryRouter returns an EntryRouter without a configuration. It rejects all requests
// until Configure is called.
func NewEntryRouter(o EntryRouterOptions, l Leaders, logger zerolog.Logger, metrics tally.Scope) *EntryRouter {
	return &EntryRouter{
		options: o, leaders: l, logger: logger, metrics: metrics, done: make(chan struct{}),
		dispatchers: map[string]*schedule.Dispatcher{}, inFlight: map[*schedule.PendingRequest]*inFlightRequest{},
		view: config.NewView(&config.State{}),
	}
}

// Done returns a channel that is closed when Run has stopped and the last request has ended.
func (e *EntryRouter) Done() <-chan struct{} { return e.done }

// Configure applies a configuration and dispatches the requests that may now be sent.
func (e *EntryRouter) Configure(v *config.View) {
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
	e.dispatch()
}

// destinations returns the shards of a service that are in service. A customer's requests
// may go to a shard if the customer may use a backend server of it and its leader is reachable.
func (e *EntryRouter) destinations(v *config.View, service string) []schedule.Destination {
	var list []schedule.Destination
	for _, sh := range v.Shards(service) {
		if !sh.InService {
			continue
		}
		id := sh.ID
		list = append(list, schedule.Destination{
			Shard:    id.String(),
			SameZone: id.Zone == e.options.Zone,
			Usable: func(customer string) bool {
				return v.BackendMask(customer, id) != 0 && e.leaders.Reachable(id)
			},
		})
	}
	return list
}

// Enqueue queues a request and returns without waiting for its response. The sink receives
// the response's events; if the request is rejected, it receives EventEnd before Enqueue
// returns. Ending ctx means that the caller disconnected and cancels the request.
func (e *EntryRouter) Enqueue(ctx context.Context, r *request.Request, sink request.Sink) {
	e.mu.Lock()
	if e.stopping {
		e.mu.Unlock()
		sink(request.NewFailure(request.CodeStopping, "this router stops").EndEvent(request.OutcomeNotRun))
		return
	}
	d := e.dispatchers[r.Service]
	if d == nil || !e.view.MayUse(r.Customer, r.Service) {
		e.mu.Unlock()
		sink(request.NewFailure(request.CodeForbidden, "no selector lets customer %q use service %q", r.Customer, r.Service).EndEvent(request.OutcomeNotRun))
		return
	}
	e.nextID++
	f := &inFlightRequest{
		entry: e, request: r, sink: sink, ctx: ctx, enqueuedAt: time.Now(),
		pending: &schedule.PendingRequest{ID: e.nextID, Customer: r.Customer, Bytes: len(r.Body)},
	}
	if err := d.Add(f.pending); err != nil {
		e.mu.Unlock()
		queueFull := request.NewFailure(request.CodeQueueFull, "%v", err)
		queueFull.RetryAfter = time.Second
		sink(queueFull.EndEvent(request.OutcomeNotRun))
		return
	}
	e.inFlight[f.pending] = f
	e.mu.Unlock()
	f.watchCancellation(e.options.MaxWait)
	e.dispatch()
}

// dispatch sends the queued requests that the dispatchers allow to be sent now.
func (e *EntryRouter) dispatch() {
	e.mu.Lock()
	now := time.Now()
	var submits []func()
	for _, d := range e.dispatchers {
		for _, h := range d.TakeSendable(now) {
			f := e.inFlight[h]
			f.prepareLocked(e.shardIDLocked(f.request.Service, h.Shard()))
			r, submission := f.sentRequest, f.submission
			submits = append(submits, func() { f.submit(r, submission) })
		}
	}
	e.mu.Unlock()
	for _, submit := range submits {
		submit()
	}
}

// shardIDLocked returns the ID of a service's shard by the string form of the ID, or an
// empty ID if there is no such shard.
func (e *EntryRouter) shardIDLocked(service, name string) config.ShardID {
	for _, sh := range e.view.Shards(service) {
		if sh.ID.String() == name {
			return sh.ID
		}
	}
	return config.ShardID{}
}

// UpdateLoad records the load that a shard's leader reports and dispatches waiting requests.
// If the shard has free slots, it recalls requests that wait at other leaders.
func (e *EntryRouter) UpdateLoad(id config.ShardID, h request.LoadHint) {
	e.mu.Lock()
	d := e.dispatchers[id.Service]
	if d == nil {
		e.mu.Unlock()
		return
	}
	d.UpdateLoad(time.Now(), id.String(), h.Free, h.Waiting, h.Window)
	e.mu.Unlock()
	e.dispatch()
	if h.Free > 0 {
		e.recallFor(id)
	}
}

// recallFor recalls requests from other leaders that a shard with free slots could run.
func (e *EntryRouter) recallFor(id config.ShardID) {
	e.mu.Lock()
	var recalls []func()
	if d := e.dispatchers[id.Service]; d != nil {
		for _, h := range d.SelectRecalls(time.Now(), id.String()) {
			if f := e.inFlight[h]; f != nil && f.recall != nil {
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

// Run dispatches waiting requests at intervals until ctx is done. Then it rejects new
// requests, cancels the waiting ones and returns nil when the last admitted one has ended.
func (e *EntryRouter) Run(ctx context.Context) error {
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			e.drain()
			close(e.done)
			return nil
		case <-t.C:
			e.dispatch()
		}
	}
}

// drain rejects new requests, cancels those that have not been admitted, and waits until
// no request is in flight.
func (e *EntryRouter) drain() {
	e.mu.Lock()
	e.stopping = true
	var list []*inFlightRequest
	for _, f := range e.inFlight {
		list = append(list, f)
	}
	e.mu.Unlock()
	for _, f := range list {
		f.cancelWaiting(request.NewFailure(request.CodeStopping, "this router stops"))
	}
	for e.InFlight() > 0 {
		time.Sleep(drainCheckInterval)
	}
}

// drainCheckInterval is the interval at which drain checks whether requests are in flight.
const drainCheckInterval = 10 * time.Millisecond

// InFlight returns the number of requests that have not ended, queued ones included.
func (e *EntryRouter) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}
