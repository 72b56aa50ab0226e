package spillover

// This file defines Policy, the decision of one router for one service, and the View that it is made from.

import (
	"math"
	"time"
)

// Prices and limits of a Policy.
const (
	MinPriceMs        = 3.0        // covers a round trip between two zones, 1 to 2.8 ms
	preferenceMs      = 20.0       // wait at home that is accepted beyond the tie margin, while home has room
	maxPriceMs        = 50.0       // price at any tie margin
	ObjectiveFraction = 0.1        // of a request's latency objective, which the price may take at most
	stayGain          = 1.0 / 24   // part of the way to its target by which the share of requests that pay the high price moves in a period; with more it swings, since its effect is seen late
	staySnap          = 0.01       // difference at which the share takes its target
	utilizationStep   = 0.02       // smaller changes of the utilization of home are ignored
	roomBelow, fullAt = 0.40, 0.75 // utilization of home at which the share of requests that pay the high price begins to fall, and at which it is 0
	balancedBelow     = 0.50       // utilization of home up to which requests stay if the other zones are as busy as home
	unevenAt          = 0.30       // difference of the utilization of home and of the least busy zone from which on that zone's load keeps no request at home
	fullMargin        = 0.10       // by which the utilization of a zone must fall below fullAt until not all zones are full any more
	minHomeServers    = 3          // of each role; with fewer, one busy server is a large part of home
	freePart          = 0.5        // of the free capacity that is given out in a period, since a report may miss what the period before sent
	minPeriod         = 150 * time.Millisecond
	intervalsInPeriod = 3                // a report crosses two hops: from the router to its zone, and to other zones
	minSilence        = time.Second      // without a report, until a zone counts as cut off
	silentIntervals   = 4                // the same in intervals between reports
	maxSilence        = 10 * time.Second // without a report, from which on connections alone tell whether the zone's servers work
	returnTime        = 5 * time.Second  // in which the part of a zone that is back grows to the full one
)

// ZoneLoad is what a router knows of a service's servers in one zone.
type ZoneLoad struct {
	Name         string
	Servers      int           // usable servers that are not cold
	RoleServers  int           // those of the role that has the fewest; Servers if there are no roles
	Free         float64       // requests that the servers of a role could run beside those that they run, by the last reports; the least of the roles
	Utilization  float64       // of the busier role, 0 to 1
	Heard        bool          // a router of the zone has reported since this router's start
	ReportAge    time.Duration // time since the last report, if Heard
	OutOfService bool
	Running      int // requests of this router in flight there
	Routers      int // routers of the zone, which need no part of it; 0 if unknown
}

// View is what a Policy decides from. The slice is not kept.
type View struct {
	Home        string
	Zones       []ZoneLoad
	Versions    int // number of software versions that the service's usable servers have
	Routers     int // number of routers that may exist
	Rank        int // of this router among the live ones, from 0
	Interval    time.Duration
	TieMarginMs float64 // servers whose costs differ by less are equally good
}

// State says how a Policy prices other zones.
type State string

// States of a Policy. In the first five it is off.
const (
	OneZone         State = "one-zone"         // the service has usable servers in one zone at most
	FewHomeServers  State = "few-home-servers" // home has too few warm servers of a role
	SeveralVersions State = "several-versions" // a request may be unable to run at home
	Unheard         State = "unheard"          // no other router, or none of home, was heard lately
	AllFull         State = "all-full"         // no other zone has room, and home has little
	Room            State = "room"             // home has room
	Filling         State = "filling"
	Full            State = "full" // home is full
)

// zone is the decision for one zone.
type zone struct {
	name     string
	bounded  bool
	limit    int       // number of requests of this router in flight there from which on no more spill over
	spare    int       // the same for requests of customers above their fair share
	most     int       // the same for requests that home has no room for
	closed   bool      // nothing spilled over to it at the last update
	openedAt time.Time // when it was last found to be back; zero if it was open since the start
}

// Policy is one router's decision for one service. The zero value is off.
type Policy struct {
	state       State
	stay        float64 // share of requests that pay the high price
	highMs      float64 // high price
	utilization float64 // of home that the price follows
	period      int64   // number of the last period, counted in lengths of length
	length      time.Duration
	zones       []zone
}

// State returns the state at the last update.
func (p *Policy) State() State { return p.state }

// On reports whether the policy sets prices and bounds.
func (p *Policy) On() bool { return p.state == Room || p.state == Filling || p.state == Full }

// PriceMs returns the mean price of leaving home in milliseconds. It is MinPriceMs while the policy is off.
func (p *Policy) PriceMs() float64 {
	if !p.On() {
		return MinPriceMs
	}
	return MinPriceMs + p.stay*(p.highMs-MinPriceMs)
}

// Utilization returns the utilization of home that the price follows.
func (p *Policy) Utilization() float64 { return p.utilization }

// PriceFor returns the price in milliseconds for one request, given its latency objective and a random number from 0 to
// below 1. A share of the requests pays the high price, the others MinPriceMs. One price for all requests would send
// all of them home above the tie margin and none below it, and the load of home would oscillate.
func (p *Policy) PriceFor(objective time.Duration, random float64) float64 {
	if !p.On() || random >= p.stay {
		return MinPriceMs
	}
	return max(MinPriceMs, min(p.highMs, ObjectiveFraction*float64(objective)/float64(time.Millisecond)))
}

// Period returns the time between two updates, for an interval between two reports of a router.
func Period(interval time.Duration) time.Duration { return max(minPeriod, intervalsInPeriod*interval) }

// Due reports whether a new period has begun, or the interval between reports has changed.
func (p *Policy) Due(now time.Time, interval time.Duration) bool {
	length := Period(interval)
	return p.length != length || now.UnixNano()/int64(length) > p.period
}

// Update decides for a new period. It reports whether the state changed.
func (p *Policy) Update(now time.Time, v *View) (changed bool) {
	p.length = Period(v.Interval)
	p.period = now.UnixNano() / int64(p.length)
	before := p.state
	home, state := v.check()
	if state == "" && v.allFull(home, before == AllFull) {
		state = AllFull
	}
	if state != "" {
		p.state, p.stay, p.utilization = state, 0, 1
		p.updateZones(now, v)
		return p.state != before
	}
	if !p.On() {
		p.stay, p.utilization = 0, 1
	}
	if math.Abs(home.Utilization-p.utilization) >= utilizationStep {
		p.utilization = home.Utilization
	}
	p.highMs = min(maxPriceMs, v.TieMarginMs+preferenceMs)
	p.moveShare(v.leastOther(home))
	p.state = stateAt(p.utilization)
	p.updateZones(now, v)
	return p.state != before
}

// check returns the load of home and, if the policy must be off, the state that says why.
func (v *View) check() (home *ZoneLoad, state State) {
	others, heard := 0, false
	for i := range v.Zones {
		z := &v.Zones[i]
		heard = heard || z.Heard && z.ReportAge < v.silence()
		switch {
		case z.Name == v.Home:
			home = z
		case !z.OutOfService && z.Servers > 0:
			others++
		}
	}
	switch {
	case home == nil || others == 0:
		return nil, OneZone
	case home.OutOfService || home.RoleServers < minHomeServers:
		return nil, FewHomeServers
	case v.Versions > 1:
		return nil, SeveralVersions
	case !heard || home.Heard && home.ReportAge >= v.silence():
		return nil, Unheard
	}
	return home, ""
}

// allFull reports whether home has little room and no other open zone has any. There is no free capacity to split then, and a
// bound would leave requests waiting that a server has room for. wasFull is set if it was so at the last update.
func (v *View) allFull(home *ZoneLoad, wasFull bool) bool {
	limit := fullAt
	if wasFull {
		limit -= fullMargin
	}
	if home.Utilization <= roomBelow {
		return false
	}
	for i := range v.Zones {
		if z := &v.Zones[i]; z != home && !z.closed(v) && z.Utilization < limit {
			return false
		}
	}
	return true
}

// closed reports whether nothing spills over to the zone: it is out of service, cut off, or has no warm server.
func (l *ZoneLoad) closed(v *View) bool {
	return l.OutOfService || l.Servers == 0 || l.Heard && l.ReportAge >= v.silence()
}

// silence returns the time without a report from which on a zone counts as cut off.
func (v *View) silence() time.Duration { return max(minSilence, silentIntervals*v.Interval) }

// leastOther returns the utilization of the least busy open zone other than home.
func (v *View) leastOther(home *ZoneLoad) float64 {
	least := 1.0
	for i := range v.Zones {
		if z := &v.Zones[i]; z != home && !z.closed(v) {
			least = min(least, z.Utilization)
		}
	}
	return least
}

// moveShare moves the share of requests that pay the high price by a part of the way to what the utilization of home calls
// for. While home is not nearly full, requests also stay because no other zone is less busy: two busy zones would only
// exchange their requests otherwise.
func (p *Policy) moveShare(leastOther float64) {
	room := fall(p.utilization, roomBelow, fullAt)
	balanced := fall(p.utilization-leastOther, 0, unevenAt)
	target := max(room, min(balanced, fall(p.utilization, balancedBelow, fullAt)))
	if math.Abs(target-p.stay) < staySnap {
		p.stay = target
		return
	}
	p.stay += stayGain * (target - p.stay)
}

// fall falls linearly from 1 at from to 0 at to, and is constant outside of them.
func fall(x, from, to float64) float64 { return min(1, max(0, (to-x)/(to-from))) }

// stateAt returns the state at a utilization of home.
func stateAt(utilization float64) State {
	switch {
	case utilization <= roomBelow:
		return Room
	case utilization < fullAt:
		return Filling
	}
	return Full
}

// updateZones computes how much may be sent to each zone.
func (p *Policy) updateZones(now time.Time, v *View) {
	for i := range v.Zones {
		p.zone(v.Zones[i].Name).update(now, p.period, v, &v.Zones[i])
	}
}

// zone returns the decision for a zone, which it adds if necessary.
func (p *Policy) zone(name string) *zone {
	if z := p.find(name); z != nil {
		return z
	}
	p.zones = append(p.zones, zone{name: name})
	return &p.zones[len(p.zones)-1]
}

// find returns the decision for a zone, or nil.
func (p *Policy) find(name string) *zone {
	for i := range p.zones {
		if p.zones[i].name == name {
			return &p.zones[i]
		}
	}
	return nil
}

// update computes how much this router may send to the zone in a period. A zone that never reported is not bounded, since
// it may have no router, nor is one that has been silent for long.
func (z *zone) update(now time.Time, period int64, v *View, l *ZoneLoad) {
	closed := l.closed(v)
	if z.closed && !closed {
		z.openedAt = now
	}
	z.closed = closed
	z.bounded = l.Heard && l.ReportAge < maxSilence || l.OutOfService
	if closed {
		z.limit, z.spare, z.most = 0, 0, 0
		return
	}
	free := freePart * l.Free * (1 - min(1, float64(l.ReportAge)/float64(silentIntervals*max(v.Interval, minPeriod/intervalsInPeriod))))
	if !z.openedAt.IsZero() {
		free *= min(1, float64(now.Sub(z.openedAt))/float64(returnTime))
	}
	part := free / float64(max(1, v.Routers-l.Routers))
	z.limit, z.spare = l.Running+round(part, v, period), l.Running+round(part/2, v, period)
	z.most = z.limit
	if free >= amplePart*float64(max(1, v.Routers-l.Routers)) {
		z.most = max(z.limit, l.Running+int(needPart*free))
	}
}

// Limits of what one router may send to a zone beyond its part, since home has no room for it. A part is too little for a router
// that takes much more than the others, and most of them use none of theirs.
const (
	amplePart = 1.0 // requests in each part, from which on a zone has capacity for such a router
	needPart  = 0.5 // of the free capacity that is given out in a period
)

// turn is the fraction of the ranks by which the remainder of a split moves on with each period; the golden ratio spreads
// it evenly.
const turn = 0.6180339887498949

// round rounds a part of a split down or up by the router's rank. Over distinct ranks equal parts add up to less than their
// sum plus 1, and the remainder goes to other routers in each period.
func round(part float64, v *View, period int64) int {
	n := max(1, v.Routers)
	_, shift := math.Modf(float64(period%(1<<20)) * turn)
	offset := float64((v.Rank+int(shift*float64(n)))%n) / float64(n)
	return int(part + offset)
}

// AllowsNeeded reports whether a request that home has no room for may go to a zone, in which this router has a number of requests in
// flight.
func (p *Policy) AllowsNeeded(name string, running int) bool {
	if !p.On() {
		return true
	}
	z := p.find(name)
	return z == nil || !z.bounded || running < z.most
}

// Allows reports whether a request may spill over to a zone, in which this router has a number of requests in flight.
// Customers above their fair share (spare) get at most half of the part, so that the others find some left. Anything is
// allowed while the policy is off.
func (p *Policy) Allows(name string, running int, spare bool) bool {
	if !p.On() {
		return true
	}
	z := p.find(name)
	switch {
	case z == nil || !z.bounded:
		return true
	case spare:
		return running < z.spare
	}
	return running < z.limit
}
