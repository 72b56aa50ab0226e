package fleet

// This file defines Accounts, the exchange of service sums between routers.

import (
	"cmp"
	"slices"
	"time"
)

// Key names one customer's service from one service.
type Key struct {
	Service  string
	Customer string
}

// KeyID is a Key's short form, in which it goes over links. Two keys with the same
// one would share a sum; of 4,160 keys, two do with a chance of 1 in 500.
type KeyID uint32

// ID returns the key's short form.
func (k Key) ID() KeyID { return KeyID(score(k.Service, k.Customer)) }

// Scope says whose service a stream of sums covers.
type Scope int

// The scopes of streams. A router sends Own to its zone, a relay sends Zone to
// other relays and World, the sum of all other zones, to its zone.
const (
	ScopeOwn Scope = iota + 1
	ScopeZone
	ScopeWorld
)

// Origin identifies a stream of sums, which only ever grow or are corrected.
type Origin struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Scope       Scope  `cbor:"3,keyasint"`
	Term        uint64 `cbor:"4,keyasint,omitempty"` // counts the times that a router became a relay
}

// Sum is a customer's service so far, within one stream.
type Sum struct {
	_    struct{} `cbor:",toarray"`
	Key  KeyID
	Cost int64
}

// Sums is one message of a stream: the sums that changed since the last.
type Sums struct {
	Origin Origin        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"` // since the stream began, on the sender's clock
	Sums   []Sum         `cbor:"3,keyasint"`
}

// Charge is service received elsewhere that the local schedulers should count.
type Charge struct {
	Key  KeyID
	Cost float64
}

// stream is a stream of sums that this router sends.
type stream struct {
	sums  map[KeyID]float64
	dirty map[KeyID]struct{}
	began time.Time
}

func newStream(now time.Time) *stream {
	return &stream{sums: map[KeyID]float64{}, dirty: map[KeyID]struct{}{}, began: now}
}

func (s *stream) add(k KeyID, cost float64) {
	s.sums[k] += cost
	s.dirty[k] = struct{}{}
}

// Accounts merges what routers tell each other about service given; it is not
// safe for concurrent use.
//
// Each message carries sums, not increments, so a message that is lost is made
// good by the next about the same customer, and one that comes twice adds nothing.
type Accounts struct {
	vm          string
	incarnation uint64
	began       time.Time
	relaying    bool
	term        uint64
	termBegan   time.Time
	own         *stream
	zone        *stream // for other relays: what this zone gave
	world       *stream // for the own zone: what other zones gave
	seen        map[Origin]*seenStream
}

type seenStream struct {
	sums  map[KeyID]float64
	heard time.Time
}

// NewAccounts returns the accounts of a router that starts now.
func NewAccounts(now time.Time, vm string, incarnation uint64) *Accounts {
	return &Accounts{
		vm: vm, incarnation: incarnation, began: now,
		own: newStream(now), zone: newStream(now), world: newStream(now),
		seen: map[Origin]*seenStream{},
	}
}

// Add takes in service that this router's shards gave.
func (a *Accounts) Add(k KeyID, cost float64) {
	a.own.add(k, cost)
	if a.relaying {
		a.zone.add(k, cost)
	}
}

// SetRelaying takes in whether this router is its zone's relay. Each term as a
// relay has streams of its own, which start at zero, so that what an earlier
// relay handed on is not counted again.
func (a *Accounts) SetRelaying(now time.Time, relaying bool) {
	if relaying && !a.relaying {
		a.term++
		a.termBegan = now
		a.zone, a.world = newStream(now), newStream(now)
	}
	a.relaying = relaying
}

// Merge takes in a message and returns what the local schedulers should count.
//
// The first message of a stream older than this router is a starting point, not
// service: what came before this router's time does not concern its counters.
func (a *Accounts) Merge(now time.Time, m Sums) []Charge {
	s := a.seen[m.Origin]
	baseline := false
	if s == nil {
		s = &seenStream{sums: map[KeyID]float64{}}
		a.seen[m.Origin] = s
		a.replaced(m.Origin)
		baseline = m.Age > now.Sub(a.listening(m.Origin.Scope))+HeartbeatInterval
	}
	s.heard = now
	var out []Charge
	for _, x := range m.Sums {
		k := x.Key
		d := float64(x.Cost) - s.sums[k]
		s.sums[k] = float64(x.Cost)
		if baseline || d == 0 {
			continue
		}
		out = append(out, Charge{k, d})
		a.pass(m.Origin.Scope, k, d)
	}
	return out
}

// listening returns since when this router has heard the streams of a scope.
func (a *Accounts) listening(scope Scope) time.Time {
	if scope == ScopeZone {
		return a.termBegan
	}
	return a.began
}

// replaced forgets the streams that a new one of the same router takes the place of.
func (a *Accounts) replaced(n Origin) {
	for o := range a.seen {
		older := o.Incarnation < n.Incarnation || o.Incarnation == n.Incarnation && o.Scope == n.Scope && o.Term < n.Term
		if o.VM == n.VM && older {
			delete(a.seen, o)
		}
	}
}

// pass adds to the streams in which a relay hands on what it heard.
func (a *Accounts) pass(from Scope, k KeyID, cost float64) {
	if !a.relaying {
		return
	}
	switch from {
	case ScopeOwn:
		a.zone.add(k, cost)
	case ScopeZone:
		a.world.add(k, cost)
	}
}

// Take returns the next message of a stream, or false if nothing changed.
func (a *Accounts) Take(now time.Time, scope Scope) (Sums, bool) {
	s := a.stream(scope)
	if len(s.dirty) == 0 {
		return Sums{}, false
	}
	m := Sums{Origin: a.origin(scope), Age: now.Sub(s.began).Truncate(time.Second)}
	for k := range s.dirty {
		m.Sums = append(m.Sums, Sum{Key: k, Cost: int64(s.sums[k])})
	}
	slices.SortFunc(m.Sums, func(x, y Sum) int { return cmp.Compare(x.Key, y.Key) })
	clear(s.dirty)
	return m, true
}

func (a *Accounts) origin(scope Scope) Origin {
	o := Origin{VM: a.vm, Incarnation: a.incarnation, Scope: scope}
	if scope != ScopeOwn {
		o.Term = a.term
	}
	return o
}

func (a *Accounts) stream(scope Scope) *stream {
	switch scope {
	case ScopeZone:
		return a.zone
	case ScopeWorld:
		return a.world
	}
	return a.own
}

// streamIdle is how long a silent stream's sums are kept.
const streamIdle = 24 * time.Hour

// Prune forgets streams that ended long ago.
func (a *Accounts) Prune(now time.Time) {
	for o, s := range a.seen {
		if now.Sub(s.heard) > streamIdle {
			delete(a.seen, o)
		}
	}
}
