package placement

// This file defines server, a router's view of one backend server.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/serverlimit"
	"bulrushtally/serverload"
	"bulrushtally/serverstatus"
)

// ServerEntry is the platform's entry for a backend server.
type ServerEntry struct {
	ID        string
	Service   string
	Address   string // IP address and port
	Zone      string
	Slots     int           // number of requests that it runs at once; 0 if the service's value applies
	Draining  bool          // it takes no new requests
	ColdFor   time.Duration // remaining time for which it can sustain only a limited rate
	StartedMs int64         // start time in Unix milliseconds; 0 if unknown
	Version   string        // of its software, since that start; "" if unknown
}

// Gains and limits of what a router estimates for one backend server.
const (
	minSlowdown, maxSlowdown = 0.5, 12.0
	slowdownGain             = 0.08                   // exponent on the ratio of one observation
	maxSlowdownRatio         = 3.0                    // limit on the ratio of observed to expected time, and on its inverse
	slowdownMaxAge           = 3 * time.Second        // time without observations after which a slowdown is halved
	errorRateGain            = 0.12                   // weight of one attempt
	firstBackoff             = 250 * time.Millisecond // after a failed connection; doubles with each further one
	maxBackoff               = 2 * time.Second
	ejectTime                = 2500 * time.Millisecond // for failing much more often than the other servers of the pool
	ejectErrorRate           = 0.35                    // least error rate for which a server is ejected
	minEjectSamples          = 8                       // least number of attempts
)

// server is one backend server.
//
// Invariant: running and kvTokens count only this router's requests in flight.
type server struct {
	ServerEntry
	hash           uint64 // of the ID
	pool           *pool
	listed         bool // the platform lists it
	coldUntil      time.Time
	downUntil      time.Time // no new requests until then
	failures       int       // consecutive failed connections
	lateDials      int       // consecutive failed connections of times when this router was late itself
	maybeRestarted bool      // it was unreachable and may have restarted, so it counts as cold
	doubtedAt      time.Time // when it was last found unreachable since its entry was written, so that the entry may be of an older start
	prefillServer  bool      // its role in a disaggregated pool
	zoneIndex      int       // of its zone in the pool's spilloverState, counted from 1; 0 before it is in it
	onTrial        bool      // it takes part in the trial of the new version of a roll-out

	cacheFilledAt time.Time             // from then on its KV cache is taken to hold the segments that it owns; zero while nothing was prefilled
	busyUntil     time.Time             // modeled time at which the server will have prefilled all prompts that any router sent to it; nothing is pending if it has passed
	recentPrefill spanSum               // milliseconds of prefill that were sent within the last event gap
	slowdown      float64               // ratio of its prefill time to that of the pool's model
	slowdownAt    time.Time             // last update of slowdown
	running       int                   // requests in flight
	prefilling    int                   // those of them without a first event
	pendingCost   float64               // prefill cost of those, in tokens
	sentAt        time.Time             // time of this router's last request
	kvTokens      int                   // prompt and output tokens of the requests in flight
	remoteLoads   map[string]remoteLoad // by router
	remoteTotal   remoteLoad            // sum of remoteLoads
	reservedFor   *waiter               // request that waits for capacity of this server, or nil; see reservedForOther

	segments       *segmentCache
	errorRate      float64     // moving average, 0 to 1
	errorSamples   int         // number of attempts in errorRate
	coldRequests   eventWindow // requests sent while the server was cold
	limit          serverlimit.Limit
	stated         serverload.Server // load and speed, by its own statements
	loggedSlowness float64           // lasting slowness that was told last

	rejectedLoads        int // statements of load that were rejected since rejectedLoadLoggedAt
	rejectedLoadLoggedAt time.Time
	status               *serverstatus.Status // outlives the listing

	sentTokens     uint64 // prefill tokens sent by this router, a counter in its summaries
	zoneSentTokens uint64 // the same for the other routers of its zone, from their summaries
}

// remoteLoad is the load of one backend server in another router's last summary.
type remoteLoad struct {
	running, kvTokens int
	pendingPrefill    int // prefill cost that is still pending, in tokens
	unreachable       bool
}

// newServer returns a listed server without load.
func newServer(p *pool, entry ServerEntry) *server {
	return &server{
		ServerEntry: entry, hash: xxhash.Sum64String(entry.ID), pool: p, listed: true, slowdown: 1, loggedSlowness: 1, remoteLoads: map[string]remoteLoad{},
		segments: newSegmentCache(p.segmentCacheTokens()), status: p.placement.statuses.Of(entry.ID),
	}
}

// load returns the requests in flight and their tokens, other routers' included.
func (s *server) load() (running, kvTokens int) {
	return s.running + s.remoteTotal.running, s.kvTokens + s.remoteTotal.kvTokens
}

// setRemoteLoad replaces the load that another router reported for the server.
func (s *server) setRemoteLoad(router string, l remoteLoad) {
	s.removeRemoteLoad(router)
	s.remoteLoads[router] = l
	s.remoteTotal.running += l.running
	s.remoteTotal.kvTokens += l.kvTokens
	s.remoteTotal.pendingPrefill += l.pendingPrefill
}

// removeRemoteLoad removes the load that another router reported for the server.
func (s *server) removeRemoteLoad(router string) {
	l := s.remoteLoads[router]
	delete(s.remoteLoads, router)
	s.remoteTotal.running -= l.running
	s.remoteTotal.kvTokens -= l.kvTokens
	s.remoteTotal.pendingPrefill -= l.pendingPrefill
}

// prefillWait returns the time until the server has prefilled all prompts that were sent
// to it. It lowers busyUntil to what the requests without a first event can take at most,
// which limits the error of the model.
func (s *server) prefillWait(now time.Time) time.Duration {
	pending := s.pendingCost + float64(s.remoteTotal.pendingPrefill)
	latest := now.Add(max(s.prefillTime(now, pending), s.lastingPrefillTime(now, pending)))
	if s.busyUntil.After(latest) {
		s.busyUntil = latest
	}
	return max(0, s.busyUntil.Sub(now))
}

// addPrefill adds a prefill cost in tokens to the server's pending prefill.
func (s *server) addPrefill(now time.Time, tokens float64) {
	if s.cacheFilledAt.IsZero() {
		s.cacheFilledAt = now.Add(cacheFillTime)
	}
	duration := s.prefillTime(now, tokens)
	s.busyUntil = later(s.busyUntil, now).Add(duration)
	s.recentPrefill.add(now, s.pool.eventGapMs, milliseconds(duration))
}

// cacheFillTime is the time in which requests fill an empty server's KV cache with the
// segments that it owns.
const cacheFillTime = 2 * time.Second

// cacheFilled reports whether the server's KV cache is taken to hold the segments that
// it owns. A router that has just started cannot know and assumes so.
func (s *server) cacheFilled(now time.Time) bool {
	return !s.cacheFilledAt.IsZero() && now.After(s.cacheFilledAt)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// decaySlowdown halves a slowdown above 1 that was not updated for slowdownMaxAge, so
// that a server which was slow gets requests again.
func (s *server) decaySlowdown(now time.Time) {
	if s.slowdown > 1 && now.Sub(s.slowdownAt) > slowdownMaxAge {
		s.slowdown, s.slowdownAt = max(1, s.slowdown/2), now
	}
}

// prefillTime returns how long the server takes for a prefill cost in tokens.
func (s *server) prefillTime(now time.Time, tokens float64) time.Duration {
	return time.Duration(tokens * s.pool.msPerToken * s.slowness(now) * float64(time.Millisecond))
}

// lastingPrefillTime is prefillTime without what the server states of this moment.
func (s *server) lastingPrefillTime(now time.Time, tokens float64) time.Duration {
	slowness := s.slowdown
	if s.pool.usesLoadStatements(now) {
		slowness = min(maxSlowdown, slowness*s.stated.Lasting())
	}
	return time.Duration(tokens * s.pool.msPerToken * slowness * float64(time.Millisecond))
}

// reservedForOther reports whether the server is reserved for another request which w
// must not overtake.
func (s *server) reservedForOther(w *waiter) bool {
	return s.reservedFor != nil && s.reservedFor != w && (w.spareOnly() || w.customer == s.reservedFor.customer || s.reservedFor.arrivedAt.Before(w.arrivedAt))
}

// usable reports whether new requests may be sent to the server.
func (s *server) usable(now time.Time) bool {
	return s.available(now) && now.After(s.status.PausedUntil())
}

// available reports whether new requests may be sent to the server, unless it wants a pause.
func (s *server) available(now time.Time) bool { return s.stays(now) && now.After(s.downUntil) }

// stays reports whether the server is one to use, whatever its state: listed, in service and not leaving.
func (s *server) stays(now time.Time) bool {
	return s.listed && !s.Draining && !s.status.Leaving(now) && !s.pool.placement.outOfService[s.Zone]
}

// roleLossFailures is the number of consecutive failed connections at which a server
// loses its role.
const roleLossFailures = 3

// keepsRole reports whether the server has a role in a disaggregated pool. It ignores
// backoff, so that a short failure seen by one router does not change the roles of all servers.
func (s *server) keepsRole(now time.Time) bool { return s.stays(now) && s.failures < roleLossFailures }

// recordUnreachable records a failed connection. No requests are sent to the server for
// a backoff time that doubles with each consecutive failure.
func (s *server) recordUnreachable(now time.Time) {
	s.failures++
	backoff := min(maxBackoff, firstBackoff<<min(s.failures-1, 4))
	s.downUntil = now.Add(backoff)
	s.maybeRestarted = true // it may have restarted by the time it can be reached
	s.doubtedAt = now
	s.stated.Forget()
}

// lateDialsForFailure is how many connections in a row must fail while this router is late itself until that counts as a
// failed connection.
const lateDialsForFailure = 3

// recordDialedLate records a connection that was not made in time while this router was late itself, so that the server may
// be sound.
func (s *server) recordDialedLate(now time.Time) {
	if s.lateDials++; s.lateDials >= lateDialsForFailure {
		s.lateDials = 0
		s.recordUnreachable(now)
	}
}

// recordResponse records that the server responded, whatever the response was. If it may
// have restarted before, it is cold from now on.
func (s *server) recordResponse(now time.Time) {
	s.failures, s.lateDials = 0, 0
	if s.maybeRestarted {
		s.maybeRestarted = false
		s.markCold(now, s.pool.service.ColdTime)
	}
}

// markCold makes the server cold for at least d from now.
func (s *server) markCold(now time.Time, d time.Duration) {
	if t := now.Add(d); t.After(s.coldUntil) {
		s.coldUntil = t
	}
}

// cold reports whether the server can sustain only a limited rate of requests.
func (s *server) cold(now time.Time) bool {
	return s.pool.service.ColdPerSecond > 0 && (s.maybeRestarted || now.Before(s.coldUntil))
}

// recordResult updates the error rate with the result of an attempt. It ejects the
// server for ejectTime, and returns true, if it fails much more often than the others.
func (s *server) recordResult(now time.Time, failed bool) (ejected bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.errorRate += errorRateGain * (value - s.errorRate)
	s.errorSamples++
	if !failed || s.errorSamples < minEjectSamples || s.errorRate < ejectErrorRate {
		return false
	}
	if s.errorRate < 2.5*s.pool.meanErrorRateExcept(s)+0.1 {
		return false
	}
	s.downUntil = now.Add(ejectTime)
	s.errorRate, s.errorSamples = ejectErrorRate/2, minEjectSamples/2
	return true
}
