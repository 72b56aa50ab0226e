package serverstatus

// This file defines Status, what a router knows of one backend server from its statements.

import "time"

// Ages of statements.
const (
	LeavingMemory = time.Minute      // after the last statement that a server leaves
	MaxPause      = 10 * time.Minute // longer pauses are cut, so that a wrong number does not take a server away for good
)

// Status is one router's knowledge of one backend server. Its zero value is a server that has said nothing.
//
// Invariant: everything in it is of the newest start that is known. startedMs never decreases.
type Status struct {
	startedMs   int64     // Unix milliseconds; 0 if unknown
	leavingAt   time.Time // when a statement that the server leaves was made last; zero if none was
	pausedUntil time.Time

	learned [audiences]bool      // whether an audience is to be told that the server leaves
	toldAt  [audiences]time.Time // when it was told last
}

// SetStart records the start in the server's entry. A newer one ends what older ones said.
func (s *Status) SetStart(startedMs int64) { s.admit(startedMs) }

// admit reports whether a statement of a start counts, and forgets what an older start said.
func (s *Status) admit(startedMs int64) bool {
	if startedMs > s.startedMs {
		*s = Status{startedMs: startedMs}
	}
	return startedMs == s.startedMs
}

// RecordLeaving records a statement, made to this router or in the server's entry, that the server leaves, and reports
// whether that is new.
func (s *Status) RecordLeaving(now time.Time, startedMs int64) (changed bool) {
	if !s.admit(startedMs) {
		return false
	}
	changed = s.setLeaving(now, now)
	if changed {
		s.learned = [audiences]bool{Zone: true, OtherZones: true}
	}
	return changed
}

// setLeaving records a statement of a time at which the server was leaving, and reports whether that is new.
func (s *Status) setLeaving(now, at time.Time) (changed bool) {
	changed = !s.Leaving(now)
	if at.After(s.leavingAt) {
		s.leavingAt = at
	}
	return changed && s.Leaving(now)
}

// Leaving reports whether the server leaves.
func (s *Status) Leaving(now time.Time) bool {
	return !s.leavingAt.IsZero() && now.Sub(s.leavingAt) < LeavingMemory
}

// RecordPause records that the server wants no request from this router for d, and reports whether that is longer than
// before.
func (s *Status) RecordPause(now time.Time, startedMs int64, d time.Duration) (changed bool) {
	until := now.Add(min(d, MaxPause))
	if !s.admit(startedMs) || !until.After(s.pausedUntil) {
		return false
	}
	s.pausedUntil = until
	return true
}

// PausedUntil returns until when the server wants no request from this router; it may have passed.
func (s *Status) PausedUntil() time.Time { return s.pausedUntil }
