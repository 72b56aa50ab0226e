package placement

// This file defines how requests wait for a server, in which order, and for how long.

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// waiter is a request that waits for a server.
type waiter struct {
	ask     *Ask
	from    *customer
	since   time.Time
	granted chan *Grant // holds one; nil until it waits
	over    bool        // at the last look
	seen    Seen
}

func (p *Placement) await(ctx context.Context, pl *pool, w *waiter, patience time.Duration) (*Grant, *Refusal) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	left := false
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
		left = true
	case <-timer.C:
	}
	p.mu.Lock() // a dispatch may look at the request until it is out of the queue
	pl.waiting = slices.DeleteFunc(pl.waiting, func(x *waiter) bool { return x == w })
	pl.unclaim(w)
	r := p.refusal(time.Now(), pl, w)
	p.mu.Unlock()
	if left {
		r.Reason = Left
	}
	select {
	case g := <-w.granted: // it was granted at the same moment
		if !left {
			return g, nil
		}
		g.Unsent(time.Now())
	default:
	}
	return nil, r
}

// refusal says why a request got no server.
func (p *Placement) refusal(now time.Time, pl *pool, w *waiter) *Refusal {
	s := p.shares
	return &Refusal{
		Reason: w.reason(), After: p.comeBack(w.ask, w.over), Seen: w.seen,
		Share: ShareSeen{Level: s.level, Served: w.from.served.sum(s.slot(now)), Least: s.least, Idle: pl.idle},
	}
}

// unclaim frees the servers that were kept for a request which waits no more.
func (pl *pool) unclaim(w *waiter) {
	for _, s := range pl.servers {
		if s.claim == w {
			s.claim = nil
		}
	}
}

// Parts of the objective for which a request may wait at its router.
const (
	patienceFull  = 0.5
	patienceSpare = 0.11
)

// patience returns how long the request may wait here and still be in time.
func (w *waiter) patience() time.Duration {
	part := patienceFull
	if w.spare() {
		part = patienceSpare
	}
	return min(time.Duration(part*float64(w.ask.Within)), time.Until(w.ask.Deadline))
}

// spare reports whether the request gets only what nobody else waits for.
func (w *waiter) spare() bool { return w.over }

func (w *waiter) reason() Reason {
	if w.over {
		return OverShare
	}
	return Full
}

// comeBack returns when a refused request should be sent again.
func (p *Placement) comeBack(a *Ask, later bool) time.Duration {
	d := time.Duration((0.4 + 0.4*rand.Float64()) * float64(max(a.Within, 100*time.Millisecond)))
	if later {
		d *= 2
	}
	return max(20*time.Millisecond, min(d, time.Until(a.Deadline)*3/10))
}

// before reports whether a request goes before another that waits too: first those
// in time, then those whose customer is below its share, by priority, by what the
// customer had, by arrival.
func (w *waiter) before(x *waiter, slot int64) bool {
	switch {
	case w.ask.Late != x.ask.Late:
		return !w.ask.Late
	case w.over != x.over:
		return !w.over
	case w.ask.Priority != x.ask.Priority:
		return w.ask.Priority < x.ask.Priority
	case w.from != x.from && w.ask.Prompt > 0:
		return w.from.served.sum(slot) < x.from.served.sum(slot)
	}
	return w.since.Before(x.since)
}

// outranked reports whether a request that is at least as urgent waits already.
func (pl *pool) outranked(w *waiter) bool {
	for _, x := range pl.waiting {
		if x.over == w.over && x.ask.Late == w.ask.Late && x.ask.Priority == w.ask.Priority && x.from == w.from {
			return true
		}
	}
	return false
}

// Requests that may wait at once: more would only be looked at in vain. What a customer
// asks beyond its share must cost a small router next to nothing.
const (
	maxSpareWaiting = 6   // of one customer above its share
	maxWaiting      = 150 // of one service
)

// crowded reports whether as many requests wait as may.
func (pl *pool) crowded(w *waiter) bool {
	if !w.spare() {
		return len(pl.waiting) >= maxWaiting
	}
	n := 0
	for _, x := range pl.waiting {
		if x.from == w.from && x.spare() {
			n++
		}
	}
	return n >= maxSpareWaiting || len(pl.waiting) >= maxWaiting/2
}

// Bounds on the work of looking for servers for waiting requests, which is done for
// each request that finds none at each server.
const (
	lookBudget  = 800 // servers looked at in vain before a dispatch ends
	leastMisses = 4
	dispatchGap = 2 * time.Millisecond // between two dispatches that no one waits for
)

// dispatch gives servers to waiting requests, in order.
func (p *Placement) dispatch(now time.Time, pl *pool) {
	if len(pl.waiting) == 0 || now.Sub(pl.dispatched) < dispatchGap {
		return
	}
	pl.dispatched = now
	misses := max(leastMisses, lookBudget/max(1, len(pl.servers)))
	slot := p.shares.slot(now)
	for _, w := range pl.waiting {
		w.over = w.ask.Prompt > 0 && p.shares.over(now, w.from, w.ask.cost())
	}
	slices.SortStableFunc(pl.waiting, func(a, b *waiter) int {
		switch {
		case a.before(b, slot):
			return -1
		case b.before(a, slot):
			return 1
		}
		return 0
	})
	for _, s := range pl.servers {
		s.claim = nil
	}
	kept := pl.waiting[:0]
	for _, w := range pl.waiting {
		if misses > 0 {
			if g := p.try(now, pl, w); g != nil {
				w.granted <- g
				continue
			}
			misses--
		}
		kept = append(kept, w)
	}
	clear(pl.waiting[len(kept):])
	pl.waiting = kept
}

// Tick gives servers to waiting requests as time passes.
func (p *Placement) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.pools {
		p.dispatch(now, pl)
	}
}
