package gateway

// This file defines rollouts, a router's part in roll-outs: it passes orders and stored states of the platform's store to
// the decisions, applies these to the placement, and tells the other routers what this one knows.

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/follow"
	"bulrushtally/gossip"
	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/platform"
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
	status      map[string]statusRow // by service
	statusRead  bool                 // the table of states was read since the start
	statusEra   uint64
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
		orders: newOrderRows(), status: map[string]statusRow{}, active: map[string]bool{}, logged: map[string]rollout.Progress{}, reports: map[reportKey]heardReport{},
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

// Sent records that a request is sent to a server of a version.
func (r *rollouts) Sent(now time.Time, service, version string) { r.core.Sent(now, service, version) }

// Began records that an attempt has begun.
func (r *rollouts) Began(now time.Time, service, version, route string) {
	r.core.Began(now, service, version, route)
}

// Ended records how an attempt ended.
func (r *rollouts) Ended(service, version, route string, e placement.Ending) {
	result := resultOf(e)
	expected := e.Expected
	if expected == 0 && e.First > 0 {
		to, _ := r.core.Trial(service)
		expected = r.usualTime(routeKey{service, route}, e.First, result == rollout.OK && version != to)
	}
	r.core.Ended(e.At, service, version, route, result, e.First, expected)
	if !e.Unsent {
		r.core.Lasted(service, e.Lasted)
	}
}

// resultOf returns what the end of an attempt says of the server's version. A connection that breaks before the answer may
// be a cut link or a crash; only one that breaks in the middle of a stream is a failed answer. Answers of cold servers say
// nothing of how fast a version is.
func resultOf(e placement.Ending) rollout.Result {
	switch {
	case e.Unsent:
		return rollout.Lost
	case e.Result == placement.ServerError, e.Result == placement.Broken && e.First > 0:
		return rollout.Failed
	case e.Result == placement.TimedOut && e.First > 0 && !e.Cold:
		return rollout.Slow
	case e.Result == placement.Done && !e.Cold:
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
		delete(r.logged, service)
		r.mu.Unlock()
		return
	}
	to, trialServers := r.core.Trial(service)
	servers := r.Placer.SetRollout(now, service, placement.Rollout{
		To: to, TrialServers: trialServers,
		StopNew: p.State == rollout.RolledBack || p.Stopped != rollout.NoOrder,
		StopOld: r.core.Again(now, service) == rollout.NewVersion,
		EndOld:  p.State == rollout.Complete,
	})
	r.core.SetServers(service, servers)
	r.mu.Lock()
	r.active[service] = true
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
		Uint64("requests", p.Requests).Uint64("sent", p.Sent).Float64("allowed", p.Allowed).Uint64("bad", p.Bad).Uint64("fleet_sent", p.FleetSent).Uint64("fleet_bad", p.FleetBad).
		Int("routers_heard", p.Heard).Int("routers", p.Routers).Int("old_in_flight", p.OldInFlight).Int("servers", servers).Int("trial_servers", trialServers).
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

// orderRows are the operators' orders, as rows of the store bring them.
type orderRows struct {
	era      uint64 // of the store when it was last confirmed
	eraKnown bool   // no row has come since that may be of another era
	pending  []pendingOrder
	known    map[string]follow.Row // last row of each service
	doubted  map[string]orderDoubt // what the store holds since it came back from a copy
}

// pendingOrder is a row that is to be applied once the era is known.
type pendingOrder struct {
	service string
	row     follow.Row
	readAt  time.Time
}

// orderDoubt is a row that counts unless the operators write the order again.
type orderDoubt struct {
	row   follow.Row
	until time.Time
}

func newOrderRows() orderRows {
	return orderRows{known: map[string]follow.Row{}, doubted: map[string]orderDoubt{}}
}

// resetOrders takes all rows of the operators' table. An order without a row was removed. After the store came back from a
// copy, an order that it lacks, or has another of, counts on until operators write it again or doubtTime has passed.
func (r *rollouts) resetOrders(rows []follow.Row, restored bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, listed := time.Now(), map[string]bool{}
	r.orders.eraKnown, r.orders.pending = false, nil
	clear(r.orders.doubted)
	for _, row := range rows {
		service, ok := platform.RolloutService(row.Key)
		if !ok || row.Deleted {
			continue
		}
		listed[service] = true
		if known, ok := r.orders.known[service]; ok && restored && known.Version != row.Version {
			r.orders.doubted[service] = orderDoubt{row, now.Add(doubtTime)}
			continue
		}
		r.orders.pending = append(r.orders.pending, pendingOrder{service, row, now})
	}
	for service, known := range r.orders.known {
		gone := follow.Row{Key: known.Key, Version: known.Version, Deleted: true}
		switch {
		case listed[service]:
		case restored:
			r.orders.doubted[service] = orderDoubt{gone, now.Add(doubtTime)}
		default:
			r.orders.pending = append(r.orders.pending, pendingOrder{service, gone, now})
		}
	}
}

// addOrders takes changed rows of the operators' table.
func (r *rollouts) addOrders(rows []follow.Row) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if service, ok := platform.RolloutService(row.Key); ok {
			delete(r.orders.doubted, service)
			r.orders.pending = append(r.orders.pending, pendingOrder{service, row, time.Now()})
		}
	}
}

// confirmOrders records the era of the rows that have come.
func (r *rollouts) confirmOrders(era uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders.era, r.orders.eraKnown = era, true
}

// statusWait is how long a router that starts waits for the table of states, which tells when an order began.
const statusWait = 2 * time.Second

// applyOrders applies the orders that have come. A router that has just started first reads the table of states.
func (r *rollouts) applyOrders(now time.Time) {
	r.updateClock()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.orders
	for service, d := range o.doubted {
		if now.After(d.until) {
			delete(o.doubted, service)
			o.pending = append(o.pending, pendingOrder{service, d.row, now})
		}
	}
	if !o.eraKnown || len(o.pending) == 0 || !r.statusRead && now.Sub(r.startedAt) < statusWait {
		return
	}
	for _, p := range o.pending {
		r.applyOrder(now, p)
	}
	o.pending = nil
}

// applyOrder applies one row of the operators' table; r.mu is held.
func (r *rollouts) applyOrder(now time.Time, p pendingOrder) {
	if p.row.Deleted {
		delete(r.orders.known, p.service)
		r.core.DropOrder(now, p.service)
		r.Logger.Info().Str("service", p.service).Uint64("row_version", p.row.Version).Msg("rollout-order-removed")
		return
	}
	order, err := platform.DecodeOrder(p.service, p.row.Value)
	if err != nil {
		r.Logger.Error().Err(err).Uint64("row_version", p.row.Version).Msg("rollout-order-refused")
		return
	}
	order.Number, order.Era, order.Began = p.row.Version, r.orders.era, p.readAt
	if began, ok := r.beganAt(now, order); ok {
		order.Began = began
	}
	r.orders.known[p.service] = p.row
	changed := r.core.SetOrder(now, order)
	r.applyStatus(now, p.service)
	r.Logger.Info().Str("service", p.service).Str("to", order.To).Uint64("order", order.Number).Uint64("era", order.Era).Bool("changed", changed).
		Dur("age_ms", now.Sub(order.Began)).Dur("duration_ms", order.Duration).Msg("rollout-ordered")
}

// beganAt returns when an order began by the stored state of its roll-out, if that tells; r.mu is held.
func (r *rollouts) beganAt(now time.Time, o rollout.Order) (time.Time, bool) {
	row, ok := r.status[o.Service]
	if !ok || !row.isOf(o) || row.BeganAt == 0 {
		return time.Time{}, false
	}
	age := r.Clock() - (row.BeganAt - r.clockOffset)
	if !r.hasOffset || row.Era != r.orders.era || age < 0 {
		return time.Time{}, false
	}
	return now.Add(-age), true
}

// updateClock updates how far the store's clock is ahead of this router's. It must not be called with r.mu held: the
// follower of the operators' table holds its lock while it passes rows on, which takes r.mu.
func (r *rollouts) updateClock() {
	r.mu.Lock()
	era, needed := r.orders.era, len(r.orders.pending)+len(r.orders.known) > 0
	r.mu.Unlock()
	if !needed {
		return
	}
	const reading = time.Hour // any one shows how far the clocks are apart
	at, ok := r.StoreClock(reading, era)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockOffset, r.hasOffset = reading-at, ok
}

// storeTime converts a time to a reading of the store's clock, 0 if that is not known; r.mu is held.
func (r *rollouts) storeTime(now, t time.Time) time.Duration {
	if !r.hasOffset {
		return 0
	}
	return max(0, r.Clock()-now.Sub(t)+r.clockOffset)
}
