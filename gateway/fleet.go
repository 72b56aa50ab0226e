package gateway

// This file implements gossip.Handler: what a router reports to other routers, and how
// it applies what they report.

import (
	"time"

	"bulrushtally/follow"
	"bulrushtally/gossip"
	"bulrushtally/placement"
	"bulrushtally/platform"
)

var _ gossip.Handler = (*Gateway)(nil)

// Summary returns this router's summary for other routers.
func (g *Gateway) Summary() *placement.Summary {
	m := &placement.Summary{
		Router: g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		Leaving: g.leaving.Load(), Crashes: g.suspects.reportOwn(),
		Rows: g.followers.servers.Newest(), Settings: g.followers.operator.Newest(),
	}
	confirmed := g.operatorRows.lastFreshness()
	m.Version, m.Proof = confirmed.version, uint64(confirmed.storeClock.Milliseconds())
	g.placer.Fill(time.Now(), m)
	return m
}

// ZoneSummary returns a summary of all routers of this zone, for other zones.
func (g *Gateway) ZoneSummary() *placement.Summary {
	confirmed := g.operatorRows.lastFreshness()
	m := &placement.Summary{
		Router: g.settings.Zone + "/" + g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		Crashes: g.suspects.reportZone(), Rows: g.followers.servers.Newest(), Settings: g.followers.operator.Newest(),
		Version: confirmed.version, Proof: uint64(confirmed.storeClock.Milliseconds()),
	}
	g.placer.FillZone(time.Now(), m)
	return m
}

// Heard applies the summary of another router or of another zone.
func (g *Gateway) Heard(m *placement.Summary) {
	now := time.Now()
	g.confirm(m.Version, m.Proof)
	g.followers.operator.Nudge(m.Settings)
	g.followers.servers.Nudge(m.Rows)
	sameZone := m.Zone == g.settings.Zone
	g.suspects.merge(now, m.Crashes, sameZone)
	if !sameZone && m.Routers == 0 && g.knownRouters.Load() > gossip.Many {
		return // in a large fleet, its zone's summary covers it
	}
	g.placer.Heard(now, m)
}

// News returns the recent changes of the store, for the other routers of the zone. It
// returns nil if this router does not poll the store, or if every router does because
// the fleet is small.
func (g *Gateway) News() *gossip.News {
	if g.passive.Load() || g.knownRouters.Load() <= gossip.Many {
		return nil
	}
	confirmed := g.operatorRows.lastFreshness()
	operator, servers := g.followers.operator.News(), g.followers.servers.News()
	if sinceFailure := servers.Trouble; sinceFailure > 0 && (operator.Trouble == 0 || sinceFailure < operator.Trouble) {
		operator.Trouble = sinceFailure
	}
	servers.Trouble = operator.Trouble // both tables are in one store, so the later failure counts for both
	return &gossip.News{
		Router: g.settings.VM, Version: confirmed.version, Proof: uint64(confirmed.storeClock.Milliseconds()), Tables: []follow.News{operator, servers},
	}
}

// HeardNews applies the changes of the store that a polling router of the zone reports.
func (g *Gateway) HeardNews(update *gossip.News) {
	for _, t := range update.Tables {
		switch t.Table {
		case platform.OperatorTable:
			g.followers.operator.Hear(t)
		case platform.ServerTable:
			g.followers.servers.Hear(t)
		}
	}
	g.confirm(update.Version, update.Proof)
}

// confirm records that another router found a configuration version to be current at a
// reading of the store's clock, in milliseconds; 0 means that no reading is known.
func (g *Gateway) confirm(version, storeClockMS uint64) {
	if at, ok := g.followers.operator.Local(time.Duration(storeClockMS) * time.Millisecond); ok && storeClockMS > 0 {
		g.configView.Prove(version, at)
	}
}

// Routers applies the size of the fleet and this router's rank. In a large fleet, only
// the zonePollers routers of lowest rank in each zone poll the store.
func (g *Gateway) Routers(f gossip.Fleet) {
	g.knownRouters.Store(int64(f.Known))
	passive := f.Known > gossip.Many && f.ZoneRank >= zonePollers
	if g.passive.Swap(passive) != passive {
		g.logger.Info().Bool("polls_store", !passive).Int("zone_rank", f.ZoneRank).Int("routers", f.Known).Msg("store-polling-changed")
	}
	g.placer.Routers(f.Known+g.settings.SpareRouters, f.Rank, f.Period)
}

// Silent discards what a router reported whose summaries are no longer received.
func (g *Gateway) Silent(name string) { g.placer.Forget(name) }
