package placement

// This file defines pool, the backend servers of one service, and the choice among them.

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/route"
)

// What a router assumes of a service's engines before it has observed them, and
// how far observation may move it.
const (
	firstPerToken            = 1.0 / 100 // milliseconds
	minPerToken, maxPerToken = 1.0 / 400, 1.0 / 10
	perTokenGain             = 0.02
	firstBase                = 40 * time.Millisecond // time to the first event beyond reading
	maxBase                  = 200 * time.Millisecond
	baseFall, baseRise       = 0.2, 0.01
)

// Limits on what waits at one engine: beyond, a request waits at its router.
const (
	fullWait      = 0.55 // of the objective, for customers below their share
	spareWait     = 0.20 // of the objective, for the others
	memoryShare   = 0.88 // of an engine's memory that running requests may take
	slotShare     = 1.0
	spareSlots    = 0.8
	homeTokens    = 600 // shared tokens from which a prompt has a home among the engines
	nearBest      = 12 * time.Millisecond
	farZone       = 3 * time.Millisecond
	perRunning    = 400 * time.Microsecond // harm of one more stream to those that run
	rereadFactor  = 1.0                    // reading what another engine holds costs others their time
	arrivalMargin = 30 * time.Millisecond
)

// pool is the backend servers of one service.
type pool struct {
	placement *Placement
	service   *route.Service
	servers   []*server
	waiting   []*waiter
	retries   retryBudget

	perToken float64 // milliseconds that an engine reads one token
	base     time.Duration
}

func newPool(p *Placement, s *route.Service) *pool {
	return &pool{placement: p, service: s, perToken: firstPerToken, base: firstBase}
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

// home returns the usable server that a prompt's shared parts belong to by
// rendezvous hashing, so that all routers read them at the same one, or nil.
func (p *pool) home(now time.Time, parts []Part) *server {
	tokens := 0
	key := uint64(0)
	for _, x := range parts {
		tokens += x.Tokens
		key = x.ID
	}
	if tokens < homeTokens {
		return nil
	}
	var best *server
	var top uint64
	for _, s := range p.servers {
		if !s.usable(now) {
			continue
		}
		if h := mix(key, xxhash.Sum64String(s.ID)); best == nil || h > top {
			best, top = s, h
		}
	}
	return best
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// choice is a server that can take a request now.
type choice struct {
	server *server
	unread int           // prompt tokens that it has to read
	first  time.Duration // expected time to the first event
	cost   time.Duration
}

// choose returns the best server for a request, or false if none may take it now.
// Spare limits it to capacity that nobody below its share waits for.
func (p *pool) choose(now time.Time, a *Ask, spare bool) (choice, bool) {
	if p.service.Engine() {
		return p.chooseEngine(now, a, spare)
	}
	return p.choosePlain(now, a, spare)
}

func (p *pool) chooseEngine(now time.Time, a *Ask, spare bool) (choice, bool) {
	home := p.home(now, a.Parts)
	left := a.Objective.Sub(now)
	limit := fullWait
	slots := slotShare
	if spare {
		limit, slots = spareWait, spareSlots
	}
	most := time.Duration(limit * float64(a.Within))
	var best choice
	found, ties := false, 0
	for _, s := range p.servers {
		if !s.usable(now) || a.tried(s.ID) || !p.placement.bears(now, s) {
			continue
		}
		running, tokens := s.load(now)
		if running >= int(slots*float64(s.slotCount())) || tokens+a.Prompt+a.Output > int(memoryShare*float64(p.service.Memory)) {
			continue
		}
		unread := a.Prompt - s.parts.known(a.Parts)
		if s == home {
			unread = min(unread, a.Prompt-a.shared())
		}
		wait := s.wait(now)
		if wait > most {
			continue
		}
		c := choice{server: s, unread: max(1, unread)}
		c.first = wait + s.readTime(c.unread) + p.base
		if !a.Late && c.first > left-arrivalMargin && wait > 0 {
			continue
		}
		c.cost = c.first + time.Duration(rereadFactor*float64(s.readTime(c.unread))) + time.Duration(running)*perRunning
		if s.Zone != p.placement.zone {
			c.cost += farZone
		}
		switch {
		case !found || c.cost < best.cost-nearBest:
			best, found, ties = c, true, 1
		case c.cost < best.cost+nearBest:
			// Routers with the same picture part: any of the near best will do.
			ties++
			if rand.IntN(ties) == 0 {
				c.cost = min(c.cost, best.cost)
				best = c
			}
		}
	}
	return best, found
}

func (p *pool) choosePlain(now time.Time, a *Ask, spare bool) (choice, bool) {
	var best choice
	found, ties := false, 0
	for _, s := range p.servers {
		if !s.usable(now) || a.tried(s.ID) || !p.placement.bears(now, s) {
			continue
		}
		running, _ := s.load(now)
		slots := s.slotCount()
		if spare {
			slots = max(1, slots-1)
		}
		if running >= slots {
			continue
		}
		c := choice{server: s}
		c.cost = time.Duration(float64(running+1)/float64(s.slotCount())*(0.3+s.errorRate)*1000) * time.Millisecond
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

// slotCount returns how many requests the server runs at once.
func (s *server) slotCount() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return max(1, s.pool.service.Slots)
}

// observe learns from a first event: how long reading takes, on the whole and at this server.
func (p *pool) observe(s *server, predicted, took time.Duration, read float64) {
	if read <= 0 || predicted <= 0 {
		return
	}
	beyond := took - time.Duration(read*float64(time.Millisecond))
	if beyond < p.base {
		p.base += time.Duration(baseFall * float64(beyond-p.base))
	} else {
		p.base += time.Duration(baseRise * float64(min(beyond, 2*maxBase)-p.base))
	}
	p.base = min(maxBase, max(0, p.base))
	ratio := min(4, max(0.25, float64(took-p.base)/float64(max(predicted-p.base, time.Millisecond))))
	s.pace = min(maxPace, max(minPace, s.pace*(1+paceGain*(ratio-1))))
	p.perToken = min(maxPerToken, max(minPerToken, p.perToken*(1+perTokenGain*(ratio-1))))
}
