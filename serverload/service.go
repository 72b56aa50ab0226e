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
	load          persistence // of the requests that the router does not know of
	percent       persistence
	percentMedian float64 // of the servers' means; 0 if there are none
	taskMedian    float64 // the same of the times of tasks
	unreported    float64 // mean of the servers with a recent statement; 0 if there are none
	refreshedAt   time.Time
	epoch         time.Time // of moments
	percents      []float64 // reused, as is tasks
	tasks         []float64
	loads         []float64
}

// Moment is a time since the epoch of a service. A decision that asks for many servers takes it once.
type Moment time.Duration

// Moment returns the moment of a time.
func (s *Service) Moment(now time.Time) Moment { return Moment(now.Sub(s.epoch)) }

// RefreshDue reports whether Refresh should be called.
func (s *Service) RefreshDue(now time.Time) bool { return now.Sub(s.refreshedAt) >= refreshPeriod }

// Refresh updates how long figures hold, the mean load, and the lasting speeds of the servers, by key, against their median.
// What other routers measured is used for servers that this router knows the load of.
func (s *Service) Refresh(now time.Time, servers iter.Seq2[uint64, *Server], peers *Peers) {
	s.refreshedAt = now
	at := s.Moment(now)
	s.load.update(loadHold)
	s.percent.update(percentHold)
	s.percents, s.tasks = s.percents[:0], s.tasks[:0]
	s.loads = s.loads[:0]
	for _, x := range servers {
		if x.stated(at) {
			s.loads = append(s.loads, x.unreported.value)
		}
		if x.percent.values > 0 {
			s.percents = append(s.percents, x.percent.value)
		}
		if x.tasks.values > 0 {
			s.tasks = append(s.tasks, x.tasks.value)
		}
	}
	s.unreported = median(s.loads)
	s.percentMedian, s.taskMedian = median(s.percents), median(s.tasks)
	for key, x := range servers {
		sum, weight := peers.measured(now, key)
		x.updateLasting(at, s, sum, weight)
	}
}

// median sorts values and returns their median, or 0 if there are none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
