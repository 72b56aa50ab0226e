package placement

// This file defines what a pool knows for the decision whether some of its servers prefill
// for the others, and the record of the changes.

import (
	"cmp"
	"time"

	"bulrushtally/roles"
)

// tokenTime estimates the time between two tokens of a stream that no prefill delays; its zero value has no estimate.
type tokenTime struct {
	ms, tokens float64 // sums over streams, the older ones at their lower weight
}

// Limits on the estimate of a tokenTime.
const (
	tokenTimeDecay     = 0.99 // factor on the weight of older streams at each new one
	minTokenMs         = 0.1
	maxTokenMs         = 100.0
	maxPrefillFraction = 0.5 // fraction of a decode server's time that is taken to be prefill at most
)

// add adds a stream that generated a number of tokens while its server prefilled for a fraction of the time.
func (t *tokenTime) add(tokens int, took time.Duration, prefillFraction float64) {
	t.ms = t.ms*tokenTimeDecay + milliseconds(took)*(1-min(maxPrefillFraction, prefillFraction))
	t.tokens = t.tokens*tokenTimeDecay + float64(tokens)
}

// value returns the estimate in milliseconds, or 0 if there is none.
func (t *tokenTime) value() float64 {
	if t.tokens == 0 {
		return 0
	}
	return min(maxTokenMs, max(minTokenMs, t.ms/t.tokens))
}

// observeTokenTime updates the estimate with a complete stream that ran on a decode server. The streams of other servers
// say little about the decode steps, since prefills delay them.
func (g *Grant) observeTokenTime(now time.Time) {
	p := g.server.pool
	if !p.disaggregated || g.server.prefillServer || g.request.OutputTokens <= shortOutputTokens {
		return
	}
	began := g.firstEventAt
	if g.migrated {
		began = g.sentAt
	}
	if !began.IsZero() {
		p.tokenTime.add(g.request.OutputTokens, now.Sub(began), g.server.recentPrefill.sum(now, p.eventGapMs)/p.eventGapMs)
	}
}

// engine returns what is known of the pool's model servers, without their slots.
func (p *pool) engine() roles.Engine {
	return roles.Engine{
		PrefillMsPerToken: p.msPerToken, TokenMs: p.tokenTime.value(), EventGapMs: p.eventGapMs,
		KVBytes: p.service.KVBytesPerToken, LinkMbps: p.service.LinkMbps,
	}
}

// recordArrival adds a request from a caller to what the roles depend on.
func (p *pool) recordArrival(now time.Time, req *Request) {
	p.arrived.add(p.placement.shares.bucket(now), req.cost())
	p.mix.Add(roles.Request{
		PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, Cost: req.cost(),
		PrefillCost: prefillCost(req.PromptTokens, req.PromptTokens-req.SharedTokens()),
		LongPrefill: p.needsPrefillServer(req, milliseconds(cmp.Or(req.MaxEventGap, defaultEventGap))),
		ShortOutput: req.OutputTokens <= shortOutputTokens,
	})
}

// costPerSecond returns the cost of the requests for the service that arrive at all routers. Routers tell each other the
// demand for all services together; the part of this one is that of the requests that arrive here.
func (p *pool) costPerSecond(now time.Time) float64 {
	shares := p.placement.shares
	bucket := shares.bucket(now)
	here, all := 0.0, 0.0
	for _, c := range shares.customers {
		here += c.local(bucket).demand
		all += c.usage(bucket).demand
	}
	if here == 0 {
		return 0
	}
	span := min(slidingSpan, max(bucketLength, now.Sub(shares.startedAt)))
	return all * min(1, p.arrived.sum(bucket)/here) / span.Seconds()
}

// decideRoles updates the decision whether some of the usable servers prefill for the others. It stays as it is where the
// configuration does not say how fast a KV cache is copied.
func (p *pool) decideRoles(now time.Time, usable []*server) {
	if len(usable) == 0 || !p.service.Migrates || p.service.KVBytesPerToken == 0 || !p.roles.Due(now) {
		return
	}
	slots := 0
	for _, s := range usable {
		slots += s.slotCount()
	}
	in := roles.Inputs{Servers: len(usable), Engine: p.engine(), Mix: &p.mix, CostPerSecond: p.costPerSecond(now)}
	in.Engine.Slots = slots / len(usable)
	if d, changed := p.roles.Update(now, in); changed && len(p.placement.roleChanges) < maxRoleChanges {
		p.placement.roleChanges = append(p.placement.roleChanges, RoleChange{p.service.Name, d})
	}
}

// ServicesWithoutPrefillServers returns the number of services whose model servers can migrate requests, but of which
// none prefills for the others by decision.
func (p *Placement) ServicesWithoutPrefillServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, pl := range p.pools {
		if pl.service.Migrates && !pl.roles.Split() {
			n++
		}
	}
	return n
}

// RoleChange is a change of the roles of a service's model servers.
type RoleChange struct {
	Service string
	roles.Decision
}

// maxRoleChanges bounds the changes that are kept until they are read.
const maxRoleChanges = 16

// RoleChanges returns the changes of roles since the last call, at most maxRoleChanges.
func (p *Placement) RoleChanges() []RoleChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.roleChanges
	p.roleChanges = nil
	return changes
}
