package serverload

// This file defines Server, what is known of the load and the speed of one backend server.

import (
	"math"
	"time"
)

// Times and bounds of estimates.
const (
	loadHold     = 100 * time.Millisecond // for which a difference in load is assumed to hold, until more is known
	percentHold  = 50 * time.Millisecond  // the same for the time that work takes, which changes many times per second
	loadSpan     = 5 * time.Second        // over which the mean load is taken
	percentSpan  = 30 * time.Second       // over which the mean time of work is taken
	loadMaxAge   = 10 * time.Second       // after which a stated load counts no more
	lastingHold  = 60 * time.Second       // after which half of a lasting slowness counts, so that a server that was slow is tried again
	priorLasting = 4                      // weight of a slowness of 1, in statements of the time that work takes
	taskWeight   = 0.25                   // of one observed task, in such statements, since tasks differ in size
	priorTasks   = 4                      // weight of a slowness of 1 beside that stated, in observed tasks
	minPairs     = 4                      // statements from which the mean is known well enough to learn how long figures hold
	minPairAge   = time.Millisecond       // statements of one moment say nothing of how long figures hold

	maxStatedPerSlot = 2 // requests that count of a statement; more would say nothing of where the next one is served soonest

	minLasting, maxLasting     = 0.4, 3.0
	minMomentary, maxMomentary = 0.33, 3.0
)

// mean is a moving average over a span of time; before that has passed, it is that of all values.
type mean struct {
	value  float64
	values int
	last   float64
	at     Moment // of last
}

// add adds a value. Times must not decrease.
func (m *mean) add(now Moment, span time.Duration, value float64) {
	m.values++
	gain := 1.0
	if m.values > 1 {
		elapsed := now - m.at
		gain = max(1/float64(m.values), float64(elapsed)/(float64(elapsed)+float64(span)))
	}
	m.value += gain * (value - m.value)
	m.last, m.at = value, now
}

// Server is what is known of a backend server since its start. Its zero value knows nothing. It is not safe for concurrent use.
type Server struct {
	unreported mean    // requests stated beyond those that the router knew of at the time
	percent    mean    // time that work takes
	tasks      mean    // logarithm of the time that tasks took against what the service needs for them and what was stated
	difference float64 // of the last percent from their mean, as a fraction of the mean
	lasting    float64 // slowness against the median of the service, less 1
	reported   float64 // weight of what other routers measured in lasting
}

// Forget discards what the server stated, because it has restarted.
func (s *Server) Forget() { *s = Server{} }

// Stated reports whether a load was stated recently enough to count.
func (s *Server) Stated(now time.Time, service *Service) bool { return s.stated(service.Moment(now)) }

func (s *Server) stated(now Moment) bool {
	return s.unreported.values > 0 && now-s.unreported.at < Moment(loadMaxAge)
}

// Record records a statement that arrived now. Known is how many requests at the server the router knows of at this
// moment. Statements older than the last one are ignored.
func (s *Server) Record(now time.Time, service *Service, st Statement, known int) {
	if service.epoch.IsZero() {
		service.epoch = now
	}
	at := service.Moment(now)
	if !st.Valid() || s.unreported.values > 0 && at < s.unreported.at {
		return
	}
	if !s.stated(at) {
		s.unreported = mean{}
	}
	service.load.learn(at, &s.unreported, loadSpan, float64(min(st.Running+st.Waiting, maxStatedPerSlot*st.Slots)-known))
	if st.Percent > 0 {
		service.percent.learn(at, &s.percent, percentSpan, float64(st.Percent))
		if s.percent.values >= minPairs {
			s.difference = max(minMomentary, min(maxMomentary, s.percent.last/s.percent.value)) - 1
		}
	}
}

// Observe records a task that ended now and whose time, without any wait for others, was a multiple of what it was expected to take.
// The unit of the multiple may be any that is the same for all servers of the service. It counts beside what the server
// states of its speed, which the multiple therefore leaves out. Servers that state no load are not observed.
func (s *Server) Observe(now time.Time, service *Service, multiple float64) {
	at := service.Moment(now)
	if !s.stated(at) || !(multiple > 0) || math.IsInf(multiple, 1) || s.tasks.values > 0 && at < s.tasks.at {
		return
	}
	s.tasks.add(at, percentSpan, math.Log(multiple))
}

// learn adds a value to the mean of a server, and the pair that it is with the value before to the persistence.
func (p *persistence) learn(now Moment, m *mean, span time.Duration, value float64) {
	if age := time.Duration(now - m.at); m.values >= minPairs && age >= minPairAge {
		p.add(age, m.last-m.value, value-m.value)
	}
	m.add(now, span, value)
}

// Load returns how many requests the server is expected to have beyond those that the router knows of now, and the
// standard deviation of that. The number may be negative. A server without a recent statement is taken to be as the others are,
// so that one which states nothing does not seem empty beside them.
func (s *Server) Load(now Moment, service *Service) (requests, deviation float64) {
	age := now - s.unreported.at
	if s.unreported.values == 0 || age >= Moment(loadMaxAge) {
		return service.unreported, service.load.deviation
	}
	b := binOf(time.Duration(age))
	requests = s.unreported.value + service.load.holds[b]*(s.unreported.last-s.unreported.value)
	left := 1 - float64(age)*(1/float64(loadMaxAge))
	return left*requests + (1-left)*service.unreported, service.load.deviations[b]
}

// Slowness returns the time that work takes at the server now, against the median of its service; 1 if nothing is known.
func (s *Server) Slowness(now Moment, service *Service) float64 {
	if s.percent.values < minPairs {
		return 1 + s.lasting
	}
	return (1 + s.lasting) * (1 + service.percent.holds[binOf(time.Duration(now-s.percent.at))]*s.difference)
}

// Lasting returns the part of the slowness that lasts, as of the last Refresh of the service.
func (s *Server) Lasting() float64 { return 1 + s.lasting }

// StatedSlowness returns the part of the lasting slowness that the server states, against the median of the service; 1 if it states none.
func (s *Server) StatedSlowness(service *Service) float64 {
	if s.percent.values == 0 || service.percentMedian == 0 {
		return 1
	}
	return s.percent.value / service.percentMedian
}

// Evidence is what a lasting slowness follows from.
type Evidence struct {
	Statements int           // of the time that work takes, since the start of the server
	Tasks      int           // that were observed
	Age        time.Duration // of the last one of both
	Mean       float64       // stated by the server, in percent
	Median     float64       // of the means of the service, in percent
	Reported   float64       // weight of what other routers measured, in statements
	Observed   float64       // time of its tasks against the median of the service, beside what was stated
}

// Evidence returns what the lasting slowness follows from.
func (s *Server) Evidence(now time.Time, service *Service) Evidence {
	return Evidence{
		Statements: s.percent.values, Tasks: s.tasks.values, Age: s.age(service.Moment(now)), Mean: s.percent.value, Median: service.percentMedian,
		Reported: s.reported, Observed: math.Exp(s.tasks.value - service.taskMedian),
	}
}

// age returns the time since the last evidence of the lasting slowness.
func (s *Server) age(now Moment) time.Duration {
	return time.Duration(now - max(s.tasks.at, s.percent.at))
}

// measured returns the logarithm of the slowness against the medians of the service, and the weight of that in statements.
func (s *Server) measured(now Moment, service *Service) (logarithm, weight float64) {
	if s.percent.values > 0 && service.percentMedian > 0 {
		logarithm = math.Log(s.percent.value / service.percentMedian)
		weight = float64(s.percent.values)
	}
	if n := float64(s.tasks.values); n > 0 {
		logarithm += (s.tasks.value - service.taskMedian) * n / (n + priorTasks)
		weight += taskWeight * n
	}
	left := fade(s.age(now), lastingHold)
	return logarithm * left, min(weight, maxWeight) * left
}

// maxWeight is the bound on the weight of what one router measured, in statements.
const maxWeight = 100

// updateLasting takes what this router and others measured as the lasting slowness, less the more the less is known. The sum
// is that of the logarithms that others measured, each times its weight.
func (s *Server) updateLasting(now Moment, service *Service, sum, weight float64) {
	logarithm, ownWeight := s.measured(now, service)
	sum, weight = sum+logarithm*ownWeight, weight+ownWeight
	s.reported = weight - ownWeight
	s.lasting = max(minLasting, min(maxLasting, math.Exp(sum/(weight+priorLasting)))) - 1
}
