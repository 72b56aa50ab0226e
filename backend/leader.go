package backend

// This file defines Leader, which manages one shard's backend servers: it queues requests,
// admits them, and polls the servers' load reports. The attempts are made by job.

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"bulrushtally/config"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// Cost of a request to a model service.
const (
	inputWeight   = 1 // cost of an input token
	outputWeight  = 2 // cost of an output token
	bytesPerToken = 4 // of the request's body, to estimate input tokens until the model server reports them
)

// pollInterval is the time between two polls of a backend server's load report.
const pollInterval = 1 * time.Second

// admitInterval is the time between two attempts to admit queued requests when nothing else
// triggers one. It limits how long capacity stays unused that became free by the passing of
// time alone, as when the pause after a declined request ends.
const admitInterval = 100 * time.Millisecond

// Tracker is how leaders report to the rest of their router. Its methods may be called
// concurrently.
type Tracker interface {
	// Charge adds to the cost that a shard has served to a customer; a negative cost
	// corrects an earlier estimate. It is called with the leader's lock held, so it must
	// not call the leader.
	Charge(id config.ShardID, customer string, cost float64)
	// Verdict returns whether the request with a digest may run.
	Verdict(digest uint64) schedule.Verdict
	// RecordCrash records that a backend server crashed while it ran a request.
	RecordCrash(digest uint64, customer, requestID string)
	// RecordCompletion records that a suspect request ran to its end.
	RecordCompletion(digest uint64)
	// CapacityAvailable reports that a shard has free slots beyond those that its queue needs. It is
	// called when this becomes true, without the leader's lock.
	CapacityAvailable(id config.ShardID, load request.LoadHint)
}

// Leader controls the concurrency windows of one shard's backend servers. It is safe for
// concurrent use.
//
// Invariants: every job in jobs is queued in or granted by the scheduler, or waits for its
// retry delay; the sink of each submitted request gets exactly one EventEnd.
type Leader struct {
	id          config.ShardID
	vm          string
	client      *Client
	tracker     Tracker
	logger      zerolog.Logger
	metrics     tally.Scope
	model       bool          // the shard's service is a model service
	done        chan struct{} // closed at the end of Run
	runningJobs conc.WaitGroup

	mu           sync.Mutex // guards the fields below, except attemptCount and incarnation
	scheduler    *schedule.Scheduler
	retryBudget  *schedule.RetryBudget
	view         *config.View
	leavingVMs   map[string]bool   // VMs that the platform lists as leaving, by name
	addresses    map[string]string // by backend server
	bootIDs      map[string]string // from the last load report, by backend server
	jobs         map[*schedule.Ticket]*job
	lastTicketID uint64
	attemptCount atomic.Uint64
	incarnation  uint64
	stopping     bool
	hadCapacity  bool // the last admitLocked found free slots beyond the queue's need
}

// LeaderConfig holds the parameters of NewLeader.
type LeaderConfig struct {
	Shard       config.ShardID
	VM          string // of this router
	Incarnation uint64 // of this router; makes attempt IDs unique across its restarts
	Client      *Client
	Tracker     Tracker
	Options     schedule.Options
	Logger      zerolog.Logger
	Metrics     tally.Scope
}

// NewLeader returns a Leader without backend servers. Configure adds them, with cold windows,
// and must be called before the other methods that change the leader and before Run.
func NewLeader(c LeaderConfig) *Leader {
	l := &Leader{
		id: c.Shard, vm: c.VM, client: c.Client, tracker: c.Tracker, incarnation: c.Incarnation,
		logger:      c.Logger.With().Str("shard", c.Shard.String()).Logger(),
		metrics:     c.Metrics,
		done:        make(chan struct{}),
		retryBudget: schedule.NewRetryBudget(),
		bootIDs:     map[string]string{},
		jobs:        map[*schedule.Ticket]*job{},
	}
	l.scheduler = schedule.New(c.Options, func(customer string, cost float64) {
		c.Tracker.Charge(c.Shard, customer, cost)
	})
	return l
}

// ID returns the shard's ID.
func (l *Leader) ID() config.ShardID { return l.id }

// Done returns a channel that is closed at the end of Run.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Configure applies a configuration: the shard's backend servers, and the customers' weights
// and access to them.
func (l *Leader) Configure(now time.Time, v *config.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = v
	l.configureLocked(now)
}

// SetLeavingVMs sets the names of the VMs that the platform lists as leaving. Backend servers on
// them get no new requests.
func (l *Leader) SetLeavingVMs(now time.Time, names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !maps.Equal(l.leavingVMs, names) {
		l.leavingVMs = names
		l.configureLocked(now)
	}
}

// configureLocked passes the configuration and the leaving VMs to the scheduler, and admits
// queued requests; l.mu is held.
func (l *Leader) configureLocked(now time.Time) {
	v := l.view
	shard := v.Shard(l.id)
	if shard == nil {
		shard = &config.Shard{ID: l.id}
	}
	if svc := v.Get(config.KindService, l.id.Service); svc != nil {
		l.model = svc.ServesModels()
	}
	l.addresses = map[string]string{}
	backends := make([]schedule.Backend, 0, len(shard.Backends))
	for _, b := range shard.Backends {
		backends = append(backends, schedule.Backend{Name: b.Name, Slots: b.Slots(), Leaving: b.Leaving() || l.leavingVMs[b.Name] || !shard.InService})
		l.addresses[b.Name] = b.Address
	}
	l.scheduler.Configure(now, backends, func(customer string) schedule.Access {
		access := schedule.Access{Mask: v.BackendMask(customer, l.id), Weight: 1}
		if c := v.Get(config.KindCustomer, customer); c != nil {
			access.Weight = c.Weight()
		}
		return access
	})
	l.admitLocked(now)
}

// ResetCold resets all windows to their cold size, as after this process was suspended.
func (l *Leader) ResetCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.ResetCold(now)
}

// AddRemoteCost adds cost that other shards have served to a customer.
func (l *Leader) AddRemoteCost(now time.Time, customer string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.AddRemoteService(now, customer, cost)
}

// LoadHint returns the shard's current load.
func (l *Leader) LoadHint(now time.Time) request.LoadHint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadHintLocked(now)
}

// loadHintLocked is LoadHint with l.mu held. It counts as free only the slots that the queue does
// not need.
func (l *Leader) loadHintLocked(now time.Time) request.LoadHint {
	load := l.scheduler.Load(now)
	return request.LoadHint{Free: max(0, load.Free-load.Waiting), Waiting: load.Waiting, Window: load.Window}
}

// Windows calls f for each backend server with its name, its window's size and its requests
// in flight. The leader is locked meanwhile, so f must not call it.
func (l *Leader) Windows(f func(name string, size, inflight int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.ForEachWindow(func(b schedule.Backend, w *schedule.Window) { f(b.Name, w.Size(), w.InFlight()) })
}

// Submit queues a request and passes the events of its response to sink, ending with one
// EventEnd also if the request is not admitted. The end of ctx cancels the request at any stage.
// The recall function ends it with request.CodeRecalled if it is still queued, and has no
// effect otherwise.
func (l *Leader) Submit(ctx context.Context, r *request.Request, sink request.Sink) (recall func()) {
	digest := r.Digest()
	verdict := l.tracker.Verdict(digest)
	if verdict == schedule.VerdictRefused {
		sink(request.NewFailure(request.CodeQuarantined, "request %s", r.ID).EndEvent(request.OutcomeNotRun))
		return func() {}
	}
	l.mu.Lock()
	if l.stopping {
		l.mu.Unlock()
		sink(request.NewFailure(request.CodeLeaderChanged, "shard %s has a new leader", l.id).EndEvent(request.OutcomeNotRun))
		return func() {}
	}
	l.lastTicketID++
	j := &job{
		leader: l, request: r, sink: sink, ctx: ctx,
		ticket: &schedule.Ticket{
			ID: l.lastTicketID, Customer: r.Customer, Digest: digest,
			AvoidBackend: r.AvoidBackend, Suspect: verdict == schedule.VerdictSuspect,
		},
		attempts: r.PriorAttempts,
	}
	j.cost.inputTokens = float64(len(r.Body)) / bytesPerToken
	l.jobs[j.ticket] = j
	now := time.Now()
	l.scheduler.Enqueue(now, j.ticket)
	l.watchQueued(j)
	l.admitLocked(now)
	l.mu.Unlock()
	return func() { l.cancelQueued(j, request.NewFailure(request.CodeRecalled, "taken back by the entry router")) }
}

// watchQueued arranges that a queued job ends when its caller leaves or its maximum wait is
// over; j.stopQueueWatch undoes it.
func (l *Leader) watchQueued(j *job) {
	j.stopContextWatch = context.AfterFunc(j.ctx, func() {
		l.cancelQueued(j, request.NewFailure(request.CodeCanceled, "given up in the queue"))
	})
	j.queueTimer = time.AfterFunc(j.request.MaxWait, func() {
		l.cancelQueued(j, request.NewFailure(request.CodeQueueTimeout, "waited %v in the queue", j.request.MaxWait))
	})
}

// cancelQueued ends a job with a failure if it is still queued; otherwise it does nothing.
func (l *Leader) cancelQueued(j *job, failure *request.Failure) {
	l.mu.Lock()
	queued := l.scheduler.Cancel(j.ticket)
	if queued {
		delete(l.jobs, j.ticket)
	}
	load := l.loadHintLocked(time.Now())
	l.mu.Unlock()
	if queued {
		j.stopQueueWatch()
		l.failQueued(j, failure, load)
	}
}

// failQueued passes EventEnd with a failure to the sink of a job that was removed from jobs
// while it was queued or waited for its retry delay.
func (l *Leader) failQueued(j *job, failure *request.Failure, load request.LoadHint) {
	end := failure.EndEvent(j.failureOutcome())
	end.Hint = &load
	j.sink(end)
}

// admitLocked starts an attempt for each queued request that the scheduler grants now, and
// calls Tracker.CapacityAvailable if slots have become free beyond the queue's need; l.mu is
// held.
func (l *Leader) admitLocked(now time.Time) {
	for {
		grant, ok := l.scheduler.Next(now)
		if !ok {
			break
		}
		j := l.jobs[grant.Ticket]
		j.stopQueueWatch()
		load := l.loadHintLocked(now)
		l.runningJobs.Go(func() { j.runAttempt(grant.Backend, load) })
	}
	load := l.loadHintLocked(now)
	hasCapacity := load.Free > 0
	if hasCapacity && !l.hadCapacity {
		go l.tracker.CapacityAvailable(l.id, load)
	}
	l.hadCapacity = hasCapacity
}

// Run polls the backend servers and admits queued requests until the context ends. It then
// ends all queued requests with request.CodeLeaderChanged, waits for running attempts to end,
// and returns nil.
func (l *Leader) Run(ctx context.Context) error {
	l.pollServers(ctx)
	pollTicker := time.NewTicker(pollInterval)
	defer pollTicker.Stop()
	admitTicker := time.NewTicker(admitInterval)
	defer admitTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop()
			close(l.done)
			return nil
		case <-pollTicker.C:
			l.pollServers(ctx)
		case now := <-admitTicker.C:
			l.onAdmitTick(now)
		}
	}
}

// onAdmitTick is called every admitInterval.
func (l *Leader) onAdmitTick(now time.Time) {
	l.mu.Lock()
	l.admitLocked(now)
	l.mu.Unlock()
	l.failQueuedWithoutServers(now)
}

// failQueuedWithoutServers ends all queued requests with request.CodeNoBackend if no backend
// server of the shard is reachable and in service. Their entry routers may then use another
// shard.
func (l *Leader) failQueuedWithoutServers(now time.Time) {
	l.mu.Lock()
	if l.scheduler.Load(now).Window > 0 {
		l.mu.Unlock()
		return
	}
	queued := l.removeQueuedLocked()
	load := l.loadHintLocked(now)
	l.mu.Unlock()
	for _, j := range queued {
		l.failQueued(j, request.NewFailure(request.CodeNoBackend, "shard %s has no backend server in service", l.id), load)
	}
}

// removeQueuedLocked removes and returns all queued jobs; l.mu is held.
func (l *Leader) removeQueuedLocked() []*job {
	var removed []*job
	for ticket, j := range l.jobs {
		if l.scheduler.Cancel(ticket) {
			delete(l.jobs, ticket)
			j.stopQueueWatch()
			removed = append(removed, j)
		}
	}
	return removed
}

// stop ends all queued requests and waits for running attempts.
func (l *Leader) stop() {
	l.mu.Lock()
	l.stopping = true
	queued := l.removeQueuedLocked()
	l.mu.Unlock()
	for _, j := range queued {
		l.failQueued(j, request.NewFailure(request.CodeLeaderChanged, "shard %s has a new leader", l.id), request.LoadHint{})
	}
	l.runningJobs.Wait()
}

// pollServers polls all backend servers concurrently, then admits queued requests.
func (l *Leader) pollServers(ctx context.Context) {
	l.mu.Lock()
	addresses := make(map[string]string, len(l.addresses))
	for name, address := range l.addresses {
		addresses[name] = address
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*pollInterval)
	defer cancel()
	var polls conc.WaitGroup
	for name, address := range addresses {
		polls.Go(func() { l.pollServer(ctx, name, address) })
	}
	polls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.scheduler.Prune(now)
	l.admitLocked(now)
}

// pollServer reads a backend server's load report, passes the result to the scheduler, and
// reports whether the server is up. If ctx was canceled, it returns false and records nothing.
func (l *Leader) pollServer(ctx context.Context, name, address string) bool {
	load, err := l.client.FetchLoad(ctx, address, l.newAttemptID())
	if ctx.Err() == context.Canceled {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.scheduler.MarkUnreachable(now, name)
		l.logger.Debug().Err(err).Str("backend", name).Msg("backend-unreachable")
		return false
	}
	report := schedule.LoadReport{Boot: load.BootID, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving}
	if l.scheduler.ApplyLoadReport(now, name, report) && l.bootIDs[name] != "" {
		l.logger.Info().Str("backend", name).Str("boot", load.BootID).Msg("backend-cold")
		l.metrics.Counter("backend_cold").Inc(1)
	}
	l.bootIDs[name] = load.BootID
	return true
}

// newAttemptID returns an ID that no other attempt of any router has.
func (l *Leader) newAttemptID() string {
	return l.vm + "-" + strconv.FormatUint(l.incarnation, 36) + "-" + l.id.String() + "-" + strconv.FormatUint(l.attemptCount.Add(1), 36)
}
