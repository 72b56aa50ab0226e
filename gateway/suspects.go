package gateway

// This file defines suspects, the requests that crash backend servers, over the fleet.

import (
	"slices"
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
	near       []placement.Crash // of other routers of the zone
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
	s.recent = remember(s.recent, placement.Crash{Digest: c.Digest, Count: c.Deaths})
}

// remember adds a crash to the last ones.
func remember(list []placement.Crash, c placement.Crash) []placement.Crash {
	list = slices.DeleteFunc(list, func(x placement.Crash) bool { return x.Digest == c.Digest })
	if len(list) == toldCrashes {
		list = append(list[:0], list[1:]...)
	}
	return append(list, c)
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

// tellZone returns the crashes of the whole zone.
func (s *suspects) tellZone() []placement.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append([]placement.Crash(nil), s.near...)
	for _, c := range s.recent {
		list = remember(list, c)
	}
	return list
}

func (s *suspects) heard(now time.Time, list []placement.Crash, near bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		if near {
			s.near = remember(s.near, c)
		}
		s.quarantine.Heard(now, schedule.CrashRecord{Digest: c.Digest, Deaths: c.Count})
	}
}
