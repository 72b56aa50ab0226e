package fleet

// This file defines UsageCounters, which holds the cost that each service has served to each
// customer and exchanges it between routers.
//
// Routers of a zone send their counters to each other. The relay of each zone sends the zone aggregate to the other relays, and the
// sum of all other zones to the routers of its own zone.

import (
	"cmp"
	"slices"
	"time"
)

// CounterKey identifies the counter of the cost that a service has served to a customer.
type CounterKey struct {
	Service  string
	Customer string
}

// CounterID is a 32-bit hash of a CounterKey, used in messages. Keys with equal hashes share a
// counter; the probability that this happens among 4,160 keys is 1 in 500.
type CounterID uint32

// ID returns the hash of the key.
func (k CounterKey) ID() CounterID { return CounterID(rendezvousScore(k.Service, k.Customer)) }

// Scope is the set of routers whose served cost a stream of counters covers.
type Scope int

// Scopes of streams. A router sends ScopeRouter, the cost that it served itself, to its zone. A
// relay sends ScopeZone, the zone aggregate, to the other relays, and ScopeOtherZones,
// the sum of all other zones, to its zone.
const (
	ScopeRouter Scope = iota + 1
	ScopeZone
	ScopeOtherZones
)

// StreamID identifies a stream of counters. Counters are cumulative; they decrease only
// by corrections of estimated costs.
type StreamID struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Scope       Scope  `cbor:"3,keyasint"`
	RelayTerm   uint64 `cbor:"4,keyasint,omitempty"` // how many times the router has become a relay, 0 for ScopeRouter
}

// Counter is the value of one counter of a stream.
type Counter struct {
	_    struct{} `cbor:",toarray"`
	Key  CounterID
	Cost int64
}

// CounterUpdate is one message of a stream: the counters that changed since the previous one.
type CounterUpdate struct {
	Stream    StreamID      `cbor:"1,keyasint"`
	StreamAge time.Duration `cbor:"2,keyasint"` // time since the stream began, by the sender's clock
	Counters  []Counter     `cbor:"3,keyasint"`
}

// Charge is cost served by other routers that the local schedulers should add to a
// customer's counter. It is negative for a correction.
type Charge struct {
	Key  CounterID
	Cost float64
}

// stream holds the counters of a stream that this router sends, in units of cost.
type stream struct {
	counters  map[CounterID]float64
	changed   map[CounterID]struct{} // counters changed since the last message
	startedAt time.Time
}

func newStream(now time.Time) *stream {
	return &stream{counters: map[CounterID]float64{}, changed: map[CounterID]struct{}{}, startedAt: now}
}

// add adds to a counter and marks it as changed.
func (s *stream) add(k CounterID, cost float64) {
	s.counters[k] += cost
	s.changed[k] = struct{}{}
}

// UsageCounters merges the counters of served cost that routers send each other. It is not safe
// for concurrent use.
//
// Messages carry cumulative counters, not increments: the next message with the same
// counter compensates for a lost one, and a duplicate has no effect.
type UsageCounters struct {
	vm               string
	incarnation      uint64
	startedAt        time.Time
	isRelay          bool
	relayTerm        uint64
	relayTermStart   time.Time
	ownStream        *stream
	zoneStream       *stream // for other relays: cost served by this zone
	otherZonesStream *stream // for this zone: cost served by other zones
	received         map[StreamID]*receivedStream
}

// receivedStream holds the last counters received in a stream of another router.
type receivedStream struct {
	counters     map[CounterID]float64
	lastReceived time.Time
}

// NewUsageCounters returns the UsageCounters of a router that starts now, with all counters 0.
func NewUsageCounters(now time.Time, vm string, incarnation uint64) *UsageCounters {
	return &UsageCounters{
		vm: vm, incarnation: incarnation, startedAt: now,
		ownStream: newStream(now), zoneStream: newStream(now), otherZonesStream: newStream(now),
		received: map[StreamID]*receivedStream{},
	}
}

// Add adds cost served by the shards that this router leads.
func (u *UsageCounters) Add(k CounterID, cost float64) {
	u.ownStream.add(k, cost)
	if u.isRelay {
		u.zoneStream.add(k, cost)
	}
}

// SetRelay sets whether this router is the relay of its zone. Each of its terms as
// relay has new streams that start at 0, so that cost which an earlier relay
// forwarded is not counted again.
func (u *UsageCounters) SetRelay(now time.Time, relaying bool) {
	if relaying && !u.isRelay {
		u.relayTerm++
		u.relayTermStart = now
		u.zoneStream, u.otherZonesStream = newStream(now), newStream(now)
	}
	u.isRelay = relaying
}

// Merge applies a message and returns the charges for the local schedulers.
//
// If a stream began before this router received streams of its scope, the first message
// of the stream sets the baseline and gives no charges: cost served before that time
// does not count here. The comparison allows for one heartbeat interval of delay.
func (u *UsageCounters) Merge(now time.Time, msg CounterUpdate) []Charge {
	s := u.received[msg.Stream]
	baseline := false
	if s == nil {
		s = &receivedStream{counters: map[CounterID]float64{}}
		u.received[msg.Stream] = s
		u.dropSuperseded(msg.Stream)
		baseline = msg.StreamAge > now.Sub(u.receivingSince(msg.Stream.Scope))+HeartbeatInterval
	}
	s.lastReceived = now
	var out []Charge
	for _, x := range msg.Counters {
		k := x.Key
		d := float64(x.Cost) - s.counters[k]
		s.counters[k] = float64(x.Cost)
		if baseline || d == 0 {
			continue
		}
		out = append(out, Charge{k, d})
		u.forward(msg.Stream.Scope, k, d)
	}
	return out
}

// receivingSince returns the time from which this router receives the streams of a scope.
func (u *UsageCounters) receivingSince(scope Scope) time.Time {
	if scope == ScopeZone {
		return u.relayTermStart
	}
	return u.startedAt
}

// dropSuperseded deletes the streams that a new stream of the same router replaces:
// those of earlier incarnations, and those of earlier relay terms in the same scope.
func (u *UsageCounters) dropSuperseded(n StreamID) {
	for o := range u.received {
		older := o.Incarnation < n.Incarnation || o.Incarnation == n.Incarnation && o.Scope == n.Scope && o.RelayTerm < n.RelayTerm
		if o.VM == n.VM && older {
			delete(u.received, o)
		}
	}
}

// forward adds cost received in a message to the stream in which a relay forwards it: from its
// own zone to the other relays, from other zones to its own zone.
func (u *UsageCounters) forward(from Scope, k CounterID, cost float64) {
	if !u.isRelay {
		return
	}
	switch from {
	case ScopeRouter:
		u.zoneStream.add(k, cost)
	case ScopeZone:
		u.otherZonesStream.add(k, cost)
	}
}

// NextUpdate returns the next message of the stream that this router sends in a scope, or
// false if no counter changed since the previous one.
func (u *UsageCounters) NextUpdate(now time.Time, scope Scope) (CounterUpdate, bool) {
	s := u.streamOf(scope)
	if len(s.changed) == 0 {
		return CounterUpdate{}, false
	}
	m := CounterUpdate{Stream: u.originOf(scope), StreamAge: now.Sub(s.startedAt).Truncate(time.Second)}
	for k := range s.changed {
		m.Counters = append(m.Counters, Counter{Key: k, Cost: int64(s.counters[k])})
	}
	slices.SortFunc(m.Counters, func(x, y Counter) int { return cmp.Compare(x.Key, y.Key) })
	clear(s.changed)
	return m, true
}

// originOf returns the ID of the stream that this router sends in a scope.
func (u *UsageCounters) originOf(scope Scope) StreamID {
	o := StreamID{VM: u.vm, Incarnation: u.incarnation, Scope: scope}
	if scope != ScopeRouter {
		o.RelayTerm = u.relayTerm
	}
	return o
}

// streamOf returns the stream that this router sends in a scope.
func (u *UsageCounters) streamOf(scope Scope) *stream {
	switch scope {
	case ScopeZone:
		return u.zoneStream
	case ScopeOtherZones:
		return u.otherZonesStream
	}
	return u.ownStream
}

// streamRetention is how long the counters of a stream are kept after its last message.
const streamRetention = 24 * time.Hour

// Prune deletes the received streams without a message for longer than streamRetention.
func (u *UsageCounters) Prune(now time.Time) {
	for o, s := range u.received {
		if now.Sub(s.lastReceived) > streamRetention {
			delete(u.received, o)
		}
	}
}
