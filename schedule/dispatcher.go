package schedule

// This file defines Dispatcher, the decisions of an entry router for one
// service: which held request goes to which shard, and when one is called back.

import (
	"fmt"
	"math"
	"time"
)

// Limits bound what one customer may have waiting at one entry router.
type Limits struct {
	Requests int
	Bytes    int
}

// waitingPerLeader is how many requests of a customer an entry router keeps
// waiting at one leader, so that a freed slot finds one without a round trip.
const waitingPerLeader = 4

// recallPause is the least time between two recalls of one request.
const recallPause = 100 * time.Millisecond

// Held is one request at a Dispatcher.
type Held struct {
	ID       uint64
	Customer string
	Bytes    int

	shard     string // where it was sent, empty while it is held here
	admitted  bool
	recalling bool
	recalled  time.Time
}

// Shard returns where the request was sent, or an empty string.
func (h *Held) Shard() string { return h.shard }

// Destination is what a Dispatcher knows of one shard.
type Destination struct {
	Shard   string
	Near    bool // in the own zone
	Usable  func(customer string) bool
	free    int
	waiting int // requests waiting at its leader, as the leader last said
	window  int
	mine    map[string]int // own requests waiting there, by customer

	closedUntil time.Time // it had no backend server to send to
}

// closedPause is how long a shard without any window is passed over.
const closedPause = 1 * time.Second

// LimitError says that a customer's share of the queue is full.
type LimitError struct {
	Customer string
	Requests int
	Bytes    int
}

// Error describes the limit and the remedy.
func (e *LimitError) Error() string {
	return fmt.Sprintf("customer %q has %d requests of %d bytes waiting here, its limit; send this one again later", e.Customer, e.Requests, e.Bytes)
}

// queue is one customer's requests at a Dispatcher.
type queue struct {
	held     []*Held
	waiting  int // held here or waiting at a leader
	bytes    int
	inRing   bool
	customer string
}

// Dispatcher spreads one service's requests from one entry router over the
// service's shards; it is not safe for concurrent use.
//
// Most of a backlog stays here. At each leader wait at most waitingPerLeader of a
// customer's requests, and those are called back when another leader has room.
type Dispatcher struct {
	limits       Limits
	destinations map[string]*Destination
	order        []*Destination
	queues       map[string]*queue
	ring         []*queue         // customers with held requests, served in turn
	sent         map[uint64]*Held // at a leader, not admitted
}

// NewDispatcher returns a Dispatcher that knows no shard.
func NewDispatcher(l Limits) *Dispatcher {
	return &Dispatcher{limits: l, destinations: map[string]*Destination{}, queues: map[string]*queue{}, sent: map[uint64]*Held{}}
}

// Configure sets the shards that requests may go to; what is known of their load is kept.
func (d *Dispatcher) Configure(list []Destination) {
	next := map[string]*Destination{}
	d.order = d.order[:0]
	for _, n := range list {
		n.mine = map[string]int{}
		n.free = 1
		if old := d.destinations[n.Shard]; old != nil {
			n.free, n.waiting, n.window, n.mine, n.closedUntil = old.free, old.waiting, old.window, old.mine, old.closedUntil
		}
		next[n.Shard] = &n
		d.order = append(d.order, &n)
	}
	d.destinations = next
}

// Add takes in a request, or returns a *LimitError.
func (d *Dispatcher) Add(h *Held) error {
	q := d.queues[h.Customer]
	if q == nil {
		q = &queue{customer: h.Customer}
		d.queues[h.Customer] = q
	}
	if q.waiting >= d.limits.Requests || q.bytes+h.Bytes > d.limits.Bytes {
		return &LimitError{Customer: h.Customer, Requests: q.waiting, Bytes: q.bytes}
	}
	q.waiting++
	q.bytes += h.Bytes
	d.hold(q, h, false)
	return nil
}

func (d *Dispatcher) hold(q *queue, h *Held, first bool) {
	if first {
		q.held = append([]*Held{h}, q.held...)
	} else {
		q.held = append(q.held, h)
	}
	if !q.inRing {
		q.inRing = true
		d.ring = append(d.ring, q)
	}
}

// Pump returns the requests that should be sent now; each one's Shard says where.
func (d *Dispatcher) Pump(now time.Time) []*Held {
	var out []*Held
	for idle := 0; idle < len(d.ring); {
		q := d.ring[0]
		d.ring = append(d.ring[:0], d.ring[1:]...)
		to := d.choose(now, q.customer)
		if to == nil {
			d.ring = append(d.ring, q)
			idle++
			continue
		}
		idle = 0
		out = append(out, d.send(q, to))
		if len(q.held) > 0 {
			d.ring = append(d.ring, q)
		} else {
			q.inRing = false
		}
	}
	return out
}

// choose returns the shard for a customer's next request: one of the own zone
// with room, any with room, or the one with the shortest queue for its size.
func (d *Dispatcher) choose(now time.Time, customer string) *Destination {
	var best *Destination
	bestScore := math.Inf(1)
	for _, n := range d.order {
		if n.mine[customer] >= waitingPerLeader || now.Before(n.closedUntil) || !n.Usable(customer) {
			continue
		}
		if s := n.score(); s < bestScore {
			best, bestScore = n, s
		}
	}
	return best
}

// score is lower for a better shard; below zero, it has room.
func (n *Destination) score() float64 {
	if n.free > 0 {
		if n.Near {
			return -2
		}
		return -1 - float64(n.free)/(float64(n.window)+1)
	}
	return float64(n.waiting+1) / (float64(n.window) + 1)
}

func (d *Dispatcher) send(q *queue, to *Destination) *Held {
	h := q.held[0]
	q.held[0] = nil
	q.held = q.held[1:]
	h.shard = to.Shard
	to.mine[h.Customer]++
	if to.free > 0 {
		to.free--
	} else {
		to.waiting++
	}
	d.sent[h.ID] = h
	return h
}

// Admitted takes in that a leader admitted a request, which waits no longer.
func (d *Dispatcher) Admitted(h *Held) {
	if h.admitted || h.shard == "" {
		return
	}
	h.admitted = true
	d.unsend(h)
	d.settle(h)
}

func (d *Dispatcher) unsend(h *Held) {
	delete(d.sent, h.ID)
	n := d.destinations[h.shard]
	if n == nil {
		return
	}
	n.mine[h.Customer]--
	if n.mine[h.Customer] <= 0 {
		delete(n.mine, h.Customer)
	}
}

func (d *Dispatcher) settle(h *Held) {
	q := d.queues[h.Customer]
	q.waiting--
	q.bytes -= h.Bytes
	if q.waiting == 0 && !q.inRing {
		delete(d.queues, h.Customer)
	}
}

// Returned takes in that a leader gave a request back without running it; it is held here again.
func (d *Dispatcher) Returned(h *Held) {
	if h.shard == "" {
		return
	}
	q := d.queues[h.Customer]
	if h.admitted {
		if q == nil {
			q = &queue{customer: h.Customer}
			d.queues[h.Customer] = q
		}
		q.waiting++
		q.bytes += h.Bytes
	} else {
		d.unsend(h)
	}
	h.shard, h.admitted, h.recalling = "", false, false
	d.hold(q, h, true)
}

// Remove takes out a request that ended or whose caller left.
func (d *Dispatcher) Remove(h *Held) {
	if h.admitted {
		return
	}
	if h.shard != "" {
		d.unsend(h)
		d.settle(h)
		return
	}
	q := d.queues[h.Customer]
	for i, x := range q.held {
		if x == h {
			q.held = append(q.held[:i], q.held[i+1:]...)
			d.settle(h)
			break
		}
	}
	if len(q.held) == 0 && q.inRing {
		d.leaveRing(q)
	}
}

func (d *Dispatcher) leaveRing(q *queue) {
	for i, x := range d.ring {
		if x == q {
			d.ring = append(d.ring[:i], d.ring[i+1:]...)
			break
		}
	}
	q.inRing = false
	if q.waiting == 0 {
		delete(d.queues, q.customer)
	}
}

// Hint takes in what a leader says of its load.
func (d *Dispatcher) Hint(now time.Time, shard string, free, waiting, window int) {
	n := d.destinations[shard]
	if n == nil {
		return
	}
	n.free, n.waiting, n.window = free, waiting, window
	n.closedUntil = time.Time{}
	if window == 0 {
		n.closedUntil = now.Add(closedPause)
	}
}

// Pause passes a shard over until a time, unless its leader is heard from before.
func (d *Dispatcher) Pause(shard string, until time.Time) {
	if n := d.destinations[shard]; n != nil {
		n.closedUntil = until
	}
}

// Recalls returns the requests to call back from other leaders because a shard
// has more room than requests waiting for it.
func (d *Dispatcher) Recalls(now time.Time, shard string) []*Held {
	n := d.destinations[shard]
	if n == nil || n.free <= 0 {
		return nil
	}
	var out []*Held
	for _, h := range d.sent {
		if len(out) >= n.free {
			break
		}
		if d.recallable(now, h, n) {
			h.recalling, h.recalled = true, now
			out = append(out, h)
		}
	}
	return out
}

func (d *Dispatcher) recallable(now time.Time, h *Held, to *Destination) bool {
	if h.shard == to.Shard || h.recalling || now.Sub(h.recalled) < recallPause || !to.Usable(h.Customer) {
		return false
	}
	from := d.destinations[h.shard]
	return from == nil || from.free <= 0
}

// Starving reports whether any request of this router waits, here or at a leader.
func (d *Dispatcher) Starving() bool { return len(d.ring) > 0 || len(d.sent) > 0 }

// Waiting returns the number of a customer's requests that wait.
func (d *Dispatcher) Waiting(customer string) int {
	if q := d.queues[customer]; q != nil {
		return q.waiting
	}
	return 0
}
