package gossip

// This file defines how a large fleet exchanges summaries. Within an availability zone each
// router sends its own summary. Between zones one zone summary is sent for all routers of a
// zone. Otherwise the number of datagrams would grow with the square of the fleet.
//
// Of a zone's candidates, the first by name sends the zone summary to two routers in each other
// zone, the forwarders, which forward it within their zone. Each router announces in its summaries
// whether it is a candidate, so that a router which the others take for the sender does send. The
// next message compensates for a lost one. If the sender of a zone fails, the next candidate takes
// over after peerTimeout.

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
	sender      string           // router that sent its last zone summary
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

// candidate reports whether this router may send the summary of its zone: it has heard the zone's
// other routers for peerTimeout, and it stays.
func (g *Gossip) candidate(now time.Time) bool {
	return !g.leaving && now.Sub(g.startedAt) >= peerTimeout
}

// sendZoneSummary sends the summary of this router's zone, with the addresses of the zone's
// forwarders, to the forwarders of the other zones.
func (g *Gossip) sendZoneSummary(now time.Time, forwarders []string) {
	m := g.handler.ZoneSummary()
	m.ForwarderAddresses, m.Hears = forwarders, g.hears(now)
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("zone-summary-not-sent")
		return
	}
	g.send(append(data, kindZone), g.remoteForwarders(now))
}

// remoteForwarders returns the forwarders of the other zones, by their last summaries. Of a zone from which
// none came within peerTimeout, it returns zoneForwarders other routers too, in each period the next ones:
// those that it heard last may have gone.
func (g *Gossip) remoteForwarders(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, z := range g.zones {
		to = append(to, z.forwarders...)
	}
	unreachable := map[string][]netip.AddrPort{}
	for _, r := range g.sorted() {
		if r.zone != "" && r.zone != g.zone && !g.zoneReachable(now, r.zone) {
			unreachable[r.zone] = append(unreachable[r.zone], r.address)
		}
	}
	for _, addresses := range unreachable {
		for i := range min(zoneForwarders, len(addresses)) {
			to = append(to, addresses[(g.periods*zoneForwarders+i)%len(addresses)])
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
// it has been forwarded already. While a zone has two senders, the one that covers fewer routers is
// ignored: it may be cut off within its zone, or have just resumed.
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
	if m.Sender != oldSender && m.ZoneRouters < z.routers && age < peerTimeout {
		g.mu.Unlock()
		return
	}
	z.sender, z.routers, z.lastSeen, z.unreachable, z.forwarders = m.Sender, m.ZoneRouters, now, false, nil
	for _, address := range m.ForwarderAddresses {
		if a, err := netip.ParseAddrPort(address); err == nil {
			z.forwarders = append(z.forwarders, a)
		}
	}
	g.mu.Unlock()
	if oldSender != m.Sender {
		g.logZoneSender(m, oldSender, age)
	}
	if kind == kindZone {
		g.send(append(slices.Clone(data), kindForwarded), g.zonePeers(now))
	}
	g.handler.ApplySummary(m)
}

// logZoneSender logs that another router sends the summaries of a zone. age is the time since the last
// summary of the old sender, which is "" if there was none.
func (g *Gossip) logZoneSender(m *placement.Summary, oldSender string, age time.Duration) {
	e := g.logger.Info().Str("of_zone", m.Zone).Str("sender", m.Sender).Str("old_sender", oldSender).Int("zone_routers", m.ZoneRouters)
	if oldSender != "" {
		e = e.Dur("last_summary_ms", age)
	}
	e.Msg("zone-sender-changed")
}

// timedOutZones returns the zones that have become unreachable, and how many routers the reachable
// zones have; g.mu is held.
func (g *Gossip) timedOutZones(now time.Time) (zones []string, routers int) {
	for name, z := range g.zones {
		if g.zoneReachable(now, name) {
			routers += z.routers
			continue
		}
		if !z.unreachable {
			z.unreachable = true
			zones = append(zones, name)
		}
	}
	return zones, routers
}
