package route

// This file defines CurrentTable, the newest configuration that a router knows and when it was
// last confirmed to be the newest.

import (
	"sync"
	"time"
)

// CurrentTable holds a router's newest Table, which Adopt replaces, and the last time at which it
// was confirmed to be the newest version. It may be used from many goroutines.
//
// Invariants: the version never decreases. A confirmation counts only if it is for the current
// version, later than the last one, and no other router had a newer version shortly before. Times are readings of a clock that advances while the VM
// is suspended, so that a VM does not treat its Table as fresh when it resumes.
type CurrentTable struct {
	mu          sync.Mutex
	table       *Table
	confirmedAt time.Duration // latest clock reading at which the table was the newest version
	confirmed   bool          // confirmedAt is set
	peerVersion uint64        // newest version that another router had within peerMemory
	peerAt      time.Duration // clock reading at which one had it last
}

// NewCurrentTable returns a CurrentTable that holds no Table yet.
func NewCurrentTable() *CurrentTable { return &CurrentTable{} }

// Table returns the Table, or nil if there is none yet.
func (c *CurrentTable) Table() *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// Adopt makes t the current Table if its version is newer, and reports whether it did. The new
// Table is unconfirmed until ConfirmVersion is called for its version.
func (c *CurrentTable) Adopt(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && t.version <= c.table.version {
		return false
	}
	c.table, c.confirmed = t, false
	return true
}

// peerMemory is how long the version of another router counts. It is forgotten then, since what only that router knew may have
// gone with it.
const peerMemory = 10 * time.Second

// RecordPeerVersion records that another router has a version. While that is newer than the current one, this cannot be
// the newest, whatever the store says: it may have come back from a copy.
func (c *CurrentTable) RecordPeerVersion(version uint64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= c.peerVersion || now-c.peerAt > peerMemory {
		c.peerVersion, c.peerAt = version, now
	}
}

// ConfirmVersion records that a version was the newest one at a reading of the clock. It has no effect if
// the version is not the current one or was confirmed at a later reading, or if another router had a newer one.
func (c *CurrentTable) ConfirmVersion(version uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil || version != c.table.version || version < c.peerVersion && at-c.peerAt <= peerMemory {
		return
	}
	if !c.confirmed || at > c.confirmedAt {
		c.confirmedAt, c.confirmed = at, true
	}
}

// Age returns the current Table, the time since it was last confirmed to be the newest, and
// whether it ever was; if not, age has no meaning.
func (c *CurrentTable) Age(now time.Duration) (t *Table, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table, now - c.confirmedAt, c.confirmed
}
