package rollout

// This file defines Rollout, a router's part in the roll-outs of all services.

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the durations that are recorded, in milliseconds.
const (
	longestMs      = 3_600_000
	durationDigits = 1
)

// maxReplaced is how many replaced orders of a service are remembered.
const maxReplaced = 8

// Options are what a Rollout depends on.
type Options struct {
	Limits
	Router      string // name of this router
	Incarnation uint64 // of this router's process
	Routers     int    // that may exist, until SetRouters is called
}

// Rollout is one router's part in the roll-outs of all services. It is safe for concurrent use.
type Rollout struct {
	mu       sync.Mutex
	options  Options
	services map[string]*service
	members  map[string]bool // nil until SetMembers is called
}

// service is what is known of one service, with or without an order.
type service struct {
	running   map[string]int          // requests and streams by version
	durations *hdrhistogram.Histogram // of requests and streams, in milliseconds
	trial     *trial                  // nil without an order
	replaced  []Order                 // that a store may bring back
	servers   int                     // usable ones of the ordered version; 0 if unknown
}

// New returns a Rollout that knows of no order.
func New(o Options) *Rollout {
	o.Routers = max(1, o.Routers)
	return &Rollout{options: o, services: map[string]*service{}}
}

// at returns what is known of a service.
func (r *Rollout) at(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{running: map[string]int{}}
		r.services[name] = s
	}
	return s
}

// SetOrder records an order as read from the store and reports whether it replaces what was known: the newest era wins, then the
// highest number. An order that was already replaced or removed comes back with an older copy of the store and changes nothing.
func (r *Rollout) SetOrder(now time.Time, o Order) (changed bool) {
	if !r.options.Enabled() || o.Service == "" || o.To == "" || o.Duration <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(o.Service)
	for _, past := range s.replaced {
		if past.sameAs(o) {
			return false
		}
	}
	if t := s.trial; t != nil {
		switch {
		case t.order.sameAs(o):
			t.setEra(o.Era)
			return false
		case o.Era < t.order.Era || o.Era == t.order.Era && o.Number <= t.order.Number:
			return false
		}
		complete := t.state == Complete && t.order.To == o.To
		s.replace()
		if complete { // the old servers have stopped: there is nothing to try, and the verdict is due for the new row
			s.trial = newTrial(now, r, s, o)
			s.trial.state, s.trial.endedAt = Complete, now
			return true
		}
	}
	s.trial = newTrial(now, r, s, o)
	return true
}

// sameAs reports whether two rows are the same order, of which one may have been read from a copy of the store in another era.
func (o Order) sameAs(other Order) bool {
	return o.Number == other.Number && o.To == other.To && o.Duration == other.Duration
}

// replace forgets the current order, so that it does not come back.
func (s *service) replace() {
	if len(s.replaced) == maxReplaced {
		s.replaced = append(s.replaced[:0], s.replaced[1:]...)
	}
	s.replaced = append(s.replaced, s.trial.order)
	s.trial = nil
}

// DropOrder records that the operator removed the order of a service.
func (r *Rollout) DropOrder(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.trial != nil {
		s.replace()
	}
}

// SetStatus records a verdict as read from the store. One of another order than the current one changes nothing. Serving means that
// the store has no verdict: a known one is final all the same, and due to be written again.
func (r *Rollout) SetStatus(now time.Time, st Status, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.trial == nil || !s.trial.is(st.Order, st.Era) || st.To != s.trial.order.To {
		return
	}
	t := s.trial
	t.stored = st.State != Serving
	if t.state == Serving && st.State != Serving {
		t.state, t.endedAt = st.State, now
	}
}

// SetRouters sets the number of routers that may exist.
func (r *Rollout) SetRouters(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Routers = max(1, n)
}

// SetMembers names the routers that are up, this one among them or not. Complete waits for the reports of each.
func (r *Rollout) SetMembers(now time.Time, names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = make(map[string]bool, len(names))
	for _, name := range names {
		r.members[name] = true
	}
}

// SetServers sets the number of usable servers that a service has of the version that its order names.
func (r *Rollout) SetServers(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(service).servers = max(0, n)
}

// Choose returns the version that one new request may go to, and counts the request. It is called just before the request is sent,
// since a request that waits longer may go to old servers after their end. A request that was given NewVersion must be followed by
// Sent, or by Release if it went nowhere or to another version.
func (r *Rollout) Choose(now time.Time, service string) Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.trial == nil {
		return AnyVersion
	}
	return s.trial.choose(now)
}

// Again returns the version that another attempt of a request may go to. It counts nothing: only a first attempt is part of the
// trial.
func (r *Rollout) Again(now time.Time, service string) Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	switch {
	case s == nil || s.trial == nil:
		return AnyVersion
	case s.trial.all():
		return NewVersion
	}
	return OldVersion
}

// Sent records that a request was sent to a server of a version.
func (r *Rollout) Sent(now time.Time, service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.trial != nil && version == s.trial.order.To {
		s.trial.sent++
		s.trial.reserved = max(0, s.trial.reserved-1)
	}
}

// SentUnchosen records that a request was sent to a server of a version that holds no choice: a stream that goes on at its version, or
// a further attempt.
func (r *Rollout) SentUnchosen(now time.Time, service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.trial != nil && version == s.trial.order.To {
		s.trial.sent++
	}
}

// Release gives back the choice NewVersion of a request that was not sent to the version.
func (r *Rollout) Release(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.trial != nil {
		s.trial.reserved = max(0, s.trial.reserved-1)
	}
}

// Began records that a request or stream runs on a server of a version. It has to be called with and without an order, so that
// what runs when an order comes is known. Each call is followed by one of Ended.
func (r *Rollout) Began(now time.Time, service, version, route string) {
	if !r.options.Enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(service).running[version]++
}

// Answered records the first byte of an answer that goes on, so that the evidence of a stream does not wait for its end. The
// stream's end is then recorded as Lost, or as Failed if it broke.
func (r *Rollout) Answered(now time.Time, service, version, route string, res Result, first, expected time.Duration) {
	if !r.options.Enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.trial != nil {
		s.trial.record(now, version, route, res, first, expected)
	}
}

// Ended records how a request or stream ended. first is the time from sending to the first byte of the answer, and expected what
// it would take at the same load and prompt size; 0 if unknown, and then res alone tells whether the answer was slow. Answers of
// cold servers are recorded with the time expected of a cold server, or as Untimed.
func (r *Rollout) Ended(now time.Time, service, version, route string, res Result, first, expected time.Duration) {
	if !r.options.Enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(service)
	if s.running[version]--; s.running[version] <= 0 {
		delete(s.running, version)
	}
	if s.trial != nil {
		s.trial.record(now, version, route, res, first, expected)
	}
}

// Lasted records how long a request or stream of a service ran. The shift allows for the 99th percentile.
func (r *Rollout) Lasted(service string, d time.Duration) {
	if !r.options.Enabled() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(service)
	if s.durations == nil {
		s.durations = hdrhistogram.New(1, longestMs, durationDigits)
	}
	s.durations.RecordValue(min(max(1, d.Milliseconds()), longestMs))
}

// longDuration returns the 99th percentile of the durations, or the default one if none were recorded.
func (s *service) longDuration() time.Duration {
	if s.durations == nil {
		return unknownDuration
	}
	return time.Duration(s.durations.ValueAtQuantile(99)) * time.Millisecond
}
