package serverlimit

// This file defines Limit, one router's view of the limit of one backend server.

import "time"

// The bound on what a limited server may get from all routers: in any Window, BoundFactor times what its limit
// allows, and BoundSlack requests.
const (
	Window      = 4 * time.Second
	BoundFactor = 1.5
	BoundSlack  = 5
)

// usedFraction is the part of the bound that is used, since requests may be delayed on their way.
const usedFraction = 0.85

// Order is the place of a router in an order of all routers that may exist. Routers that see the same fleet have
// different positions.
type Order struct {
	Position int // from 0
	Routers  int
}

// Limit is what a router knows of a server's limit. Its zero value is a server that has named none.
//
// Invariant: while the server is limited, this router's requests to it are at least as long apart as its part of the
// rate says; see NextAt.
type Limit struct {
	perSecond  float64   // requests per second that the server takes from all routers; 0 if it names no limit
	answeredAt time.Time // when the newest known answer that names a limit, or its end, came
	since      time.Time // when the limit became known, without an end since
	lastSent   time.Time

	own, zone bool         // the newest answer came to this router; to one of its zone
	toldAt    [2]time.Time // when the limit was told last: to the zone, to other zones
	told      [2]float64   // what was told
}

// PerSecond returns the server's limit in requests per second, or 0 if it names none.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// Age returns how long the server has been limited, and how old the newest answer about it is.
func (l *Limit) Age(now time.Time) (limited, answer time.Duration) {
	return now.Sub(l.since), now.Sub(l.answeredAt)
}

// RecordAnswer records the limit that an answer to a request names, or 0 if it names none, and reports whether that
// changes what is known. Answers may come out of order: one without a limit ends it only if the request was
// sent after the newest answer with one had come.
func (l *Limit) RecordAnswer(now, sentAt time.Time, perSecond float64) (changed bool) {
	if perSecond <= 0 && (l.perSecond == 0 || !sentAt.After(l.answeredAt)) {
		return false
	}
	l.own, l.zone = true, true
	return l.set(now, now, perSecond)
}

// set replaces the limit by that of an answer that came at a time, and reports whether it differs.
func (l *Limit) set(now, answeredAt time.Time, perSecond float64) (changed bool) {
	if l.perSecond == 0 && perSecond > 0 {
		l.since = now
	}
	changed = l.perSecond != perSecond
	l.perSecond, l.answeredAt = perSecond, answeredAt
	return changed
}

// Forget records that the server has started anew: it has named no limit since.
func (l *Limit) Forget() { *l = Limit{} }

// Sent records a request to the server.
func (l *Limit) Sent(now time.Time) { l.lastSent = now }

// NextAt returns from when on this router may send the next request, and false if it may send none as
// long as the limit holds.
func (l *Limit) NextAt(o Order) (at time.Time, ok bool) {
	if l.perSecond <= 0 {
		return time.Time{}, true
	}
	senders := l.senders(o.Routers)
	if o.Position >= senders {
		return time.Time{}, false
	}
	interval := time.Duration(float64(senders) / l.perSecond * float64(time.Second))
	return l.lastSent.Add(interval), true
}

// Allows reports whether this router may send a request now.
func (l *Limit) Allows(now time.Time, o Order) bool {
	at, ok := l.NextAt(o)
	return ok && !now.Before(at)
}

// senders returns how many routers may send to the server. Each sends at an equal part of the rate, so in any
// Window all of them send at most what the limit allows, and one request each. There are so many that this is
// usedFraction of the bound, and at least one.
func (l *Limit) senders(routers int) int {
	allowed := l.perSecond * Window.Seconds()
	most := usedFraction*(BoundFactor*allowed+BoundSlack) - allowed
	return max(1, int(min(float64(routers), most)))
}
