package placement

// This file defines how a router takes in what backend servers say of themselves in their answers, and what it tells
// other routers of it.

import (
	"time"

	"bulrushtally/serverstatus"
)

// Statement is what an answer of a backend server says of the server itself.
type Statement struct {
	LimitPerSecond float64       // requests that it takes from all routers together; 0 if it names no limit
	Leaving        bool          // it stops soon and wants no more requests
	Pause          time.Duration // for which it wants no request from this router; 0 if it asks for none
}

// StatementChange is what a statement changes in what the router knows of the server.
type StatementChange struct {
	Limit  *LimitChange  // nil if that is as before
	Leaves bool          // that it leaves is new
	Pause  time.Duration // that is new; 0 if there is none
}

// RecordStatement records what an answer of the backend server says of it. That is about the server that the request was
// placed on: the caller makes sure that no other one has answered.
func (g *Grant) RecordStatement(now time.Time, st Statement) (c StatementChange) {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	s := g.server
	if s.StartedMs == g.startedMs && s.limit.RecordAnswer(now, g.sentAt, st.LimitPerSecond) {
		c.Limit = s.limitChange(now, false)
	}
	if st.Leaving {
		c.Leaves = s.status.RecordLeaving(now, g.startedMs)
	}
	if st.Pause > 0 && s.status.RecordPause(now, g.startedMs, st.Pause) {
		c.Pause = st.Pause
	}
	return c
}

// LeavingReports returns what is to be told to an audience of servers that leave.
func (p *Placement) LeavingReports(now time.Time, audience int) []serverstatus.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses.Expire(now, func(id string) bool { return p.servers[id] != nil })
	return p.statuses.Reports(now, audience)
}

// ApplyLeavingReports applies what another router or zone reports, and returns the servers of which it is new that they
// leave.
func (p *Placement) ApplyLeavingReports(now time.Time, reports []serverstatus.Report, sameZone bool) (servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.statuses.Merge(now, reports, sameZone)
}
