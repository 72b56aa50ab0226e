package gossip

// This file defines how the routers of a large fleet tell one of their group in the zone which streams they have begun.

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/streamversion"
)

// collector returns the name and the address of the router that logs the streams of this one: the first by name of its group
// of the zone's reachable routers. The name is "" if that is this router, or if the fleet is small.
func (m *membership) collector() (name, address string) {
	first := m.fleet.ZoneRank - m.fleet.ZoneRank%streamversion.GroupSize
	if m.fleet.Known <= ZoneSummaryThreshold || first == m.fleet.ZoneRank {
		return "", ""
	}
	return m.zoneLive[first], m.forwarders[1+first] // routers before this one are first in both
}

// sendStreams tells the collector of this router's group what is new of its streams.
func (g *Gossip) sendStreams(m *membership) {
	name, address := m.collector()
	report := g.handler.StreamReport(name)
	if report == nil || name == "" {
		return
	}
	data, err := cbor.Marshal(report)
	to, addressErr := netip.ParseAddrPort(address)
	if err != nil || addressErr != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Str("collector", name).Int("bytes", len(data)).Msg("streams-not-told")
		return
	}
	g.send(append(data, kindStreams), []netip.AddrPort{to})
}
