package rollout

// This file defines Progress, the figures behind the decisions, for logs and metrics.

import "time"

// Progress is what decided an order so far at this router. Evidence is in natural logarithms of odds.
type Progress struct {
	Order   Order
	State   State
	Stopped Reason  // why this router sends the version nothing more; NoOrder if it sends
	Stage   uint8   // 0 to 2 on trial, 3 to 5 in the shift
	Share   float64 // of the exposure bound on trial, of all requests in the shift
	Held    bool    // the version gets nothing for now, since few routers are heard and it is suspected

	Requests, Sent, Bad uint64  // at this router
	Allowed             float64 // requests that the version may get from this router while it is on trial
	FleetSent, FleetBad uint64  // as far as is known
	Heard, Routers      int     // other routers heard lately, and routers that may exist
	OldInFlight         int     // at this router

	Failing, Slowing, Favour float64   // evidence of failures, of slow answers, and for the version
	LastShift                time.Time // when the shift has to begin
}

// Progress returns the figures of a service's order, and false without one.
func (r *Rollout) Progress(now time.Time, service string) (p Progress, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.trial == nil {
		return Progress{}, false
	}
	t := s.trial
	t.update(now)
	p = Progress{
		Order: t.order, State: t.state, Stopped: t.stopped, Stage: t.stage, Share: stageShares[t.stage], Held: t.held,
		Requests: t.requests, Sent: t.sent, Bad: t.own.bad, Allowed: stageShares[min(t.stage, stageTrial)] * t.allowed(now),
		FleetSent: t.sent, FleetBad: t.total.bad, Heard: t.heard, Routers: t.options.Routers, OldInFlight: t.oldInFlight(),
		Failing: t.failing, Slowing: t.slowing, Favour: t.favour, LastShift: t.lastShift(),
	}
	for _, other := range t.peers {
		p.FleetSent += other.Sent
	}
	return p, true
}
