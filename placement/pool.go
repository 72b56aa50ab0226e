package placement

// This file defines pool, the backend servers of one service, and the choice among them.

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bulrushtally/route"
)

// What a router assumes of a service's engines before it has observed them, and
// how far observation may move it.
const (
	firstPerToken            = 1.0 / 100 // milliseconds
	minPerToken, maxPerToken = 1.0 / 400, 1.0 / 10
	firstBase                = 40.0 // milliseconds to the first event beyond reading
	maxBase                  = 200.0
	attentionGrowth          = 4.1e-5 // part by which a token takes longer to read for each token before it
	fitMemory                = 0.998  // weight of an observation after the next one
	fitSamples               = 20     // observations before they are trusted
)

// Limits on what one engine is given: beyond, a request waits at its router. An
// engine reads prompts between the steps of the streams that run there, so
// reading makes pauses in them: what it is given to read within the longest pause
// that is in time is bounded to a part of that.
const (
	fullReading   = 0.80 // for customers below their share
	spareReading  = 0.45 // for the others
	aloneReading  = 0.10 // up to this, a prompt that is longer than the bound may be read too
	memoryShare   = 0.70 // of an engine's memory that running requests may take; the rest keeps shared parts
	fullSlots     = 1.0
	spareSlots    = 0.7
	minSpare      = 0.05 // below, nothing is spare
	homeWait      = 0.30 // of the objective that a request waits for the engine that holds its shared parts
	worthWaiting  = 400  // shared tokens from which it does
	defaultPause  = 300 * time.Millisecond
	arrivalMargin = 30 * time.Millisecond
)

// Costs by which engines are compared, in milliseconds.
const (
	rereadCost  = 0.10 // for each shared token that another engine holds
	runningCost = 0.4  // for each stream whose steps get longer
	harmCost    = 0.08 // for each stream and millisecond by which its pause may get too long
	farCost     = 3.0  // for bytes between zones
	nearBest    = 6.0  // engines whose costs differ by less are the same
	staleNear   = 0.04 // beyond that, for each millisecond between two summaries
)

// pool is the backend servers of one service.
type pool struct {
	placement  *Placement
	service    *route.Service
	servers    []*server
	waiting    []*waiter
	dispatched time.Time
	retries    retryBudget

	perToken float64 // milliseconds in which an engine reads one token
	base     float64 // milliseconds to the first event beyond reading
	fit      fit
	fits     map[string]fit // of other routers
	strain   strain
	pause    float64 // longest pause between events that is in time, in milliseconds, as last asked for
	split    bool    // some engines read prompts for the others
	assigned time.Time
	idle     float64            // part of the spare capacity that is anyone's, since the engines idle
	holders  map[uint64]*server // by part: engine beside its home that held it last
}

func newPool(p *Placement, s *route.Service) *pool {
	return &pool{placement: p, service: s, perToken: firstPerToken, base: firstBase, pause: milliseconds(defaultPause), fits: map[string]fit{}, holders: map[uint64]*server{}}
}

// partTokens is how much of an engine's memory is believed to hold prompt parts.
func (p *pool) partTokens() int { return p.service.Memory * 6 / 10 }

// peersErrorRate returns the mean error rate of the other servers.
func (p *pool) peersErrorRate(except *server) float64 {
	sum, n := 0.0, 0
	for _, s := range p.servers {
		if s != except {
			sum += s.errorRate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// choice is a server that can take a request now.
type choice struct {
	server  *server
	home    bool          // of the shared parts
	source  *server       // engine that the missing shared parts are fetched from, or nil
	unread  int           // prompt tokens that it has to read
	effort  float64       // tokens that this is worth
	missing int           // shared tokens among them that another engine holds
	first   time.Duration // expected time to the first event
	read    float64       // milliseconds of reading
	cost    float64
}

// choose returns the best server for a request, or false if none may take it now.
func (p *pool) choose(now time.Time, w *waiter) (choice, bool) {
	if p.service.Engine() {
		return p.chooseEngine(now, w)
	}
	return p.choosePlain(now, w)
}

// chooseEngine returns the engine of the least cost among those that have room. If
// there is none, the best one is claimed, so that smaller requests do not keep it full.
func (p *pool) chooseEngine(now time.Time, w *waiter) (choice, bool) {
	p.assign(now)
	w.seen = Seen{}
	v := p.newVisit(now, w)
	if v.spare && v.reading < minSpare {
		return choice{}, false
	}
	for _, s := range p.servers {
		if p.split && s.reader != v.reader {
			continue
		}
		v.look(s)
	}
	if !v.found && p.split && !v.reader && !v.spare {
		for _, s := range p.servers {
			if s.reader {
				v.look(s)
			}
		}
	}
	if !v.found && p.split && v.reader && w.seen.Busy+w.seen.Claimed+w.seen.Full == 0 {
		for _, s := range p.servers { // no reader can be used at all
			if !s.reader {
				v.look(s)
			}
		}
	}
	if v.found && v.waitsForHome() {
		return choice{}, false
	}
	if !v.found && !v.spare && v.wanted.server != nil && !(p.split && v.wanted.server.reader) {
		v.wanted.server.claim = w
	}
	return v.best, v.found
}

// visit is a look at all engines for one request.
type visit struct {
	pool    *pool
	now     time.Time
	waiter  *waiter
	home    *server
	spare   bool
	reader  bool    // the request belongs to engines that read prompts
	pause   float64 // longest pause of its stream, in milliseconds
	reading float64 // part of a pause that may be reading
	slots   float64
	queue   float64 // part of the objective that may pass at a reader
	near    float64 // engines whose costs differ by less are the same

	best, wanted choice
	found        bool
	ties         int
}

func (p *pool) newVisit(now time.Time, w *waiter) *visit {
	v := &visit{pool: p, now: now, waiter: w, spare: w.spare(), pause: milliseconds(cmp.Or(w.ask.Pause, defaultPause))}
	p.pause = max(p.pause, v.pause)
	v.near = nearBest + staleNear*milliseconds(p.placement.stale)
	v.reader = p.wantsReader(w.ask, v.pause)
	v.home = p.home(now, w.ask.Parts, v.reader)
	v.reading, v.slots, v.queue = fullReading*p.strain.full(), fullSlots, queueFull
	if v.spare {
		part := p.strain.spare() * p.placement.shares.yields(now, w.from, p.idle)
		v.reading, v.slots, v.queue = spareReading*part, spareSlots, queueSpare*part
	}
	return v
}

// waitsForHome reports whether the request had better wait for the engine that holds
// its shared parts than have another one read them again.
func (v *visit) waitsForHome() bool {
	a := v.waiter.ask
	if v.home == nil || v.best.server == v.home || v.wanted.server != v.home || v.best.missing < worthWaiting {
		return false
	}
	waited := v.now.Sub(v.waiter.since)
	return v.spare || milliseconds(waited) < homeWait*milliseconds(a.Within)
}

// look weighs one engine and keeps the best.
func (v *visit) look(s *server) {
	p, now, a := v.pool, v.now, v.waiter.ask
	seen := &v.waiter.seen
	switch {
	case !s.usable(now) || a.tried(s.ID) || !p.placement.bears(now, s):
		seen.Unusable++
		return
	case s.claimed(v.waiter):
		seen.Claimed++
		return
	}
	s.forget(now)
	running, tokens := s.load()
	if running >= int(v.slots*float64(s.slotCount())) || tokens+a.Prompt+a.Output > int(memoryShare*float64(p.service.Memory)) {
		seen.Full++
		return
	}
	c := p.weigh(now, a, s, v.home, s == v.home, running)
	if !v.room(s, &c, running) {
		if seen.Busy++; seen.First == 0 || c.first < seen.First {
			seen.First = c.first
		}
		if v.wanted.server == nil || c.cost < v.wanted.cost {
			v.wanted = c
		}
		return
	}
	switch {
	case !v.found || c.cost < v.best.cost-v.near:
		v.best, v.found, v.ties = c, true, 1
	case c.cost < v.best.cost+v.near:
		// Routers with the same picture part: any of the near best will do.
		v.ties++
		if rand.IntN(v.ties) == 0 {
			c.cost = min(c.cost, v.best.cost)
			v.best = c
		}
	}
}

// room reports whether an engine can take the request in time, and adds what that does to streams.
func (v *visit) room(s *server, c *choice, running int) bool {
	a, now := v.waiter.ask, v.now
	inTime := a.Late || c.first <= a.Objective.Sub(now)-arrivalMargin || s.wait(now) == 0
	if v.pool.split && s.reader {
		return inTime && milliseconds(s.wait(now)) <= v.queue*milliseconds(a.Within)
	}
	recent := s.recent.sum(now, v.pool.pause)
	if over := recent + c.read - fullReading*v.pause; over > 0 {
		c.cost += harmCost * over * float64(running)
	}
	return inTime && (recent <= aloneReading*v.pause || recent+c.read <= v.reading*v.pause)
}

// weigh returns what it takes and costs to send a request to a server.
func (p *pool) weigh(now time.Time, a *Ask, s, holder *server, home bool, running int) choice {
	known := s.parts.known(a.Parts)
	c := choice{server: s, home: home, missing: a.Shared() - known}
	if home {
		c.missing = 0
		if s.filled(now) {
			known = a.Shared()
		}
	}
	c.unread = max(1, a.Prompt-known)
	if home {
		c.source = p.spareHolder(now, a.Parts, s)
	}
	if c.missing > 0 && holder != nil && holder != s && holder.filled(now) {
		c.source = holder
		c.unread = max(1, a.Prompt-a.Shared())
	}
	c.effort = effort(a.Prompt, c.unread)
	read := s.readTime(c.effort)
	c.read = milliseconds(read)
	c.first = s.wait(now) + read + time.Duration(p.base*float64(time.Millisecond))
	c.cost = milliseconds(c.first) + rereadCost*float64(c.missing) + runningCost*float64(running)
	if s.Zone != p.placement.zone {
		c.cost += farCost
	}
	return c
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// effort returns the tokens that reading the last unread tokens of a prompt is
// worth: attention makes later tokens dearer.
func effort(prompt, unread int) float64 {
	return float64(unread) * (1 + attentionGrowth*(float64(prompt)-float64(unread)/2))
}

func (p *pool) choosePlain(now time.Time, w *waiter) (choice, bool) {
	a, spare := w.ask, w.spare()
	var best choice
	found, ties := false, 0
	for _, s := range p.servers {
		if !s.usable(now) || a.tried(s.ID) || !p.placement.bears(now, s) {
			continue
		}
		running := s.running
		if p.placement.stale < shortWork {
			running, _ = s.load()
		}
		slots := s.slotCount()
		if spare {
			slots = max(1, slots-1)
		}
		if running >= slots {
			continue
		}
		c := choice{server: s}
		c.cost = float64(running+1) / float64(s.slotCount()) * (0.3 + s.errorRate)
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

// shortWork is about how long a plain service works on a request: what other routers
// said longer ago is of requests that are over.
const shortWork = 150 * time.Millisecond

// slotCount returns how many requests the server runs at once.
func (s *server) slotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return max(1, s.pool.service.Slots)
}
