package gossip

// This file defines what a router tells others of whom it hears, since packets may pass one way only.

import (
	"slices"
	"time"
)

// hears returns the names of the zones of which this router has lately heard another router, or the zone's summary. It is never
// nil, which would mean that this router does not tell.
func (g *Gossip) hears(now time.Time) []any {
	recent := max(minHearingTime, hearingPeriods*g.period)
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for _, r := range g.routers {
		if r.zone != "" && now.Sub(r.lastSeen) < recent {
			names = append(names, r.zone)
		}
	}
	for name, z := range g.zones {
		if now.Sub(z.lastSeen) < recent {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	heard := []any{}
	for _, name := range slices.Compact(names) {
		heard = append(heard, name)
	}
	return heard
}
