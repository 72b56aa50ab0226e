package placement

// This file defines the roles of engines: some read prompts, the others run streams.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How work is split between engines that can hand running requests over. Long
// prompts are read where no stream runs that they could make late, and the
// request moves to an engine that runs streams with its first event. Shared parts
// of long prompts stay in the memory of few engines.
const (
	readerShare  = 0.52  // of the engines read prompts
	leastEngines = 3     // with fewer, all do everything
	longRead     = 0.06  // of the longest pause: a prompt that takes longer is read by a reader
	shortRead    = 0.035 // the same for short answers
	shortOutput  = 64    // tokens up to which a stream has no pauses to speak of and ends where it began
	rolesAge     = 50 * time.Millisecond
	queueFull    = 0.60 // of the objective that may pass until a reader begins
	queueSpare   = 0.20
	fullMemory   = 0.92 // of a stream engine's memory
	homeLoad     = 0.25 // load beyond that of others with which a stream still goes where its shared parts go
)

// assign gives the usable engines their roles; all routers that see the same
// engines give the same roles.
func (p *pool) assign(now time.Time) {
	if now.Sub(p.assigned) < rolesAge {
		return
	}
	p.assigned = now
	usable := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		s.reader = false
		if s.lasting() {
			usable = append(usable, s)
		}
	}
	p.idle = p.idleness(now, usable)
	p.split = p.service.Moves && len(usable) >= leastEngines
	if !p.split {
		return
	}
	slices.SortFunc(usable, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	for _, s := range usable[:int(math.Ceil(readerShare*float64(len(usable))))] {
		s.reader = true
	}
}

// How busy the engines are on the average, from which customers above their share leave
// what is spare to those that got less, and from which all of it.
const (
	yieldFrom, yieldTo = 0.20, 0.45
	mostIdle           = 0.5
)

// idleness returns the part of the spare capacity that a customer may use whatever it
// got before: nobody gains by engines that idle.
func (p *pool) idleness(now time.Time, usable []*server) float64 {
	if len(usable) == 0 {
		return 0
	}
	busy := 0.0
	for _, s := range usable {
		running, _ := s.load()
		busy += max(s.recent.sum(now, p.pause)/p.pause, float64(running)/float64(s.slotCount()))
	}
	return mostIdle * (1 - ramp(busy/float64(len(usable)), yieldFrom, yieldTo))
}

// wantsReader reports whether a request belongs to engines that read prompts.
func (p *pool) wantsReader(a *Ask, pause float64) bool {
	part := longRead
	if a.Output <= shortOutput {
		part = shortRead // it gains nothing where streams run
	}
	return effort(a.Prompt, a.Prompt-a.Shared())*p.perToken > part*pause
}

// Move returns a place at an engine that runs streams, for a request that was
// read by a reader, or nil if it stays where it is.
func (g *Grant) Move(now time.Time) *Grant {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := g.server.pool
	pl.assign(now)
	if !pl.split || !g.server.reader || g.ask.Output <= shortOutput {
		return nil
	}
	home := pl.home(now, g.ask.Parts, false)
	var best *server
	least := 0.0
	for _, s := range pl.servers {
		if s.reader || s == g.server || !s.usable(now) || s.cold(now) {
			continue
		}
		running, tokens := s.load()
		if running >= s.slotCount() || tokens+g.ask.Prompt+g.ask.Output > int(fullMemory*float64(pl.service.Memory)) {
			continue
		}
		load := float64(tokens)/float64(pl.service.Memory) + float64(running)/float64(s.slotCount())
		if s == home {
			load -= homeLoad
		}
		if best == nil || load < least {
			best, least = s, load
		}
	}
	if best == nil {
		return nil
	}
	pl.hold(g.ask.Parts, best)
	best.running++
	best.tokens += g.ask.Prompt + g.ask.Output
	return &Grant{
		placement: p, server: best, ask: g.ask, customer: g.customer, id: best.ID, address: best.Address,
		sentAt: now, began: true, moved: true, slow: g.slow,
	}
}
