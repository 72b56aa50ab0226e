package placement

// This file defines how requests keep within what a backend server can sustain, or says that it takes, from all
// routers together: the rate of a cold server and the limit that a server names.

import (
	"time"

	"bulrushtally/serverlimit"
)

// withinLimit reports whether the limit that a server names, if it names one, allows one more request from this
// router now.
func (p *Placement) withinLimit(now time.Time, s *server) bool {
	return s.limit.Allows(now, p.order(s))
}

// order returns this router's place in an order of the routers that is another one for each server.
func (p *Placement) order(s *server) serverlimit.Order {
	return serverlimit.Order{Position: (p.rank + int(mix(1, uint64(s.StartedMs)))%p.routers + p.routers) % p.routers, Routers: p.routers}
}

// withinColdRate reports whether a server can sustain one more request now. The rate of a
// cold server is split evenly between routers. If it allows fewer requests than there
// are routers, only the first routers in an order that depends on the server may send one each.
func (p *Placement) withinColdRate(now time.Time, s *server) bool {
	if !s.cold(now) {
		return true
	}
	total := p.limits.UsableFraction * (s.pool.service.ColdPerSecond*p.limits.ColdRateFactor + float64(p.limits.ColdRateSlack))
	quota := int(total / float64(p.routers))
	if quota == 0 {
		if float64(p.order(s).Position) >= total {
			return false
		}
		quota = 1
	}
	return s.coldRequests.count(now) < quota
}

// recordSent counts a request of a cost that is sent to a server.
func (s *server) recordSent(now time.Time, cost float64) {
	if s.pool.arrivalCost == 0 {
		s.pool.arrivalCost = cost
	}
	s.pool.arrivalCost += arrivalCostGain * (cost - s.pool.arrivalCost)
	if s.cold(now) {
		s.coldRequests.add(now)
	}
	s.limit.Sent(now)
}

// arrivalCostGain is the weight of one request in pool.arrivalCost.
const arrivalCostGain = 0.02

// updateAvailable computes, once in a while, which fraction of the capacity the limits of model servers leave. Without
// it, shares would be cut from a capacity that there is not, and nobody would be over its share.
func (p *Placement) updateAvailable(now time.Time) {
	if now.Sub(p.availableAt) < bucketLength {
		return
	}
	p.availableAt = now
	servers, available := 0, 0.0
	for _, s := range p.servers {
		if s.listed && s.pool.service.ServesModels() {
			servers++
			available += 1 - s.takenByLimit(p.shares.capacity/float64(max(1, len(s.pool.servers))))
		}
	}
	p.shares.available = 1
	if servers > 0 {
		p.shares.available = available / float64(servers)
	}
}

// takenByLimit returns which fraction of a server's capacity in cost per second its limit takes away.
func (s *server) takenByLimit(capacity float64) float64 {
	if !s.limited() || capacity <= 0 || s.pool.arrivalCost <= 0 {
		return 0
	}
	return max(0, 1-s.limit.PerSecond()*s.pool.arrivalCost/capacity)
}

// LimitChange is a change of the limit that a backend server names.
type LimitChange struct {
	Server    string
	PerSecond float64       // 0 if it names none any more
	Limited   time.Duration // since the limit is known
	AnswerAge time.Duration // since the newest answer that this router knows of
	Reported  bool          // another router reported it
}

func (s *server) limitChange(now time.Time, reported bool) *LimitChange {
	limited, answer := s.limit.Age(now)
	return &LimitChange{Server: s.ID, PerSecond: s.limit.PerSecond(), Limited: limited, AnswerAge: answer, Reported: reported}
}

// LimitReports returns what is to be told to an audience of the limits that servers name.
func (p *Placement) LimitReports(now time.Time, audience int) (reports []serverlimit.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		if r, ok := s.limit.Tell(now, audience); ok {
			r.Server, r.StartedMs = id, s.StartedMs
			reports = append(reports, r)
		}
	}
	return reports
}

// ApplyLimitReports applies what another router or zone reports, and returns what it changes.
func (p *Placement) ApplyLimitReports(now time.Time, reports []serverlimit.Report, sameZone bool) (changes []*LimitChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		s := p.servers[r.Server]
		if s == nil || s.StartedMs != r.StartedMs || !s.limit.Merge(now, r, sameZone) {
			continue
		}
		changes = append(changes, s.limitChange(now, true))
	}
	return changes
}

// LimitedServers returns how many servers name a limit.
func (p *Placement) LimitedServers() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.limited() {
			n++
		}
	}
	return n
}

// limited reports whether the server names a limit.
func (s *server) limited() bool { return s.limit.PerSecond() > 0 }

// unservableUntil returns when the first server of the pool takes a request from this router, if all that are
// available are limited or want a pause; otherwise it returns the zero time. It is far in the future if none takes any.
func (p *pool) unservableUntil(now time.Time) (earliest time.Time) {
	for _, s := range p.servers {
		if !s.available(now) {
			continue
		}
		pausedUntil := s.status.PausedUntil()
		if !s.limited() && !pausedUntil.After(now) {
			return time.Time{}
		}
		at, ok := s.limit.NextAt(p.placement.order(s))
		if !ok {
			at = now.Add(unservableTime)
		}
		at = later(at, pausedUntil)
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// unservableTime is how far ahead a router looks that no limited server takes requests from.
const unservableTime = time.Minute
