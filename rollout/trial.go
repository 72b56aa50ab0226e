package rollout

// This file defines trial, the state of one order at one router, and how it divides requests between the versions.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Stages of an order. Up to stageTrial, the exposure bound limits the requests that the version gets.
const (
	stageLeast uint8 = iota
	stageMiddle
	stageTrial // all that the bound allows
	stageShift
	stageMost
	stageAll
)

// stageShares are the shares of the exposure bound, then of all requests, that the version gets.
var stageShares = [...]float64{stageLeast: 0.2, stageMiddle: 0.5, stageTrial: 1, stageShift: 0.3, stageMost: 0.6, stageAll: 1}

// stageEvidence is the number of answers of the version after which a stage of the trial ends.
var stageEvidence = [...]uint32{stageLeast: 8, stageMiddle: 20}

// Figures of stages.
const (
	shiftStep       = time.Second            // between two stages of the shift
	writeTime       = 500 * time.Millisecond // for the store to take the verdict
	unknownDuration = time.Second            // of requests, if none has ended
	updatePeriod    = 50 * time.Millisecond  // between two weighings of the evidence
	usableFraction  = 0.85                   // of each bound, since requests may be delayed in transit
	trialShare      = 0.5                    // of the requests, that the trial gets at most
	badAnswers      = 50                     // from which the version must get no more requests, after RollbackDelay
	hearingPart     = 5                      // RollbackDelay over the age of a report that still counts as heard
	releasePart     = 4                      // Duration over the time in which ExposeSlack is given out
)

// trial is the state of one order. Its methods are called with the lock of the Rollout held.
type trial struct {
	*Rollout
	service *service
	order   Order
	eras    []uint64  // earlier ones in which the same order was read
	knownAt time.Time // when this router read it

	state   State // the verdict, final unless Serving
	stored  bool  // the store has the verdict
	endedAt time.Time
	stopped Reason // why this router sends nothing to the version any more; NoOrder if it sends

	// Exposure at this router. Requests after the deadline add nothing to what is allowed.
	requests, counted, sent uint64
	reserved                int
	credit                  float64 // of the version in the shift, in requests
	offset                  float64 // in [0,1): where this router rounds up, so that rounding averages out over routers
	isolationHash           float64 // in [0,1): whether this router may try the version when it is alone

	own      tally // answers at this router
	total    tally // answers at all routers
	peers    map[peerKey]*peer
	sequence uint64

	stage        uint8
	stageAt      time.Time
	snapshots    []*snapshot
	buffer       []RouteCounts
	updatedAt    time.Time
	heard        int       // other routers heard lately
	manyBadAt    time.Time // when the bad answers reached the limit; zero if they have not
	held         bool      // the trial gets nothing for now, since too few routers are heard to keep the bound
	failing      float64   // evidence of failures, in the strongest window
	slowing      float64   // evidence of slow answers that last
	slowNow      float64   // evidence of slow answers that may be those of a slow start
	suspicion    float64   // evidence of either, without a least number of bad answers
	favour       float64   // evidence for the version
	favoursFault bool      // all answers together are rather those of a version that fails
	doubtful     bool      // the evidence was too strong for a step when it was weighed last
}

// newTrial returns the state of an order that was just read.
func newTrial(now time.Time, r *Rollout, s *service, o Order) *trial {
	t := &trial{Rollout: r, service: s, order: o, knownAt: now, stageAt: now, own: newTally(), total: newTally(), peers: map[peerKey]*peer{}}
	t.offset = t.hash("round")
	t.isolationHash = t.hash("alone")
	t.credit = t.offset
	t.snap(now)
	return t
}

// hash returns a number in [0,1) that differs by router, order and purpose.
func (t *trial) hash(purpose string) float64 {
	h := xxhash.Sum64String(purpose + "/" + t.options.Router + "/" + t.order.Service + "/" + t.order.To + "/" + t.order.Began.UTC().String())
	return float64(h>>11) / (1 << 53)
}

// is reports whether an order of the store is this one.
func (t *trial) is(number, era uint64) bool {
	return number == t.order.Number && (era == t.order.Era || slices.Contains(t.eras, era))
}

// setEra records that the order was read again after the store came back.
func (t *trial) setEra(era uint64) {
	if era > t.order.Era {
		t.eras = append(t.eras, t.order.Era)
		t.order.Era = era
		t.stored = false
	}
}

// deadline returns when a good version has to be complete.
func (t *trial) deadline() time.Time { return t.order.Began.Add(t.order.Duration) }

// all reports whether all new requests go to the version.
func (t *trial) all() bool {
	return t.state == Complete || t.state == Serving && t.stopped == NoOrder && t.stage == stageAll
}

// choose returns the version for one new request.
func (t *trial) choose(now time.Time) Choice {
	t.requests++
	if !now.After(t.deadline()) {
		t.counted++
	}
	switch {
	case t.all():
		t.reserved++
		return NewVersion
	case t.state != Serving || t.stopped != NoOrder || t.held:
		return OldVersion
	case t.stage >= stageShift:
		return t.chooseInShift()
	case t.alone() && !t.mayTryAlone():
		return OldVersion
	case float64(t.sent)+float64(t.reserved)+1 > stageShares[t.stage]*t.allowed(now)+t.offset:
		return OldVersion
	}
	t.reserved++
	return NewVersion
}

// chooseInShift gives the version its share of all requests, or that of the exposure bound while it is doubted.
func (t *trial) chooseInShift() Choice {
	share := stageShares[t.stage]
	if t.doubtful {
		share = usableFraction * t.options.ExposeShare
	}
	t.credit += share
	if t.credit < 1 {
		return OldVersion
	}
	t.credit--
	t.reserved++
	return NewVersion
}

// allowed returns how many requests the version may get from this router while it is on trial, on average over the offsets at
// which routers round. Rounding deviates by up to half the square root of the number of routers, in standard deviations; four of
// them are kept back. The slack is given out over a part of the time: the first answers come before most of it is used. Where it would be
// most of the requests, the old version keeps its part: without it there is nothing to compare with.
func (t *trial) allowed(now time.Time) float64 {
	n := float64(t.options.Routers)
	slack := usableFraction*float64(t.options.ExposeSlack) - math.Sqrt(n)
	released := min(1, max(0, float64(now.Sub(t.order.Began))*releasePart/float64(t.order.Duration)))
	bound := usableFraction*t.options.ExposeShare*float64(t.counted) + max(0, slack)*released/n
	return min(bound, trialShare*float64(t.counted))
}

// badLimit returns the number of bad answers known here from which more than badAnswers may have been given. Routers that are not
// heard may have had as many each, so a router uses the part of the bound that belongs to the routers that it hears.
func (t *trial) badLimit() float64 {
	return usableFraction * badAnswers * min(1, float64(t.heard+1)/float64(t.options.Routers))
}

// alone reports whether so few routers are heard that their part of the bound is less than one bad answer.
func (t *trial) alone() bool { return t.badLimit() < 1 }

// mayTryAlone reports whether a router that is alone may send the version a request: one at a time, and only at as many routers as
// the bound has bad answers.
func (t *trial) mayTryAlone() bool {
	return t.reserved == 0 && t.service.running[t.order.To] == 0 && t.isolationHash < t.badLimit()
}

// oldInFlight returns the requests and streams of this router on the servers that the order ends.
func (t *trial) oldInFlight() int {
	n := 0
	for version, running := range t.service.running {
		if version != t.order.To {
			n += running
		}
	}
	return n
}

// record counts an answer.
func (t *trial) record(now time.Time, version, route string, res Result, first, expected time.Duration) {
	if res == Lost {
		t.update(now)
		return
	}
	var c Counts
	c.Answered = 1
	bucket := ratioBucket(res, first, expected)
	switch res {
	case Failed:
		c.Failed = 1
	case OK, Slow:
		c.Times[bucket] = 1
	}
	own, total := t.own.at(route), t.total.at(route)
	if version != t.order.To {
		own.Old.add(c)
		total.Old.add(c)
	} else {
		own.New.add(c)
		total.New.add(c)
		if slow, ok := slowFrom(total.Old); res == Failed || res == Slow || res == OK && ok && bucket >= slow {
			t.own.bad++
			t.total.bad++
		}
	}
	t.update(now)
}

// update weighs the evidence and takes the steps that it calls for.
func (t *trial) update(now time.Time) {
	if t.state != Serving || now.Sub(t.updatedAt) < updatePeriod {
		return
	}
	t.updatedAt = now
	t.heard = t.countHeard(now)
	t.weigh(now)
	t.snap(now)
	t.judge(now)
	t.doubtful = t.doubted(now)
	t.advance(now)
}

// countHeard returns the number of other routers heard lately.
func (t *trial) countHeard(now time.Time) int {
	n := 0
	for _, p := range t.peers {
		if !p.retired && now.Sub(p.heardAt) <= t.options.RollbackDelay/hearingPart {
			n++
		}
	}
	return n
}

// stop ends the trial at this router.
func (t *trial) stop(now time.Time, why Reason) {
	if t.stopped == NoOrder && t.state == Serving {
		t.stopped, t.stageAt = why, now
	}
}
