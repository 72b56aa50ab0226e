package placement

// This file defines server, what a router believes of one backend server.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is what the platform lists of a backend server.
type Entry struct {
	ID       string
	Service  string
	Address  string // IP number and port
	Zone     string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it bears only little
	Born     int64         // start, in Unix milliseconds; 0 if unknown
}

// Bounds of what a router learns of one backend server.
const (
	minPace, maxPace = 0.5, 12.0
	paceGain         = 0.08            // of one observation
	maxRatio         = 3.0             // of one observation to what was expected
	paceMemory       = 3 * time.Second // without observations, after which a server's pace is taken to be that of its peers
	errorGain        = 0.12
	firstPause       = 250 * time.Millisecond // after a failed connection
	longPause        = 2 * time.Second
	ejectPause       = 2500 * time.Millisecond // for failing far more often than its peers
	ejectRate        = 0.35
	ejectSamples     = 8
)

// server is one backend server.
//
// Invariants: running and tokens are what this router has in flight there.
// busyUntil is when the server will have read all prompts sent to it, by this
// router's model; it never lies before the last time it was moved.
type server struct {
	Entry
	hash      uint64 // of the ID
	pool      *pool
	listed    bool // the platform lists it
	coldUntil time.Time
	downUntil time.Time
	failures  int // in a row
	warming   bool
	reader    bool // reads prompts for others

	filledAt  time.Time // from then on it holds what it is home to; zero while nothing was read
	busyUntil time.Time
	recent    amounts   // milliseconds of reading that were sent lately
	pace      float64   // time that reading takes over what the model says
	paced     time.Time // last observation of it
	running   int
	reading   int       // of those running, without a first event
	unread    float64   // tokens of those that are reading
	sentAt    time.Time // last request of this router
	tokens    int
	remote    map[string]remoteLoad // by router
	others    remoteLoad            // their sum
	claim     *waiter               // the next request for which there was no room

	parts     *partCache
	errorRate float64
	samples   int
	coldSent  window

	sent     uint64 // unread tokens sent by this router in all, told to other routers
	zoneSent uint64 // the same of the other routers of its zone, as heard
}

// remoteLoad is what another router last said of one backend server.
type remoteLoad struct {
	running, tokens int
	reading         int // tokens that are yet to be read
	down            bool
}

func newServer(p *pool, e Entry) *server {
	return &server{Entry: e, hash: xxhash.Sum64String(e.ID), pool: p, listed: true, pace: 1, remote: map[string]remoteLoad{}, parts: newPartCache(p.partTokens())}
}

// load returns requests in flight and tokens held, other routers' included.
func (s *server) load() (running, tokens int) {
	return s.running + s.others.running, s.tokens + s.others.tokens
}

// hear replaces what a router said before of its requests at the server.
func (s *server) hear(from string, l remoteLoad) {
	s.unhear(from)
	s.remote[from] = l
	s.others.running += l.running
	s.others.tokens += l.tokens
	s.others.reading += l.reading
}

// unhear drops what a router said of its requests at the server.
func (s *server) unhear(from string) {
	l := s.remote[from]
	delete(s.remote, from)
	s.others.running -= l.running
	s.others.tokens -= l.tokens
	s.others.reading -= l.reading
}

// wait returns the time until all prompts sent to the server are read. The model
// knows what is read already of a prompt, and the tokens without a first event bound
// its errors.
func (s *server) wait(now time.Time) time.Duration {
	most := now.Add(s.readTime(s.unread + float64(s.others.reading)))
	if s.busyUntil.After(most) {
		s.busyUntil = most
	}
	return max(0, s.busyUntil.Sub(now))
}

// push adds tokens to what the server has to read.
func (s *server) push(now time.Time, tokens float64) {
	if s.filledAt.IsZero() {
		s.filledAt = now.Add(fillTime)
	}
	read := s.readTime(tokens)
	s.busyUntil = later(s.busyUntil, now).Add(read)
	s.recent.add(now, s.pool.pause, milliseconds(read))
}

// fillTime is how long requests take to bring an empty engine what it is home to.
const fillTime = 2 * time.Second

// filled reports whether the server is taken to hold what it is home to. A router that
// has just started cannot tell and takes it so.
func (s *server) filled(now time.Time) bool {
	return !s.filledAt.IsZero() && now.After(s.filledAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forget takes back what was learned of the server's pace long ago, so that one
// that was slow is tried again.
func (s *server) forget(now time.Time) {
	if s.pace > 1 && now.Sub(s.paced) > paceMemory {
		s.pace, s.paced = max(1, s.pace/2), now
	}
}

// readTime returns how long the server takes to read tokens.
func (s *server) readTime(tokens float64) time.Duration {
	return time.Duration(tokens * s.pool.perToken * s.pace * float64(time.Millisecond))
}

// claimed reports whether the server is kept for another request that waits for it.
func (s *server) claimed(w *waiter) bool {
	return s.claim != nil && s.claim != w && (w.spare() || w.from == s.claim.from || s.claim.since.Before(w.since))
}

// usable reports whether new requests may be sent to the server.
func (s *server) usable(now time.Time) bool {
	return s.listed && !s.Draining && !s.pool.placement.evacuated[s.Zone] && now.After(s.downUntil)
}

// lastingFailures is how many connections in a row fail until a server loses its role.
const lastingFailures = 3

// lasting reports whether the server keeps its role: short trouble of one router does not
// shift what all engines do.
func (s *server) lasting() bool {
	return s.listed && !s.Draining && !s.pool.placement.evacuated[s.Zone] && s.failures < lastingFailures
}

// failed takes in that the server could not be reached.
func (s *server) failed(now time.Time) {
	s.failures++
	pause := min(longPause, firstPause<<min(s.failures-1, 4))
	s.downUntil = now.Add(pause)
	s.warming = true // when it is back it may have started anew
}

// answered takes in that the server answered at all.
func (s *server) answered(now time.Time) {
	s.failures = 0
	if s.warming {
		s.warming = false
		s.chill(now, s.pool.service.Cold)
	}
}

// chill makes the server count as cold for a time from now on.
func (s *server) chill(now time.Time, d time.Duration) {
	if t := now.Add(d); t.After(s.coldUntil) {
		s.coldUntil = t
	}
}

// cold reports whether the server bears only a bounded rate of requests.
func (s *server) cold(now time.Time) bool {
	return s.pool.service.ColdPerSecond > 0 && (s.warming || now.Before(s.coldUntil))
}

// judge takes in an outcome and takes the server out for a time if it fails far more often than its peers.
func (s *server) judge(now time.Time, failed bool) (ejected bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.errorRate += errorGain * (value - s.errorRate)
	s.samples++
	if !failed || s.samples < ejectSamples || s.errorRate < ejectRate {
		return false
	}
	if s.errorRate < 2.5*s.pool.peersErrorRate(s)+0.1 {
		return false
	}
	s.downUntil = now.Add(ejectPause)
	s.errorRate, s.samples = ejectRate/2, ejectSamples/2
	return true
}
