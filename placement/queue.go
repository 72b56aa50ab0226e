package placement

// This file defines how requests wait for a server: in which order and for how long.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// waiter is a request that needs a server.
type waiter struct {
	request    *Request
	customer   *customer
	arrivedAt  time.Time
	granted    chan *Grant // holds one grant; nil until the request is queued
	overShare  bool        // the customer was above its fair share at the last check
	longPrompt bool        // the request belongs on a prefill server, by the last check
	rejections Rejections  // of the last search
	preview    bool        // it is not sent
}

// kind is what the search for a server depends on most.
type kind struct {
	longPrompt, spareOnly bool
	version               string // that the request keeps to
	rule                  VersionRule
}

// kind returns the waiter's kind.
func (w *waiter) kind() kind {
	return kind{w.longPrompt, w.spareOnly(), w.request.Version, w.request.Rule}
}

// await waits until a queued request gets a server, maxWait passes or ctx ends.
func (p *Placement) await(ctx context.Context, pl *pool, w *waiter, maxWait time.Duration) (*Grant, *Refusal) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	canceled := false
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
		canceled = true
	case <-timer.C:
	}
	p.mu.Lock() // dispatch may grant the request until it is removed from the queue
	pl.waiting = slices.DeleteFunc(pl.waiting, func(x *waiter) bool { return x == w })
	pl.releaseReservations(w)
	r := p.refusal(time.Now(), pl, w)
	p.mu.Unlock()
	if canceled {
		r.Reason = Canceled
	}
	select {
	case g := <-w.granted: // granted before it was removed from the queue
		if !canceled {
			return g, nil
		}
		g.EndUnsent(time.Now())
	default:
	}
	return nil, r
}

// refusal returns the Refusal of a request that got no server.
func (p *Placement) refusal(now time.Time, pl *pool, w *waiter) *Refusal {
	s := p.shares
	u := w.customer.usage(s.bucket(now))
	zones, oldest := s.zoneReports(now)
	return &Refusal{
		Reason: w.reason(), RetryAfter: p.retryAfter(w.request, w.overShare), Rejections: w.rejections,
		Share: ShareState{
			FairShare: s.fairShare, Served: u.served, WithinShare: u.withinShare, LeastServed: s.leastServed,
			IdleSpareFraction: pl.idleSpareFraction, Zones: zones, OldestZoneReport: oldest,
		},
	}
}

// releaseReservations releases the servers that are reserved for a request.
func (pl *pool) releaseReservations(w *waiter) {
	for _, s := range pl.servers {
		if s.reservedFor == w {
			s.reservedFor = nil
		}
	}
}

// Fractions of the latency objective for which a request may wait at its router.
const (
	fairWaitFraction  = 0.5  // for customers below their fair share
	spareWaitFraction = 0.11 // for customers above it
)

// maxWait returns how long the request may wait at this router; it is not positive once
// the deadline has passed.
func (w *waiter) maxWait() time.Duration {
	fraction := fairWaitFraction
	if w.spareOnly() {
		fraction = spareWaitFraction
	}
	return min(time.Duration(fraction*float64(w.request.LatencyObjective)), time.Until(w.request.Deadline))
}

// spareOnly reports whether the request may use spare capacity only.
func (w *waiter) spareOnly() bool { return w.overShare }

// reason returns the reason for refusing the request.
func (w *waiter) reason() Reason {
	if w.overShare {
		return OverShare
	}
	return NoCapacity
}

// retryAfter returns the time after which a refused request should be sent again. It is
// random, so that refused requests do not come back together, and twice as long if
// longer is set.
func (p *Placement) retryAfter(req *Request, longer bool) time.Duration {
	d := time.Duration((0.4 + 0.4*rand.Float64()) * float64(max(req.LatencyObjective, 100*time.Millisecond)))
	if longer {
		d *= 2
	}
	return max(20*time.Millisecond, min(d, time.Until(req.Deadline)*3/10))
}

// precedes reports whether a request goes before another one in the queue. Streams that are taken up
// go first, then requests in time, then those of customers below their fair share. These are ordered by
// priority, by the served cost of the customer, and by arrival.
func (w *waiter) precedes(x *waiter, bucket int64) bool {
	switch {
	case w.request.TakenUp != x.request.TakenUp:
		return w.request.TakenUp
	case w.request.Late != x.request.Late:
		return !w.request.Late
	case w.overShare != x.overShare:
		return !w.overShare
	case w.request.Priority != x.request.Priority:
		return w.request.Priority < x.request.Priority
	case w.customer != x.customer && w.request.PromptTokens > 0:
		return w.customer.usage(bucket).served < x.customer.usage(bucket).served
	}
	return w.arrivedAt.Before(x.arrivedAt)
}

// mustQueue reports whether a request of the same customer, kind, priority and lateness is
// waiting, which the new request must not overtake.
func (pl *pool) mustQueue(w *waiter) bool {
	for _, x := range pl.waiting {
		if x.kind() == w.kind() && x.request.Late == w.request.Late && x.request.Priority == w.request.Priority && x.customer == w.customer {
			return true
		}
	}
	return false
}

// Limits on the number of waiting requests; searches for more would fail anyway. Requests
// of a customer above its fair share must cost a small router almost no processor time.
const (
	maxSpareWaiting = 6   // per customer above its fair share
	maxWaiting      = 150 // per service
)

// queueIsFull reports whether the request may not be queued.
func (pl *pool) queueIsFull(w *waiter) bool {
	if !w.spareOnly() {
		return len(pl.waiting) >= maxWaiting
	}
	n := 0
	for _, x := range pl.waiting {
		if x.customer == w.customer && x.spareOnly() {
			n++
		}
	}
	return n >= maxSpareWaiting || len(pl.waiting) >= maxWaiting/2
}

// Limits on the processor time of dispatch, where a search that fails checks every
// server of the pool.
const (
	searchBudget        = 800                  // servers checked in failed searches for requests of one kind
	minMisses           = 4                    // failed searches for each kind that are allowed in a pool of any size
	minDispatchInterval = 2 * time.Millisecond // between two dispatches of a pool
	dispatchRest        = 12                   // time between two dispatches of a pool, in durations of the last one
	maxDispatchInterval = 40 * time.Millisecond
)

// dispatch assigns servers to waiting requests, in order of precedence. It does nothing
// within minDispatchInterval of the previous dispatch of the pool, and longer on a router on
// which that one took long: there, waiting requests must not take the processor from running ones.
func (p *Placement) dispatch(now time.Time, pl *pool) {
	if len(pl.waiting) == 0 || now.Before(pl.dispatchAfter) {
		return
	}
	began := time.Now()
	defer func() {
		pl.dispatchAfter = now.Add(min(max(minDispatchInterval, dispatchRest*time.Since(began)), maxDispatchInterval))
	}()
	bucket := p.shares.bucket(now)
	for _, w := range pl.waiting {
		p.classify(now, pl, w)
	}
	slices.SortStableFunc(pl.waiting, func(a, b *waiter) int {
		switch {
		case a.precedes(b, bucket):
			return -1
		case b.precedes(a, bucket):
			return 1
		}
		return 0
	})
	for _, s := range pl.servers {
		s.reservedFor = nil
	}
	pl.waiting = p.grantWaiting(now, pl)
}

// classify updates what decides the kind of a waiting request.
func (p *Placement) classify(now time.Time, pl *pool, w *waiter) {
	req := w.request
	if req.PromptTokens == 0 {
		return
	}
	w.overShare = !req.TakenUp && p.shares.exceedsShare(now, w.customer, req.cost())
	w.longPrompt = pl.needsPrefillServer(req, milliseconds(cmp.Or(req.MaxEventGap, defaultEventGap)))
}

// grantWaiting assigns servers to the waiting requests and returns those that get none. After
// a failed search, the next requests of the same kind are likely to fail too: some of them
// are searched for, chosen at random, so that they hold up neither those of other kinds nor those
// behind them.
func (p *Placement) grantWaiting(now time.Time, pl *pool) []*waiter {
	budget := max(minMisses, searchBudget/max(1, len(pl.servers)))
	waiting, misses := map[kind]int{}, map[kind]int{}
	for _, w := range pl.waiting {
		waiting[w.kind()]++
	}
	kept := pl.waiting[:0]
	for _, w := range pl.waiting {
		k := w.kind()
		if misses[k] == 0 || misses[k] < budget && rand.IntN(waiting[k]) < 2*budget {
			if g := p.tryGrant(now, pl, w); g != nil {
				w.granted <- g
				continue
			}
			misses[k]++
		}
		kept = append(kept, w)
	}
	clear(pl.waiting[len(kept):])
	return kept
}

// Tick assigns servers to waiting requests. It must be called periodically, since
// capacity also becomes free as time passes, without a call of another method.
func (p *Placement) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateAvailable(now)
	for _, pl := range p.pools {
		pl.updateSpillover(now)
		p.dispatch(now, pl)
	}
}
