package placement

// This file defines the roles of model servers in a disaggregated pool: some prefill
// prompts, the others decode.

import (
	"cmp"
	"slices"
	"time"

	"bulrushtally/roles"
)

// Limits for pools whose model servers can migrate running requests. Prompts with a
// long prefill run on prefill servers, where they delay no running stream, and the
// request migrates to a decode server with its first event. So the shared segments of
// long prompts stay in the KV caches of few servers.
const (
	longPrefillFraction        = 0.06                  // fraction of the longest allowed event gap; a prompt with a longer prefill goes to a prefill server
	shortOutputPrefillFraction = 0.035                 // the same for requests with a short output
	shortOutputTokens          = 64                    // output length up to which event gaps do not matter and the request is not migrated
	rolesMaxAge                = 50 * time.Millisecond // time after which roles are assigned again
	fairQueueFraction          = 0.60                  // longest prefill wait at a prefill server, as a fraction of the latency objective
	spareQueueFraction         = 0.20                  // the same for customers above their fair share
	maxDecodeKVFraction        = 0.92                  // fraction of a decode server's KV cache that requests may use after a migration
	ownerLoadBonus             = 0.25                  // the owner of the shared segments is chosen even if its load is higher than that of others by this much
)

// assignRoles assigns the roles of the model servers, at most once per rolesMaxAge.
// Roles follow from the hashes of the server IDs, so that all routers that see the same
// servers assign the same roles.
func (p *pool) assignRoles(now time.Time) {
	if now.Sub(p.rolesAssignedAt) < rolesMaxAge {
		return
	}
	p.rolesAssignedAt = now
	usable := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		s.prefillServer = false
		if s.keepsRole(now) {
			usable = append(usable, s)
		}
	}
	p.idleSpareFraction = p.computeIdleSpareFraction(now, usable)
	p.decideRoles(now, usable)
	p.disaggregated = p.service.Migrates && len(usable) >= roles.MinServers && p.roles.Split()
	if !p.disaggregated {
		return
	}
	slices.SortFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.hash, b.hash))
	})
	for len(usable) > 0 { // each version has servers of both roles, since a request migrates within its version
		n := 1
		for n < len(usable) && usable[n].Version == usable[0].Version {
			n++
		}
		for _, s := range usable[:roles.PrefillServers(n)] {
			s.prefillServer = true
		}
		usable = usable[n:]
	}
}

// Mean utilization of the model servers at which idleSpareFraction begins to fall from
// maxIdleSpareFraction, and at which it is 0.
const (
	busyFrom, busyTo     = 0.20, 0.45
	maxIdleSpareFraction = 0.5
)

// computeIdleSpareFraction returns the fraction of the spare capacity that customers far
// above their fair share may use too: refusing them while model servers are idle would
// help no other customer.
func (p *pool) computeIdleSpareFraction(now time.Time, usable []*server) float64 {
	if len(usable) == 0 {
		return 0
	}
	utilization := 0.0
	for _, s := range usable {
		running := s.expectedRunning(now)
		utilization += max(s.recentPrefill.sum(now, p.eventGapMs)/p.eventGapMs, float64(running)/float64(s.slotCount()))
	}
	return maxIdleSpareFraction * (1 - ramp(utilization/float64(len(usable)), busyFrom, busyTo))
}

// needsPrefillServer reports whether the request's prefill is so long that it belongs
// on a prefill server.
func (p *pool) needsPrefillServer(req *Request, eventGapMs float64) bool {
	fraction := longPrefillFraction
	if req.OutputTokens <= shortOutputTokens {
		fraction = shortOutputPrefillFraction // it would gain nothing from a decode server
	}
	return prefillCost(req.PromptTokens, req.PromptTokens-req.SharedTokens())*p.msPerToken > fraction*eventGapMs
}

// Migrate returns a Grant for a decode server to which the request migrates after its
// prefill, or nil if it stays on its server. It stays if that is not a prefill server,
// its output is short, or no decode server has room.
func (g *Grant) Migrate(now time.Time) *Grant {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := g.server.pool
	pl.assignRoles(now)
	if !pl.disaggregated || !g.server.prefillServer || g.request.OutputTokens <= shortOutputTokens {
		return nil
	}
	if pl.engine().MigrationMs(g.request.PromptTokens) > milliseconds(cmp.Or(g.request.MaxEventGap, defaultEventGap)) {
		return nil // the migration alone would exceed the event gap
	}
	owner := pl.owner(now, g.request.Segments, false, g.server.Version)
	var best *server
	lowestLoad := 0.0
	for _, s := range pl.servers {
		if s.prefillServer || s == g.server || g.version == "" || s.certainVersion(now) != g.version || !s.usable(now) || s.cold(now) || !p.withinLimit(now, s) || !s.obeysRollout(now, g.request) {
			continue
		}
		_, tokens := s.load()
		running := s.expectedRunning(now)
		if running >= s.slotCount() || tokens+g.request.PromptTokens+g.request.OutputTokens > int(maxDecodeKVFraction*float64(pl.service.KVCapacity)) {
			continue
		}
		load := float64(tokens)/float64(pl.service.KVCapacity) + float64(running)/float64(s.slotCount())
		if s == owner {
			load -= ownerLoadBonus
		}
		if best == nil || load < lowestLoad {
			best, lowestLoad = s, load
		}
	}
	if best == nil {
		return nil
	}
	pl.setKVHolder(g.request.Segments, best)
	best.running++
	best.recordSent(now, 0)
	best.kvTokens += g.request.PromptTokens + g.request.OutputTokens
	return &Grant{
		placement: p, server: best, request: g.request, customer: g.customer, id: best.ID, startedMs: best.StartedMs, version: best.Version, serverVersion: best.Version, newVersion: g.newVersion, address: best.Address,
		sentAt: now, firstEventSeen: true, migrated: true, late: g.late,
	}
}
