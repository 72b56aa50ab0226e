package placement

// This file defines pace, which spreads what a customer may get over time and routers.

import "time"

// pace limits the rate at which one router gives a customer its fair share, or spare capacity.
//
// Without it, all routers of a large fleet would give the share at once as soon as the window
// has room, and exceed it by what they gave before their reports met. The rate is the router's
// part, by its part of the customer's demand, times a factor. The sums of the reports limit the total.
type pace struct {
	credit     float64 // cost that may be granted; negative after a request that cost more
	refilledAt time.Time
	full       bool // the credit is the most that may be saved
}

const (
	movingPaceFactor = 1.5             // of the share of a customer at many routers, so that it is used up also while the demand moves between them
	steadyPaceFactor = 1.0             // of the share of one at this router alone, and of spare capacity, so that each second gets as much as the last
	paceSpan         = 1 * time.Second // over which credit may be saved
)

// sharePaceFactor returns the factor for the share of a customer of whose demand this router has a fraction.
func sharePaceFactor(fraction float64) float64 {
	return movingPaceFactor - (movingPaceFactor-steadyPaceFactor)*fraction
}

// reset fills the credit, while the customer is not limited.
func (p *pace) reset(now time.Time) { *p = pace{refilledAt: now, full: true} }

// allows reports whether a request of the given cost may be granted now. part is the router's
// part, in cost per window. A request that costs more than the most that may be saved is granted on
// credit, so large requests are not starved.
func (p *pace) allows(now time.Time, cost, part, factor float64) bool {
	rate := factor * part / slidingSpan.Seconds()
	most := rate * paceSpan.Seconds()
	if p.full || p.refilledAt.IsZero() {
		p.credit, p.full = most, false
	} else {
		p.credit = min(most, p.credit+rate*now.Sub(p.refilledAt).Seconds())
	}
	p.refilledAt = now
	return p.credit >= min(cost, most)/2
}
