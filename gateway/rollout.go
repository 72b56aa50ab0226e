package gateway

// This file defines rollouts, a router's part in roll-outs: it passes orders and stored states of the platform's store to
// the decisions, applies these to the placement, and tells the other routers what this one knows.

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/gossip"
	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/rollout"
	"bulrushtally/settings"
)

const (
	rolloutPeriod     = 50 * time.Millisecond // between two looks at what is decided
	rolloutReportTime = 2 * time.Second       // for which the report of a router is passed on to other zones
	lastStage         = 5                     // of rollout.Progress, in which a router sends nothing to old servers; one that has left does so in any stage
	usualTimeGain     = 0.05                  // weight of one answer in the usual time of a route
)

// rollouts is a router's part in the roll-outs of all services. It is safe for concurrent use.
type rollouts struct {
	rolloutOptions
	core *rollout.Rollout
	done chan struct{}

	mu          sync.Mutex
	orders      orderRows
	status      map[string]statusRow        // by service
	statusRead  bool                        // the table of states was read since the start
	servers     map[string]int              // usable ones of the new version, by service
	active      map[string]bool             // services whose roll-out the placement knows
	logged      map[string]rollout.Progress // what was last logged, by service
	reports     map[reportKey]heardReport   // of the other routers of the zone
	usual       map[routeKey]time.Duration  // time to a whole answer of a plain service's old versions, by route
	rank        int                         // of this router in the fleet
	dueSince    map[string]time.Time        // since when a row is to be written, by service
	triedAt     map[string]time.Time        // last try to write it
	startedAt   time.Time
	clockOffset time.Duration   // the store's clock minus this router's
	hasOffset   bool            // clockOffset is known in the era of the orders
	statusAsked map[string]bool // services whose row is to be read, since another router was first to write it
}

// rolloutOptions are what rollouts depends on.
type rolloutOptions struct {
	VM, Zone    string
	Store       statusStore
	Placer      *placement.Placement
	Incarnation uint64
	Clock       func() time.Duration
	// StoreClock converts a reading of the store's clock in an era to one of Clock. It may wait for rows to be applied.
	StoreClock func(store time.Duration, era uint64) (at time.Duration, ok bool)
	Left       func() bool // this router stops and has ended its last request
	Metrics    tally.Scope
	Logger     zerolog.Logger
}

// reportKey names the reports of a router on a service.
type reportKey struct{ service, router string }

// heardReport is the last report of another router.
type heardReport struct {
	rollout.Report
	at time.Time
}

// routeKey names a route of a service.
type routeKey struct{ service, route string }

var _ ingress.Rollouts = (*rollouts)(nil)

// newRollouts returns the router's part in roll-outs, or nil if the deployment has no bounds for them.
func newRollouts(s *settings.Gateway, o rolloutOptions) *rollouts {
	if !s.RollsOut() {
		return nil
	}
	limits := rollout.Limits{ExposeShare: s.ExposeShare, ExposeSlack: s.ExposeSlack, RollbackDelay: s.RollbackDelay}
	return &rollouts{
		rolloutOptions: o, done: make(chan struct{}), startedAt: time.Now(),
		core:   rollout.New(rollout.Options{Limits: limits, Router: s.VM, Incarnation: o.Incarnation, Routers: s.SpareRouters + 1}),
		orders: newOrderRows(), status: map[string]statusRow{}, servers: map[string]int{}, active: map[string]bool{}, logged: map[string]rollout.Progress{}, reports: map[reportKey]heardReport{},
		usual: map[routeKey]time.Duration{}, dueSince: map[string]time.Time{}, triedAt: map[string]time.Time{}, statusAsked: map[string]bool{},
	}
}

// Done returns a channel that is closed when run has returned.
func (r *rollouts) Done() <-chan struct{} { return r.done }

// rules are the version rules of choices.
var rules = map[rollout.Choice]placement.VersionRule{rollout.AnyVersion: placement.AnyVersion, rollout.OldVersion: placement.OldVersion, rollout.NewVersion: placement.NewVersion}

// Choose returns the version rule for a new request, which it counts.
func (r *rollouts) Choose(now time.Time, service string) placement.VersionRule {
	return rules[r.core.Choose(now, service)]
}

// Again returns the version rule for another attempt of a request.
func (r *rollouts) Again(now time.Time, service string) placement.VersionRule {
	return rules[r.core.Again(now, service)]
}

// Release gives back the choice of the new version.
func (r *rollouts) Release(now time.Time, service string) { r.core.Release(now, service) }

// Sent records that a request is sent to a server of a version. chosen says whether it holds the choice of the new version.
func (r *rollouts) Sent(now time.Time, service, version string, chosen bool) {
	if chosen {
		r.core.Sent(now, service, version)
		return
	}
	r.core.SentUnchosen(now, service, version)
}

// Began records that an attempt has begun.
func (r *rollouts) Began(now time.Time, service, version, route string) {
	r.core.Began(now, service, version, route)
}

// Answered records that the first event of a stream has come.
func (r *rollouts) Answered(service, version, route string, e placement.Ending) {
	if result := resultOf(e); result != rollout.Lost {
		r.core.Answered(e.At, service, version, route, result, e.First, r.expected(service, version, route, result, e))
	}
}

// Ended records how an attempt ended. The end of a stream that was answered says nothing more unless it broke.
func (r *rollouts) Ended(service, version, route string, e placement.Ending, answered bool) {
	result := resultOf(e)
	if answered && result != rollout.Failed {
		result = rollout.Lost
	}
	r.core.Ended(e.At, service, version, route, result, e.First, r.expected(service, version, route, result, e))
	if !e.Unsent {
		r.core.Lasted(service, e.Lasted)
	}
}

// expected returns the time that an answer is expected to take: by the model of the service, or for a plain service as its old
// versions usually take.
func (r *rollouts) expected(service, version, route string, result rollout.Result, e placement.Ending) time.Duration {
	if e.Expected > 0 || e.First <= 0 || result == rollout.Lost {
		return e.Expected
	}
	to, _ := r.core.Trial(service)
	return r.usualTime(routeKey{service, route}, e.First, result == rollout.OK && version != to)
}

// resultOf returns what the end of an attempt says of the server's version. A connection that breaks before the answer may
// be a cut link or a crash; only one that breaks in the middle of a stream is a failed answer. Answers of cold servers say
// nothing of how fast a version is, and the rest of a migrated stream says nothing of when it began.
func resultOf(e placement.Ending) rollout.Result {
	switch {
	case e.Unsent:
		return rollout.Lost
	case e.Result == placement.ServerError, e.Result == placement.Broken && e.First > 0:
		return rollout.Failed
	case e.Result == placement.TimedOut && e.First > 0 && !e.Cold:
		return rollout.Slow
	case e.Result == placement.Done && e.First > 0 && !e.Cold:
		return rollout.OK
	}
	return rollout.Lost
}

// usualTime returns the usual time of a route's answers, and counts one of an old version. It is 0 before the first one.
func (r *rollouts) usualTime(key routeKey, first time.Duration, counts bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := r.usual[key]
	switch {
	case counts && usual == 0:
		r.usual[key] = first
	case counts:
		r.usual[key] = usual + time.Duration(usualTimeGain*float64(first-usual))
	}
	return usual
}

// fleetChanged applies the size of the fleet, this router's rank and the routers that are up.
func (r *rollouts) fleetChanged(f gossip.Fleet, spare int) {
	if r == nil {
		return
	}
	r.core.SetRouters(f.Known + spare)
	r.core.SetMembers(time.Now(), f.Live)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rank = f.Rank
}

// toReport returns what this router tells the others, or what it tells other zones of all routers of its zone.
func (r *rollouts) toReport(now time.Time, zone bool) []rollout.Report {
	if r == nil {
		return nil
	}
	list := r.core.Report(now)
	if r.Left() {
		for i := range list {
			list[i].Stage, list[i].OldInFlight = lastStage, 0
		}
	}
	if !zone {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, report := range r.reports {
		if now.Sub(report.at) > rolloutReportTime {
			delete(r.reports, key)
			continue
		}
		list = append(list, report.Report)
	}
	return list
}

// merge records what other routers report.
func (r *rollouts) merge(now time.Time, m *gossip.RolloutReports) {
	if r == nil {
		return
	}
	for _, report := range m.Reports {
		r.core.Merge(now, report)
	}
	if m.Zone != r.Zone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range m.Reports {
		r.reports[reportKey{report.Service, report.Router}] = heardReport{report, now}
	}
}

// run applies what is decided to the placement until the context ends.
func (r *rollouts) run(ctx context.Context) error {
	defer close(r.done)
	t := time.NewTicker(rolloutPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			r.applyOrders(now)
			for service := range r.services() {
				r.step(now, service)
			}
		}
	}
}

// services returns the services with an order, and those whose order the placement still has to forget.
func (r *rollouts) services() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string]bool, len(r.orders.known))
	for service := range r.orders.known {
		list[service] = true
	}
	for service := range r.active {
		list[service] = true
	}
	return list
}

// step applies the roll-out of a service to the placement, and logs and measures what is new.
func (r *rollouts) step(now time.Time, service string) {
	p, ok := r.core.Progress(now, service)
	if !ok {
		r.Placer.SetRollout(now, service, placement.Rollout{})
		r.mu.Lock()
		delete(r.active, service)
		delete(r.servers, service)
		delete(r.logged, service)
		r.mu.Unlock()
		return
	}
	to, trialServers := r.core.Trial(service)
	r.mu.Lock()
	hasServers := r.servers[service] > 0
	r.mu.Unlock()
	servers := r.Placer.SetRollout(now, service, placement.Rollout{
		To: to, TrialServers: trialServers,
		StopNew: p.State == rollout.RolledBack || p.State == rollout.Serving && p.Stopped != rollout.NoOrder,
		StopOld: r.core.Again(now, service) == rollout.NewVersion && (hasServers || p.State == rollout.Complete),
		EndOld:  p.State == rollout.Complete,
	})
	r.core.SetServers(service, servers)
	r.mu.Lock()
	r.active[service], r.servers[service] = true, servers
	last, known := r.logged[service]
	r.logged[service] = p
	r.mu.Unlock()
	if !known || last.Order != p.Order || last.Stage != p.Stage || last.State != p.State || last.Stopped != p.Stopped || last.Held != p.Held {
		r.logStep(now, service, p, servers, trialServers)
	}
	r.measure(service, p)
}

// logStep logs a step of a roll-out with what decided it.
func (r *rollouts) logStep(now time.Time, service string, p rollout.Progress, servers, trialServers int) {
	_, reason, _ := r.core.Verdict(now, service)
	r.Logger.Info().Str("service", service).Str("to", p.Order.To).Uint64("order", p.Order.Number).Uint64("era", p.Order.Era).
		Stringer("state", p.State).Stringer("stopped", p.Stopped).Stringer("reason", reason).Uint8("stage", p.Stage).Float64("share", p.Share).Bool("held", p.Held).
		Dur("order_age_ms", now.Sub(p.Order.Began)).Dur("left_ms", p.Order.Began.Add(p.Order.Duration).Sub(now)).Dur("shift_in_ms", p.LastShift.Sub(now)).
		Uint64("requests", p.Requests).Uint64("sent", p.Sent).Float64("allowed", p.Allowed).Uint64("bad", p.Bad).Uint64("fleet_sent", p.FleetCounts.Sent).Uint64("fleet_bad", p.FleetCounts.Bad).
		Int("routers_heard", p.FleetCounts.Heard).Int("routers", p.Routers).Int("old_in_flight", p.OldInFlight).Int("fleet_old_in_flight", p.FleetCounts.OldInFlight).
		Uint32("old_answers", p.FleetCounts.OldAnswers).Uint32("old_failed", p.FleetCounts.OldFailed).Uint32("new_answers", p.FleetCounts.NewAnswers).Uint32("new_failed", p.FleetCounts.NewFailed).
		Int("servers", servers).Int("trial_servers", trialServers).
		Float64("evidence_failing", p.Failing).Float64("evidence_slow", p.Slowing).Float64("evidence_sound", p.Favour).Msg("rollout-step")
}

// measure updates the metrics of a service's roll-out.
func (r *rollouts) measure(service string, p rollout.Progress) {
	scope := r.Metrics.Tagged(map[string]string{"service": service})
	scope.Gauge("rollout_stage").Update(float64(p.Stage))
	scope.Gauge("rollout_share").Update(p.Share)
	scope.Gauge("rollout_state").Update(float64(p.State))
	scope.Gauge("rollout_sent").Update(float64(p.Sent))
	scope.Gauge("rollout_bad_answers").Update(float64(p.Bad))
}
