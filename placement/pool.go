package placement

// This file defines pool, the backend servers of one service, and how a server is chosen
// for a request.

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bulrushtally/roles"
	"bulrushtally/route"
	"bulrushtally/serverload"
)

// Initial values and limits of the prefill model of a service. The initial values hold
// until the router has observed enough requests.
const (
	initialMsPerToken            = 1.0 / 100 // prefill time of a token
	minMsPerToken, maxMsPerToken = 1.0 / 400, 1.0 / 10
	initialBaseMs                = 40.0 // time to the first event beyond prefill
	maxBaseMs                    = 200.0
	attentionGrowth              = 4.1e-5 // relative increase of a token's prefill time per preceding token
	fitDecay                     = 0.998  // factor on the weight of older observations at each new one
	minFitSamples                = 20     // weighted number of observations from which the fit is used
)

// Limits on the load of one model server; requests beyond them wait at the router. A
// model server prefills prompts between the decode steps of its running streams, which
// lengthens their event gaps. So the prefill that is sent to it within the longest
// allowed event gap is limited to a fraction of that gap.
const (
	fairPrefillFraction  = 0.80 // for customers below their fair share
	sparePrefillFraction = 0.45 // for customers above it
	idlePrefillFraction  = 0.10 // while recent prefill is at most this, a prompt may exceed the limit
	maxKVFraction        = 0.70 // fraction of the KV cache for running requests; the rest keeps shared segments
	fairSlotFraction     = 1.0
	spareSlotFraction    = 0.7
	minPrefillFraction   = 0.05 // below this, requests of customers above their fair share get no server
	ownerWaitFraction    = 0.30 // fraction of the latency objective that a request waits for the owner of its shared segments
	ownerWaitTokens      = 400  // least number of missing shared tokens for which it waits
	defaultEventGap      = 300 * time.Millisecond
	arrivalMargin        = 30 * time.Millisecond // the first event is expected this long before the objective
)

// Costs by which model servers are compared, in milliseconds.
const (
	recomputeCostMs        = 0.10 // per shared token that another server holds
	runningStreamCostMs    = 0.4  // per running stream, whose decode steps get longer
	gapExcessCost          = 0.08 // per running stream and millisecond of recent prefill beyond the limit
	tieMarginMs            = 6.0  // servers whose costs differ by less are equally good
	tieMarginPerIntervalMs = 0.04 // added to tieMarginMs per millisecond of the interval between summaries
)

// pool is the backend servers of one service and the requests that wait for them.
type pool struct {
	placement     *Placement
	service       *route.Service
	servers       []*server
	waiting       []*waiter
	dispatchAfter time.Time // no dispatch before
	retries       retryBudget
	arrivalCost   float64 // moving average of the cost of the requests that arrive at a server, of which migrated ones bring none; 0 until there was one

	msPerToken        float64               // estimated prefill time of a token
	baseMs            float64               // estimated time to the first event beyond prefill
	ownFit            prefillFit            // of this router's requests
	peerFits          map[string]prefillFit // by router
	lateRate          lateRate
	eventGapMs        float64 // longest event gap that a request has allowed so far
	disaggregated     bool    // some servers run prefill and the others decode
	rolesAssignedAt   time.Time
	idleSpareFraction float64            // fraction of the spare capacity that customers far above their fair share may use too, because servers are idle
	kvHolders         map[uint64]*server // by prefix: server other than the owner that held it last
	roles             roles.Decider
	mix               roles.Mix
	arrived           slidingSum // cost of the requests from callers that arrived at this router
	tokenTime         tokenTime
	admitted          map[string]bool // versions at which streams may begin
	spillover         spilloverState
	stated            serverload.Service // what its servers' statements of load have in common
	loadStatedAt      time.Time          // of the last statement of a load; zero if there was none
	rollout           Rollout
}

// newPool returns a pool without servers.
func newPool(p *Placement, s *route.Service) *pool {
	return &pool{placement: p, service: s, msPerToken: initialMsPerToken, baseMs: initialBaseMs, eventGapMs: milliseconds(defaultEventGap), peerFits: map[string]prefillFit{}, kvHolders: map[uint64]*server{}}
}

// segmentCacheTokens returns how many tokens of a server's KV cache are taken to hold
// prompt segments.
func (p *pool) segmentCacheTokens() int { return p.service.KVCapacity * 6 / 10 }

// meanErrorRateExcept returns the mean error rate of the other servers, or 1 if there are none.
func (p *pool) meanErrorRateExcept(excluded *server) float64 {
	sum, n := 0.0, 0
	for _, s := range p.servers {
		if s != excluded {
			sum += s.errorRate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// candidate is a server that is considered for a request, with the expected cost.
type candidate struct {
	server        *server
	isOwner       bool          // server owns the request's shared segments
	kvSource      *server       // server to fetch the KV cache of missing shared segments from, or nil
	prefillTokens int           // prompt tokens to prefill
	prefillCost   float64       // the same weighted by attention cost
	missingTokens int           // shared tokens that are not in this server's KV cache; 0 for the owner
	firstEvent    time.Duration // expected time to the first event
	prefillMs     float64
	cost          float64 // in milliseconds for a model service, without unit for a plain one
}

// choose returns the best server for a request, or false if none can take it now.
func (p *pool) choose(now time.Time, w *waiter) (candidate, bool) {
	p.refreshLoads(now)
	c, ok := p.chooseByRule(now, w)
	if !ok && p.leavesNewVersion(w.request) {
		c, ok = p.chooseByRule(now, w)
	}
	return c, ok
}

// chooseByRule returns the best server that the request's version rule allows.
func (p *pool) chooseByRule(now time.Time, w *waiter) (candidate, bool) {
	if p.service.ServesModels() {
		return p.chooseModelServer(now, w)
	}
	return p.choosePlainServer(now, w)
}

// chooseModelServer returns the model server of the least cost among those that have
// room. If there is none, the best busy server may be reserved for the request, so that
// smaller requests do not keep it full.
func (p *pool) chooseModelServer(now time.Time, w *waiter) (candidate, bool) {
	p.assignRoles(now)
	p.updateSpillover(now)
	w.rejections = Rejections{}
	sr := p.newSearch(now, w)
	if sr.spareOnly && sr.prefillFraction < minPrefillFraction {
		return candidate{}, false
	}
	sr.considerRole()
	if !sr.found && !sr.spareOnly && w.rejections.Spillover > 0 {
		sr.allowNeeded() // home has no room for the request
		w.rejections = Rejections{}
		sr.considerRole()
	}
	if !sr.found && p.disaggregated && !sr.wantsPrefill && !sr.spareOnly && !p.ignoresRoles(w.request) {
		for _, s := range p.servers {
			if s.prefillServer {
				sr.consider(s)
			}
		}
	}
	if !sr.found && p.disaggregated && sr.wantsPrefill && !p.ignoresRoles(w.request) && w.rejections.Busy+w.rejections.Reserved+w.rejections.Full+w.rejections.Spillover == 0 {
		for _, s := range p.servers { // no prefill server is usable
			if !s.prefillServer {
				sr.consider(s)
			}
		}
	}
	if sr.found && sr.waitsForOwner() {
		return candidate{}, false
	}
	if !sr.found && !sr.spareOnly && sr.bestBusy.server != nil && !p.mayLeaveNewVersion(w.request) && !(p.disaggregated && sr.bestBusy.server.prefillServer) {
		sr.bestBusy.server.reservedFor = w
	}
	p.spillover.record(p.placement.zone, sr)
	return sr.best, sr.found
}

// considerRole considers the servers of the role that the request belongs on. A stream that keeps to a version takes any server
// of it.
func (sr *search) considerRole() {
	p, req := sr.pool, sr.waiter.request
	for _, s := range p.servers {
		if p.disaggregated && s.prefillServer != sr.wantsPrefill && !p.ignoresRoles(req) {
			continue
		}
		sr.consider(s)
	}
}

// search is one pass over a pool's model servers for a request.
type search struct {
	pool            *pool
	now             time.Time
	waiter          *waiter
	owner           *server
	versionOwners   map[string]*server // owners among the servers of one version, of those that were asked for
	spareOnly       bool               // the customer is above its fair share
	wantsPrefill    bool               // the request belongs on a prefill server
	eventGapMs      float64            // longest allowed event gap of the request's stream
	prefillFraction float64            // fraction of the event gap that may be prefill
	slotFraction    float64            // fraction of a server's slots that may be used
	queueFraction   float64            // longest prefill wait at a prefill server, as a fraction of the latency objective
	tieMargin       float64            // servers whose costs differ by less are equally good, in milliseconds
	leavingPrice    float64            // added for another zone beyond spillover.MinPriceMs, in milliseconds
	boundsSpillover bool               // servers of other zones are considered within the bounds of spillover

	best, bestBusy candidate // bestBusy is the cheapest one without room
	found          bool
	ties           int // number of servers that are as good as best
}

// newSearch returns a search with the limits that hold for the request now.
func (p *pool) newSearch(now time.Time, w *waiter) *search {
	sr := &search{pool: p, now: now, waiter: w, spareOnly: w.spareOnly(), eventGapMs: milliseconds(cmp.Or(w.request.MaxEventGap, defaultEventGap))}
	p.eventGapMs = max(p.eventGapMs, sr.eventGapMs)
	sr.tieMargin = p.tieMargin()
	sr.wantsPrefill = p.needsPrefillServer(w.request, sr.eventGapMs)
	sr.owner = p.owner(now, w.request.Segments, sr.wantsPrefill, w.request.Version)
	sr.owner = p.ownerByRollout(now, w.request, sr.owner, sr.wantsPrefill)
	sr.prefillFraction, sr.slotFraction, sr.queueFraction = fairPrefillFraction*p.lateRate.fairFraction(), fairSlotFraction, fairQueueFraction
	if sr.spareOnly {
		fraction := p.lateRate.spareFraction() * p.placement.shares.allowedSpare(now, w.customer, w.request.cost(), p.idleSpareFraction)
		sr.prefillFraction, sr.slotFraction, sr.queueFraction = sparePrefillFraction*fraction, spareSlotFraction, spareQueueFraction*fraction
	}
	sr.startSpillover()
	return sr
}

// waitsForOwner reports whether the request waits for the owner of its shared segments,
// which is busy, rather than have the best other server prefill them again.
func (sr *search) waitsForOwner() bool {
	req := sr.waiter.request
	if sr.owner == nil || sr.best.server == sr.owner || sr.bestBusy.server != sr.owner || sr.best.missingTokens < ownerWaitTokens {
		return false
	}
	waited := sr.now.Sub(sr.waiter.arrivedAt)
	return sr.spareOnly || milliseconds(waited) < ownerWaitFraction*milliseconds(req.LatencyObjective)
}

// consider checks whether a server can take the request and updates the best candidate.
func (sr *search) consider(s *server) {
	p, now, req := sr.pool, sr.now, sr.waiter.request
	rejections := &sr.waiter.rejections
	switch {
	case !s.usable(now) || !s.fits(now, req) || req.wasTried(s.ID) || !p.placement.withinColdRate(now, s):
		rejections.Unusable++
		return
	case !p.placement.withinLimit(now, s):
		rejections.Limited++
		return
	case s.reservedForOther(sr.waiter):
		rejections.Reserved++
		return
	case !sr.maySpill(s):
		rejections.Spillover++
		return
	}
	s.decaySlowdown(now)
	_, tokens := s.load()
	running := s.expectedRunning(now)
	if running >= int(sr.slotFraction*float64(s.slotCount())) || tokens+req.PromptTokens+req.OutputTokens > int(maxKVFraction*float64(p.service.KVCapacity)) {
		rejections.Full++
		return
	}
	c := p.evaluate(now, req, s, sr.ownerFor(s), s == sr.owner, running)
	c.cost += sr.leavingCost(s)
	if !sr.checkRoom(s, &c, running) {
		if rejections.Busy++; rejections.ShortestFirstEvent == 0 || c.firstEvent < rejections.ShortestFirstEvent {
			rejections.ShortestFirstEvent = c.firstEvent
		}
		if sr.bestBusy.server == nil || c.cost < sr.bestBusy.cost {
			sr.bestBusy = c
		}
		return
	}
	switch {
	case !sr.found || c.cost < sr.best.cost-sr.tieMargin:
		sr.best, sr.found, sr.ties = c, true, 1
	case c.cost < sr.best.cost+sr.tieMargin:
		// Routers with the same view of the fleet choose at random among equally good
		// servers, so that they do not all choose the same one.
		sr.ties++
		if rand.IntN(sr.ties) == 0 {
			c.cost = min(c.cost, sr.best.cost)
			sr.best = c
		}
	}
}

// checkRoom reports whether a server can run the request in time and within its prefill
// limit. It also increases c.cost by the expected effect of the prefill on the event gaps
// of the server's running streams, unless the server is a prefill server.
func (sr *search) checkRoom(s *server, c *candidate, running int) bool {
	req, now := sr.waiter.request, sr.now
	inTime := req.Late || c.firstEvent <= req.Objective.Sub(now)-arrivalMargin || s.prefillWait(now) == 0
	if sr.pool.disaggregated && s.prefillServer {
		return inTime && milliseconds(s.prefillWait(now)) <= sr.queueFraction*milliseconds(req.LatencyObjective)
	}
	recent := s.recentPrefill.sum(now, sr.pool.eventGapMs)
	if over := recent + c.prefillMs - fairPrefillFraction*sr.eventGapMs; over > 0 {
		c.cost += gapExcessCost * over * float64(running)
	}
	return inTime && (recent <= idlePrefillFraction*sr.eventGapMs || recent+c.prefillMs <= sr.prefillFraction*sr.eventGapMs)
}

// evaluate returns the expected prefill, time to the first event and cost of a request
// at a server.
func (p *pool) evaluate(now time.Time, req *Request, s, owner *server, isOwner bool, running int) candidate {
	cached := s.segments.cachedTokens(req.Segments)
	c := candidate{server: s, isOwner: isOwner, missingTokens: req.SharedTokens() - cached}
	if isOwner {
		c.missingTokens = 0
		if s.cacheFilled(now) {
			cached = req.SharedTokens()
		}
	}
	c.prefillTokens = max(1, req.PromptTokens-cached)
	if isOwner {
		c.kvSource = p.fallbackKVHolder(now, req.Segments, s)
	}
	if c.missingTokens > 0 && owner != nil && owner != s && owner.cacheFilled(now) {
		c.kvSource = owner
		c.prefillTokens = max(1, req.PromptTokens-req.SharedTokens())
	}
	c.prefillCost = prefillCost(req.PromptTokens, c.prefillTokens)
	prefill := s.prefillTime(now, c.prefillCost)
	c.prefillMs = milliseconds(prefill)
	c.firstEvent = s.prefillWait(now) + prefill + time.Duration(p.baseMs*float64(time.Millisecond))
	c.cost = milliseconds(c.firstEvent) + recomputeCostMs*float64(c.missingTokens) + runningStreamCostMs*float64(running)
	return c
}

// milliseconds converts a duration to a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prefillCost returns the cost of prefilling the last missing tokens of a prompt, in
// tokens at the start of a prompt. Attention makes later tokens more expensive.
func prefillCost(prompt, missing int) float64 {
	return float64(missing) * (1 + attentionGrowth*(float64(prompt)-float64(missing)/2))
}

// choosePlainServer returns the server with the lowest load, weighted by its error rate and, where servers state their load, by
// its slowness, among those with a free slot. Customers above their fair share leave one slot free.
func (p *pool) choosePlainServer(now time.Time, w *waiter) (candidate, bool) {
	req, spareOnly := w.request, w.spareOnly()
	var best candidate
	found, ties, stated, moment := false, 0, p.usesLoadStatements(now), p.stated.Moment(now)
	for _, s := range p.servers {
		if !s.usable(now) || !s.fits(now, req) || req.wasTried(s.ID) || !p.placement.withinColdRate(now, s) || !p.placement.withinLimit(now, s) {
			continue
		}
		running := s.knownRunning()
		slots := s.slotCount()
		if spareOnly {
			slots = max(1, slots-1)
		}
		if running >= slots {
			continue
		}
		c := candidate{server: s}
		if stated {
			c.cost = s.statedCost(moment) * (0.3 + s.errorRate)
		} else {
			c.cost = float64(running+1) / float64(s.slotCount()) * (0.3 + s.errorRate)
		}
		switch {
		case !found || c.cost < best.cost:
			best, found, ties = c, true, 1
		case c.cost == best.cost:
			if ties++; rand.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, found
}

// plainRequestTime is the typical duration of a request to a plain service. If summaries
// come at longer intervals, the requests in them have ended, and they are not counted.
const plainRequestTime = 150 * time.Millisecond

// slotCount returns how many requests the server runs at once.
func (s *server) slotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return max(1, s.pool.service.Slots)
}
