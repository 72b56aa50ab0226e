package serverstatus

// This file defines Register, the statuses of all backend servers, and what routers tell each other of them.

import "time"

// Audiences of reports.
const (
	Zone       = iota // the routers of the own zone, or all in a small fleet
	OtherZones        // told by the one router that sends for its zone
	audiences
)

// Times of reports.
const (
	toldAgain   = 200 * time.Millisecond // after which a report is repeated, to make up for lost ones
	tellingTime = 3 * time.Second        // after which a statement is told no longer
)

// Report is a server's statement that it leaves as one router tells it to others.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedMs int64         // start of the server that said it, in Unix milliseconds
	Age       time.Duration // since the statement
}

// Register holds the statuses of backend servers, also of those that are not listed now: an entry that comes back must not
// bring back a server that leaves. Its zero value is not usable. It is not safe for concurrent use.
type Register struct{ servers map[string]*Status }

// NewRegister returns a Register that knows of no server.
func NewRegister() *Register { return &Register{servers: map[string]*Status{}} }

// Of returns the status of a server, which stays the same one until Expire drops it.
func (r *Register) Of(id string) *Status {
	s := r.servers[id]
	if s == nil {
		s = &Status{}
		r.servers[id] = s
	}
	return s
}

// Expire drops the statuses of servers that are not listed and do not leave.
func (r *Register) Expire(now time.Time, listed func(id string) bool) {
	for id, s := range r.servers {
		if !s.Leaving(now) && !listed(id) {
			delete(r.servers, id)
		}
	}
}

// Reports returns what is to be told to an audience now.
func (r *Register) Reports(now time.Time, audience int) (reports []Report) {
	for id, s := range r.servers {
		age := now.Sub(s.leavingAt)
		if !s.learned[audience] || age > tellingTime || now.Sub(s.toldAt[audience]) < toldAgain {
			continue
		}
		s.toldAt[audience] = now
		reports = append(reports, Report{Server: id, StartedMs: s.startedMs, Age: age})
	}
	return reports
}

// Merge records what another router or zone reports and returns the servers of which that is new. What the routers of this
// zone tell each other, its sender tells the other zones.
func (r *Register) Merge(now time.Time, reports []Report, sameZone bool) (changed []string) {
	for _, report := range reports {
		s := r.Of(report.Server)
		if !s.admit(report.StartedMs) {
			continue
		}
		if sameZone {
			s.toldAt[Zone] = now // the zone knows
		}
		if s.setLeaving(now, now.Add(-max(0, report.Age))) {
			s.learned[OtherZones] = sameZone
			changed = append(changed, report.Server)
		}
	}
	return changed
}
