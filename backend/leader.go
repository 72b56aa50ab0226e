package backend

// This file defines Leader, which owns one shard's backend servers: it queues
// requests, admits them, and watches the servers. The attempts themselves are in job.go.

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

// Weights of a model request's cost.
const (
	inputWeight   = 1 // for each input token
	outputWeight  = 2 // for each output token
	bytesPerToken = 4 // of input text, while the engine has not counted
)

// pollInterval is the time between two load reports of one backend server.
const pollInterval = 1 * time.Second

// pumpInterval is the longest time for which a window that reopened by time alone stays unused.
const pumpInterval = 100 * time.Millisecond

// Tracker is what leaders share with the rest of a router.
type Tracker interface {
	// Charge counts service that a customer received, also negative corrections.
	Charge(id config.ShardID, customer string, cost float64)
	// Verdict says whether a request may run.
	Verdict(digest uint64) schedule.Verdict
	// Died takes in that a backend server died while it ran a request.
	Died(digest uint64, customer, number string)
	// Cleared takes in that a suspect request ran to its end.
	Cleared(digest uint64)
	// HasRoom takes in that a shard has room and nothing waiting.
	HasRoom(id config.ShardID, h request.Hint)
}

// Leader owns the windows of one shard; it may be used from many goroutines.
//
// Invariants: every job in jobs is waiting in or granted by the scheduler, and
// each submitted request's sink gets exactly one EventEnd.
type Leader struct {
	id      config.ShardID
	vm      string
	client  *Client
	tracker Tracker
	logger  zerolog.Logger
	metrics tally.Scope
	model   bool
	done    chan struct{}
	running conc.WaitGroup

	mu          sync.Mutex
	scheduler   *schedule.Scheduler
	retries     *schedule.RetryBudget
	view        *config.View
	leaving     map[string]bool // by the platform's list
	addresses   map[string]string
	boots       map[string]string // by backend server
	jobs        map[*schedule.Ticket]*job
	nextID      uint64
	attempts    atomic.Uint64
	incarnation uint64
	stopping    bool
	roomy       bool
}

// LeaderConfig is what New needs to make a Leader.
type LeaderConfig struct {
	Shard       config.ShardID
	VM          string
	Incarnation uint64 // of this router, so that attempts of its earlier lives have other numbers
	Client      *Client
	Tracker     Tracker
	Options     schedule.Options
	Logger      zerolog.Logger
	Metrics     tally.Scope
}

// NewLeader returns a leader whose backend servers all start cold.
func NewLeader(c LeaderConfig) *Leader {
	l := &Leader{
		id: c.Shard, vm: c.VM, client: c.Client, tracker: c.Tracker, incarnation: c.Incarnation,
		logger:  c.Logger.With().Str("shard", c.Shard.String()).Logger(),
		metrics: c.Metrics,
		done:    make(chan struct{}),
		retries: schedule.NewRetryBudget(),
		boots:   map[string]string{},
		jobs:    map[*schedule.Ticket]*job{},
	}
	l.scheduler = schedule.New(c.Options, func(customer string, cost float64) {
		c.Tracker.Charge(c.Shard, customer, cost)
	})
	return l
}

// ID returns the shard's identity.
func (l *Leader) ID() config.ShardID { return l.id }

// Done returns a channel that is closed when the leader has stopped and its last request ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Configure takes in the shard's backend servers and rights from a configuration.
func (l *Leader) Configure(now time.Time, v *config.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = v
	l.configure(now)
}

// SetLeaving takes in the names of the VMs that leave by the platform's list.
func (l *Leader) SetLeaving(now time.Time, names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !maps.Equal(l.leaving, names) {
		l.leaving = names
		l.configure(now)
	}
}

// configure brings the scheduler in line with the view and the list; l.mu is held.
func (l *Leader) configure(now time.Time) {
	v := l.view
	sh := v.Shard(l.id)
	if sh == nil {
		sh = &config.Shard{ID: l.id}
	}
	if svc := v.Get(config.KindService, l.id.Service); svc != nil {
		l.model = svc.ModelService()
	}
	l.addresses = map[string]string{}
	list := make([]schedule.Backend, 0, len(sh.Backends))
	for _, b := range sh.Backends {
		list = append(list, schedule.Backend{Name: b.Name, Slots: b.Slots(), Leaving: b.Leaving() || l.leaving[b.Name] || !sh.InService})
		l.addresses[b.Name] = b.Address
	}
	l.scheduler.Configure(now, list, func(customer string) schedule.Access {
		a := schedule.Access{Mask: v.Mask(customer, l.id), Weight: 1}
		if c := v.Get(config.KindCustomer, customer); c != nil {
			a.Weight = c.Weight()
		}
		return a
	})
	l.pump(now)
}

// ResetCold returns all windows to cold, as after this process was paused.
func (l *Leader) ResetCold(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.ResetCold(now)
}

// Remote takes in service that a customer received at other shards.
func (l *Leader) Remote(now time.Time, customer string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Remote(now, customer, cost)
}

// Hint returns the shard's load.
func (l *Leader) Hint(now time.Time) request.Hint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hint(now)
}

func (l *Leader) hint(now time.Time) request.Hint {
	x := l.scheduler.Load(now)
	return request.Hint{Free: max(0, x.Free-x.Waiting), Waiting: x.Waiting, Window: x.Window}
}

// Windows calls f with each backend server, its window's size and the requests in flight.
func (l *Leader) Windows(f func(name string, size, inflight int)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.Windows(func(b schedule.Backend, w *schedule.Window) { f(b.Name, w.Size(), w.Inflight()) })
}

// Submit queues a request. The sink gets its events; the context gives it up. The
// recall function takes it back if it still waits.
func (l *Leader) Submit(ctx context.Context, r *request.Request, sink request.Sink) (recall func()) {
	digest := r.Digest()
	verdict := l.tracker.Verdict(digest)
	if verdict == schedule.Refused {
		sink(request.Fail(request.CodeQuarantined, "request %s", r.Number).End(request.NotRun))
		return func() {}
	}
	l.mu.Lock()
	if l.stopping {
		l.mu.Unlock()
		sink(request.Fail(request.CodeMoved, "shard %s has a new leader", l.id).End(request.NotRun))
		return func() {}
	}
	l.nextID++
	j := &job{
		leader: l, request: r, sink: sink, ctx: ctx,
		ticket: &schedule.Ticket{
			ID: l.nextID, Customer: r.Customer, Digest: digest,
			Avoid: r.AvoidBackend, Suspect: verdict == schedule.Suspect,
		},
		attempts: r.PriorAttempts,
	}
	j.cost.input = float64(len(r.Body)) / bytesPerToken
	l.jobs[j.ticket] = j
	now := time.Now()
	l.scheduler.Enqueue(now, j.ticket)
	l.watchQueue(j)
	l.pump(now)
	l.mu.Unlock()
	return func() { l.drop(j, request.Fail(request.CodeRecalled, "taken back by the entry router")) }
}

// watchQueue makes a waiting job end when its caller leaves or its time in the queue is over.
func (l *Leader) watchQueue(j *job) {
	j.unwatch = context.AfterFunc(j.ctx, func() {
		l.drop(j, request.Fail(request.CodeCanceled, "given up in the queue"))
	})
	j.timer = time.AfterFunc(j.request.Wait, func() {
		l.drop(j, request.Fail(request.CodeQueueTimeout, "waited %v in the queue", j.request.Wait))
	})
}

// drop ends a job that still waits; one that was granted is not affected.
func (l *Leader) drop(j *job, f *request.Failure) {
	l.mu.Lock()
	waited := l.scheduler.Cancel(j.ticket)
	if waited {
		delete(l.jobs, j.ticket)
	}
	h := l.hint(time.Now())
	l.mu.Unlock()
	if waited {
		j.stopWatching()
		l.endWaiting(j, f, h)
	}
}

func (l *Leader) endWaiting(j *job, f *request.Failure, h request.Hint) {
	e := f.End(j.outcomeSoFar())
	e.Hint = &h
	j.sink(e)
}

// pump starts every request that may run now; l.mu is held.
func (l *Leader) pump(now time.Time) {
	for {
		g, ok := l.scheduler.Next(now)
		if !ok {
			break
		}
		j := l.jobs[g.Ticket]
		j.stopWatching()
		h := l.hint(now)
		l.running.Go(func() { j.run(g.Backend, h) })
	}
	h := l.hint(now)
	roomy := h.Free > 0
	if roomy && !l.roomy {
		go l.tracker.HasRoom(l.id, h)
	}
	l.roomy = roomy
}

// Run polls the backend servers until the context ends, then hands back what
// waits and returns when the last running request has ended.
func (l *Leader) Run(ctx context.Context) error {
	l.poll(ctx)
	polls := time.NewTicker(pollInterval)
	defer polls.Stop()
	pumps := time.NewTicker(pumpInterval)
	defer pumps.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stop()
			close(l.done)
			return nil
		case <-polls.C:
			l.poll(ctx)
		case now := <-pumps.C:
			l.tick(now)
		}
	}
}

func (l *Leader) tick(now time.Time) {
	l.mu.Lock()
	l.pump(now)
	l.mu.Unlock()
	l.returnStranded(now)
}

// returnStranded hands waiting requests back to their entry routers when no
// backend server of the shard can take any.
func (l *Leader) returnStranded(now time.Time) {
	l.mu.Lock()
	if l.scheduler.Load(now).Window > 0 {
		l.mu.Unlock()
		return
	}
	stranded := l.takeWaiting()
	h := l.hint(now)
	l.mu.Unlock()
	for _, j := range stranded {
		l.endWaiting(j, request.Fail(request.CodeNoBackend, "shard %s has no backend server in service", l.id), h)
	}
}

// takeWaiting removes every waiting job; l.mu is held.
func (l *Leader) takeWaiting() []*job {
	var list []*job
	for t, j := range l.jobs {
		if l.scheduler.Cancel(t) {
			delete(l.jobs, t)
			j.stopWatching()
			list = append(list, j)
		}
	}
	return list
}

func (l *Leader) stop() {
	l.mu.Lock()
	l.stopping = true
	waiting := l.takeWaiting()
	l.mu.Unlock()
	for _, j := range waiting {
		l.endWaiting(j, request.Fail(request.CodeMoved, "shard %s has a new leader", l.id), request.Hint{})
	}
	l.running.Wait()
}

// poll reads every backend server's load report at the same time.
func (l *Leader) poll(ctx context.Context) {
	l.mu.Lock()
	addresses := make(map[string]string, len(l.addresses))
	for name, a := range l.addresses {
		addresses[name] = a
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*pollInterval)
	defer cancel()
	var g conc.WaitGroup
	for name, a := range addresses {
		g.Go(func() { l.check(ctx, name, a) })
	}
	g.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.scheduler.Prune(now)
	l.pump(now)
}

// check reads one load report and says whether the server is up.
func (l *Leader) check(ctx context.Context, name, address string) bool {
	load, err := l.client.Load(ctx, address, l.attemptNumber())
	if ctx.Err() == context.Canceled {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.scheduler.Unreachable(now, name)
		l.logger.Debug().Err(err).Str("backend", name).Msg("backend-unreachable")
		return false
	}
	r := schedule.Report{Boot: load.Boot, Running: load.Running, Waiting: load.Waiting, Leaving: load.Leaving}
	if l.scheduler.Report(now, name, r) && l.boots[name] != "" {
		l.logger.Info().Str("backend", name).Str("boot", load.Boot).Msg("backend-cold")
		l.metrics.Counter("backend_cold").Inc(1)
	}
	l.boots[name] = load.Boot
	return true
}

// attemptNumber returns a number that no other attempt of the fleet has.
func (l *Leader) attemptNumber() string {
	return l.vm + "-" + strconv.FormatUint(l.incarnation, 36) + "-" + l.id.String() + "-" + strconv.FormatUint(l.attempts.Add(1), 36)
}
