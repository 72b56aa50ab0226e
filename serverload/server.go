package serverload

// This file defines Server, what is known of the load and the speed of one backend server.

import "time"

// Times and bounds of estimates.
const (
	loadHold     = 100 * time.Millisecond // for which a difference in load is assumed to hold, until more is known
	percentHold  = 50 * time.Millisecond  // the same for the time that work takes, which changes many times per second
	loadSpan     = 5 * time.Second        // over which the mean load is taken
	percentSpan  = 30 * time.Second       // over which the mean time of work is taken
	loadMaxAge   = 10 * time.Second       // after which a stated load counts no more
	lastingHold  = 60 * time.Second       // after which half of a lasting slowness counts, so that a server that was slow is tried again
	priorLasting = 4                      // weight of a slowness of 1, in statements
	minPairs     = 4                      // statements from which the mean is known well enough to learn how long figures hold
	minPairAge   = time.Millisecond       // statements of one moment say nothing of how long figures hold

	minLasting, maxLasting     = 0.4, 3.0
	minMomentary, maxMomentary = 0.33, 3.0
)

// mean is a moving average over a span of time; before that has passed, it is that of all values.
type mean struct {
	value  float64
	values int
	last   float64
	at     time.Time // of last
}

// add adds a value. Times must not decrease.
func (m *mean) add(now time.Time, span time.Duration, value float64) {
	m.values++
	gain := 1.0
	if m.values > 1 {
		elapsed := now.Sub(m.at)
		gain = max(1/float64(m.values), float64(elapsed)/float64(elapsed+span))
	}
	m.value += gain * (value - m.value)
	m.last, m.at = value, now
}

// Server is what is known of a backend server since its start. Its zero value knows nothing. It is not safe for concurrent use.
type Server struct {
	unreported mean    // requests stated beyond those that the router knew of at the time
	percent    mean    // time that work takes
	difference float64 // of the last percent from their mean, as a fraction of the mean
	lasting    float64 // slowness against the median of the service, less 1
}

// Forget discards what the server stated, because it has restarted.
func (s *Server) Forget() { *s = Server{} }

// Stated reports whether a load was stated recently enough to count.
func (s *Server) Stated(now time.Time) bool {
	return s.unreported.values > 0 && now.Sub(s.unreported.at) < loadMaxAge
}

// Record records a statement that arrived now. Known is how many requests at the server the router knows of at this
// moment. Statements older than the last one are ignored.
func (s *Server) Record(now time.Time, service *Service, st Statement, known int) {
	if !st.Valid() || now.Before(s.unreported.at) {
		return
	}
	if s.unreported.values > 0 && !s.Stated(now) {
		s.unreported = mean{}
	}
	service.load.learn(now, &s.unreported, loadSpan, float64(st.Running+st.Waiting-known))
	if st.Percent > 0 {
		service.percent.learn(now, &s.percent, percentSpan, float64(st.Percent))
		if s.percent.values >= minPairs {
			s.difference = max(minMomentary, min(maxMomentary, s.percent.last/s.percent.value)) - 1
		}
	}
}

// learn adds a value to the mean of a server, and the pair that it is with the value before to the persistence.
func (p *persistence) learn(now time.Time, m *mean, span time.Duration, value float64) {
	if age := now.Sub(m.at); m.values >= minPairs && age >= minPairAge {
		p.add(age, m.last-m.value, value-m.value)
	}
	m.add(now, span, value)
}

// Unreported returns how many requests the server is expected to have beyond those that the router knows of now, and the
// standard deviation of that. It may be negative. A server without a recent statement is taken to be as the others are,
// so that one which states nothing does not seem empty beside them.
func (s *Server) Unreported(now time.Time, service *Service) (requests, deviation float64) {
	age := now.Sub(s.unreported.at)
	if s.unreported.values == 0 || age >= loadMaxAge {
		return service.unreported, service.load.deviation
	}
	b := binOf(age)
	requests = s.unreported.value + service.load.holds[b]*(s.unreported.last-s.unreported.value)
	left := 1 - float64(age)*(1/float64(loadMaxAge))
	return left*requests + (1-left)*service.unreported, service.load.deviations[b]
}

// Slowness returns the time that work takes at the server now, against the median of its service; 1 if nothing is known.
func (s *Server) Slowness(now time.Time, service *Service) float64 {
	if s.percent.values == 0 {
		return 1
	}
	age := now.Sub(s.percent.at)
	return (1 + s.lasting) * (1 + service.percent.holds[binOf(age)]*s.difference)
}

// Lasting returns the part of the slowness that lasts, as of the last Refresh of the service.
func (s *Server) Lasting() float64 { return 1 + s.lasting }

// Evidence is what a lasting slowness follows from.
type Evidence struct {
	Statements int           // of the time that work takes, since the start of the server
	Age        time.Duration // of the last one
	Mean       float64       // of the server, in percent
	Median     float64       // of the means of the service, in percent
}

// Evidence returns what the lasting slowness follows from.
func (s *Server) Evidence(now time.Time, service *Service) Evidence {
	return Evidence{Statements: s.percent.values, Age: now.Sub(s.percent.at), Mean: s.percent.value, Median: service.median}
}

// updateLasting compares the mean time that work takes with the median of the service.
func (s *Server) updateLasting(now time.Time, median float64) {
	s.lasting = 0
	if n := float64(s.percent.values); n > 0 && median > 0 {
		ratio := max(minLasting, min(maxLasting, s.percent.value/median))
		s.lasting = (ratio - 1) * n / (n + priorLasting) * fade(now.Sub(s.percent.at), lastingHold)
	}
}
