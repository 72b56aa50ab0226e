package streamversion

// This file defines RowTiming, when a router reads the row that lists the versions, and when it writes it.

import (
	"math/rand/v2"
	"time"
)

// RowTiming spreads what the routers of a fleet do about the row. All see a new version at about the same time, and one write
// is enough: each waits at random before it reads the row to change it, so that most find it changed. Its zero value is ready
// for use.
type RowTiming struct {
	readAt   time.Time // earliest time of the next read
	changeAt time.Time // earliest time of a change; zero if the row need not change
	refused  int       // changes in a row that the store refused
}

// ReadDue reports whether the row is to be read now, by a router of a fleet of so many, and if so counts it as read.
func (t *RowTiming) ReadDue(now time.Time, k *Keeper, routers int) bool {
	period := ReadPeriod(routers, false)
	changes := k.changes(now)
	if !changes {
		t.changeAt = time.Time{}
	} else if t.changeAt.IsZero() {
		t.changeAt = now.Add(rand.N(period))
		t.readAt = t.changeAt
	}
	if now.Before(t.readAt) || !changes && !k.isStale(now) {
		return false
	}
	t.readAt = now.Add(minReadPeriod/2 + rand.N(period))
	return true
}

// ReadFailed puts the next read off for a time.
func (t *RowTiming) ReadFailed(now time.Time, d time.Duration) { t.readAt = now.Add(d) }

// refusedDelay is the time to the next read after each refused change but the first.
const (
	refusedDelay     = 500 * time.Millisecond
	maxRefusedDelays = 4
)

// RecordWrite records whether the store took a change. It refuses one if another router was faster, which the next read shows, or as
// long as reads are answered from an older state.
func (t *RowTiming) RecordWrite(now time.Time, taken bool) {
	if taken {
		t.refused = 0
		return
	}
	t.refused++
	if t.refused > 1 {
		t.ReadFailed(now, time.Duration(min(t.refused-1, maxRefusedDelays))*refusedDelay)
	}
}

// MayWrite reports whether the router has waited to change the row. If it has not, ReadDue is true again when it has.
func (t *RowTiming) MayWrite(now time.Time) bool {
	return !t.changeAt.IsZero() && !now.Before(t.changeAt)
}
