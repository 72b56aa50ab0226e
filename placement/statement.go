package placement

// This file defines how a router takes in what backend servers say of themselves in their answers, and what it tells
// other routers of it.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"bulrushtally/serverload"
	"bulrushtally/serverstatus"
)

// Statement is what an answer of a backend server says of the server itself.
type Statement struct {
	LimitPerSecond float64       // requests that it takes from all routers together; 0 if it names no limit
	Leaving        bool          // it stops soon and wants no more requests
	Pause          time.Duration // for which it wants no request from this router; 0 if it asks for none
	Load           serverload.Statement
	RejectedLoad   string // statement of load that is malformed or implausible; "" if there is none
}

// StatementChange is what a statement changes in what the router knows of the server.
type StatementChange struct {
	Limit  *LimitChange  // nil if that is as before
	Leaves bool          // that it leaves is new
	Pause  time.Duration // that is new; 0 if there is none

	RejectedLoads int // number of rejected statements of load since the last one that was returned; 0 if none is to be told
}

// usualPercent is the time that work takes at a server that does not state it, as such statements have it.
const usualPercent = 100.0

// rejectedLoadPeriod is the least time between two log lines about rejected statements of load of one server.
const rejectedLoadPeriod = time.Minute

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
	if s.StartedMs == g.startedMs && st.Load.Valid() {
		s.pool.loadStatedAt = now
		s.stated.Record(now, &s.pool.stated, st.Load, s.knownRunning())
		g.statedLoad = st.Load
	}
	if st.RejectedLoad != "" {
		s.rejectedLoads++
		if now.Sub(s.rejectedLoadLoggedAt) >= rejectedLoadPeriod {
			c.RejectedLoads = s.rejectedLoads
			s.rejectedLoads, s.rejectedLoadLoggedAt = 0, now
		}
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

// loadStatementTime is how long after a statement of load the servers of a pool are compared by such statements.
const loadStatementTime = 10 * time.Second

// usesLoadStatements reports whether servers of the pool have stated their load lately.
func (p *pool) usesLoadStatements(now time.Time) bool {
	return now.Sub(p.loadStatedAt) < loadStatementTime
}

// refreshLoads updates what the statements of the pool's servers are compared with.
func (p *pool) refreshLoads(now time.Time) {
	if !p.stated.RefreshDue(now) || p.loadStatedAt.IsZero() {
		return
	}
	p.stated.Refresh(now, func(yield func(uint64, *serverload.Server) bool) {
		for _, s := range p.servers {
			if !yield(s.loadKey(), &s.stated) {
				return
			}
		}
	}, &p.placement.speedPeers)
	for _, s := range p.servers {
		if slowness := s.stated.Lasting(); math.Abs(slowness-s.loggedSlowness) >= slownessStep && len(p.placement.slownessChanges) < maxSlownessChanges {
			p.placement.slownessChanges = append(p.placement.slownessChanges, s.slownessChange(now, slowness))
			s.loggedSlowness = slowness
		}
	}
}

// loadKey returns the key of the server's start in reports of speeds.
func (s *server) loadKey() uint64 { return serverload.Key(s.ID, s.StartedMs) }

// SpeedReport returns the speeds that this router measured, for the other routers of its zone. It has no router, incarnation and
// sequence.
func (p *Placement) SpeedReport(now time.Time) *serverload.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &serverload.Report{}
	for _, pl := range p.pools {
		if !pl.usesLoadStatements(now) {
			continue
		}
		for _, s := range pl.servers {
			if speed, ok := s.stated.Speed(now, &pl.stated, s.loadKey()); ok {
				r.Speeds = append(r.Speeds, speed)
			}
		}
	}
	r.Limit()
	return r
}

// ApplySpeedReport applies what another router of the zone measured, and reports whether that is news. It takes effect for services whose servers state
// their load to this router too.
func (p *Placement) ApplySpeedReport(now time.Time, r *serverload.Report) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speedPeers.Merge(now, *r)
}

// SlownessChange is a change of what the router believes of how long a server takes against the others of its service.
type SlownessChange struct {
	Server    string
	StartedMs int64
	From, To  float64 // time that work takes, against the median of the service
	Evidence  serverload.Evidence
}

// Bounds of the changes of slowness that are told.
const (
	slownessStep       = 0.1 // least change
	maxSlownessChanges = 32  // that are kept between two calls of SlownessChanges; the others are told later
)

func (s *server) slownessChange(now time.Time, to float64) SlownessChange {
	return SlownessChange{Server: s.ID, StartedMs: s.StartedMs, From: s.loggedSlowness, To: to, Evidence: s.stated.Evidence(now, &s.pool.stated)}
}

// SlownessChanges returns the changes of lasting slowness since the last call, at most maxSlownessChanges.
func (p *Placement) SlownessChanges() []SlownessChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.slownessChanges
	p.slownessChanges = nil
	return changes
}

// LoadStatements returns how many servers have stated a load lately, and how many of them are slow, at least by slownessStep.
func (p *Placement) LoadStatements(now time.Time) (stated, slow int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.stated.Stated(now, &s.pool.stated) {
			stated++
		}
		if s.stated.Lasting() >= 1+slownessStep {
			slow++
		}
	}
	return stated, slow
}

// knownRunning returns the requests in flight at the server that this router knows of, its own and reported ones that are
// not likely to have ended.
func (s *server) knownRunning() int {
	if !s.pool.service.ServesModels() && s.pool.placement.summaryInterval >= plainRequestTime {
		return s.running
	}
	running, _ := s.load()
	return running
}

// minObservedPrefill is the least prefill time for which the time to a first event says something of the speed of a server.
const minObservedPrefill = 10 * time.Millisecond

// observeSpeed records how long a server took for prefill, against the pool's model.
func (p *pool) observeSpeed(now time.Time, s *server, tokens float64, took time.Duration) {
	modeled := tokens * p.msPerToken
	if !p.usesLoadStatements(now) || modeled < milliseconds(minObservedPrefill) {
		return
	}
	multiple := (milliseconds(took) - p.baseMs) / (modeled * s.stated.StatedSlowness(&p.stated))
	s.stated.Observe(now, &s.pool.stated, min(maxSlowdownRatio, max(1/maxSlowdownRatio, multiple)))
}

// observeTask records how long a plain server took for a task that it completed, if none waited for a slot there.
func (g *Grant) observeTask(now time.Time) {
	s := g.server
	if s.pool.service.ServesModels() || !g.statedLoad.Valid() || g.statedLoad.Waiting > 0 || !g.firstEventSeen || s.StartedMs != g.startedMs {
		return
	}
	s.stated.Observe(now, &s.pool.stated, milliseconds(g.firstEventAt.Sub(g.sentAt))/cmp.Or(float64(g.statedLoad.Percent), usualPercent))
}

// maxDeniedFraction is the fraction of the requests that routers know of which a server's statement may deny.
const maxDeniedFraction = 0.5

// expectedRunning returns the requests at the server by what it stated and by what the router knows of since then.
func (s *server) expectedRunning(now time.Time) int {
	known := s.knownRunning()
	if !s.pool.usesLoadStatements(now) {
		return known
	}
	unreported, _ := s.stated.Load(s.pool.stated.Moment(now), &s.pool.stated)
	unreported = max(unreported, -maxDeniedFraction*float64(known)) // a server that always claims to be idle would be filled by each router
	return max(s.running, known+int(math.Round(unreported)))
}

// slowness returns the time that prefill takes at the server against the pool's model, by observation and by its statements.
func (s *server) slowness(now time.Time) float64 {
	if !s.pool.usesLoadStatements(now) {
		return s.slowdown
	}
	return min(maxSlowdown, s.slowdown*s.stated.Slowness(s.pool.stated.Moment(now), &s.pool.stated))
}

// statedCost returns the cost of a request at a plain server, by its slowness and its load. Where the load is uncertain, it is
// chosen at random from what it may be, so that routers with the same old statements do not all choose the same server.
func (s *server) statedCost(now serverload.Moment) float64 {
	unreported, deviation := s.stated.Load(now, &s.pool.stated)
	unreported += deviation * loadNoise * (2*rand.Float64() - 1)
	running := max(float64(s.running), float64(s.knownRunning())+unreported)
	load := (running + 1) / float64(s.slotCount())
	return s.stated.Slowness(now, &s.pool.stated) * (1 + load*load)
}

// loadNoise is the bound of the random difference in load, in standard deviations. In simulated time, with 86 routers and 90 servers of
// uneven speed, a bound of 1.73 made 0.40 of the requests late at a utilization of 0.9, and one of 0.43 made 0.004 late at 0.95.
const loadNoise = 0.43
