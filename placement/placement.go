package placement

// This file defines Placement, which assigns requests to backend servers, and the types
// of its requests and refusals.

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bulrushtally/route"
	"bulrushtally/serverload"
	"bulrushtally/serverstatus"
)

// Request describes a request that needs a backend server.
type Request struct {
	Service          string
	Customer         string
	Priority         int
	PromptTokens     int           // prompt length in tokens; 0 if the service is not a model service
	OutputTokens     int           // expected output length in tokens
	Segments         []Segment     // leading segments of the prompt that other requests may share
	LatencyObjective time.Duration // time allowed from arrival to the first event, or to the whole response
	MaxEventGap      time.Duration // longest allowed gap between two events of the stream; 0 means none is set
	Objective        time.Time     // time by which the first event, or the whole response, is due
	Deadline         time.Time
	Late             bool     // the objective had passed when the request arrived at this router
	Tried            []string // IDs of the backend servers that earlier attempts were sent to
	KeepsVersion     bool     // the response is a stream that goes on only at the version that began it, so it begins only at an admitted one
	Version          string   // the version that began the stream; "" before it began
	TakenUp          bool     // the caller takes up a stream that is known to have begun, which was within its customer's share then
	Rule             VersionRule
	OnWait           func() // called, if not nil, when the request is queued

	sharedTokens int // cached result of SharedTokens
}

// wasTried reports whether an earlier attempt was sent to the backend server.
func (req *Request) wasTried(id string) bool { return slices.Contains(req.Tried, id) }

// SharedTokens returns the total length of the shared segments in tokens.
func (req *Request) SharedTokens() int {
	if req.sharedTokens == 0 {
		for _, p := range req.Segments {
			req.sharedTokens += p.Tokens
		}
	}
	return req.sharedTokens
}

// decodeTokenCost is the cost of a generated token relative to a prompt token.
const decodeTokenCost = 2

// cost returns the capacity that the request uses, in prompt tokens: a generated token
// counts as decodeTokenCost prompt tokens.
func (req *Request) cost() float64 {
	return float64(req.PromptTokens + decodeTokenCost*req.OutputTokens)
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons for a refusal.
const (
	NoServer      Reason = "no-server"  // the service is unknown or has no backend server
	NoVersion     Reason = "no-version" // the stream has begun at a version that no backend server has
	NoCapacity    Reason = "full"       // no backend server has room in time
	OverShare     Reason = "over-share" // the customer has used its fair share and there is no spare capacity
	NoRetryBudget Reason = "no-budget"  // the retry budget is used up
	Canceled      Reason = "left"       // the caller disconnected or the deadline passed while the request waited
)

// Refusal is returned for a request that was assigned to no backend server.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // time after which the caller should send the request again
	Rejections Rejections    // from the last search for a backend server
	Share      ShareState    // fair-share state of the customer
}

// ShareState is the fair-share state behind a refusal. Costs are in prompt tokens over
// the sliding window of slidingSpan.
type ShareState struct {
	FairShare         float64 // max-min fair share of a backlogged customer; 0 if capacity exceeds demand
	Served            float64 // cost of the customer's requests that were sent to servers
	WithinShare       float64 // cost of those of them that used its fair share
	LeastServed       float64 // served cost of the least-served backlogged customer, and at least the fair share; 0 if no customer is backlogged
	IdleSpareFraction float64 // fraction of the spare capacity that customers far above their fair share may use too, because servers are idle

	Zones            int           // number of other zones whose summaries come
	OldestZoneReport time.Duration // age of the oldest of their last summaries
}

// Rejections counts the backend servers that were passed over in a search, by reason.
// Unusable ones are out of service, were tried before, or are cold and at the limit of
// their rate; Limited ones name a limit, of which this router has used its part; Reserved ones
// are reserved for another request; Full ones have no slot or KV cache left; Busy ones have too
// much prefill to do. Spillover ones are in another zone to which this router has sent its part of what the zone can take.
type Rejections struct {
	Unusable, Limited, Reserved, Full, Busy, Spillover int
	ShortestFirstEvent                                 time.Duration // shortest expected time to the first event among the busy ones
}

// Error returns the reason and the time after which to send the request again.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request has not run (%s); send it again after %v", r.Reason, r.RetryAfter.Round(time.Millisecond))
}

// Options configures a Placement.
type Options struct {
	Zone    string // availability zone of this router
	Limits  FleetLimits
	Routers int // number of routers that may exist, until SetRouters is called
	Now     time.Time
}

// Placement assigns requests to backend servers. It is safe for concurrent use.
type Placement struct {
	zone string

	mu              sync.Mutex
	limits          FleetLimits
	routers         int                // number of routers that may exist; fleet limits are divided by it
	rank            int                // index of this router among the live ones
	summaryInterval time.Duration      // interval between two summaries of another router
	pools           map[string]*pool   // by service
	servers         map[string]*server // by server ID
	versionsChanged uint64             // how often a version of a service's servers came or went, at most
	statuses        *serverstatus.Register
	outOfService    map[string]bool // by availability zone
	shares          *shares
	peers           map[string]*peerState // by router
	availableAt     time.Time             // last update of shares.available
	roleDecisions   []RoleDecision        // that RoleDecisions has not returned yet
	zonesHeard      map[string]time.Time  // last summary of a router of the zone, by zone
	slownessChanges []SlownessChange      // to be told
	speedPeers      serverload.Peers      // what other routers of the zone measured
}

// New returns a Placement without services and backend servers.
func New(o Options) *Placement {
	return &Placement{
		zone: o.Zone, limits: o.Limits, routers: max(1, o.Routers), shares: newShares(o.Now),
		pools: map[string]*pool{}, servers: map[string]*server{}, statuses: serverstatus.NewRegister(), outOfService: map[string]bool{}, peers: map[string]*peerState{}, zonesHeard: map[string]time.Time{},
	}
}

// Configure replaces the services and the total capacity by those of a configuration. The
// pool of a service that it no longer names is kept.
func (p *Placement) Configure(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.capacity = t.Limits().CostPerSecond
	for name, s := range t.Services() {
		if old := p.pools[name]; old != nil {
			old.service = s
			old.rolesAssignedAt = time.Time{}
			continue
		}
		p.pools[name] = newPool(p, s)
	}
	for _, s := range p.servers {
		p.attach(s)
	}
}

// attach adds a server to the pool of its service, unless the service is unknown or the
// server is in the pool already.
func (p *Placement) attach(s *server) {
	to := p.pools[s.Service]
	if to == nil || s.pool == to && slices.Contains(to.servers, s) {
		return
	}
	s.pool = to
	s.segments = newSegmentCache(to.segmentCacheTokens())
	to.servers = append(to.servers, s)
	to.rolesAssignedAt = time.Time{} // they may have been assigned a moment ago, for fewer servers
	p.versionsChanged++
}

// initialListDelay is the time after the router's start within which it learns of the
// backend servers that existed before.
const initialListDelay = time.Second

// unknownService is the service of the servers whose service is not configured yet.
var unknownService = &route.Service{}

// SetServer adds a backend server that the platform lists, or updates its entry. A
// server whose start time changed has restarted: its KV cache is empty and it is cold.
func (p *Placement) SetServer(now time.Time, entry ServerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[entry.ID]
	if s == nil || s.Address != entry.Address || s.Service != entry.Service {
		p.removeServer(s)
		s = newServer(newPool(p, unknownService), entry)
		if now.Sub(p.shares.startedAt) < initialListDelay {
			s.cacheFilledAt = now // it may have been in use before this router started
		}
		p.servers[entry.ID] = s
		p.attach(s)
	}
	if entry.StartedMs != s.StartedMs {
		s.segments.clear()
		s.cacheFilledAt = time.Time{}
		s.busyUntil = now
		s.failures, s.lateDials, s.downUntil, s.maybeRestarted = 0, 0, time.Time{}, false
		s.limit.Forget()
		s.stated.Forget()
		s.markCold(now, s.pool.service.ColdTime)
	}
	if s.failures > 0 && entry.ColdFor > 0 {
		s.failures, s.lateDials, s.downUntil, s.maybeRestarted = 0, 0, time.Time{}, false
	}
	if entry.Version != s.Version {
		p.versionsChanged++
	}
	s.ServerEntry, s.listed, s.doubtedAt = entry, true, time.Time{}
	s.status.SetStart(entry.StartedMs)
	if entry.Draining {
		s.status.RecordLeaving(now, entry.StartedMs)
	}
	if entry.ColdFor > 0 {
		s.markCold(now, entry.ColdFor)
	}
	p.dispatch(now, s.pool)
}

// RemoveServer removes a backend server that the platform no longer lists.
func (p *Placement) RemoveServer(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeServer(p.servers[id])
}

// removeServer removes a server from its pool and from the known servers. It does
// nothing if s is nil.
func (p *Placement) removeServer(s *server) {
	if s == nil {
		return
	}
	s.listed = false
	p.versionsChanged++
	s.pool.servers = slices.DeleteFunc(s.pool.servers, func(x *server) bool { return x == s })
	delete(p.servers, s.ID)
}

// ServerIDs returns the IDs of the listed backend servers in no particular order.
func (p *Placement) ServerIDs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id := range p.servers {
		ids = append(ids, id)
	}
	return ids
}

// SetZoneOutOfService sets whether an availability zone is out of service. Its backend
// servers then get no new requests, and they are cold when it is in service again.
func (p *Placement) SetZoneOutOfService(now time.Time, zone string, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outOfService[zone] == out {
		return
	}
	if out {
		p.outOfService[zone] = true
		return
	}
	delete(p.outOfService, zone)
	for _, s := range p.servers {
		if s.Zone == zone {
			s.markCold(now, s.pool.service.ColdTime)
		}
	}
}

// SetRouters sets the number n of routers that may exist, this router's rank among the
// live ones, counted from 0, and the interval between two summaries of a router.
func (p *Placement) SetRouters(n, rank int, interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers, p.rank, p.summaryInterval = max(1, n), rank, interval
}

// SetLimits replaces the fleet limits.
func (p *Placement) SetLimits(l FleetLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
}

// RecordArrival records a request from a caller. It adds to the retry budget of the
// service and to the customer's demand.
func (p *Placement) RecordArrival(now time.Time, req *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[req.Service]
	if pl != nil {
		pl.retries.recordRequest(now, p.limits.RetryWindow)
	}
	if req.PromptTokens > 0 {
		p.shares.customer(req.Customer).demand.add(p.shares.bucket(now), req.cost())
		if pl != nil {
			pl.recordArrival(now, req)
		}
	}
}

// Admit assigns a backend server to a request and waits for one if necessary. It
// returns a Refusal if the request cannot be served in time, its retry is not allowed,
// or ctx ends first.
func (p *Placement) Admit(ctx context.Context, req *Request) (*Grant, *Refusal) {
	now := time.Now()
	p.mu.Lock()
	pl := p.pools[req.Service]
	if pl == nil || len(pl.servers) == 0 {
		p.mu.Unlock()
		return nil, &Refusal{Reason: NoServer, RetryAfter: p.retryAfter(req, true)}
	}
	if len(req.Tried) > 0 && !pl.retries.take(now, &p.limits, p.routers) {
		p.mu.Unlock()
		return nil, &Refusal{Reason: NoRetryBudget, RetryAfter: p.retryAfter(req, false)}
	}
	if req.Version != "" && !pl.hasVersion(now, req.Version) {
		p.mu.Unlock()
		return nil, &Refusal{Reason: NoVersion, RetryAfter: p.retryAfter(req, true)}
	}
	c := p.shares.customer(req.Customer)
	w := &waiter{request: req, customer: c, arrivedAt: now}
	p.classify(now, pl, w)
	if !pl.mustQueue(w) {
		if g := p.tryGrant(now, pl, w); g != nil {
			p.mu.Unlock()
			return g, nil
		}
	}
	maxWait := w.maxWait()
	if maxWait <= 0 || pl.queueIsFull(w) || pl.unservableUntil(now).After(now.Add(maxWait)) {
		defer p.mu.Unlock()
		return nil, p.refusal(now, pl, w)
	}
	w.granted = make(chan *Grant, 1)
	pl.waiting = append(pl.waiting, w)
	p.mu.Unlock()
	if req.OnWait != nil {
		req.OnWait()
	}
	return p.await(ctx, pl, w, maxWait)
}

// tryGrant assigns a request to the best backend server that can take it now, or
// returns nil.
func (p *Placement) tryGrant(now time.Time, pl *pool, w *waiter) *Grant {
	best, ok := pl.choose(now, w)
	if !ok {
		return nil
	}
	return p.grant(now, pl, best, w)
}

// grant assigns a request to the chosen server and charges its cost to the server and
// the customer.
func (p *Placement) grant(now time.Time, pl *pool, c candidate, w *waiter) *Grant {
	s, req := c.server, w.request
	g := &Grant{
		placement: p, server: s, request: req, customer: w.customer,
		id: s.ID, startedMs: s.StartedMs, version: s.certainVersion(now), serverVersion: s.Version, newVersion: s.Version == pl.rollout.To && s.Version != "", address: s.Address, sentAt: now, prefillTokens: c.prefillTokens, prefillCost: c.prefillCost, expectedFirstEvent: c.firstEvent,
	}
	if !c.isOwner {
		pl.setKVHolder(req.Segments, s)
	}
	if c.kvSource != nil {
		g.kvFetchAddress = c.kvSource.Address
	}
	s.running++
	s.prefilling++
	s.sentAt = now
	s.kvTokens += req.PromptTokens + req.OutputTokens
	s.recordSent(now, req.cost())
	if req.PromptTokens > 0 {
		g.queuedCost = milliseconds(s.prefillWait(now)) / (pl.msPerToken * s.slowness(now))
		s.addPrefill(now, c.prefillCost)
		s.pendingCost += c.prefillCost
		s.sentTokens += uint64(c.prefillCost)
		s.segments.recordUse(req.Segments)
		g.charge = p.shares.charge(w.overShare)
		w.customer.addServed(p.shares.bucket(now), req.cost(), g.charge)
	}
	return g
}
