package config

// This file defines Store, the current configuration of a router, whose revision never
// decreases.

import (
	"slices"
	"sync"
	"sync/atomic"
)

// maxKeptChanges is how many of the latest changes a Store keeps, to send them to routers
// that are behind.
const maxKeptChanges = 1024

// Store holds the newest configuration that a router has received, in memory. It is safe
// for concurrent use.
//
// Invariant: the revision never decreases, in whatever order changes and snapshots arrive.
type Store struct {
	view atomic.Pointer[View]

	mu       sync.Mutex
	changes  []*Change // latest applied changes, consecutive and in order
	watchers []func(*View)
}

// NewStore returns a Store with the empty configuration of revision 0.
func NewStore() *Store {
	s := &Store{}
	s.view.Store(NewView(&State{}))
	return s
}

// View returns the current configuration.
func (s *Store) View() *View { return s.view.Load() }

// Watch registers a function that is called with each new configuration, in order of
// revision. Calls are made while the Store is locked: the function must not call methods
// of the Store other than View.
func (s *Store) Watch(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// ApplyChanges applies the received changes in order and skips those that are already
// applied. If a revision is missing before a change, it returns a *SequenceError; the
// changes before that one stay applied. Watchers are called once for all of them.
func (s *Store) ApplyChanges(received ...*Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	state := view.State
	var last *Change
	applied := 0
	var sequenceErr error
	for _, c := range received {
		if c.Revision <= state.revision {
			continue
		}
		next, err := state.Apply(c)
		if err != nil {
			sequenceErr = err
			break
		}
		state, last = next, c
		applied++
		s.changes = append(s.changes, c)
	}
	if excess := len(s.changes) - maxKeptChanges; excess > 0 {
		s.changes = slices.Clone(s.changes[excess:])
	}
	switch applied {
	case 0:
	case 1:
		s.publish(view.Next(state, last))
	default:
		s.publish(NewView(state))
	}
	return sequenceErr
}

// ApplySnapshot replaces the configuration by a snapshot if the snapshot is newer.
// The kept changes are discarded, since they do not reach up to its revision.
func (s *Store) ApplySnapshot(snap Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Revision <= s.View().revision {
		return
	}
	s.changes = nil
	s.publish(NewView(snap.Restore()))
}

// publish makes a view the current one and calls the watchers. The caller holds s.mu.
func (s *Store) publish(v *View) {
	s.view.Store(v)
	for _, f := range s.watchers {
		f(v)
	}
}

// Since returns the changes after a revision. It returns false if the Store no longer has
// all of them.
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

// LastChange returns the latest change of an object, or nil if the Store does not have it.
func (s *Store) LastChange(id ID) *Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.changes) {
		if c.Object() == id {
			return c
		}
	}
	return nil
}
