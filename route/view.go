package route

// This file defines View, what a router knows of the newest configuration and since when.

import (
	"sync"
	"time"
)

// View is a router's newest Table with the last proof that no newer one existed;
// it may be used from many goroutines.
//
// Invariants: versions only go up. A proof counts only for the version in force,
// and only forward in time. Times are readings of a clock that goes on while the
// VM is suspended, so that a VM that wakes up does not trust what it knew before.
type View struct {
	mu      sync.Mutex
	table   *Table
	proven  time.Duration // clock reading at the last proof
	hasOne  bool          // a proof
	changed chan struct{}
}

// NewView returns a View that knows no configuration.
func NewView() *View { return &View{changed: make(chan struct{})} }

// Table returns the newest known Table, or nil.
func (v *View) Table() *Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// Adopt takes a Table in unless it is older than the one in force, and reports whether it did.
// Nothing is proven for a new Table until Prove says so.
func (v *View) Adopt(t *Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && t.version <= v.table.version {
		return false
	}
	v.table, v.hasOne = t, false
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Prove takes in that a version was the newest one at a reading of the clock.
func (v *View) Prove(version uint64, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || version != v.table.version {
		return
	}
	if !v.hasOne || at > v.proven {
		v.proven, v.hasOne = at, true
	}
}

// Age returns the Table with the time since it was last proven the newest, and whether it ever was.
func (v *View) Age(now time.Duration) (t *Table, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, now - v.proven, v.hasOne
}

// Changed returns a channel that is closed when another Table comes into force.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}
