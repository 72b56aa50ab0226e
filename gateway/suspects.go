package gateway

// This file defines suspects, the requests that crash backend servers, over the fleet.

import (
	"sync"
	"time"

	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/schedule"
)

// toldCrashes is how many of the last crashes are told to other routers.
const toldCrashes = 24

// suspects is a schedule.Quarantine for many goroutines, with what is told to others.
type suspects struct {
	mu         sync.Mutex
	quarantine *schedule.Quarantine
	recent     []placement.Crash
}

var _ ingress.Suspects = (*suspects)(nil)

func newSuspects() *suspects { return &suspects{quarantine: schedule.NewQuarantine()} }

// Refused reports whether a request may not run for a time.
func (s *suspects) Refused(now time.Time, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Verdict(now, digest) == schedule.Refused
}

// Crashed takes in that a backend server broke off while it ran a request.
func (s *suspects) Crashed(now time.Time, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.quarantine.Died(now, digest)
	if len(s.recent) == toldCrashes {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, placement.Crash{Digest: c.Digest, Count: c.Deaths})
}

// Cleared takes in that a request ran to its end.
func (s *suspects) Cleared(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Cleared(digest)
}

func (s *suspects) tell() []placement.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]placement.Crash(nil), s.recent...)
}

func (s *suspects) heard(now time.Time, list []placement.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		s.quarantine.Heard(now, schedule.CrashRecord{Digest: c.Digest, Deaths: c.Count})
	}
}
