package serverlimit

// This file defines what routers tell each other about a limit.

import "time"

// Report is a server's limit as one router tells it to others.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedMs int64         // start of the server that named the limit, in Unix milliseconds
	PerSecond float64       // 0 if the limit has ended
	Age       time.Duration // since the answer came
}

// Times of reports.
const (
	toldAgain   = time.Second     // after which a limit that holds on is told again
	tellingTime = 3 * time.Second // after which an answer is too old to be told
)

// Audiences of reports.
const (
	Zone       = iota // the routers of the own zone, or all in a small fleet
	OtherZones        // told by the one router that sends for its zone
)

// Tell returns what is to be told to an audience now, and false if there is nothing new. A router tells its own
// zone what it learned from its own answers, and other zones what its zone learned.
func (l *Limit) Tell(now time.Time, audience int) (r Report, ok bool) {
	learned := l.own
	if audience == OtherZones {
		learned = l.zone
	}
	age := now.Sub(l.answeredAt)
	if !learned || age > tellingTime || l.told[audience] == l.perSecond && now.Sub(l.toldAt[audience]) < toldAgain {
		return Report{}, false
	}
	l.told[audience], l.toldAt[audience] = l.perSecond, now
	return Report{PerSecond: l.perSecond, Age: age}, true
}

// Merge records a report of another router or zone about the server, and reports whether that changes what is
// known. The newest answer counts. A limit learned from a report is not told again to those who told it.
func (l *Limit) Merge(now time.Time, r Report, sameZone bool) (changed bool) {
	answeredAt := now.Add(-max(0, r.Age))
	if sameZone && r.PerSecond == l.perSecond {
		l.told[Zone], l.toldAt[Zone] = r.PerSecond, now // the zone knows
	}
	if !answeredAt.After(l.answeredAt) || r.PerSecond == 0 && l.perSecond == 0 {
		return false
	}
	l.own, l.zone = false, sameZone
	return l.set(now, answeredAt, max(0, r.PerSecond))
}
