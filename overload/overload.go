package overload

// This file defines Detector, which finds an overload in the counts of accepted and rejected connections.

import (
	"sync"
	"time"
)

// Conditions of an overload, and how long the router keeps new connections away.
const (
	window               = time.Second      // over which connections are counted
	windowsToBegin       = 2                // overloaded windows in a row after which the router asks for no new connections
	minRejectedPerSecond = 100              // connections in an overloaded window: below that, rejecting takes little of a small router's processor time
	minRejectedPart      = 0.5              // part of the new connections that are rejected in an overloaded window
	firstPause           = 5 * time.Second  // without new connections; the load balancer needs two seconds of it to notice
	maxPause             = 20 * time.Second // doubled from firstPause if the overload comes back
	memory               = 10 * time.Second // after a pause, for which an overload counts as the same one
	minZoneRouters       = 4                // with fewer in the zone, the others could not take over the connections of one
)

// Detector decides whether a router is overloaded by new connections. Its zero value is ready for use. It is safe for concurrent
// use.
type Detector struct {
	mu         sync.Mutex
	windowAt   time.Time // start of the current window
	accepted   int       // connections since then
	rejected   int       // connections since then that were rejected unread
	overloaded int       // windows in a row that were overloaded
	pausedAt   time.Time
	pause      time.Duration // length of the last pause; 0 before the first
}

// Record counts connections that were accepted, and those that were rejected unread. It reports whether a pause begins.
func (d *Detector) Record(now time.Time, accepted, rejected int) (begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.windowAt) >= window {
		begins = d.endWindow(now)
	}
	d.accepted += accepted
	d.rejected += rejected
	return begins
}

// endWindow evaluates the counts of the current window and begins the next one. It reports whether a pause begins.
func (d *Detector) endWindow(now time.Time) (begins bool) {
	perSecond := float64(d.rejected) / now.Sub(d.windowAt).Seconds()
	overloaded := perSecond >= minRejectedPerSecond && float64(d.rejected) >= minRejectedPart*float64(d.accepted+d.rejected)
	d.windowAt, d.accepted, d.rejected = now, 0, 0
	if !overloaded || d.resting(now) {
		d.overloaded = 0
		return false
	}
	if d.overloaded++; d.overloaded < windowsToBegin {
		return false
	}
	d.pause = d.nextPause(now)
	d.pausedAt, d.overloaded = now, 0
	return true
}

// nextPause returns the length of a pause that begins now.
func (d *Detector) nextPause(now time.Time) time.Duration {
	if d.pause == 0 || now.Sub(d.pausedAt.Add(d.pause)) > memory {
		return firstPause
	}
	return min(maxPause, 2*d.pause)
}

// resting reports whether a pause goes on, or ended less than its length ago; d.mu is held. The load balancer notices a pause late, so
// that what comes in it says nothing of the time after it, and routers that took turns in longer pauses would leave their zone to none.
func (d *Detector) resting(now time.Time) bool { return d.pause > 0 && now.Sub(d.pausedAt) < 2*d.pause }

// pausing reports whether a pause is going on; d.mu is held.
func (d *Detector) pausing(now time.Time) bool {
	return d.pause > 0 && now.Sub(d.pausedAt) < d.pause
}

// WantsConnections reports whether the load balancer should send new connections to the router, one of a number of reachable
// routers of its zone.
func (d *Detector) WantsConnections(now time.Time, zoneRouters int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return zoneRouters < minZoneRouters || !d.pausing(now)
}
