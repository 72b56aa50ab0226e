package rollout

// This file defines what routers tell each other of an order, and how it adds up.

import (
	"math"
	"time"
)

// ratioBuckets is the number of buckets of Counts.Times. Their bounds grow by the square root of 2 from ratioLeast.
const (
	ratioBuckets = 12
	ratioLeast   = 0.25
)

// Bounds of what is kept of reports.
const (
	maxRoutes  = 16   // of a service; the others count together as the route ""
	maxPeers   = 4096 // incarnations of routers
	reportTime = 10 * time.Second
)

// Counts are the answers of one version on one route. They only grow.
type Counts struct {
	_        struct{} `cbor:",toarray"`
	Answered uint32   // with any result but Lost
	Failed   uint32
	Times    [ratioBuckets]uint32 // answers that did not fail, by the ratio of the time taken to the time expected
}

// RouteCounts are the answers of both versions on one route.
type RouteCounts struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	Old, New Counts
}

// Report is what one router knows at first hand of an order. Counters only grow; the other fields are those of the highest
// Sequence.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Router      string
	Incarnation uint64
	Order, Era  uint64
	Sequence    uint64 // of this report among those of the incarnation
	Routes      []RouteCounts
	OldInFlight int
	Requests    uint64 // that reached the service at this router
	Sent        uint64 // of them to the new version
	Bad         uint64 // answers of the new version that failed or were slow
	Stage       uint8
	Stopped     bool // the router found the version bad
}

// peerKey names one incarnation of a router.
type peerKey struct {
	router      string
	incarnation uint64
}

// peer is what one incarnation of another router reported.
type peer struct {
	Report
	routes  map[string]RouteCounts
	heardAt time.Time
	retired bool // a later incarnation was heard: nothing of this one runs any more
}

// drained reports whether the router sends nothing to the old servers and waits for nothing from them.
func (p *peer) drained() bool { return p.Stage == stageAll && p.OldInFlight == 0 }

// tally is the sum of the answers of all routers.
type tally struct {
	routes []RouteCounts
	index  map[string]int
	bad    uint64
}

// at returns the counts of a route, or of the route "" if there are too many routes.
func (a *tally) at(route string) *RouteCounts {
	i, ok := a.index[route]
	if !ok {
		if len(a.routes) >= maxRoutes {
			return &a.routes[a.index[""]]
		}
		i = len(a.routes)
		a.index[route] = i
		a.routes = append(a.routes, RouteCounts{Route: route})
	}
	return &a.routes[i]
}

// newTally returns an empty tally. The route "" is always there, for those beyond maxRoutes.
func newTally() tally {
	a := tally{index: map[string]int{}}
	a.at("")
	return a
}

// add adds the counts of d.
func (c *Counts) add(d Counts) {
	c.Answered += d.Answered
	c.Failed += d.Failed
	for i := range c.Times {
		c.Times[i] += d.Times[i]
	}
}

// minus returns the counts that were added since d.
func (c Counts) minus(d Counts) Counts {
	c.Answered -= d.Answered
	c.Failed -= d.Failed
	for i := range c.Times {
		c.Times[i] -= d.Times[i]
	}
	return c
}

// upTo returns the greater one of each counter.
func (c Counts) upTo(d Counts) Counts {
	c.Answered = max(c.Answered, d.Answered)
	c.Failed = max(c.Failed, d.Failed)
	for i := range c.Times {
		c.Times[i] = max(c.Times[i], d.Times[i])
	}
	return c
}

// ratioBucket returns the bucket of an answer's time. Without an expected time, res alone decides.
func ratioBucket(res Result, first, expected time.Duration) int {
	switch {
	case expected <= 0 && res == Slow:
		return ratioBuckets - 1
	case expected <= 0:
		return 0
	case first <= 0:
		return 0
	}
	b := math.Floor(2*math.Log2(float64(first)/float64(expected)/ratioLeast)) + 1
	return int(min(max(b, 0), ratioBuckets-1))
}

// Report returns what this router tells the others, one report for each order. Reports of an order end 10 s after its verdict is
// known.
func (r *Rollout) Report(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Report
	for _, s := range r.services {
		t := s.trial
		if t == nil || t.state != Serving && now.Sub(t.endedAt) > reportTime {
			continue
		}
		t.update(now)
		t.sequence++
		list = append(list, Report{
			Service: t.order.Service, Router: r.options.Router, Incarnation: r.options.Incarnation, Order: t.order.Number, Era: t.order.Era,
			Sequence: t.sequence, Routes: append([]RouteCounts(nil), t.own.routes...), OldInFlight: t.oldInFlight(),
			Requests: t.requests, Sent: t.sent, Bad: t.own.bad, Stage: t.stage, Stopped: t.stopped != NoOrder && t.state != Complete,
		})
	}
	return list
}

// Merge records what another router reports. Reports may be lost, repeated and come in any order.
func (r *Rollout) Merge(now time.Time, from Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[from.Service]
	if s == nil || s.trial == nil || !s.trial.is(from.Order, from.Era) {
		return
	}
	t := s.trial
	key := peerKey{from.Router, from.Incarnation}
	if key == (peerKey{r.options.Router, r.options.Incarnation}) {
		return
	}
	p := t.peerAt(key)
	if p == nil {
		return
	}
	t.mergeCounters(p, from)
	if from.Sequence > p.Sequence {
		p.Sequence, p.OldInFlight, p.Stage, p.heardAt = from.Sequence, from.OldInFlight, from.Stage, now
	}
	if from.Stopped && !p.Stopped {
		p.Stopped = true
		t.stop(now, PeersStopped)
	}
	t.update(now)
}

// peerAt returns the record of an incarnation, or nil if there are too many.
func (t *trial) peerAt(key peerKey) *peer {
	if p := t.peers[key]; p != nil {
		return p
	}
	if len(t.peers) >= maxPeers {
		return nil
	}
	p := &peer{routes: map[string]RouteCounts{}, retired: key.router == t.options.Router}
	for k, other := range t.peers {
		if k.router == key.router {
			p.retired = p.retired || k.incarnation > key.incarnation
			other.retired = other.retired || k.incarnation < key.incarnation
		}
	}
	t.peers[key] = p
	return p
}

// mergeCounters raises the counters of a router to those of a report, and the sums with them.
func (t *trial) mergeCounters(p *peer, from Report) {
	for _, c := range from.Routes[:min(len(from.Routes), maxRoutes)] {
		known, ok := p.routes[c.Route]
		if !ok && len(p.routes) >= maxRoutes {
			continue
		}
		raised := RouteCounts{Route: c.Route, Old: known.Old.upTo(c.Old), New: known.New.upTo(c.New)}
		p.routes[c.Route] = raised
		sum := t.total.at(c.Route)
		sum.Old.add(raised.Old.minus(known.Old))
		sum.New.add(raised.New.minus(known.New))
	}
	if from.Bad > p.Bad {
		t.total.bad += from.Bad - p.Bad
		p.Bad = from.Bad
	}
	p.Requests, p.Sent = max(p.Requests, from.Requests), max(p.Sent, from.Sent)
}
