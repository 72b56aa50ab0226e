package gossip

// This file defines how a large fleet exchanges summaries: in full within an availability
// zone, and between zones one for all routers of each, so that what a router sends and
// what crosses zones does not grow with the square of the fleet.
//
// The first router of a zone, by name among those alive, sums its zone up and sends that
// to two routers of each other zone, which pass it on within theirs. Anything lost is
// made good by the next message; a zone whose first router is gone is heard again when
// the others count it as silent.

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/placement"
)

// Many is the number of routers above which zones are summed up.
const Many = 20

// zoneRelays is how many routers of a zone take the sums of others.
const zoneRelays = 2

// farZone is another availability zone, as last heard.
type farZone struct {
	teller  string // whose sums they are
	relays  []netip.AddrPort
	routers int
	heard   time.Time
	silent  bool
}

// large reports whether zones are summed up; g.mu is held.
func (g *Gossip) large() bool { return len(g.routers) >= Many }

// settling reports whether routers still tell each other of themselves; g.mu is held.
func (g *Gossip) settling() bool { return g.periods < 2*retryEvery }

// tellZones sends the sums of this router's zone to the others, if that is its part.
func (g *Gossip) tellZones(now time.Time, relays []string) {
	m := g.handler.ZoneSummary()
	m.Relays = relays
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxMessage {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("summary-not-sent")
		return
	}
	g.send(append(data, kindZone), g.otherRelays(now))
}

// otherRelays returns who takes sums in the other zones: those that they name, or, for a
// zone that is not heard, the first routers that are known there.
func (g *Gossip) otherRelays(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := map[string][]*router{}
	for _, r := range g.routers {
		if r.zone != "" && r.zone != g.zone && !g.hears(now, r.zone) {
			lost[r.zone] = append(lost[r.zone], r)
		}
	}
	for name, z := range g.zones {
		if g.hears(now, name) {
			to = append(to, z.relays...)
		}
	}
	for _, list := range lost {
		slices.SortFunc(list, func(a, b *router) int { return b.heard.Compare(a.heard) })
		for _, r := range list[:min(zoneRelays, len(list))] {
			to = append(to, r.address)
		}
	}
	return to
}

// hears reports whether a zone's sums came lately; g.mu is held.
func (g *Gossip) hears(now time.Time, name string) bool {
	z := g.zones[name]
	return z != nil && now.Sub(z.heard) < silence
}

// takeZone takes in the sums of another zone and passes them on within this one, unless
// they were passed on already.
func (g *Gossip) takeZone(m *placement.Summary, data []byte, kind byte) {
	if m.Zone == g.zone {
		return
	}
	now := time.Now()
	g.mu.Lock()
	z := g.zones[m.Zone]
	if z == nil {
		z = &farZone{}
		g.zones[m.Zone] = z
	}
	old := z.teller
	z.teller, z.routers, z.heard, z.silent, z.relays = m.Router, m.Routers, now, false, nil
	for _, address := range m.Relays {
		if a, err := netip.ParseAddrPort(address); err == nil {
			z.relays = append(z.relays, a)
		}
	}
	g.mu.Unlock()
	if old != "" && old != m.Router {
		g.handler.Silent(old)
	}
	if kind == kindZone {
		g.send(append(slices.Clone(data), kindPassed), g.neighbours(now))
	}
	g.handler.Heard(m)
}

// fallenZones returns the tellers of zones that have become silent, and how many routers
// the heard ones have; g.mu is held.
func (g *Gossip) fallenZones(now time.Time) (fell []string, routers int) {
	for name, z := range g.zones {
		if g.hears(now, name) {
			routers += z.routers
			continue
		}
		if !z.silent {
			z.silent = true
			fell = append(fell, z.teller)
		}
	}
	return fell, routers
}
