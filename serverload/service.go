package serverload

// This file defines Service, what is known of the statements of all servers of a service together.

import (
	"iter"
	"slices"
	"time"
)

// refreshPeriod is the time between two updates of what the servers of a service have in common.
const refreshPeriod = time.Second

// Service is what the servers of a service have in common. Its zero value knows nothing. It is not safe for concurrent use.
type Service struct {
	load        persistence // of the requests that the router does not know of
	percent     persistence
	median      float64 // of the time that work takes; 0 if not known
	unreported  float64 // mean of the servers with a recent statement; 0 if there are none
	refreshedAt time.Time
	means       []float64 // reused
}

// RefreshDue reports whether Refresh should be called.
func (s *Service) RefreshDue(now time.Time) bool { return now.Sub(s.refreshedAt) >= refreshPeriod }

// Refresh updates how long figures hold, the mean load, and the lasting speeds of the servers against their median.
func (s *Service) Refresh(now time.Time, servers iter.Seq[*Server]) {
	s.refreshedAt = now
	s.load.update(loadHold)
	s.percent.update(percentHold)
	s.means = s.means[:0]
	stated, sum := 0, 0.0
	for x := range servers {
		if x.Stated(now) {
			stated++
			sum += x.unreported.value
		}
		if x.percent.values > 0 {
			s.means = append(s.means, x.percent.value)
		}
	}
	s.unreported = sum / float64(max(1, stated))
	s.median = 0
	if n := len(s.means); n > 0 {
		slices.Sort(s.means)
		s.median = (s.means[(n-1)/2] + s.means[n/2]) / 2
	}
	for x := range servers {
		x.updateLasting(now, s.median)
	}
}
