package rollout

// This file defines what routers tell each other of an order.

import "time"

// Counts are the answers of one version on one route. They only grow.
type Counts struct {
	_        struct{} `cbor:",toarray"`
	Answered uint64   // with any result but Lost
	Failed   uint64
	Timed    uint64 // answers that did not fail and whose time counts as evidence
	Slow     uint64 // of Timed
}

// RouteCounts are the answers of both versions on one route.
type RouteCounts struct {
	_        struct{} `cbor:",toarray"`
	Route    string
	Old, New Counts
}

// Report is what one router knows at first hand of an order. Counters only grow; the other fields are those of the highest
// Sequence.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Router      string
	Incarnation uint64
	Order, Era  uint64
	Sequence    uint64 // of this report among those of the incarnation
	Routes      []RouteCounts
	OldInFlight int
	Requests    uint64 // that reached the service at this router
	Sent        uint64 // of them to the new version
	Bad         uint64 // answers of the new version that failed or were slow
	Stage       uint8
	Stopped     bool // the router found the version bad
}

// Report returns what this router tells the others, one report for each order.
func (r *Rollout) Report(now time.Time) []Report { return nil }

// Merge records what another router reports. Reports may be lost, repeated and come in any order.
func (r *Rollout) Merge(now time.Time, from Report) {}
