package gateway

// This file implements gossip.Handler: what a router reports to other routers, and how
// it applies what they report.

import (
	"time"

	"bulrushtally/follow"
	"bulrushtally/gossip"
	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/rollout"
	"bulrushtally/serverlimit"
	"bulrushtally/serverload"
	"bulrushtally/serverstatus"
	"bulrushtally/streamversion"
)

var _ gossip.Handler = (*Gateway)(nil)

// Summary returns this router's summary for other routers.
func (g *Gateway) Summary() *placement.Summary {
	m := &placement.Summary{
		Router: g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		Leaving:    g.leaving.Load(),
		ServerRows: g.followers.servers.NewestRow(), OperatorRows: g.followers.operator.NewestRow(),
	}
	confirmed := g.operatorRows.lastConfirmation()
	m.ConfigVersion, m.ConfirmedAt, m.ConfirmedEra = confirmed.version, uint64(confirmed.storeClock.Milliseconds()), confirmed.era
	g.placer.FillSummary(time.Now(), m)
	return m
}

// ZoneSummary returns a summary of all routers of this zone, for other zones.
func (g *Gateway) ZoneSummary() *placement.Summary {
	confirmed := g.operatorRows.lastConfirmation()
	m := &placement.Summary{
		Router: g.settings.Zone, Sender: g.settings.VM, Incarnation: g.incarnation, Zone: g.settings.Zone, Address: g.gossip.Address(),
		ServerRows: g.followers.servers.NewestRow(), OperatorRows: g.followers.operator.NewestRow(),
		ConfigVersion: confirmed.version, ConfirmedAt: uint64(confirmed.storeClock.Milliseconds()), ConfirmedEra: confirmed.era,
	}
	g.placer.FillZoneSummary(time.Now(), m)
	return m
}

// ApplySummary applies the summary of another router or of another zone.
func (g *Gateway) ApplySummary(m *placement.Summary) {
	now := time.Now()
	g.confirm(m.ConfigVersion, m.ConfirmedAt, m.ConfirmedEra)
	g.followers.operator.CatchUpTo(m.OperatorRows)
	g.followers.servers.CatchUpTo(m.ServerRows)
	sameZone := m.Zone == g.settings.Zone
	if !sameZone && m.ZoneRouters == 0 && g.knownRouters.Load() > gossip.ZoneSummaryThreshold {
		return // in a large fleet, its zone's summary covers it
	}
	g.placer.ApplySummary(now, m)
}

// Notices returns what this router, or its zone, tells others of backend servers in trouble.
func (g *Gateway) Notices(zone bool) *gossip.Notices {
	now, ofLimits, ofLeaving := time.Now(), serverlimit.Zone, serverstatus.Zone
	if zone {
		ofLimits, ofLeaving = serverlimit.OtherZones, serverstatus.OtherZones
	}
	return &gossip.Notices{Quarantine: g.suspects.reports(now, zone), Limits: g.placer.LimitReports(now, ofLimits), Leaving: g.placer.LeavingReports(now, ofLeaving)}
}

// ApplyNotices applies the notices of another router or zone.
func (g *Gateway) ApplyNotices(m *gossip.Notices, sameZone bool) {
	now := time.Now()
	g.suspects.merge(now, m.Quarantine, sameZone)
	for _, c := range g.placer.ApplyLimitReports(now, m.Limits, sameZone) {
		ingress.LogLimit(g.logger, c)
	}
	for _, id := range g.placer.ApplyLeavingReports(now, m.Leaving, sameZone) {
		g.logger.Info().Str("server", id).Str("from", m.Router).Msg("server-leaving")
	}
}

// RolloutReports returns what this router, or its zone, tells others of roll-outs in progress.
func (g *Gateway) RolloutReports(zone bool) []rollout.Report {
	return g.rollouts.toReport(time.Now(), zone)
}

// ApplyRolloutReports applies what another router or zone tells of roll-outs.
func (g *Gateway) ApplyRolloutReports(m *gossip.RolloutReports) { g.rollouts.merge(time.Now(), m) }

// StreamReport returns what this router tells the one that logs its streams.
func (g *Gateway) StreamReport(collector string) *streamversion.Report {
	return g.streams.report(collector)
}

// ApplyStreamReport applies what another router of the zone tells of its streams.
func (g *Gateway) ApplyStreamReport(r *streamversion.Report) { g.streams.collect(r) }

// SpeedReport returns the speeds of backend servers that this router measured.
func (g *Gateway) SpeedReport() *serverload.Report {
	r := g.placer.SpeedReport(time.Now())
	r.Incarnation = g.incarnation
	return r
}

// ApplySpeedReport applies the speeds that another router of the zone measured.
func (g *Gateway) ApplySpeedReport(r *serverload.Report) { g.placer.ApplySpeedReport(time.Now(), r) }

// ZoneUpdate returns the recent changes of the store, for the other routers of the zone. It
// returns nil if this router does not poll the store, or if every router does because
// the fleet is small.
func (g *Gateway) ZoneUpdate() *gossip.ZoneUpdate {
	if g.knownRouters.Load() <= gossip.ZoneSummaryThreshold {
		return nil
	}
	if g.passive.Load() {
		return g.fallbackUpdate()
	}
	confirmed := g.operatorRows.lastConfirmation()
	operator, servers, quarantined := g.followers.operator.Delta(), g.followers.servers.Delta(), g.followers.quarantine.Delta()
	if sinceFailure := servers.FailureAge; sinceFailure > 0 && (operator.FailureAge == 0 || sinceFailure < operator.FailureAge) {
		operator.FailureAge = sinceFailure
	}
	servers.FailureAge = operator.FailureAge // both tables are in one store, so the later failure counts for both
	tables := []follow.Delta{operator, servers, quarantined}
	if f := g.followers.states; f != nil {
		tables = append(tables, f.Delta())
	}
	return &gossip.ZoneUpdate{
		Router: g.settings.VM, ConfigVersion: confirmed.version, ConfirmedAt: uint64(confirmed.storeClock.Milliseconds()), ConfirmedEra: confirmed.era,
		Tables: tables,
	}
}

// fallbackUpdate returns an update with the tables that this router has read since it gets no deltas of them, or nil if there are none.
func (g *Gateway) fallbackUpdate() *gossip.ZoneUpdate {
	var tables []follow.Delta
	for _, f := range []*follow.Follower{g.followers.operator, g.followers.servers, g.followers.quarantine, g.followers.states} {
		if f != nil && f.FallsBack() {
			tables = append(tables, f.Delta())
		}
	}
	if len(tables) == 0 {
		return nil
	}
	confirmed := g.operatorRows.lastConfirmation()
	return &gossip.ZoneUpdate{
		Router: g.settings.VM, ConfigVersion: confirmed.version, ConfirmedAt: uint64(confirmed.storeClock.Milliseconds()), ConfirmedEra: confirmed.era,
		Tables: tables,
	}
}

// ApplyZoneUpdate applies the changes of the store that a polling router of the zone reports.
func (g *Gateway) ApplyZoneUpdate(update *gossip.ZoneUpdate) {
	for _, t := range update.Tables {
		switch t.Table {
		case platform.OperatorTable:
			g.followers.operator.ApplyDelta(t)
		case platform.ServerTable:
			g.followers.servers.ApplyDelta(t)
		case QuarantineTable:
			g.followers.quarantine.ApplyDelta(t)
		case platform.StatusTable:
			if f := g.followers.states; f != nil {
				f.ApplyDelta(t)
			}
		}
	}
	g.confirm(update.ConfigVersion, update.ConfirmedAt, update.ConfirmedEra)
}

// confirm records that another router found a configuration version to be current at a
// reading of the store's clock in an era, in milliseconds; 0 means that no reading is known.
func (g *Gateway) confirm(version, storeClockMS, era uint64) {
	g.currentConfig.RecordPeerVersion(version, boottime())
	if at, ok := g.followers.operator.LocalTime(time.Duration(storeClockMS)*time.Millisecond, era); ok && storeClockMS > 0 {
		g.currentConfig.ConfirmVersion(version, at)
	}
}

// FleetChanged applies the size of the fleet and this router's rank. In a large fleet, only
// the zonePollers routers of lowest rank in each zone poll the store.
func (g *Gateway) FleetChanged(f gossip.Fleet) {
	g.knownRouters.Store(int64(f.Known))
	g.zoneRouters.Store(int64(f.ZoneRouters))
	passive := f.Known > gossip.ZoneSummaryThreshold && f.ZoneRank >= zonePollers
	if g.passive.Swap(passive) != passive {
		g.logger.Info().Bool("polls_store", !passive).Int("zone_rank", f.ZoneRank).Int("routers", f.Known).Msg("store-polling-changed")
	}
	g.placer.SetRouters(f.Known+g.settings.SpareRouters, f.Rank, f.Period)
	g.rollouts.fleetChanged(f, g.settings.SpareRouters)
}

// RouterUnreachable discards what a sender reported whose summaries have stopped.
func (g *Gateway) RouterUnreachable(name string) { g.placer.ForgetRouter(name) }
