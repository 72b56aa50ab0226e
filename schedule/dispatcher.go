package schedule

// This file defines Dispatcher, which makes an entry router's decisions for one
// service: which queued request goes to which shard, and which one is recalled from
// a leader.

import (
	"fmt"
	"math"
	"time"
)

// Limits bounds the waiting requests of one customer at one entry router.
type Limits struct {
	Requests int
	Bytes    int // sum of the body sizes
}

// maxWaitingPerLeader is the maximum number of a customer's requests that an entry
// router has waiting at one leader. With some waiting there, the leader can fill a
// freed slot without a round trip to the entry router.
const maxWaitingPerLeader = 4

// minRecallInterval is the minimum time between two recalls of one request.
const minRecallInterval = 100 * time.Millisecond

// PendingRequest is a request at a Dispatcher, from Add until it is removed.
type PendingRequest struct {
	ID       uint64
	Customer string
	Bytes    int

	shard      string // shard that it was sent to, empty while it is queued here
	admitted   bool
	recalling  bool
	recalledAt time.Time
}

// Shard returns the shard that the request was sent to, or an empty string if it is
// queued at the entry router.
func (p *PendingRequest) Shard() string { return p.shard }

// Destination is a shard to which a Dispatcher may send requests. Callers set the
// exported fields.
type Destination struct {
	Shard          string
	SameZone       bool                       // in the zone of this router
	Usable         func(customer string) bool // whether requests of the customer may be sent here
	free           int
	waiting        int // requests waiting at its leader, by the last load hint
	window         int
	sentByCustomer map[string]int // this router's requests waiting there, by customer

	pausedUntil time.Time // no request is sent before this time
}

// noCapacityPause is how long a shard gets no requests after it reported that the
// sum of its windows is 0.
const noCapacityPause = 1 * time.Second

// LimitError is the error for a request that would exceed a customer's Limits.
// Requests and Bytes are what the customer has waiting.
type LimitError struct {
	Customer string
	Requests int
	Bytes    int
}

// Error returns a message for the caller.
func (e *LimitError) Error() string {
	return fmt.Sprintf("customer %q has %d requests of %d bytes waiting here, its limit; send this one again later", e.Customer, e.Requests, e.Bytes)
}

// queue holds one customer's requests at a Dispatcher.
type queue struct {
	queued   []*PendingRequest
	waiting  int // number of requests queued here or waiting at a leader
	bytes    int // sum of their body sizes
	inRing   bool
	customer string
}

// Dispatcher distributes one service's requests at one entry router over the
// service's shards. It is not safe for concurrent use.
//
// Most of a backlog is queued at the entry router. At most maxWaitingPerLeader of a
// customer's requests wait at each leader; they are recalled when another leader has
// free slots.
type Dispatcher struct {
	limits       Limits
	destinations map[string]*Destination
	ordered      []*Destination
	queues       map[string]*queue
	ring         []*queue                   // customers with queued requests, in round-robin order
	sent         map[uint64]*PendingRequest // requests waiting at a leader, by ID
}

// NewDispatcher returns a Dispatcher without shards.
func NewDispatcher(l Limits) *Dispatcher {
	return &Dispatcher{limits: l, destinations: map[string]*Destination{}, queues: map[string]*queue{}, sent: map[uint64]*PendingRequest{}}
}

// Configure sets the shards that requests may go to. Shards that were configured
// before keep their load.
func (d *Dispatcher) Configure(list []Destination) {
	byShard := map[string]*Destination{}
	d.ordered = d.ordered[:0]
	for _, dest := range list {
		dest.sentByCustomer = map[string]int{}
		dest.free = 1
		if old := d.destinations[dest.Shard]; old != nil {
			dest.free, dest.waiting, dest.window, dest.sentByCustomer, dest.pausedUntil = old.free, old.waiting, old.window, old.sentByCustomer, old.pausedUntil
		}
		byShard[dest.Shard] = &dest
		d.ordered = append(d.ordered, &dest)
	}
	d.destinations = byShard
}

// Add queues a request. It returns a *LimitError if the request would exceed the
// customer's limits.
func (d *Dispatcher) Add(p *PendingRequest) error {
	q := d.queues[p.Customer]
	if q == nil {
		q = &queue{customer: p.Customer}
		d.queues[p.Customer] = q
	}
	if q.waiting >= d.limits.Requests || q.bytes+p.Bytes > d.limits.Bytes {
		return &LimitError{Customer: p.Customer, Requests: q.waiting, Bytes: q.bytes}
	}
	q.waiting++
	q.bytes += p.Bytes
	d.enqueue(q, p, false)
	return nil
}

// enqueue adds a request to a queue, at its head if first is set, and puts the customer
// into the ring.
func (d *Dispatcher) enqueue(q *queue, p *PendingRequest, first bool) {
	if first {
		q.queued = append([]*PendingRequest{p}, q.queued...)
	} else {
		q.queued = append(q.queued, p)
	}
	if !q.inRing {
		q.inRing = true
		d.ring = append(d.ring, q)
	}
}

// TakeSendable takes the requests that should be sent now from the queues and returns them.
// PendingRequest.Shard returns the shard that each goes to.
func (d *Dispatcher) TakeSendable(now time.Time) []*PendingRequest {
	var toSend []*PendingRequest
	for skipped := 0; skipped < len(d.ring); {
		q := d.ring[0]
		d.ring = append(d.ring[:0], d.ring[1:]...)
		to := d.choose(now, q.customer)
		if to == nil {
			d.ring = append(d.ring, q)
			skipped++
			continue
		}
		skipped = 0
		toSend = append(toSend, d.send(q, to))
		if len(q.queued) > 0 {
			d.ring = append(d.ring, q)
		} else {
			q.inRing = false
		}
	}
	return toSend
}

// choose returns the shard for a customer's next request, or nil if none can take it.
// It prefers a shard with free slots in this router's zone, then the shard with the
// greatest ratio of free slots to window, then the one with the shortest queue for
// its window.
func (d *Dispatcher) choose(now time.Time, customer string) *Destination {
	var best *Destination
	bestScore := math.Inf(1)
	for _, dest := range d.ordered {
		if dest.sentByCustomer[customer] >= maxWaitingPerLeader || now.Before(dest.pausedUntil) || !dest.Usable(customer) {
			continue
		}
		if s := dest.loadScore(); s < bestScore {
			best, bestScore = dest, s
		}
	}
	return best
}

// loadScore returns a score that is lower for a better shard and negative for a shard
// with free slots.
func (dest *Destination) loadScore() float64 {
	if dest.free > 0 {
		if dest.SameZone {
			return -2
		}
		return -1 - float64(dest.free)/(float64(dest.window)+1)
	}
	return float64(dest.waiting+1) / (float64(dest.window) + 1)
}

// send takes the first request of a queue, assigns it to a shard and updates the
// shard's load until the next UpdateLoad.
func (d *Dispatcher) send(q *queue, to *Destination) *PendingRequest {
	p := q.queued[0]
	q.queued[0] = nil
	q.queued = q.queued[1:]
	p.shard = to.Shard
	to.sentByCustomer[p.Customer]++
	if to.free > 0 {
		to.free--
	} else {
		to.waiting++
	}
	d.sent[p.ID] = p
	return p
}

// MarkAdmitted records that a leader granted a request, which therefore no longer counts
// as waiting.
func (d *Dispatcher) MarkAdmitted(p *PendingRequest) {
	if p.admitted || p.shard == "" {
		return
	}
	p.admitted = true
	d.forgetSent(p)
	d.releaseLimit(p)
}

// forgetSent removes a request from those that wait at a leader.
func (d *Dispatcher) forgetSent(p *PendingRequest) {
	delete(d.sent, p.ID)
	dest := d.destinations[p.shard]
	if dest == nil {
		return
	}
	dest.sentByCustomer[p.Customer]--
	if dest.sentByCustomer[p.Customer] <= 0 {
		delete(dest.sentByCustomer, p.Customer)
	}
}

// releaseLimit stops counting a request against its customer's limits.
func (d *Dispatcher) releaseLimit(p *PendingRequest) {
	q := d.queues[p.Customer]
	q.waiting--
	q.bytes -= p.Bytes
	if q.waiting == 0 && !q.inRing {
		delete(d.queues, p.Customer)
	}
}

// RequeueReturned puts a request that a leader returned without running it back at the head
// of its customer's queue.
func (d *Dispatcher) RequeueReturned(p *PendingRequest) {
	if p.shard == "" {
		return
	}
	q := d.queues[p.Customer]
	if p.admitted {
		if q == nil {
			q = &queue{customer: p.Customer}
			d.queues[p.Customer] = q
		}
		q.waiting++
		q.bytes += p.Bytes
	} else {
		d.forgetSent(p)
	}
	p.shard, p.admitted, p.recalling = "", false, false
	d.enqueue(q, p, true)
}

// Remove removes a request that ended or whose caller disconnected.
func (d *Dispatcher) Remove(p *PendingRequest) {
	if p.admitted {
		return
	}
	if p.shard != "" {
		d.forgetSent(p)
		d.releaseLimit(p)
		return
	}
	q := d.queues[p.Customer]
	for i, x := range q.queued {
		if x == p {
			q.queued = append(q.queued[:i], q.queued[i+1:]...)
			d.releaseLimit(p)
			break
		}
	}
	if len(q.queued) == 0 && q.inRing {
		d.removeFromRing(q)
	}
}

// removeFromRing removes a queue from the ring, and deletes it if no request of the
// customer waits at a leader.
func (d *Dispatcher) removeFromRing(q *queue) {
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

// UpdateLoad records the load that a shard's leader reports: free slots, waiting requests
// and the sum of its windows. It ends a pause of the shard unless window is 0.
func (d *Dispatcher) UpdateLoad(now time.Time, shard string, free, waiting, window int) {
	dest := d.destinations[shard]
	if dest == nil {
		return
	}
	dest.free, dest.waiting, dest.window = free, waiting, window
	dest.pausedUntil = time.Time{}
	if window == 0 {
		dest.pausedUntil = now.Add(noCapacityPause)
	}
}

// PauseShard stops sending requests to a shard until the given time or the next UpdateLoad for
// it.
func (d *Dispatcher) PauseShard(shard string, until time.Time) {
	if dest := d.destinations[shard]; dest != nil {
		dest.pausedUntil = until
	}
}

// SelectRecalls returns requests that should be recalled from the leaders of other shards,
// at most as many as the given shard has free slots. It marks them as being recalled.
func (d *Dispatcher) SelectRecalls(now time.Time, shard string) []*PendingRequest {
	dest := d.destinations[shard]
	if dest == nil || dest.free <= 0 {
		return nil
	}
	var recalls []*PendingRequest
	for _, p := range d.sent {
		if len(recalls) >= dest.free {
			break
		}
		if d.recallable(now, p, dest) {
			p.recalling, p.recalledAt = true, now
			recalls = append(recalls, p)
		}
	}
	return recalls
}

// recallable reports whether a request that waits at a leader should be recalled for
// shard to: it may run there, and its present shard has no free slot.
func (d *Dispatcher) recallable(now time.Time, p *PendingRequest, to *Destination) bool {
	if p.shard == to.Shard || p.recalling || now.Sub(p.recalledAt) < minRecallInterval || !to.Usable(p.Customer) {
		return false
	}
	from := d.destinations[p.shard]
	return from == nil || from.free <= 0
}

// HasPending reports whether any request waits, at this router or at a leader.
func (d *Dispatcher) HasPending() bool { return len(d.ring) > 0 || len(d.sent) > 0 }

// Waiting returns the number of a customer's requests that wait, at this router or at
// a leader.
func (d *Dispatcher) Waiting(customer string) int {
	if q := d.queues[customer]; q != nil {
		return q.waiting
	}
	return 0
}
