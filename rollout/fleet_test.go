package rollout_test

// This file defines fleet, routers that answer requests at two versions and tell each other what they saw, on a clock of its own.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushtally/rollout"
)

const (
	service = "quotes"
	tick    = 10 * time.Millisecond

	versionServers = 10
)

var (
	start  = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	limits = rollout.Limits{ExposeShare: 0.1, ExposeSlack: 50, RollbackDelay: 5 * time.Second}
	order  = rollout.Order{Service: service, To: "v2", Number: 7, Era: 1, Began: start, Duration: 12 * time.Second}
)

// traffic is one request to a version: whether it fails, and how much longer than expected it takes.
type traffic func(f *fleet, route string) (fails bool, factor float64)

// fleet is a number of routers and one store.
type fleet struct {
	testing.TB
	routers  []*rollout.Rollout
	names    []string
	random   *rand.Rand
	now      time.Time
	perSec   float64 // requests of the whole fleet
	period   time.Duration
	lost     float64 // share of reports that are lost
	delay    time.Duration
	cut      func(f *fleet, from, to int) bool // whether reports of a router reach another one
	away     func(f *fleet, i int) bool        // whether a router does not reach the store
	old, new traffic
	takes    time.Duration // an answer at factor 1
	order    rollout.Order

	pending []event
	due     float64

	status            rollout.Status
	reason            rollout.Reason
	writtenAt         time.Time
	requests, exposed int // until the deadline
	bad               int
	fiftiethAt        time.Time
	lastSent          time.Time // to the new version, before the verdict
	oldRunning        int
	newRunning        int
	oldAtComplete     int
	resent            int // requests sent to the old version after Complete was written
}

// event is something that happens later.
type event struct {
	at time.Time
	do func()
}

// newFleet returns n routers that know the order.
func newFleet(t testing.TB, seed uint64, n int) *fleet {
	return newFleetWith(t, seed, n, func(*fleet) {})
}

// newFleetWith returns a fleet that differs from the usual one.
func newFleetWith(t testing.TB, seed uint64, n int, change func(f *fleet)) *fleet {
	f := &fleet{TB: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, perSec: 200, period: 200 * time.Millisecond, delay: 50 * time.Millisecond,
		cut:  func(*fleet, int, int) bool { return false },
		away: func(*fleet, int) bool { return false },
		old:  sound, new: sound, takes: 300 * time.Millisecond, order: order}
	change(f)
	for i := range n {
		f.add(fmt.Sprintf("router-%d", i), n)
	}
	return f
}

// add starts a router that reads the order.
func (f *fleet) add(name string, n int) {
	r := rollout.New(rollout.Options{Limits: limits, Router: name, Incarnation: uint64(len(f.routers) + 1), Routers: n})
	r.SetOrder(f.now, f.order)
	r.SetServers(service, versionServers)
	f.routers = append(f.routers, r)
	f.names = append(f.names, name)
	for _, other := range f.routers {
		other.SetMembers(f.now, f.names)
	}
}

// sound is a version without a fault; one route answers 14 of 100 with an error by design.
func sound(f *fleet, route string) (bool, float64) {
	fails := route == "flaky" && f.random.Float64() < 0.14
	return fails, 0.7 + 0.6*f.random.Float64() + 0.3*f.random.ExpFloat64()*f.random.Float64()
}

// failing returns a version that fails a share of its answers.
func failing(share float64) traffic {
	return func(f *fleet, route string) (bool, float64) {
		fails, factor := sound(f, route)
		return fails || f.random.Float64() < share, factor
	}
}

// slowBy returns a version that takes several times as long.
func slowBy(times float64) traffic {
	return func(f *fleet, route string) (bool, float64) {
		fails, factor := sound(f, route)
		return fails, factor * times
	}
}

// after returns a version that changes when a part of the order's time has passed.
func after(part float64, before, then traffic) traffic {
	return func(f *fleet, route string) (bool, float64) {
		if f.now.Sub(start) < time.Duration(part*float64(f.order.Duration)) {
			return before(f, route)
		}
		return then(f, route)
	}
}

// on returns a version that has a fault on one route only.
func on(name string, fault traffic) traffic {
	return func(f *fleet, route string) (bool, float64) {
		if route == name {
			return fault(f, route)
		}
		return sound(f, route)
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.happen()
		for f.due += f.perSec * tick.Seconds(); f.due >= 1; f.due-- {
			f.request()
		}
		if f.now.Sub(start)%f.period == 0 {
			f.report()
		}
		f.store()
	}
}

// happen does what is due.
func (f *fleet) happen() {
	rest := f.pending
	f.pending = nil
	for _, e := range rest {
		if e.at.After(f.now) {
			f.pending = append(f.pending, e)
			continue
		}
		e.do()
	}
}

// request sends one request through a router chosen at random.
func (f *fleet) request() {
	r := f.routers[f.random.IntN(len(f.routers))]
	route := [...]string{"plain", "plain", "plain", "flaky", "other", "other"}[f.random.IntN(6)]
	version, behaves := "v1", f.old
	if r.Choose(f.now, service) == rollout.NewVersion {
		version, behaves = "v2", f.new
	}
	r.Sent(f.now, service, version)
	r.Began(f.now, service, version, route)
	inTime := !f.now.After(start.Add(f.order.Duration))
	if inTime {
		f.requests++
	}
	switch {
	case version == "v1" && f.status.State == rollout.Complete:
		f.resent++
	case version == "v1":
		f.oldRunning++
	case f.status.State != rollout.Complete:
		f.lastSent = f.now
		if inTime {
			f.exposed++
		}
	}
	if version == "v2" {
		f.newRunning++
	}
	fails, factor := behaves(f, route)
	took := time.Duration(factor * float64(f.takes))
	f.pending = append(f.pending, event{f.now.Add(took), func() { f.answer(r, version, route, fails, took) }})
}

// answer ends a request.
func (f *fleet) answer(r *rollout.Rollout, version, route string, fails bool, took time.Duration) {
	res := rollout.OK
	if fails {
		res = rollout.Failed
	}
	r.Ended(f.now, service, version, route, res, took, f.takes)
	r.Lasted(service, took)
	if version == "v1" {
		f.oldRunning--
		return
	}
	f.newRunning--
	if fails || took > 3*f.takes {
		if f.bad++; f.bad == 50 {
			f.fiftiethAt = f.now
		}
	}
}

// report passes on what each router tells the others.
func (f *fleet) report() {
	for i, r := range f.routers {
		for _, report := range r.Report(f.now) {
			for j, other := range f.routers {
				if i == j || f.cut(f, i, j) || f.random.Float64() < f.lost {
					continue
				}
				late := time.Duration(f.random.Float64() * float64(f.delay))
				f.pending = append(f.pending, event{f.now.Add(late), func() { other.Merge(f.now, report) }})
			}
		}
	}
}

// store takes the first verdict and lets the routers that reach it read it.
func (f *fleet) store() {
	for i, r := range f.routers {
		if f.away(f, i) {
			continue
		}
		if state, reason, due := r.Verdict(f.now, service); due && f.status.State == rollout.Serving {
			f.status = rollout.Status{Order: f.order.Number, Era: f.order.Era, To: f.order.To, State: state}
			f.reason, f.writtenAt, f.oldAtComplete = reason, f.now, f.oldRunning
		}
	}
	if f.status.State == rollout.Serving || f.now.Before(f.writtenAt.Add(100*time.Millisecond)) {
		return
	}
	for i, r := range f.routers {
		if !f.away(f, i) {
			r.SetStatus(f.now, f.status, service)
		}
	}
}

// wantVerdict checks the verdict and that it was written in time.
func (f *fleet) wantVerdict(want rollout.State) {
	f.Helper()
	if got := f.status.State; got != want {
		f.Errorf("verdict: got %v (%v), want %v; %d of %d requests exposed, %d bad", got, f.reason, want, f.exposed, f.requests, f.bad)
		return
	}
	if took := f.writtenAt.Sub(start); took > f.order.Duration {
		f.Errorf("verdict %v: got after %v, want within %v", want, took, f.order.Duration)
	}
}

// wantBounds checks the bounds on what a bad version gets.
func (f *fleet) wantBounds() {
	f.Helper()
	if got, want := float64(f.exposed), limits.ExposeShare*float64(f.requests)+float64(limits.ExposeSlack); got > want {
		f.Errorf("exposed requests: got %v, want at most %v of %d", got, want, f.requests)
	}
	if !f.fiftiethAt.IsZero() {
		if got := f.lastSent.Sub(f.fiftiethAt); got > limits.RollbackDelay {
			f.Errorf("last request after the 50th bad answer: got %v, want at most %v", got, limits.RollbackDelay)
		}
	}
}
