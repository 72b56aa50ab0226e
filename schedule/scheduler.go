package schedule

// This file defines Scheduler, which makes a shard leader's decisions: virtual
// token counters order the customers, and windows limit the requests in flight to
// each backend server.

import (
	"math"
	"math/bits"
	"time"
)

// AttemptResult is the result of one attempt to run a request on a backend server.
type AttemptResult int

// Results of an attempt.
const (
	AttemptSucceeded   AttemptResult = iota // the response is complete
	AttemptCanceled                         // the request was canceled; the backend server is not at fault
	AttemptDeclined                         // the backend server declined the request without running it
	AttemptFailed                           // the request failed while running
	AttemptUnreachable                      // the backend server is unreachable
)

// Backend is the configuration of one backend server.
type Backend struct {
	Name    string
	Slots   int  // size of a fully grown window, in requests
	Leaving bool // it is draining and gets no new requests
}

// Ticket is one request at a Scheduler, waiting or running.
type Ticket struct {
	ID           uint64
	Customer     string
	Digest       uint64 // hash of the request, its key in a Quarantine
	AvoidBackend string // name of a backend server to avoid, for example after a failed attempt there
	Suspect      bool   // it may crash a backend server; a shard runs one suspect at a time

	chargedCost  float64 // cost added to the customer's counter so far
	cost         float64
	server       *server
	running      bool
	startedAt    time.Time
	lastProgress time.Time // time of the grant or of the last RecordProgress
}

// Cost returns the cost that the request's current or last attempt has been served.
func (t *Ticket) Cost() float64 { return t.cost }

// Running reports whether the request was granted and has not finished.
func (t *Ticket) Running() bool { return t.running }

// server is a backend server with its window.
type server struct {
	Backend
	Window
}

// account is a Scheduler's state for one customer.
type account struct {
	name         string
	weight       float64
	counter      float64 // virtual token counter: service received divided by weight
	mask         uint32  // backend servers that the customer may use, one bit each
	waiting      []*Ticket
	backlogIndex int     // index in Scheduler.backlogged, -1 if the customer has no waiting request
	costEstimate float64 // moving mean of the cost of completed requests
	lastUsed     time.Time
}

// Options holds the parameters of a Scheduler.
type Options struct {
	// FirstEstimate is the cost that is charged when a request is granted to a
	// customer none of whose requests has completed yet.
	FirstEstimate float64
	// MaxDebt limits how far service received at other shards can raise a backlogged
	// customer's counter above the least one here, in units of cost.
	MaxDebt float64
}

// Access is what the configuration grants a customer in one shard.
type Access struct {
	Mask   uint32  // backend servers that the customer may use; bit i stands for the i-th one
	Weight float64 // share of service relative to other customers
}

// Scheduler orders the waiting requests of one shard. It is not safe for concurrent use.
//
// Invariants: an account is in backlogged exactly when it has a waiting ticket;
// the sum of all windows' in-flight counts equals the number of running tickets.
type Scheduler struct {
	options         Options
	servers         []*server
	runningSuspects int // number of running requests with Ticket.Suspect set
	accounts        map[string]*account
	backlogged      []*account
	counterFloor    float64 // greatest counter at which a request was granted
	accessOf        func(customer string) Access
	waiting         int
	charge          func(customer string, cost float64)
}

// New returns a Scheduler without backend servers. It calls charge for each change
// of a customer's charged cost; corrections of an estimate can be negative.
func New(o Options, charge func(customer string, cost float64)) *Scheduler {
	return &Scheduler{options: o, accounts: map[string]*account{}, charge: charge}
}

// Configure sets the shard's backend servers and each customer's access.
// A backend server whose name is already known keeps its window; others start cold.
func (s *Scheduler) Configure(now time.Time, backends []Backend, access func(string) Access) {
	servers := make([]*server, len(backends))
	for i, b := range backends {
		servers[i] = s.findServer(b.Name)
		if servers[i] == nil {
			servers[i] = &server{Window: newWindow(now, b.Slots)}
		}
		servers[i].Backend = b
		servers[i].resize(b.Slots)
	}
	s.servers, s.accessOf = servers, access
	for _, a := range s.accounts {
		s.refreshAccess(a)
	}
}

// refreshAccess updates an account from the configuration. A weight that is not
// positive counts as 1.
func (s *Scheduler) refreshAccess(a *account) {
	access := s.accessOf(a.name)
	a.mask = access.Mask
	a.weight = access.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
}

// ResetCold resets every window to its cold size, for example when leadership
// begins or after the process was paused.
func (s *Scheduler) ResetCold(now time.Time) {
	for _, srv := range s.servers {
		srv.ResetCold(now)
	}
}

// account returns the account of a customer and creates it if there is none.
func (s *Scheduler) account(customer string, now time.Time) *account {
	a := s.accounts[customer]
	if a == nil {
		a = &account{name: customer, backlogIndex: -1, costEstimate: s.options.FirstEstimate}
		s.accounts[customer] = a
		s.refreshAccess(a)
	}
	a.lastUsed = now
	return a
}

// Enqueue appends a request to its customer's queue.
func (s *Scheduler) Enqueue(now time.Time, t *Ticket) {
	a := s.account(t.Customer, now)
	if len(a.waiting) == 0 {
		s.liftCounter(a)
		a.backlogIndex = len(s.backlogged)
		s.backlogged = append(s.backlogged, a)
	}
	a.waiting = append(a.waiting, t)
	s.waiting++
}

// Requeue puts a request at the head of its customer's queue, after a failed
// attempt that may be retried.
func (s *Scheduler) Requeue(now time.Time, t *Ticket) {
	s.Enqueue(now, t)
	w := s.accounts[t.Customer].waiting
	copy(w[1:], w[:len(w)-1])
	w[0] = t
}

// liftCounter raises the counter of a customer that becomes backlogged to the least
// one of the backlogged customers, or to counterFloor if there are none, so that a
// customer accumulates no credit while it has nothing waiting.
func (s *Scheduler) liftCounter(a *account) {
	least := s.counterFloor
	if len(s.backlogged) > 0 {
		least = s.leastCounter()
	}
	a.counter = max(a.counter, least)
}

// leastCounter returns the least counter of the backlogged customers.
func (s *Scheduler) leastCounter() float64 {
	least := math.Inf(1)
	for _, a := range s.backlogged {
		least = min(least, a.counter)
	}
	return least
}

// Cancel removes a request from its queue and reports whether it was still waiting.
func (s *Scheduler) Cancel(t *Ticket) bool {
	a := s.accounts[t.Customer]
	if a == nil {
		return false
	}
	for i, w := range a.waiting {
		if w == t {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			s.afterDequeue(a)
			return true
		}
	}
	return false
}

// afterDequeue updates the count of waiting requests after one left the queue of an
// account, and removes the account from backlogged if its queue is empty.
func (s *Scheduler) afterDequeue(a *account) {
	s.waiting--
	if len(a.waiting) > 0 {
		return
	}
	last := s.backlogged[len(s.backlogged)-1]
	s.backlogged[a.backlogIndex] = last
	last.backlogIndex = a.backlogIndex
	s.backlogged = s.backlogged[:len(s.backlogged)-1]
	a.backlogIndex = -1
}

// Grant is the decision to send a request to a backend server now.
type Grant struct {
	Ticket  *Ticket
	Backend string
}

// Next grants the next waiting request, or returns false if none can run now.
//
// The request comes from the backlogged customer with the least counter among those
// that may use a backend server with a free slot. It goes to the least loaded of
// these backend servers.
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

// freeMask returns the backend servers with a free slot, one bit each.
func (s *Scheduler) freeMask(now time.Time) uint32 {
	var m uint32
	for i, srv := range s.servers {
		if !srv.Leaving && srv.Free(now) > 0 {
			m |= 1 << i
		}
	}
	return m
}

// runnable reports whether the first request of an account can run now on a backend
// server of the mask free.
func (s *Scheduler) runnable(a *account, free uint32) bool {
	m := a.mask & free
	if m == 0 {
		return false
	}
	head := a.waiting[0]
	if head.Suspect && s.runningSuspects > 0 {
		return false
	}
	return head.AvoidBackend == "" || s.excludeAvoided(head, m) != 0
}

// excludeAvoided returns mask m without the backend server that the ticket avoids,
// or m unchanged if the customer may use no other.
func (s *Scheduler) excludeAvoided(t *Ticket, m uint32) uint32 {
	a := s.accounts[t.Customer]
	for i, srv := range s.servers {
		if srv.Name == t.AvoidBackend && a.mask&^(1<<i) != 0 {
			return m &^ (1 << i)
		}
	}
	return m
}

// grant sends the first request of an account to the least loaded backend server that
// it may use, and charges the estimated cost.
func (s *Scheduler) grant(now time.Time, a *account, free uint32) Grant {
	t := a.waiting[0]
	copy(a.waiting, a.waiting[1:])
	a.waiting[len(a.waiting)-1] = nil
	a.waiting = a.waiting[:len(a.waiting)-1]
	s.afterDequeue(a)

	m := a.mask & free
	if t.AvoidBackend != "" {
		m = s.excludeAvoided(t, m)
	}
	t.server = s.leastLoaded(m)
	t.running = true
	t.startedAt, t.lastProgress = now, now
	t.cost, t.chargedCost = 0, 0
	if t.Suspect {
		s.runningSuspects++
	}
	t.server.recordStart(now)
	s.counterFloor = max(s.counterFloor, a.counter)
	s.adjustCharge(a, t, a.costEstimate)
	return Grant{Ticket: t, Backend: t.server.Name}
}

// leastLoaded returns the backend server of mask m with the least ratio of requests in
// flight to window size.
func (s *Scheduler) leastLoaded(m uint32) *server {
	var best *server
	for ; m != 0; m &= m - 1 {
		srv := s.servers[bits.TrailingZeros32(m)]
		if best == nil || float64(srv.inflight)*best.size < float64(best.inflight)*srv.size {
			best = srv
		}
	}
	return best
}

// adjustCharge changes the cost charged for a ticket to amount, and the counter of
// its customer by the difference.
func (s *Scheduler) adjustCharge(a *account, t *Ticket, amount float64) {
	difference := amount - t.chargedCost
	if difference == 0 {
		return
	}
	t.chargedCost = amount
	a.counter += difference / a.weight
	s.charge(a.name, difference)
}

// RecordProgress records that the service received by a running request has reached cost.
func (s *Scheduler) RecordProgress(now time.Time, t *Ticket, cost float64) {
	if !t.running {
		return
	}
	gap := now.Sub(t.lastProgress)
	if t.cost == 0 {
		gap = 0 // the time to the first token is not an event gap
	}
	t.lastProgress = now
	t.cost = cost
	t.server.Window.recordProgress(now, gap)
	if cost > t.chargedCost {
		s.adjustCharge(s.account(t.Customer, now), t, cost)
	}
}

// RecordFinish records the end of a running request and its total cost.
func (s *Scheduler) RecordFinish(now time.Time, t *Ticket, cost float64, e AttemptResult) {
	if !t.running {
		return
	}
	t.running = false
	if t.Suspect {
		s.runningSuspects--
	}
	t.server.recordFinish(now, e)
	a := s.account(t.Customer, now)
	s.adjustCharge(a, t, cost)
	if e == AttemptSucceeded {
		a.costEstimate += (cost - a.costEstimate) / 8
	}
}

// AddRemoteService adds service that a customer received at other shards to its counter.
func (s *Scheduler) AddRemoteService(now time.Time, customer string, cost float64) {
	a := s.account(customer, now)
	a.counter += cost / a.weight
	if a.backlogIndex >= 0 && len(s.backlogged) > 1 {
		a.counter = min(a.counter, s.leastCounter()+s.options.MaxDebt/a.weight)
	}
}

// ApplyLoadReport applies a load report and returns whether it shows that the backend server
// is cold again, so that its window was reset.
func (s *Scheduler) ApplyLoadReport(now time.Time, backend string, r LoadReport) bool {
	srv := s.findServer(backend)
	return srv != nil && srv.applyReport(now, r)
}

// MarkUnreachable marks a backend server as unreachable until its next load report.
func (s *Scheduler) MarkUnreachable(now time.Time, backend string) {
	if srv := s.findServer(backend); srv != nil && !srv.down {
		srv.down = true
		srv.ResetCold(now)
	}
}

// findServer returns the backend server with a name, or nil.
func (s *Scheduler) findServer(name string) *server {
	for _, srv := range s.servers {
		if srv.Name == name {
			return srv
		}
	}
	return nil
}
