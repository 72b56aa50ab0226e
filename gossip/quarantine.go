package gossip

// This file defines QuarantineReports, which routers send beside their summaries while there is something to
// tell. In a large fleet they spread as summaries do: within the zone, and from zone to zone through the
// sender and the forwarders of the zone.

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/quarantine"
)

// QuarantineReports is what a router, or a zone, knows of what crashes backend servers.
type QuarantineReports struct {
	_       struct{} `cbor:",toarray"`
	Router  string   // that sent it
	Zone    string
	Forward bool // it is to be forwarded within the zone of the receiver
	Reports []quarantine.Report
}

// sendQuarantine sends this router's reports, if there are any.
func (g *Gossip) sendQuarantine(to []netip.AddrPort) {
	g.sendReports(QuarantineReports{Router: g.self, Zone: g.zone, Reports: g.handler.QuarantineReports(false)}, to)
}

// sendZoneQuarantine sends the reports of this router's zone, if there are any, to the other zones.
func (g *Gossip) sendZoneQuarantine(now time.Time) {
	g.sendReports(QuarantineReports{Router: g.self, Zone: g.zone, Forward: true, Reports: g.handler.QuarantineReports(true)}, g.remoteForwarders(now))
}

// sendReports sends reports in one datagram.
func (g *Gossip) sendReports(m QuarantineReports, to []netip.AddrPort) {
	if len(m.Reports) == 0 || len(to) == 0 {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("quarantine-reports-not-sent")
		return
	}
	g.send(append(data, kindQuarantine), to)
}

// handleQuarantine processes reports and forwards those of another zone.
func (g *Gossip) handleQuarantine(m *QuarantineReports) {
	if m.Router == g.self {
		return
	}
	if m.Forward && m.Zone != g.zone {
		forwarded := *m
		forwarded.Forward = false
		g.sendReports(forwarded, g.zonePeers(time.Now()))
	}
	g.handler.ApplyQuarantineReports(m.Reports, m.Zone == g.zone)
}
