package gossip

// This file defines Notices, which routers send beside their summaries while there is something to tell of
// backend servers in trouble. In a large fleet they spread as summaries do: within the zone, and from zone to
// zone through the sender and the forwarders of the zone.

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/quarantine"
	"bulrushtally/serverlimit"
	"bulrushtally/serverstatus"
)

// noticesPeriod is the least time between two notices of a router of a large fleet. They repeat what was told in some seconds, so
// that in trouble they are longer than summaries.
const noticesPeriod = 400 * time.Millisecond

// Notices is what a router, or a zone, knows of what crashes backend servers, of the limits that they name and of those
// that leave.
type Notices struct {
	_          struct{} `cbor:",toarray"`
	Router     string   // that sent them
	Zone       string
	Forward    bool // they are to be forwarded within the zone of the receiver
	Quarantine []quarantine.Report
	Limits     []serverlimit.Report
	Leaving    []serverstatus.Report
}

// sendNotices sends this router's notices, or those of its zone, if there are any.
func (g *Gossip) sendNotices(zone bool, to []netip.AddrPort) {
	m := g.handler.Notices(zone)
	m.Router, m.Zone, m.Forward = g.self, g.zone, zone
	g.sendDatagram(m, to)
}

// sendDatagram sends notices in one datagram, unless they are empty.
func (g *Gossip) sendDatagram(m *Notices, to []netip.AddrPort) {
	if len(m.Quarantine)+len(m.Limits)+len(m.Leaving) == 0 || len(to) == 0 {
		return
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("notices-not-sent")
		return
	}
	g.send(append(data, kindNotices), to)
}

// handleNotices processes notices and forwards those of another zone.
func (g *Gossip) handleNotices(m *Notices) {
	if m.Router == g.self {
		return
	}
	if m.Forward && m.Zone != g.zone {
		forwarded := *m
		forwarded.Forward = false
		g.sendDatagram(&forwarded, g.zonePeers(time.Now()))
	}
	g.handler.ApplyNotices(m, m.Zone == g.zone)
}
