package placement

// This file defines Placement, Ask and Grant: how a request gets a backend server.

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bulrushtally/route"
)

// Ask is what a request brings to be placed.
type Ask struct {
	Service   string
	Customer  string
	Priority  int
	Prompt    int // tokens
	Output    int // tokens, as far as known
	Parts     []Part
	Within    time.Duration // objective of the route
	Pause     time.Duration // longest pause between events that is in time, 0 if there is none
	Objective time.Time     // by when the first event, or the answer, is in time
	Deadline  time.Time
	Late      bool     // the objective passed before the request arrived here
	Tried     []string // backend servers that this request was sent to
	Waits     func()   // called when the request begins to wait for a server, if not nil

	shares int // tokens of Parts, once counted
}

func (a *Ask) tried(id string) bool { return slices.Contains(a.Tried, id) }

// Shared returns the tokens of the parts that other requests bring too.
func (a *Ask) Shared() int {
	if a.shares == 0 {
		for _, p := range a.Parts {
			a.shares += p.Tokens
		}
	}
	return a.shares
}

// outputCost is what a generated token counts beside one that is read.
const outputCost = 2

// cost is what the request takes of the capacity.
func (a *Ask) cost() float64 { return float64(a.Prompt + outputCost*a.Output) }

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	NoServer  Reason = "no-server"  // no usable backend server
	Full      Reason = "full"       // it could not be in time
	OverShare Reason = "over-share" // the customer has had its share and nothing is left
	NoBudget  Reason = "no-budget"  // it may not be sent again
	Left      Reason = "left"       // the client went, or its time is over
)

// Refusal says that a request was given to no backend server and when to come back.
type Refusal struct {
	Reason Reason
	After  time.Duration
	Seen   Seen
	Share  ShareSeen
}

// ShareSeen is what decided about a customer's share when a request was refused. Costs
// are those of the window, in tokens.
type ShareSeen struct {
	Level  float64 // share of a customer that asks for more; 0 if there is enough
	Served float64 // what the customer got
	Least  float64 // what the customer got that got least of those that ask for more, the share at least
	Idle   float64 // part of what is spare that is anyone's
}

// Seen counts why backend servers did not take a request when it was last tried.
type Seen struct {
	Unusable, Claimed, Full, Busy int
	First                         time.Duration // expected to the first event at the best of the busy ones
}

// Error describes the refusal and its remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request has not run (%s); send it again after %v", r.Reason, r.After.Round(time.Millisecond))
}

// Options describe a router to its Placement.
type Options struct {
	Zone    string
	Bounds  Bounds
	Routers int // that could exist, until Routers says better
	Now     time.Time
}

// Placement places requests; it may be used from many goroutines.
type Placement struct {
	zone string

	mu        sync.Mutex
	bounds    Bounds
	routers   int           // that could exist: bounds are split by it
	rank      int           // of this router among those that are alive
	stale     time.Duration // time between two summaries of another router
	pools     map[string]*pool
	servers   map[string]*server
	evacuated map[string]bool
	shares    *shares
	peers     map[string]*peerSums
}

// New returns a Placement that knows no backend servers.
func New(o Options) *Placement {
	return &Placement{
		zone: o.Zone, bounds: o.Bounds, routers: max(1, o.Routers), shares: newShares(o.Now),
		pools: map[string]*pool{}, servers: map[string]*server{}, evacuated: map[string]bool{}, peers: map[string]*peerSums{},
	}
}

// Configure takes in the services of the configuration in force.
func (p *Placement) Configure(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.capacity = t.Limits().TokensPerSec
	for name, s := range t.Services() {
		if old := p.pools[name]; old != nil {
			old.service = s
			continue
		}
		p.pools[name] = newPool(p, s)
	}
	for _, s := range p.servers {
		p.attach(s)
	}
}

// attach puts a server into the pool of its service.
func (p *Placement) attach(s *server) {
	to := p.pools[s.Service]
	if to == nil || s.pool == to && slices.Contains(to.servers, s) {
		return
	}
	s.pool = to
	s.parts = newPartCache(to.partTokens())
	to.servers = append(to.servers, s)
}

// listTime is how long after its start a router learns of backend servers that were there before.
const listTime = time.Second

// unlisted stands for the service of servers that no configuration names yet.
var unlisted = &route.Service{}

// List takes in what the platform lists of a backend server.
func (p *Placement) List(now time.Time, e Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[e.ID]
	if s == nil || s.Address != e.Address || s.Service != e.Service {
		p.drop(s)
		s = newServer(newPool(p, unlisted), e)
		if now.Sub(p.shares.began) < listTime {
			s.filledAt = now // it may have been read at for long
		}
		p.servers[e.ID] = s
		p.attach(s)
	}
	if e.Born != s.Born {
		s.parts.clear()
		s.filledAt = time.Time{}
		s.busyUntil = now
		s.failures, s.downUntil, s.warming = 0, time.Time{}, false
		s.chill(now, s.pool.service.Cold)
	}
	if s.failures > 0 && e.Cold > 0 {
		s.failures, s.downUntil, s.warming = 0, time.Time{}, false
	}
	s.Entry, s.listed = e, true
	if e.Cold > 0 {
		s.chill(now, e.Cold)
	}
	p.dispatch(now, s.pool)
}

// Unlist takes in that the platform no longer lists a backend server.
func (p *Placement) Unlist(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(p.servers[id])
}

func (p *Placement) drop(s *server) {
	if s == nil {
		return
	}
	s.listed = false
	s.pool.servers = slices.DeleteFunc(s.pool.servers, func(x *server) bool { return x == s })
	delete(p.servers, s.ID)
}

// Listed returns the names of the listed backend servers.
func (p *Placement) Listed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id := range p.servers {
		ids = append(ids, id)
	}
	return ids
}

// Evacuate says whether the backend servers of an availability zone may get new
// requests. Those of a zone that is taken back count as cold.
func (p *Placement) Evacuate(now time.Time, zone string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuated[zone] == out {
		return
	}
	if out {
		p.evacuated[zone] = true
		return
	}
	delete(p.evacuated, zone)
	for _, s := range p.servers {
		if s.Zone == zone {
			s.chill(now, s.pool.service.Cold)
		}
	}
}

// Routers says how many routers could exist, this one's rank among those alive, from
// 0, and the time between two summaries of each.
func (p *Placement) Routers(n, rank int, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers, p.rank, p.stale = max(1, n), rank, period
}

// bears reports whether a server may get one more request in this second. A cold
// server's rate is split evenly; where there are more routers than requests, only the
// routers that come first by the server's own order may send it one each.
func (p *Placement) bears(now time.Time, s *server) bool {
	if !s.cold(now) {
		return true
	}
	all := p.bounds.Share * (s.pool.service.ColdPerSecond*p.bounds.ColdOver + float64(p.bounds.ColdSlack))
	mine := int(all / float64(p.routers))
	if mine == 0 {
		turn := (p.rank + int(mix(1, uint64(s.Born)))%p.routers + p.routers) % p.routers
		if float64(turn) >= all {
			return false
		}
		mine = 1
	}
	return s.coldSent.count(now) < mine
}

// SetBounds replaces the bounds over the fleet.
func (p *Placement) SetBounds(b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds = b
}

// Arrived takes in that a client sent a request to a service, which earns retries.
func (p *Placement) Arrived(now time.Time, a *Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[a.Service]; pl != nil {
		pl.retries.request(now, p.bounds.RetryWindow)
	}
	if a.Prompt > 0 {
		c := p.shares.customer(a.Customer)
		c.asked.add(p.shares.slot(now), a.cost())
		c.askedSum += uint64(a.cost())
	}
}

// Admit waits for a server for a request. It returns a Refusal if the request
// cannot be in time, or if the context ends first.
func (p *Placement) Admit(ctx context.Context, a *Ask) (*Grant, *Refusal) {
	now := time.Now()
	p.mu.Lock()
	pl := p.pools[a.Service]
	if pl == nil || len(pl.servers) == 0 {
		p.mu.Unlock()
		return nil, &Refusal{Reason: NoServer, After: p.comeBack(a, true)}
	}
	if len(a.Tried) > 0 && !pl.retries.take(now, &p.bounds, p.routers) {
		p.mu.Unlock()
		return nil, &Refusal{Reason: NoBudget, After: p.comeBack(a, false)}
	}
	c := p.shares.customer(a.Customer)
	over := a.Prompt > 0 && p.shares.over(now, c, a.cost())
	w := &waiter{ask: a, from: c, since: now, over: over}
	if !pl.outranked(w) {
		if g := p.try(now, pl, w); g != nil {
			p.mu.Unlock()
			return g, nil
		}
	}
	patience := w.patience()
	if patience <= 0 || pl.crowded(w) {
		defer p.mu.Unlock()
		return nil, p.refusal(now, pl, w)
	}
	w.granted = make(chan *Grant, 1)
	pl.waiting = append(pl.waiting, w)
	p.mu.Unlock()
	if a.Waits != nil {
		a.Waits()
	}
	return p.await(ctx, pl, w, patience)
}

// try gives a request a server if one may take it now.
func (p *Placement) try(now time.Time, pl *pool, w *waiter) *Grant {
	best, ok := pl.choose(now, w)
	if !ok {
		return nil
	}
	return p.grant(now, pl, best, w)
}

func (p *Placement) grant(now time.Time, pl *pool, c choice, w *waiter) *Grant {
	s, a := c.server, w.ask
	g := &Grant{
		placement: p, server: s, ask: a, customer: w.from,
		id: s.ID, address: s.Address, sentAt: now, unread: c.unread, effort: c.effort, expected: c.first,
	}
	if !c.home {
		pl.hold(a.Parts, s)
	}
	if c.source != nil {
		g.fetch = c.source.Address
	}
	s.running++
	s.reading++
	s.sentAt = now
	s.tokens += a.Prompt + a.Output
	if s.cold(now) {
		s.coldSent.add(now)
	}
	if a.Prompt > 0 {
		g.ahead = milliseconds(s.wait(now)) / (pl.perToken * s.pace)
		s.push(now, c.effort)
		s.unread += c.effort
		s.sent += uint64(c.effort)
		s.parts.use(a.Parts)
		w.from.served.add(p.shares.slot(now), a.cost())
		w.from.servedSum += uint64(a.cost())
	}
	return g
}
