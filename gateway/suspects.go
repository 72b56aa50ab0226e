package gateway

// This file defines suspects, which finds requests that crash backend servers, from the
// crashes that this router saw and those that other routers reported.

import (
	"slices"
	"sync"
	"time"

	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/schedule"
)

// maxReportedCrashes is how many of the latest crashes a router reports to others.
const maxReportedCrashes = 24

// suspects is a schedule.Quarantine with the latest crashes that this router saw or that were
// reported to it. It is safe for concurrent use.
type suspects struct {
	mu          sync.Mutex
	quarantine  *schedule.Quarantine
	ownCrashes  []placement.Crash // seen by this router, the latest at the end
	zoneCrashes []placement.Crash // reported by other routers of the zone, the latest at the end
}

var _ ingress.Suspects = (*suspects)(nil)

func newSuspects() *suspects { return &suspects{quarantine: schedule.NewQuarantine()} }

// Quarantined reports whether the request with this digest must not run now.
func (s *suspects) Quarantined(now time.Time, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Verdict(now, digest) == schedule.VerdictRefused
}

// RecordCrash records that a backend server broke the connection while it ran a request.
func (s *suspects) RecordCrash(now time.Time, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.quarantine.RecordCrash(now, digest)
	s.ownCrashes = appendCrash(s.ownCrashes, placement.Crash{Digest: record.Digest, Count: record.Crashes})
}

// appendCrash returns the list with the crash at its end, in place of an earlier crash of
// the same request. It drops the oldest crash if the list is full, and reuses its memory.
func appendCrash(list []placement.Crash, c placement.Crash) []placement.Crash {
	list = slices.DeleteFunc(list, func(x placement.Crash) bool { return x.Digest == c.Digest })
	if len(list) == maxReportedCrashes {
		list = append(list[:0], list[1:]...)
	}
	return append(list, c)
}

// RecordCompletion records that a request ran to its end.
func (s *suspects) RecordCompletion(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.RecordCompletion(digest)
}

// reportOwn returns the latest crashes that this router saw.
func (s *suspects) reportOwn() []placement.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]placement.Crash(nil), s.ownCrashes...)
}

// reportZone returns the latest crashes that the routers of the zone saw.
func (s *suspects) reportZone() []placement.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append([]placement.Crash(nil), s.zoneCrashes...)
	for _, c := range s.ownCrashes {
		list = appendCrash(list, c)
	}
	return list
}

// merge records the crashes that another router reported.
func (s *suspects) merge(now time.Time, list []placement.Crash, sameZone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		if sameZone {
			s.zoneCrashes = appendCrash(s.zoneCrashes, c)
		}
		s.quarantine.Merge(now, schedule.CrashRecord{Digest: c.Digest, Crashes: c.Count})
	}
}
