package placement

// This file defines what a pool knows for the decision whether some of its servers prefill
// for the others, and the record of the decisions.

import (
	"cmp"
	"time"

	"bulrushtally/roles"
)

// tokenTime estimates the time between two tokens of a stream that no prefill delays, as the median over streams: a few
// that wait for other reasons do not count. Its zero value has no estimate.
type tokenTime struct {
	ms      float64
	streams float64
}

// Limits on the estimate of a tokenTime.
const (
	minTokenTimeStep   = 0.01 // least relative step of the estimate toward a stream that lies above or below it
	firstTokenTimeStep = 0.5  // step toward the second stream; it falls with the number of streams
	minTokenMs         = 0.1
	maxTokenMs         = 100.0
	maxPrefillFraction = 0.5 // fraction of a decode server's time that is taken to be prefill at most
)

// add adds a stream with its time for a token.
func (t *tokenTime) add(ms float64) {
	ms = min(maxTokenMs, max(minTokenMs, ms))
	t.streams++
	if t.streams == 1 {
		t.ms = ms
		return
	}
	step := 1 + max(minTokenTimeStep, firstTokenTimeStep/t.streams)
	if ms > t.ms {
		t.ms = min(ms, t.ms*step)
	} else {
		t.ms = max(ms, t.ms/step)
	}
}

// observeTokenTime updates the estimate with a complete stream that ran on a decode server. The streams of other servers
// say little about the decode steps, since prefills delay them. The time of the migration, and of waiting for one of the server's
// slots where routers have filled it beyond them, is taken off.
func (g *Grant) observeTokenTime(now time.Time) {
	s := g.server
	p := s.pool
	if !p.disaggregated || s.prefillServer || g.request.OutputTokens <= shortOutputTokens {
		return
	}
	took := milliseconds(now.Sub(g.firstEventAt))
	if g.migrated {
		took = milliseconds(now.Sub(g.sentAt)) - p.engine().MigrationMs(g.request.PromptTokens)
	} else if g.firstEventAt.IsZero() {
		return
	}
	running, _ := s.load()
	slots := float64(s.slotCount())
	waiting := slots / max(slots, float64(running+1)) // this stream has been taken off already
	prefill := min(maxPrefillFraction, s.recentPrefill.sum(now, p.eventGapMs)/p.eventGapMs)
	p.tokenTime.add(took * waiting * (1 - prefill) / float64(g.request.OutputTokens))
}

// engine returns what is known of the pool's model servers, without their slots.
func (p *pool) engine() roles.Engine {
	return roles.Engine{
		PrefillMsPerToken: p.msPerToken, TokenMs: p.tokenTime.ms, EventGapMs: p.eventGapMs,
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
	here, remote := 0.0, 0.0
	for _, c := range shares.customers {
		here += c.local(bucket).demand
		remote += c.remote.demand
	}
	if here == 0 {
		return 0
	}
	span := min(slidingSpan, max(bucketLength, now.Sub(shares.startedAt)))
	perSecond := here/span.Seconds() + remote/slidingSpan.Seconds() // other routers report whole spans
	return perSecond * min(1, p.arrived.sum(bucket)/here)
}

// decideRoles updates the decision whether some of the usable servers prefill for the others. Some do where the
// configuration does not say how fast a KV cache is copied.
func (p *pool) decideRoles(now time.Time, usable []*server) {
	if p.service.KVBytesPerToken == 0 {
		p.roles = roles.Decider{}
		return
	}
	if len(usable) == 0 || !p.service.Migrates || !p.roles.Due(now) {
		return
	}
	slots := 0
	for _, s := range usable {
		slots += s.slotCount()
	}
	in := roles.Inputs{Servers: len(usable), Engine: p.engine(), Mix: &p.mix, CostPerSecond: p.costPerSecond(now)}
	in.Engine.Slots = slots / len(usable)
	if d, report := p.roles.Update(now, in); report && len(p.placement.roleDecisions) < maxRoleDecisions {
		p.placement.roleDecisions = append(p.placement.roleDecisions, RoleDecision{p.service.Name, d})
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

// RoleDecision is a decision on the roles of a service's model servers.
type RoleDecision struct {
	Service string
	roles.Decision
}

// maxRoleDecisions bounds the decisions that are kept until they are read.
const maxRoleDecisions = 16

// RoleDecisions returns the decisions on roles to log since the last call, at most maxRoleDecisions.
func (p *Placement) RoleDecisions() []RoleDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	decisions := p.roleDecisions
	p.roleDecisions = nil
	return decisions
}
