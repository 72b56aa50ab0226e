package route

// This file defines View, the newest configuration that a router knows and when it was last
// confirmed to be the newest.

import (
	"sync"
	"time"
)

// View holds a router's current Table and the last time at which it was confirmed to be the
// newest version. It may be used from many goroutines.
//
// Invariants: the version never decreases. A confirmation counts only if it is for the current
// version and later than the last one. Times are readings of a clock that advances while the VM
// is suspended, so that a VM does not treat its Table as fresh when it resumes.
type View struct {
	mu          sync.Mutex
	table       *Table
	confirmedAt time.Duration // latest clock reading at which the table was the newest version
	confirmed   bool          // confirmedAt is set
	changed     chan struct{} // closed at the next change of the table
}

// NewView returns a View without a Table.
func NewView() *View { return &View{changed: make(chan struct{})} }

// Table returns the current Table, or nil if there is none yet.
func (v *View) Table() *Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// Adopt makes a Table the current one if its version is newer, and reports whether it did. The new
// Table is unconfirmed until ConfirmVersion is called for its version.
func (v *View) Adopt(t *Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && t.version <= v.table.version {
		return false
	}
	v.table, v.confirmed = t, false
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// ConfirmVersion records that a version was the newest one at a reading of the clock. It has no effect if
// the version is not the current one or was confirmed at a later reading.
func (v *View) ConfirmVersion(version uint64, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || version != v.table.version {
		return
	}
	if !v.confirmed || at > v.confirmedAt {
		v.confirmedAt, v.confirmed = at, true
	}
}

// Age returns the current Table, the time since it was last confirmed to be the newest, and
// whether it ever was; if not, age has no meaning.
func (v *View) Age(now time.Duration) (t *Table, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, now - v.confirmedAt, v.confirmed
}

// Changed returns a channel that is closed when another Table becomes the current one.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
