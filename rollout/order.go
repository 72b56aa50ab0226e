package rollout

// This file defines orders, their stored verdicts and the limits that roll-outs keep.

import "time"

// Order tells a service to move to one software version of its backend servers.
type Order struct {
	Service, To string
	Number      uint64 // version of the order's row in the store
	Era         uint64 // of the store
	Began       time.Time
	Duration    time.Duration // until the deadline
}

// Limits bound what a bad version may get, summed over all routers. Roll-outs are off unless all are positive.
type Limits struct {
	ExposeShare   float64       // of the service's requests between the order and its deadline
	ExposeSlack   int           // requests beyond that share
	RollbackDelay time.Duration // from the 50th bad answer to the last request sent
}

// Enabled reports whether the deployment has bounds for roll-outs.
func (l Limits) Enabled() bool { return l.ExposeShare > 0 && l.ExposeSlack > 0 && l.RollbackDelay > 0 }

// State is how far an order is. It goes from Serving to Complete or to RolledBack, and never back.
type State uint8

// The states of an order.
const (
	Serving State = iota
	Complete
	RolledBack
)

// Status is the stored verdict of an order.
type Status struct {
	Order, Era uint64 // the order's Number and Era
	To         string
	State      State
}

// Result is how a request ended, as evidence for or against the version that ran it.
type Result uint8

// The results of a request. An answer given as OK counts as slow too if its first byte came late enough after the expected time.
const (
	OK Result = iota
	Slow
	Failed
	Lost    // no answer: no evidence by itself
	Untimed // an answer without a fault whose time says nothing, as that of a cold server
)

// Choice is the version that a request may go to.
type Choice uint8

// The choices.
const (
	AnyVersion Choice = iota // no order restricts the request
	OldVersion               // any version but the one that the order names
	NewVersion               // the version that the order names
)

// Reason is why a verdict is due or not.
type Reason uint8

// The reasons of verdicts.
const (
	NoOrder       Reason = iota // no order is known, or roll-outs are off
	Stored                      // the store has the verdict
	OnTrial                     // too little evidence, or too early
	Shifting                    // the version gets more from second to second
	OldInFlight                 // requests or streams still run on the old servers
	Drained                     // the version has all requests and the old servers have none: Complete
	MoreFailures                // the version fails more than the old one: RolledBack
	SlowerAnswers               // the version is slower than the old one: RolledBack
	TooManyBad                  // 50 bad answers, and the evidence does not clear the version: RolledBack
	PeersStopped                // another router found the version bad: RolledBack
	NoEvidence                  // the deadline passed without the evidence for Complete: RolledBack
)
