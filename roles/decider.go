package roles

// This file defines Decider, which decides with hysteresis whether a pool has prefill servers.

import "time"

// A pool is split into prefill and decode servers unless one of three things holds. The limits have second values from
// which the pool is split again; in between, it stays as it is.
//
// First, the decode servers lack slots for what arrives, and without a split the pool would take clearly more but be full, too. Then
// the slots bound the streams of each server, and with them what prefills delay. The load that routers see includes what callers send again
// after a refusal, so the limit on it is far above 1. docs/design/roles.md has the loads of the deployments that were measured.
//
// Second, the prefill servers cannot take what arrives, and without a split the pool would serve more
// even if all streams at risk missed an event gap.
//
// Third, the migration of a stream takes so much of the event gap that callers allow that it costs them what the split
// saves: half of the gap is left for the decode step and for the way of the event.
const (
	maxLoad, loadToReturn                           = 1.5, 1.3
	minTogetherLoad                                 = 1.2        // for the first
	minSplitCapacity, splitCapacityToReturn         = 0.83, 0.90 // relative to the pool without prefill servers
	minGainAtRisk, gainToReturn                     = 1.1, 1.0   // of the requests that are served
	maxMigrationFraction, migrationFractionToReturn = 0.5, 0.35  // of the event gap
)

// lowLoadTime is how long the load must stay below loadToReturn before the pool is split again for it. The load follows the time of
// day, and servers that change roles hold segments that others need.
const lowLoadTime = 2 * time.Minute

// Limits on how fast a decision follows its inputs.
const (
	interval    = time.Second      // between two assessments
	minRequests = 100              // seen before the first one; the lengths of fewer say too little
	minHold     = 30 * time.Second // from a change of the roles to the next
	reportTime  = time.Minute      // between two reports while nothing changes
	rateGain    = 0.05             // weight of a new rate of arrivals
)

// Inputs is what a decision depends on.
type Inputs struct {
	Servers       int // usable ones
	Engine        Engine
	Mix           *Mix
	CostPerSecond float64 // of the requests that arrive at all routers; routers agree on it more closely than on their number
}

// Decision is the outcome of an assessment with what decided it.
type Decision struct {
	Changed           bool
	Split             bool // some servers prefill for the others
	Servers           int
	Requests          float64 // in the mean work
	RequestsPerSecond float64 // smoothed
	Engine            Engine
	Work              Work
	Assessment        Assessment
}

// Decider decides whether a pool has prefill servers. Its zero value has some, until there is evidence.
type Decider struct {
	together   bool
	assessedAt time.Time
	changedAt  time.Time
	reportedAt time.Time
	busyAt     time.Time // when the load was last too high to split the pool again
	rates      int       // that were smoothed
	rate       float64   // smoothed cost of the requests per second and server
}

// Due reports whether it is time for the next assessment.
func (d *Decider) Due(now time.Time) bool { return now.Sub(d.assessedAt) >= interval }

// Split reports whether some servers prefill for the others.
func (d *Decider) Split() bool { return !d.together }

// Update assesses the inputs if an assessment is due. It reports whether the decision is to be logged, with what decided it: the
// first one, each change, and one in each reportTime. If figures of the engine are unknown, the decision stays as it is.
func (d *Decider) Update(now time.Time, in Inputs) (made Decision, report bool) {
	if !d.Due(now) {
		return Decision{}, false
	}
	d.assessedAt = now
	if in.Servers < MinServers || !in.Engine.Complete() || in.Mix.Requests() < minRequests {
		return Decision{}, false
	}
	d.rates++
	d.rate += max(rateGain, 1/float64(d.rates)) * (in.CostPerSecond/float64(in.Servers) - d.rate)
	work := in.Mix.Mean()
	perSecond := d.rate * float64(in.Servers) / max(1, work.Cost)
	a := Assess(in.Servers, in.Engine, work, perSecond)
	held := !d.changedAt.IsZero() && now.Sub(d.changedAt) < minHold
	changed := d.together != d.wantsTogether(now, a) && !held
	if changed {
		d.together, d.changedAt = !d.together, now
	}
	if !changed && now.Sub(d.reportedAt) < reportTime {
		return Decision{}, false
	}
	d.reportedAt = now
	return Decision{changed, !d.together, in.Servers, in.Mix.Requests(), perSecond, in.Engine, work, a}, true
}

// wantsTogether reports whether no server should prefill for others, by the limits that hold in the present state.
func (d *Decider) wantsTogether(now time.Time, a Assessment) bool {
	if a.Split() > loadToReturn {
		d.busyAt = now
	}
	capacity := a.Capacity()
	if !d.together {
		return a.Decode > maxLoad && a.Together > minTogetherLoad && capacity < minSplitCapacity ||
			a.Prefill > maxLoad && capacity*minGainAtRisk < 1-a.AtRisk ||
			a.MigrationMs > maxMigrationFraction*a.EventGapMs
	}
	if a.MigrationMs > migrationFractionToReturn*a.EventGapMs {
		return true
	}
	loadIsLow := now.Sub(d.busyAt) >= lowLoadTime
	return !loadIsLow && (a.Decode >= a.Prefill && capacity < splitCapacityToReturn || capacity*gainToReturn < 1-a.AtRisk)
}
