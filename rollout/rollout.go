package rollout

// This file defines Rollout, a router's part in the roll-outs of all services.

import "time"

// Options are what a Rollout depends on.
type Options struct {
	Limits
	Router      string // name of this router
	Incarnation uint64 // of this router's process
	Routers     int    // that may exist, until SetRouters is called
}

// Rollout is one router's part in the roll-outs of all services.
type Rollout struct{ options Options }

// New returns a Rollout that knows of no order.
func New(o Options) *Rollout { return &Rollout{options: o} }

// SetOrder records an order as read from the store and reports whether it replaces what was known: the newest era wins, then the
// highest number.
func (r *Rollout) SetOrder(now time.Time, o Order) (changed bool) { return false }

// DropOrder records that the operator removed the order of a service.
func (r *Rollout) DropOrder(now time.Time, service string) {}

// SetStatus records a verdict as read from the store. One of another order than the current one changes nothing.
func (r *Rollout) SetStatus(now time.Time, s Status, service string) {}

// SetRouters sets the number of routers that may exist.
func (r *Rollout) SetRouters(n int) {}

// SetMembers names the routers that are up, this one among them or not. Complete waits for the reports of each.
func (r *Rollout) SetMembers(now time.Time, names []string) {}

// Choose returns the version that one new request may go to, and counts the request. A request that was given NewVersion must be followed
// by Sent, or by Release if it went nowhere or to another version.
func (r *Rollout) Choose(now time.Time, service string) Choice { return AnyVersion }

// Again returns the version that another attempt of a request may go to. It counts nothing: only a first attempt is part of the
// trial.
func (r *Rollout) Again(now time.Time, service string) Choice { return AnyVersion }

// Sent records that a request was sent to a server of a version.
func (r *Rollout) Sent(now time.Time, service, version string) {}

// Release gives back the choice NewVersion of a request that was not sent to the version.
func (r *Rollout) Release(now time.Time, service string) {}

// Began records that a request or stream runs on a server of a version. It has to be called with and without an order, so that
// what runs when an order comes is known. Each call is followed by one of Ended.
func (r *Rollout) Began(now time.Time, service, version, route string) {}

// Ended records how a request or stream ended. first is the time from sending to the first byte of the answer, and expected what
// it would take at the same load and prompt size; 0 if unknown, and then res alone tells whether the answer was slow.
func (r *Rollout) Ended(now time.Time, service, version, route string, res Result, first, expected time.Duration) {
}

// Verdict returns what this router would write to the store now, why, and whether it is due. A verdict that the store has is
// returned as not due.
func (r *Rollout) Verdict(now time.Time, service string) (v State, reason Reason, due bool) {
	return Serving, NoOrder, false
}

// Trial returns the version of a service's order, "" without one, and how many servers of it the trial uses; 0 means all.
func (r *Rollout) Trial(service string) (to string, servers int) { return "", 0 }
