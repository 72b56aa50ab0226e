package schedule

// This file defines Scheduler, the decisions of a shard's leader: virtual token
// counters order the customers, windows say which backend servers have room.

import (
	"math"
	"math/bits"
	"time"
)

// Ending says how a request that was sent to a backend server ended.
type Ending int

// The endings of a request at a backend server.
const (
	EndedWell     Ending = iota // the whole answer came
	EndedCanceled               // the caller left; the server is not at fault
	EndedRefused                // the server declined the request before running it
	EndedFailed                 // it failed while running
	EndedDead                   // the server cannot be reached
)

// Backend describes one backend server to a Scheduler.
type Backend struct {
	Name    string
	Slots   int // full window, in requests
	Leaving bool
}

// Ticket is one request at a Scheduler, waiting or running.
type Ticket struct {
	ID       uint64
	Customer string
	Digest   uint64 // identifies the request's content for a Quarantine
	Avoid    string // a backend server that must not run it, as after a failed attempt
	Suspect  bool   // it may crash a backend server, so it runs alone of its sort

	charged  float64
	cost     float64
	server   *server
	running  bool
	started  time.Time
	progress time.Time
}

// Cost returns the service that the request has received so far.
func (t *Ticket) Cost() float64 { return t.cost }

// Running reports whether the ticket was granted and has not finished.
func (t *Ticket) Running() bool { return t.running }

// server is a backend server with its window.
type server struct {
	Backend
	Window
}

// account is what a Scheduler knows of one customer.
type account struct {
	name     string
	weight   float64
	counter  float64 // service received over weight
	mask     uint32  // backend servers that it may use
	waiting  []*Ticket
	position int // in Scheduler.backlogged, -1 when not backlogged
	estimate float64
	lastUsed time.Time
}

// Options are a Scheduler's parameters.
type Options struct {
	// FirstEstimate is the cost charged on admission for a customer without history.
	FirstEstimate float64
	// MaxDebt bounds how far service elsewhere can put a customer behind the others here, in cost.
	MaxDebt float64
}

// Access says what configuration grants a customer in one shard.
type Access struct {
	Mask   uint32 // one bit for each backend server, by position
	Weight float64
}

// Scheduler orders one shard's waiting requests; it is not safe for concurrent use.
//
// Invariants: an account is in backlogged exactly when it has a waiting ticket;
// the sum of all windows' in-flight counts equals the number of running tickets.
type Scheduler struct {
	options    Options
	servers    []*server
	suspects   int // running suspects
	accounts   map[string]*account
	backlogged []*account
	floor      float64 // counter of the customer served last
	access     func(customer string) Access
	waiting    int
	charge     func(customer string, cost float64)
}

// New returns a Scheduler without backend servers; charge is told of each cost
// as it becomes known, also negative corrections.
func New(o Options, charge func(customer string, cost float64)) *Scheduler {
	return &Scheduler{options: o, accounts: map[string]*account{}, charge: charge}
}

// Configure sets the shard's backend servers and what each customer may use.
// Windows are kept by name; new servers start cold.
func (s *Scheduler) Configure(now time.Time, backends []Backend, access func(string) Access) {
	servers := make([]*server, len(backends))
	for i, b := range backends {
		servers[i] = s.server(b.Name)
		if servers[i] == nil {
			servers[i] = &server{Window: newWindow(now, b.Slots)}
		}
		servers[i].Backend = b
		servers[i].resize(b.Slots)
	}
	s.servers, s.access = servers, access
	for _, a := range s.accounts {
		s.refresh(a)
	}
}

func (s *Scheduler) refresh(a *account) {
	g := s.access(a.name)
	a.mask = g.Mask
	a.weight = g.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
}

// ResetCold returns every window to its cold size, as when leadership begins or the process was paused.
func (s *Scheduler) ResetCold(now time.Time) {
	for _, v := range s.servers {
		v.ResetCold(now)
	}
}

func (s *Scheduler) account(customer string, now time.Time) *account {
	a := s.accounts[customer]
	if a == nil {
		a = &account{name: customer, position: -1, estimate: s.options.FirstEstimate}
		s.accounts[customer] = a
		s.refresh(a)
	}
	a.lastUsed = now
	return a
}

// Enqueue adds a request to its customer's queue.
func (s *Scheduler) Enqueue(now time.Time, t *Ticket) {
	a := s.account(t.Customer, now)
	if len(a.waiting) == 0 {
		s.lift(a)
		a.position = len(s.backlogged)
		s.backlogged = append(s.backlogged, a)
	}
	a.waiting = append(a.waiting, t)
	s.waiting++
}

// Requeue puts a request back at the head of its customer's queue, after a
// failed attempt that may be repeated.
func (s *Scheduler) Requeue(now time.Time, t *Ticket) {
	s.Enqueue(now, t)
	w := s.accounts[t.Customer].waiting
	copy(w[1:], w[:len(w)-1])
	w[0] = t
}

// lift keeps a customer from saving up credit while it has nothing waiting.
func (s *Scheduler) lift(a *account) {
	least := s.floor
	if len(s.backlogged) > 0 {
		least = s.leastCounter()
	}
	a.counter = max(a.counter, least)
}

func (s *Scheduler) leastCounter() float64 {
	least := math.Inf(1)
	for _, a := range s.backlogged {
		least = min(least, a.counter)
	}
	return least
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (s *Scheduler) Cancel(t *Ticket) bool {
	a := s.accounts[t.Customer]
	if a == nil {
		return false
	}
	for i, w := range a.waiting {
		if w == t {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			s.dequeued(a)
			return true
		}
	}
	return false
}

func (s *Scheduler) dequeued(a *account) {
	s.waiting--
	if len(a.waiting) > 0 {
		return
	}
	last := s.backlogged[len(s.backlogged)-1]
	s.backlogged[a.position] = last
	last.position = a.position
	s.backlogged = s.backlogged[:len(s.backlogged)-1]
	a.position = -1
}

// Grant says that a request goes to a backend server now.
type Grant struct {
	Ticket  *Ticket
	Backend string
}

// Next grants the waiting request that should run now, if any can.
//
// Of the backlogged customers that may use a backend server with room, the one
// with the least counter goes first; of those servers, the least loaded runs it.
func (s *Scheduler) Next(now time.Time) (Grant, bool) {
	free := s.freeMask(now)
	if free == 0 {
		return Grant{}, false
	}
	var best *account
	for _, a := range s.backlogged {
		if (best == nil || a.counter < best.counter) && s.runnable(a, free) {
			best = a
		}
	}
	if best == nil {
		return Grant{}, false
	}
	return s.grant(now, best, free), true
}

func (s *Scheduler) freeMask(now time.Time) uint32 {
	var m uint32
	for i, v := range s.servers {
		if !v.Leaving && v.Free(now) > 0 {
			m |= 1 << i
		}
	}
	return m
}

func (s *Scheduler) runnable(a *account, free uint32) bool {
	m := a.mask & free
	if m == 0 {
		return false
	}
	head := a.waiting[0]
	if head.Suspect && s.suspects > 0 {
		return false
	}
	return head.Avoid == "" || s.avoid(head, m) != 0
}

// avoid takes the server that a ticket avoids out of a mask, unless the ticket's
// customer has no other.
func (s *Scheduler) avoid(t *Ticket, m uint32) uint32 {
	a := s.accounts[t.Customer]
	for i, v := range s.servers {
		if v.Name == t.Avoid && a.mask&^(1<<i) != 0 {
			return m &^ (1 << i)
		}
	}
	return m
}

func (s *Scheduler) grant(now time.Time, a *account, free uint32) Grant {
	t := a.waiting[0]
	copy(a.waiting, a.waiting[1:])
	a.waiting[len(a.waiting)-1] = nil
	a.waiting = a.waiting[:len(a.waiting)-1]
	s.dequeued(a)

	m := a.mask & free
	if t.Avoid != "" {
		m = s.avoid(t, m)
	}
	t.server = s.leastLoaded(m)
	t.running = true
	t.started, t.progress = now, now
	t.cost, t.charged = 0, 0
	if t.Suspect {
		s.suspects++
	}
	t.server.start(now)
	s.floor = max(s.floor, a.counter)
	s.settle(a, t, a.estimate)
	return Grant{Ticket: t, Backend: t.server.Name}
}

func (s *Scheduler) leastLoaded(m uint32) *server {
	var best *server
	for ; m != 0; m &= m - 1 {
		v := s.servers[bits.TrailingZeros32(m)]
		if best == nil || float64(v.inflight)*best.size < float64(best.inflight)*v.size {
			best = v
		}
	}
	return best
}

// settle moves what a ticket has been charged to an amount.
func (s *Scheduler) settle(a *account, t *Ticket, amount float64) {
	d := amount - t.charged
	if d == 0 {
		return
	}
	t.charged = amount
	a.counter += d / a.weight
	s.charge(a.name, d)
}

// Progress takes in that a running request has received service up to a total cost.
func (s *Scheduler) Progress(now time.Time, t *Ticket, cost float64) {
	if !t.running {
		return
	}
	gap := now.Sub(t.progress)
	if t.cost == 0 {
		gap = 0 // the first token's time is not a time between tokens
	}
	t.progress = now
	t.cost = cost
	t.server.Window.progress(now, gap)
	if cost > t.charged {
		s.settle(s.account(t.Customer, now), t, cost)
	}
}

// Finish takes in that a running request ended, having cost a total.
func (s *Scheduler) Finish(now time.Time, t *Ticket, cost float64, e Ending) {
	if !t.running {
		return
	}
	t.running = false
	if t.Suspect {
		s.suspects--
	}
	t.server.finish(now, e)
	a := s.account(t.Customer, now)
	s.settle(a, t, cost)
	if e == EndedWell {
		a.estimate += (cost - a.estimate) / 8
	}
}

// Remote takes in service that a customer received at other shards.
func (s *Scheduler) Remote(now time.Time, customer string, cost float64) {
	a := s.account(customer, now)
	a.counter += cost / a.weight
	if a.position >= 0 && len(s.backlogged) > 1 {
		a.counter = min(a.counter, s.leastCounter()+s.options.MaxDebt/a.weight)
	}
}

// Report takes in a backend server's load report and says whether it proved to be cold again.
func (s *Scheduler) Report(now time.Time, backend string, r Report) bool {
	v := s.server(backend)
	return v != nil && v.report(now, r)
}

// Unreachable takes in that a backend server cannot be reached.
func (s *Scheduler) Unreachable(now time.Time, backend string) {
	if v := s.server(backend); v != nil && !v.down {
		v.down = true
		v.ResetCold(now)
	}
}

func (s *Scheduler) server(name string) *server {
	for _, v := range s.servers {
		if v.Name == name {
			return v
		}
	}
	return nil
}
