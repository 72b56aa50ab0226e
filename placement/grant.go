package placement

// This file defines Grant, the assignment of a request to a backend server, and the
// results of an attempt.

import (
	"time"

	"bulrushtally/serverload"
)

// AttemptResult is the result of one attempt to run a request on a backend server.
type AttemptResult uint8

// Results of an attempt.
const (
	Done        AttemptResult = iota // complete response
	ServerError                      // the server responded with an error, or without the required seal
	Broken                           // connection broke, or the response is invalid or incomplete
	Unreachable                      // no connection; the request did not run
	DialedLate                       // no connection, and this router was late itself; the request did not run
	Declined                         // the server responded that it did not run the request
	Abandoned                        // the caller disconnected
	TimedOut                         // the deadline passed before the response was complete
)

// Grant is the assignment of a request to a backend server. Exactly one of End and
// EndUnsent must be called to release the server's capacity.
type Grant struct {
	placement          *Placement
	server             *server
	request            *Request
	customer           *customer
	id                 string
	startedMs          int64  // start time of the server in Unix milliseconds; 0 if unknown
	version            string // of the server's software; "" if it was not certain
	serverVersion      string // of the server's software by its entry
	newVersion         bool   // that is the new version of a roll-out
	address            string
	kvFetchAddress     string // server to fetch KV cache from, or ""
	sentAt             time.Time
	prefillTokens      int           // prompt tokens that are expected to be missing in the server's KV cache
	prefillCost        float64       // in tokens
	queuedCost         float64       // prefill cost that was pending at the server before this request, in tokens
	expectedFirstEvent time.Duration // expected time to the first event
	firstEventSeen     bool
	firstEventAt       time.Time // when the first event arrived at this router; zero before
	late               bool      // an objective of the stream was missed
	migrated           bool      // prefill ran on another server
	statedLoad         serverload.Statement
	charge             charge // what its cost was charged to
	ended              bool   // End or EndUnsent was called
	onEnd              func(Ending)
}

// ID returns the ID of the backend server.
func (g *Grant) ID() string { return g.id }

// ServerStartedMs returns when the backend server started, in Unix milliseconds, or 0 if unknown.
func (g *Grant) ServerStartedMs() int64 { return g.startedMs }

// Version returns the version of the software that runs the request, or "" if it is not known for certain: the backend
// server may have started anew, as another version, before the request reached it.
func (g *Grant) Version() string {
	g.placement.mu.Lock()
	defer g.placement.mu.Unlock()
	if g.server.StartedMs != g.startedMs {
		return ""
	}
	return g.version
}

// Revoked reports whether the request must not be sent any more: since it was assigned, the backend server has begun to
// leave, has restarted or is not listed, or its availability zone was taken out of service. A request that runs at the
// server already may go on there.
func (g *Grant) Revoked(now time.Time) bool {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.firstEventSeen && !g.migrated {
		return false
	}
	return g.server.StartedMs != g.startedMs || !g.server.stays(now)
}

// SentAt returns when the request was assigned to the backend server.
func (g *Grant) SentAt() time.Time { return g.sentAt }

// SinceFirstEvent returns the time since the first event arrived from this backend server, or 0
// if none has.
func (g *Grant) SinceFirstEvent(now time.Time) time.Duration {
	g.placement.mu.Lock()
	defer g.placement.mu.Unlock()
	if g.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(g.firstEventAt)
}

// Address returns the IP address and port of the backend server.
func (g *Grant) Address() string { return g.address }

// KVFetchAddress returns the address of a backend server to fetch the KV cache of the
// shared segments from, or "".
func (g *Grant) KVFetchAddress() string { return g.kvFetchAddress }

// ExpectedFirstEvent returns the expected time from sending the request to its first event.
func (g *Grant) ExpectedFirstEvent() time.Duration { return g.expectedFirstEvent }

// PrefillTokens returns the number of prompt tokens that the server is expected to
// prefill, that is, those that are not in its KV cache.
func (g *Grant) PrefillTokens() int { return g.prefillTokens }

// RecordFirstEvent records that the first event, or the whole response, arrived. Calls after
// the first one, and after the end of the attempt, do nothing.
func (g *Grant) RecordFirstEvent(now time.Time) {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.firstEventSeen || g.ended {
		return
	}
	g.firstEventSeen, g.firstEventAt = true, now
	s := g.server
	s.prefilling--
	s.pendingCost = max(0, s.pendingCost-g.prefillCost)
	s.recordResponse(now)
	if g.request.PromptTokens > 0 {
		if !g.request.Late && now.After(g.request.Objective) {
			g.markLate()
		}
		s.pool.observePrefill(now, s, g.queuedCost+g.prefillCost, g.expectedFirstEvent, now.Sub(g.sentAt))
	}
	p.dispatch(now, s.pool)
}

// RecordLate records that the stream missed its objective for event gaps.
func (g *Grant) RecordLate() {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	g.markLate()
}

// markLate counts the stream as late, once.
func (g *Grant) markLate() {
	if !g.late {
		g.late = true
		g.server.pool.lateRate.add(true)
	}
}

// End records the result of the attempt, releases the server's capacity and assigns
// waiting requests. It reports whether the server is ejected for its error rate. Calls
// after the end of the attempt do nothing.
func (g *Grant) End(now time.Time, r AttemptResult) (ejected bool) {
	p := g.placement
	p.mu.Lock()
	if g.ended {
		p.mu.Unlock()
		return false
	}
	defer g.callOnEnd(g.ending(now, r, false))
	defer p.mu.Unlock()
	g.release()
	s := g.server
	switch r {
	case Done:
		s.recordResponse(now)
		g.observeTokenTime(now)
		g.observeTask(now)
		if g.request.PromptTokens > 0 && !g.late {
			s.pool.lateRate.add(false)
		}
		s.recordResult(now, false)
	case ServerError, TimedOut:
		ejected = s.recordResult(now, true)
	case Broken:
		// The server is not marked as down here: if it crashed, the next connection fails too
		// and is recorded as unreachable.
		ejected = s.recordResult(now, true)
	case Unreachable:
		g.refund(now)
		s.recordUnreachable(now)
	case DialedLate:
		g.refund(now)
		s.recordDialedLate(now)
	case Declined:
		g.refund(now)
		s.busyUntil = later(s.busyUntil, now.Add(declineBackoff))
		ejected = s.recordResult(now, true)
	}
	p.dispatch(now, s.pool)
	return ejected
}

// declineBackoff is the time for which a server that declined a request is modeled as busy.
const declineBackoff = 100 * time.Millisecond

// EndUnsent ends an attempt whose request was not sent to the server.
func (g *Grant) EndUnsent(now time.Time) {
	p := g.placement
	p.mu.Lock()
	if g.ended {
		p.mu.Unlock()
		return
	}
	defer g.callOnEnd(g.ending(now, Declined, true))
	defer p.mu.Unlock()
	g.release()
	g.refund(now)
	p.dispatch(now, g.server.pool)
}

// release ends the attempt and removes the request from the server's load.
func (g *Grant) release() {
	g.ended = true
	s := g.server
	s.running--
	if !g.firstEventSeen {
		s.prefilling--
		s.pendingCost = max(0, s.pendingCost-g.prefillCost)
	}
	s.kvTokens -= g.request.PromptTokens + g.request.OutputTokens
}

// refund subtracts the cost of a request that did not run from the customer's served cost
// and from the server's pending prefill.
func (g *Grant) refund(now time.Time) {
	if g.request.PromptTokens == 0 || g.migrated {
		return
	}
	g.customer.addServed(g.placement.shares.bucket(now), -g.request.cost(), g.charge)
	s := g.server
	s.busyUntil = s.busyUntil.Add(-s.prefillTime(now, g.prefillCost))
}
