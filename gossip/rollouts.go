package gossip

// This file defines RolloutReports, in which routers tell each other of roll-outs in progress. They spread as notices do:
// within the zone, and from zone to zone through the sender and the forwarders of the zone.

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/rollout"
)

// maxReportsPerDatagram is how many reports one datagram holds. A report has some hundred bytes, more with many routes.
const maxReportsPerDatagram = 24

// RolloutReports is what a router, or the routers of a zone, know at first hand of roll-outs.
type RolloutReports struct {
	_       struct{} `cbor:",toarray"`
	Router  string   // that sent them
	Zone    string   // of the routers that report
	Forward bool     // they are to be forwarded within the zone of the receiver
	Reports []rollout.Report
}

// sendRollouts sends this router's reports, or those of its zone's routers, if there are any.
func (g *Gossip) sendRollouts(zone bool, to []netip.AddrPort) {
	reports := g.handler.RolloutReports(zone)
	for len(reports) > 0 && len(to) > 0 {
		n := min(len(reports), maxReportsPerDatagram)
		g.sendRolloutReports(&RolloutReports{Router: g.self, Zone: g.zone, Forward: zone, Reports: reports[:n]}, to)
		reports = reports[n:]
	}
}

// sendRolloutReports sends reports in one datagram.
func (g *Gossip) sendRolloutReports(m *RolloutReports, to []netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("rollout-reports-not-sent")
		return
	}
	g.send(append(data, kindRollouts), to)
}

// handleRollouts processes reports and forwards those of another zone.
func (g *Gossip) handleRollouts(m *RolloutReports) {
	if m.Router == g.self {
		return
	}
	if m.Forward && m.Zone != g.zone {
		forwarded := *m
		forwarded.Forward = false
		g.sendRolloutReports(&forwarded, g.zonePeers(time.Now()))
	}
	g.handler.ApplyRolloutReports(m)
}
