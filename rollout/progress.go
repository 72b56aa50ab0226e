package rollout

// This file defines Progress, the figures behind the decisions, for logs and metrics.

import "time"

// FleetCounts are the sums over all routers, as far as they are known.
type FleetCounts struct {
	Sent, Bad             uint64 // requests to the new version, and its answers that failed or were slow
	OldAnswers, OldFailed uint32
	NewAnswers, NewFailed uint32
	Heard, OldInFlight    int // other routers heard lately, and requests that they have on old servers
}

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
	Routers             int     // that may exist
	OldInFlight         int     // at this router
	FleetCounts         FleetCounts

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
		Routers: t.options.Routers, OldInFlight: t.oldInFlight(), FleetCounts: t.fleetCounts(),
		Failing: t.failing, Slowing: t.slowing, Favour: t.favour, LastShift: t.lastShift(),
	}
	return p, true
}

// fleetCounts returns the sums over all routers.
func (t *trial) fleetCounts() FleetCounts {
	c := FleetCounts{Sent: t.sent, Bad: t.total.bad, Heard: t.heard}
	for _, other := range t.peers {
		c.Sent += other.Sent
		if !other.retired {
			c.OldInFlight += other.OldInFlight
		}
	}
	for _, route := range t.total.routes {
		c.OldAnswers += route.Old.Answered
		c.OldFailed += route.Old.Failed
		c.NewAnswers += route.New.Answered
		c.NewFailed += route.New.Failed
	}
	return c
}
