package placement

// This file defines Preview, what a router would do with a request now. Nothing is sent or counted.

import (
	"cmp"
	"slices"
	"time"

	"bulrushtally/spillover"
)

// Preview tells where a request would go now and why.
type Preview struct {
	Zone           string               // of the router
	Server         string               // that the request would be sent to; "" if it would wait or be refused
	Reason         Reason               // for which it would be refused in the end, if Server is ""
	MustWait       bool                 // an earlier request of the customer waits, which it would not overtake
	Waiting        int                  // requests that wait for the service
	OverShare      bool                 // the customer is above its fair share
	LongPrompt     bool                 // the request belongs on a prefill server
	Owner          string               // server that owns the shared segments, or ""
	Spillover      spillover.State      // state of the policy of leaving the zone; "" for a plain service
	LeavingPriceMs float64              // mean price of leaving the zone
	Zones          []spillover.ZoneLoad // loads that the policy follows
	Servers        []PreviewServer      // by cost, those that cannot take the request last
}

// PreviewServer is a server of the request's service.
type PreviewServer struct {
	ID, Zone       string
	Outcome        PreviewOutcome
	Prefill        bool    // it is a prefill server
	Running, Slots int     // Running counts the requests of all routers, by their reports
	CostMs         float64 // by which the server is compared, with the price of this search; 0 if the outcome is not HasRoom, OtherRole or IsBusy
	FirstEventMs   float64 // expected time to the first event
	PrefillTokens  int     // prompt tokens that it would prefill
	MissingTokens  int     // shared tokens that another server holds
	KVSource       string  // server from which the missing ones would be fetched, or ""
}

// PreviewOutcome is why a server can take a request, or cannot.
type PreviewOutcome string

// Outcomes of servers; see Rejections.
const (
	HasRoom    PreviewOutcome = "room"
	OtherRole  PreviewOutcome = "other-role"
	IsUnusable PreviewOutcome = "unusable"
	IsLimited  PreviewOutcome = "limited"
	IsReserved PreviewOutcome = "reserved"
	IsFull     PreviewOutcome = "full"
	IsBusy     PreviewOutcome = "busy"
	IsBounded  PreviewOutcome = "spillover"
)

// Preview returns what would be done with a request now, or false if the service is unknown. Among equally good
// servers the choice is random, so that another call may return another one.
func (p *Placement) Preview(now time.Time, req *Request) (*Preview, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[req.Service]
	if pl == nil {
		return nil, false
	}
	own := *req
	own.MaxEventGap = min(own.MaxEventGap, time.Duration(pl.eventGapMs*float64(time.Millisecond))) // a longer one would change the pool's
	w := &waiter{request: &own, customer: p.shares.customers[req.Customer], arrivedAt: now, preview: true}
	if w.customer == nil {
		w.customer = &customer{name: req.Customer}
	}
	p.classify(now, pl, w)
	v := &Preview{
		Zone: p.zone, MustWait: pl.mustQueue(w), Waiting: len(pl.waiting), OverShare: w.overShare, LongPrompt: w.longPrompt,
		Spillover: pl.spillover.policy.State(), LeavingPriceMs: pl.spillover.policy.PriceMs(), Zones: slices.Clone(pl.spillover.view.Zones),
	}
	c, found := pl.choose(now, w)
	pl.releaseReservations(w)
	switch {
	case found:
		v.Server = c.server.ID
	case len(pl.servers) == 0:
		v.Reason = NoServer
	default:
		v.Reason = w.reason()
	}
	v.addServers(now, pl, w)
	return v, true
}

// addServers adds what a search finds of each server.
func (v *Preview) addServers(now time.Time, pl *pool, w *waiter) {
	var sr *search
	if pl.service.ServesModels() {
		sr = pl.newSearch(now, w)
		if sr.owner != nil {
			v.Owner = sr.owner.ID
		}
	}
	for _, s := range pl.servers {
		running, _ := s.load()
		e := PreviewServer{ID: s.ID, Zone: s.Zone, Prefill: pl.disaggregated && s.prefillServer, Running: running, Slots: s.slotCount()}
		if sr != nil {
			e.search(*sr, s)
		} else {
			e.Outcome = pl.plainOutcome(now, w, s)
		}
		v.Servers = append(v.Servers, e)
	}
	slices.SortFunc(v.Servers, func(a, b PreviewServer) int {
		return cmp.Or(cmp.Compare(rank(a.Outcome), rank(b.Outcome)), cmp.Compare(a.CostMs, b.CostMs), cmp.Compare(a.ID, b.ID))
	})
}

// rank orders servers by how near they are to take the request.
func rank(o PreviewOutcome) int {
	return slices.Index([]PreviewOutcome{HasRoom, OtherRole, IsBusy, IsBounded, IsReserved, IsFull, IsLimited, IsUnusable}, o)
}

// search sets the outcome of a model server by a copy of a search that considers it alone.
func (e *PreviewServer) search(sr search, s *server) {
	sr.waiter.rejections = Rejections{}
	sr.consider(s)
	r := sr.waiter.rejections
	c := sr.best
	switch {
	case sr.found && e.Prefill != (sr.pool.disaggregated && sr.wantsPrefill):
		e.Outcome = OtherRole
	case sr.found:
		e.Outcome = HasRoom
	case r.Busy > 0:
		e.Outcome, c = IsBusy, sr.bestBusy
	case r.Spillover > 0:
		e.Outcome = IsBounded
	case r.Reserved > 0:
		e.Outcome = IsReserved
	case r.Full > 0:
		e.Outcome = IsFull
	case r.Limited > 0:
		e.Outcome = IsLimited
	default:
		e.Outcome = IsUnusable
	}
	if c.server == nil {
		return
	}
	e.CostMs, e.FirstEventMs, e.PrefillTokens, e.MissingTokens = c.cost, milliseconds(c.firstEvent), c.prefillTokens, c.missingTokens
	if c.kvSource != nil {
		e.KVSource = c.kvSource.ID
	}
}

// plainOutcome returns the outcome of a server of a plain service, by the checks of choosePlainServer.
func (p *pool) plainOutcome(now time.Time, w *waiter, s *server) PreviewOutcome {
	slots := s.slotCount()
	if w.spareOnly() {
		slots = max(1, slots-1)
	}
	switch {
	case !s.usable(now) || !s.fits(now, w.request) || !p.placement.withinColdRate(now, s):
		return IsUnusable
	case !p.placement.withinLimit(now, s):
		return IsLimited
	case s.running >= slots:
		return IsFull
	}
	return HasRoom
}
