package gossip

// This file defines how a large fleet exchanges summaries. Within an availability zone each
// router sends its own summary. Between zones one zone summary is sent for all routers of a
// zone. Otherwise the number of datagrams would grow with the square of the fleet.
//
// The reachable router of a zone that is first by name sends the zone summary to two routers in
// each other zone, the forwarders, which forward it within their zone. The next message compensates
// for a lost one. If the sender of a zone fails, the next router by name takes over after
// peerTimeout.

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/placement"
)

// ZoneSummaryThreshold is the number of routers, including this one, above which a fleet is
// large, that is, above which zones exchange zone summaries.
const ZoneSummaryThreshold = 20

// zoneForwarders is how many routers of a zone receive the summaries of other zones to forward them.
const zoneForwarders = 2

// remoteZone is another availability zone, by its last zone summary.
type remoteZone struct {
	sender      string           // name in its last zone summary
	forwarders  []netip.AddrPort // routers that forward zone summaries within the zone
	routers     int
	lastSeen    time.Time
	unreachable bool
}

// large reports whether zones exchange zone summaries; g.mu is held.
func (g *Gossip) large() bool { return len(g.routers) >= ZoneSummaryThreshold }

// starting reports whether this router started so recently that it sends its own summary to all
// routers, also in a large fleet; g.mu is held.
func (g *Gossip) starting() bool { return g.periods < 2*retryPeriods }

// sendZoneSummary sends the summary of this router's zone, with the addresses of the zone's
// forwarders, to the forwarders of the other zones.
func (g *Gossip) sendZoneSummary(now time.Time, forwarders []string) {
	m := g.handler.ZoneSummary()
	m.ForwarderAddresses = forwarders
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("zone-summary-not-sent")
		return
	}
	g.send(append(data, kindZone), g.remoteForwarders(now))
}

// remoteForwarders returns the forwarders of the other zones: those in a zone's last summary, or, if none
// came within peerTimeout, the zone's routers whose last summaries are the most recent.
func (g *Gossip) remoteForwarders(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	unreachable := map[string][]*router{}
	for _, r := range g.routers {
		if r.zone != "" && r.zone != g.zone && !g.zoneReachable(now, r.zone) {
			unreachable[r.zone] = append(unreachable[r.zone], r)
		}
	}
	for name, z := range g.zones {
		if g.zoneReachable(now, name) {
			to = append(to, z.forwarders...)
		}
	}
	for _, list := range unreachable {
		slices.SortFunc(list, func(a, b *router) int { return b.lastSeen.Compare(a.lastSeen) })
		for _, r := range list[:min(zoneForwarders, len(list))] {
			to = append(to, r.address)
		}
	}
	return to
}

// zoneReachable reports whether a zone summary came from a zone within peerTimeout; g.mu is held.
func (g *Gossip) zoneReachable(now time.Time, name string) bool {
	z := g.zones[name]
	return z != nil && now.Sub(z.lastSeen) < peerTimeout
}

// handleZoneSummary processes the summary of another zone and forwards it within this zone, unless
// it has been forwarded already.
func (g *Gossip) handleZoneSummary(m *placement.Summary, data []byte, kind byte) {
	if m.Zone == g.zone {
		return
	}
	now := time.Now()
	g.mu.Lock()
	z := g.zones[m.Zone]
	if z == nil {
		z = &remoteZone{}
		g.zones[m.Zone] = z
	}
	oldSender, age := z.sender, now.Sub(z.lastSeen)
	z.sender, z.routers, z.lastSeen, z.unreachable, z.forwarders = m.Router, m.ZoneRouters, now, false, nil
	for _, address := range m.ForwarderAddresses {
		if a, err := netip.ParseAddrPort(address); err == nil {
			z.forwarders = append(z.forwarders, a)
		}
	}
	g.mu.Unlock()
	if oldSender != m.Router {
		e := g.logger.Info().Str("of_zone", m.Zone).Str("sender", m.Router).Str("old_sender", oldSender)
		if oldSender != "" {
			e = e.Dur("last_summary_ms", age)
		}
		e.Msg("zone-sender-changed")
	}
	if oldSender != "" && oldSender != m.Router {
		g.handler.RouterUnreachable(oldSender)
	}
	if kind == kindZone {
		g.send(append(slices.Clone(data), kindForwarded), g.zonePeers(now))
	}
	g.handler.ApplySummary(m)
}

// timedOutZones returns the senders of zones that have become unreachable, and how many routers
// the reachable zones have; g.mu is held.
func (g *Gossip) timedOutZones(now time.Time) (senders []string, routers int) {
	for name, z := range g.zones {
		if g.zoneReachable(now, name) {
			routers += z.routers
			continue
		}
		if !z.unreachable {
			z.unreachable = true
			senders = append(senders, z.sender)
		}
	}
	return senders, routers
}
