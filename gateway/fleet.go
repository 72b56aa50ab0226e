package gateway

// This file defines what a router and the others of the fleet tell each other.

import (
	"time"

	"bulrushtally/follow"
	"bulrushtally/gossip"
	"bulrushtally/placement"
	"bulrushtally/platform"
)

var _ gossip.Handler = (*Gateway)(nil)

// Summary returns what this router tells others of itself.
func (g *Gateway) Summary() *placement.Summary {
	m := &placement.Summary{
		Router: g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		Leaving: g.leaving.Load(), Crashes: g.suspects.tell(),
		Rows: g.follower.servers.Newest(), Settings: g.follower.operator.Newest(),
	}
	p := g.operator.lastProof()
	m.Version, m.Proof = p.version, uint64(p.store.Milliseconds())
	g.place.Fill(time.Now(), m)
	return m
}

// ZoneSummary returns what this router tells other zones of all routers of its own.
func (g *Gateway) ZoneSummary() *placement.Summary {
	p := g.operator.lastProof()
	m := &placement.Summary{
		Router: g.settings.Zone + "/" + g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		Crashes: g.suspects.tellZone(), Rows: g.follower.servers.Newest(), Settings: g.follower.operator.Newest(),
		Version: p.version, Proof: uint64(p.store.Milliseconds()),
	}
	g.place.FillZone(time.Now(), m)
	return m
}

// Heard takes in what another router says of itself, or of its zone.
func (g *Gateway) Heard(m *placement.Summary) {
	now := time.Now()
	g.proven(m.Version, m.Proof)
	g.follower.operator.Nudge(m.Settings)
	g.follower.servers.Nudge(m.Rows)
	near := m.Zone == g.settings.Zone
	g.suspects.heard(now, m.Crashes, near)
	if !near && m.Routers == 0 && g.routers.Load() > gossip.Many {
		return // its zone says it in sums
	}
	g.place.Heard(now, m)
}

// News returns what this router tells its zone of the store, or nil if others do.
func (g *Gateway) News() *gossip.News {
	if g.rests.Load() || g.routers.Load() <= gossip.Many {
		return nil
	}
	p := g.operator.lastProof()
	operator, servers := g.follower.operator.News(), g.follower.servers.News()
	if t := servers.Trouble; t > 0 && (operator.Trouble == 0 || t < operator.Trouble) {
		operator.Trouble = t
	}
	servers.Trouble = operator.Trouble // both tables are of one store
	return &gossip.News{
		Router: g.settings.VM, Version: p.version, Proof: uint64(p.store.Milliseconds()), Tables: []follow.News{operator, servers},
	}
}

// HeardNews takes in what a router of the zone that asks the store tells.
func (g *Gateway) HeardNews(n *gossip.News) {
	for _, t := range n.Tables {
		switch t.Table {
		case platform.OperatorTable:
			g.follower.operator.Hear(t)
		case platform.ServerTable:
			g.follower.servers.Hear(t)
		}
	}
	g.proven(n.Version, n.Proof)
}

// proven takes in another router's proof of a version, by the store's clock in milliseconds.
func (g *Gateway) proven(version, proof uint64) {
	if at, ok := g.follower.operator.Local(time.Duration(proof) * time.Millisecond); ok && proof > 0 {
		g.view.Prove(version, at)
	}
}

// Routers takes in which routers there are.
func (g *Gateway) Routers(f gossip.Fleet) {
	g.routers.Store(int64(f.Known))
	rests := f.Known > gossip.Many && f.ZoneRank >= zoneAskers
	if g.rests.Swap(rests) != rests {
		g.logger.Info().Bool("asks_store", !rests).Int("zone_rank", f.ZoneRank).Int("routers", f.Known).Msg("store-duty")
	}
	g.place.Routers(f.Known+g.settings.SpareRouters, f.Rank, f.Period)
}

// Silent takes in that another router is silent.
func (g *Gateway) Silent(name string) { g.place.Forget(name) }
