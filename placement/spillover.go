package placement

// This file defines how a pool of model servers uses package spillover: what it tells the policy of each zone, the price
// of a server of another zone, and how many requests may spill over to it. Plain services have no price of leaving.

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushtally/spillover"
)

// usableSlotFraction is the fraction of a server's capacity up to which it counts as free for requests of other zones.
const usableSlotFraction = 0.95

// tieMargin returns the difference in milliseconds below which the costs of two servers are equally good.
func (p *pool) tieMargin() float64 {
	return tieMarginMs + tieMarginPerIntervalMs*milliseconds(p.placement.summaryInterval)
}

// spilloverState is a pool's policy of leaving the zone, with the counters behind its metrics.
type spilloverState struct {
	policy  spillover.Policy
	view    spillover.View
	roles   [][2]roleLoad // by zone; the second one is of prefill servers
	allowed []bool        // by zone; whether the request of the present search may spill over to it
	left    uint64        // requests that were sent to another zone
	stayed  uint64        // requests that were sent within the zone
	held    uint64        // searches that passed over servers of other zones because of a bound and found none
	logged  spillover.State
}

// roleLoad is the load of the warm servers of one role in one zone.
type roleLoad struct {
	servers     int
	utilization float64 // sum over the servers
	free        float64 // requests
}

// updateSpillover updates the policy at the start of a period. It does nothing for a plain service.
func (p *pool) updateSpillover(now time.Time) {
	st, pl := &p.spillover, p.placement
	if !p.service.ServesModels() || !st.policy.Due(now, pl.summaryInterval) {
		return
	}
	p.assignRoles(now) // no request may have needed them yet
	st.view.Home, st.view.Routers, st.view.Rank = pl.zone, pl.routers, pl.rank
	st.view.Interval, st.view.TieMarginMs = pl.summaryInterval, p.tieMargin()
	p.viewZones(now)
	st.policy.Update(now, &st.view)
}

// viewZones computes the loads of the zones.
func (p *pool) viewZones(now time.Time) {
	st := &p.spillover
	st.view.Versions = 0
	for i := range st.view.Zones {
		st.view.Zones[i] = spillover.ZoneLoad{Name: st.view.Zones[i].Name}
		st.roles[i] = [2]roleLoad{}
	}
	for _, peer := range p.placement.peers {
		for i := range st.view.Zones {
			if z := &st.view.Zones[i]; z.Name == peer.zone {
				z.Routers += max(1, peer.zoneRouters)
			}
		}
	}
	version := ""
	for _, s := range p.servers {
		i := st.zone(s.Zone)
		s.zoneIndex = i + 1
		st.view.Zones[i].Running += s.running
		if !s.usable(now) {
			continue
		}
		if st.view.Versions == 0 || s.Version != version {
			st.view.Versions, version = st.view.Versions+1, s.Version
		}
		if !s.cold(now) && !s.limited() {
			st.roles[i][p.role(s)].add(now, s)
		}
	}
	for i := range st.view.Zones {
		p.viewZone(now, &st.view.Zones[i], &st.roles[i])
	}
}

// zone returns the index of a zone, which it adds if necessary.
func (st *spilloverState) zone(name string) int {
	i := slices.IndexFunc(st.view.Zones, func(z spillover.ZoneLoad) bool { return z.Name == name })
	if i < 0 {
		i = len(st.view.Zones)
		st.view.Zones = append(st.view.Zones, spillover.ZoneLoad{Name: name})
		st.roles, st.allowed = append(st.roles, [2]roleLoad{}), append(st.allowed, false)
	}
	return i
}

// lateShareOfFull is the rate of late streams at which home counts as full. Other servers may be faster than those of home then.
const lateShareOfFull = 0.30

// role returns the index of the server's role in spilloverState.roles.
func (p *pool) role(s *server) int {
	if p.disaggregated && s.prefillServer {
		return 1
	}
	return 0
}

// add adds a server.
func (l *roleLoad) add(now time.Time, s *server) {
	running, tokens := s.load()
	slots := float64(s.slotCount())
	utilization := max(float64(running)/slots, s.recentPrefill.sum(now, s.pool.eventGapMs)/s.pool.eventGapMs)
	if most := maxKVFraction * float64(s.pool.service.KVCapacity); most > 0 {
		utilization = max(utilization, float64(tokens)/most)
	}
	l.servers++
	l.utilization += min(1, utilization)
	l.free += slots * max(0, usableSlotFraction-utilization)
}

// viewZone completes the load of a zone by that of its roles.
func (p *pool) viewZone(now time.Time, z *spillover.ZoneLoad, roles *[2]roleLoad) {
	z.RoleServers = roles[0].servers
	if p.disaggregated {
		z.RoleServers = min(roles[0].servers, roles[1].servers)
	}
	for _, l := range roles {
		if l.servers == 0 {
			continue // a small zone may lack a role; it can take requests of the other one
		}
		if z.Servers == 0 || l.free < z.Free {
			z.Free = l.free
		}
		z.Servers += l.servers
		z.Utilization = max(z.Utilization, l.utilization/float64(l.servers))
	}
	if z.Name == p.placement.zone {
		z.Utilization = max(z.Utilization, min(1, p.lateRate.fraction/lateShareOfFull))
	}
	z.OutOfService = p.placement.outOfService[z.Name]
	if at, ok := p.placement.zonesHeard[z.Name]; ok {
		z.Heard, z.ReportAge = true, max(0, now.Sub(at))
	}
}

// startSpillover sets the price and the bounds that hold for the search. A request that keeps to a version may have no
// server at home, so that it is neither bounded nor priced higher. If the owner of the shared segments is in another zone, a
// server at home would fetch them from there, which takes more bytes than the request, or prefill them again. The price stays
// the lowest then.
func (sr *search) startSpillover() {
	st, req := &sr.pool.spillover, sr.waiter.request
	if !st.policy.On() || req.Version != "" {
		return
	}
	sr.boundsSpillover = true
	if sr.owner == nil || sr.owner.Zone == sr.pool.placement.zone {
		sr.leavingPrice = st.policy.PriceFor(req.LatencyObjective, rand.Float64()) - spillover.MinPriceMs
	}
	for i := range st.view.Zones {
		st.view.Zones[i].Running = 0
	}
	for _, s := range sr.pool.servers {
		if s.zoneIndex > 0 {
			st.view.Zones[s.zoneIndex-1].Running += s.running
		}
	}
	for i, z := range st.view.Zones {
		st.allowed[i] = st.policy.Allows(z.Name, z.Running, sr.spareOnly)
	}
}

// allowNeeded sets the bounds of requests that home has no room for.
func (sr *search) allowNeeded() {
	st := &sr.pool.spillover
	for i, z := range st.view.Zones {
		st.allowed[i] = st.policy.AllowsNeeded(z.Name, z.Running)
	}
}

// maySpill reports whether the request may go to the server by the bounds of its zone. A request may always follow its
// shared segments to their owner: prefilling them again takes capacity from the whole service.
func (sr *search) maySpill(s *server) bool {
	if !sr.boundsSpillover || s.Zone == sr.pool.placement.zone || s == sr.owner || s.zoneIndex == 0 {
		return true
	}
	return sr.pool.spillover.allowed[s.zoneIndex-1]
}

// leavingCost returns the price of traffic between zones for a request at a server.
func (sr *search) leavingCost(s *server) float64 {
	if s.Zone == sr.pool.placement.zone {
		return 0
	}
	return spillover.MinPriceMs + sr.leavingPrice
}

// record counts the outcome of a search for a request that is sent if there is a server.
func (st *spilloverState) record(home string, sr *search) {
	switch {
	case sr.waiter.preview:
	case sr.found && sr.best.server.Zone != home:
		st.left++
	case sr.found:
		st.stayed++
	case sr.waiter.rejections.Spillover > 0:
		st.held++
	}
}

// SpilloverStatus is what a router decides on leaving its zone for one service, with the load that it follows.
type SpilloverStatus struct {
	Service      string
	State        spillover.State
	Changed      bool    // the state differs from that of the last call
	PriceMs      float64 // of leaving the zone
	Utilization  float64 // of this zone
	Zones        []spillover.ZoneLoad
	Left, Stayed uint64 // requests that were sent to other zones and within the zone, counted since the router's start
	Held         uint64 // searches that found no server because of the bounds, counted since the router's start
}

// SpilloverStatus returns the decisions of the model services in no particular order.
func (p *Placement) SpilloverStatus() (all []SpilloverStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pl := range p.pools {
		st := &pl.spillover
		if st.policy.State() == "" {
			continue // not used yet
		}
		all = append(all, SpilloverStatus{
			Service: name, State: st.policy.State(), Changed: st.policy.State() != st.logged, PriceMs: st.policy.PriceMs(), Utilization: st.policy.Utilization(),
			Zones: slices.Clone(st.view.Zones), Left: st.left, Stayed: st.stayed, Held: st.held,
		})
		st.logged = st.policy.State()
	}
	return all
}
