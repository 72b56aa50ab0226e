package follow

// This file defines Delta, which polling followers send to passive ones, so that not every
// router has to poll the store.

import (
	"math/rand/v2"
	"time"
)

// Delta holds the rows of a table that changed between two versions of the store.
type Delta struct {
	_          struct{} `cbor:",toarray"`
	Table      string
	Era        uint64 // of the store; the versions are of this era
	From       uint64 // version of the store after which Rows holds all changes
	To         uint64 // version of the store up to which Rows holds all changes
	NewestRow  uint64 // version of the newest row that the sender has
	Rows       []Row
	FailureAge time.Duration // time since a call of the sender's to the store last failed, 0 if that is longer ago than failureWindow
}

// Timing of deltas.
const (
	deltaWindow          = 2 * time.Second         // a delta holds the changes of this time, so that the next delta compensates for a lost one
	deltaTimeout         = 1200 * time.Millisecond // time without a delta after which a passive follower polls the store
	fallbackInterval     = time.Second             // between two calls of a passive follower that gets no deltas
	maxPassiveTime       = 20 * time.Second        // longest time that a passive follower makes no call
	passiveCheckInterval = 200 * time.Millisecond  // between two checks of a passive follower whether to poll
	failureWindow        = 5 * time.Second         // time for which a store failure is reported in deltas
)

// recentBatch holds the rows of one answer of the store.
type recentBatch struct {
	receivedAt time.Duration // clock reading
	from       uint64        // version of the store since which no row had changed before
	rows       []Row
}

// keepRecent adds the rows of an answer to the recent ones and drops those older than
// deltaWindow; f.mu is held.
func (f *Follower) keepRecent(from uint64, rows []Row) {
	now := f.options.Clock()
	expired := 0
	for expired < len(f.recent) && now-f.recent[expired].receivedAt > deltaWindow {
		expired++
	}
	f.recent = append(f.recent[:0], f.recent[expired:]...)
	if len(rows) > 0 {
		f.recent = append(f.recent, recentBatch{now, from, rows})
	}
}

// Delta returns the recent changes, to be sent to passive followers.
func (f *Follower) Delta() Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepRecent(0, nil) // drops expired batches
	d := Delta{Table: f.options.Name, Era: f.position.Era, From: f.unchangedSince(), To: f.position.Version, NewestRow: f.newestRow.Version}
	for i, b := range f.recent {
		if i == 0 {
			d.From = b.from
		}
		d.Rows = append(d.Rows, b.rows...)
	}
	d.Rows = newestOfEach(d.Rows)
	if since := f.options.Clock() - time.Duration(f.ownFailure.Load()); since < failureWindow {
		d.FailureAge = max(since, 1)
	}
	return d
}

// newestOfEach returns the last row of each key, in the same order: those before are superseded.
func newestOfEach(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for i, r := range rows {
		last[r.Key] = i
	}
	if len(last) == len(rows) {
		return rows
	}
	newest := make([]Row, 0, len(last))
	for i, r := range rows {
		if last[r.Key] == i {
			newest = append(newest, r)
		}
	}
	return newest
}

// ApplyDelta applies a delta from a polling follower. If changes are missing between the table and
// the delta, its rows are ignored, and CatchUpTo has the missing changes read from the store.
func (f *Follower) ApplyDelta(d Delta) {
	f.mu.Lock()
	now := f.options.Clock()
	loaded := f.loaded
	if d.FailureAge > 0 {
		f.lastFailure.Store(max(f.lastFailure.Load(), int64(now-d.FailureAge)))
	}
	if d.FailureAge == 0 || d.FailureAge > deltaTimeout { // a sender whose calls fail has no new changes
		f.lastDelta = now
		f.drawFallback()
	}
	f.mu.Unlock()
	if loaded && f.apply(Position{Era: d.Era, Version: d.From}, Batch{Rows: d.Rows, Position: Position{Era: d.Era, Version: d.To}}) && d.FailureAge == 0 {
		f.setCurrent(now)
	}
	f.CatchUpTo(Position{Era: d.Era, Version: d.NewestRow})
}

// passive reports whether the follower makes no call now because others poll the store for it.
func (f *Follower) passive() bool {
	if f.options.Passive == nil || !f.options.Passive() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	switch {
	case !f.loaded || f.pollNow || now-f.lastRead > maxPassiveTime:
		return false
	case now-f.lastDelta > deltaTimeout+f.fallback:
		return now-f.lastRead < fallbackInterval
	}
	return true
}

// drawFallback draws how much later than others this follower polls when no deltas come; f.mu is held.
func (f *Follower) drawFallback() {
	if f.options.FallbackSpread == nil {
		return
	}
	if spread := f.options.FallbackSpread(); spread > 0 {
		f.fallback = rand.N(spread)
	}
}

// FallsBack reports whether this passive follower gets no deltas and has lately read the store by itself, so that its Delta serves
// the others.
func (f *Follower) FallsBack() bool {
	if f.options.Passive == nil || !f.options.Passive() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	return f.loaded && now-f.lastDelta > deltaTimeout && f.lastAnswer > 0 && now-f.lastAnswer < deltaTimeout
}
