package config

// This file defines Store, a router's present configuration, which only moves forward.

import (
	"slices"
	"sync"
	"sync/atomic"
)

// keptChanges is how many of the last changes a Store keeps to hand to other routers.
const keptChanges = 1024

// Store holds the newest View that a router has; it may be used from many goroutines.
//
// Invariant: the revision never goes down, whatever is offered in whatever order.
type Store struct {
	view atomic.Pointer[View]

	mu       sync.Mutex
	changes  []*Change // the last ones applied, in order
	watchers []func(*View)
}

// NewStore returns a Store that holds the empty configuration of revision 0.
func NewStore() *Store {
	s := &Store{}
	s.view.Store(NewView(&State{}))
	return s
}

// View returns the newest configuration.
func (s *Store) View() *View { return s.view.Load() }

// Watch has a function called with each new configuration, in order.
func (s *Store) Watch(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Offer takes in changes; those already applied are passed over. It returns a
// *SequenceError when a change is missing before one of them.
func (s *Store) Offer(list ...*Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	state := view.State
	var last *Change
	applied := 0
	var failed error
	for _, c := range list {
		if c.Revision <= state.revision {
			continue
		}
		next, err := state.Apply(c)
		if err != nil {
			failed = err
			break
		}
		state, last = next, c
		applied++
		s.changes = append(s.changes, c)
	}
	if n := len(s.changes) - keptChanges; n > 0 {
		s.changes = slices.Clone(s.changes[n:])
	}
	switch applied {
	case 0:
	case 1:
		s.publish(view.Next(state, last))
	default:
		s.publish(NewView(state))
	}
	return failed
}

// Restore takes in a snapshot if it is newer than what the store holds.
func (s *Store) Restore(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Revision <= s.View().revision {
		return
	}
	s.changes = nil
	s.publish(NewView(snap.Restore()))
}

// publish makes a view the present one; s.mu is held.
func (s *Store) publish(v *View) {
	s.view.Store(v)
	for _, f := range s.watchers {
		f(v)
	}
}

// Since returns the changes after a revision if the store still has them all.
func (s *Store) Since(revision uint64) ([]*Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.View().revision {
		return nil, true
	}
	for i, c := range s.changes {
		if c.Revision == revision+1 {
			return slices.Clone(s.changes[i:]), true
		}
	}
	return nil, false
}

// Last returns the newest kept change of an object, or nil.
func (s *Store) Last(id ID) *Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.changes) {
		if c.Object() == id {
			return c
		}
	}
	return nil
}
