package faultmatrix_test

// This file defines the rows and columns of the matrix (faults and steps) and which cells cannot
// occur.

// step is a column of the matrix: a point in the handling of a request or a configuration change.
type step string

// The steps of a request, in order. Some texts equal those of standin.Step.
const (
	stepAccept    step = "accept"     // the entry router accepted the connection
	stepIdentify  step = "identify"   // the caller's key is looked up
	stepClaim     step = "claim"      // the request's idempotency key is claimed
	stepQueue     step = "queue"      // the request waits at the entry router
	stepForward   step = "forward"    // the request is sent to the leader
	stepAdmit     step = "admit"      // the leader admits the request
	stepSend      step = "send"       // the request reaches the backend server
	stepFirstByte step = "first byte" // the request runs; nothing of the response is sent yet
	stepStream    step = "stream"     // part of the response is sent
	stepEnd       step = "end"        // all of the response but its end is sent
	stepReport    step = "report"     // the leader polls the backend server's load report
)

var requestSteps = []step{stepAccept, stepIdentify, stepClaim, stepQueue, stepForward, stepAdmit, stepSend, stepFirstByte, stepStream, stepEnd, stepReport}

// The steps of a change, in order.
const (
	stepReadHead step = "read"     // the log's head is read
	stepWrite    step = "write"    // the transaction reaches the table
	stepWritten  step = "written"  // the transaction took effect; the response is not sent yet
	stepSpread   step = "spread"   // the change is sent to another router
	stepInForce  step = "in force" // a router puts the change in force
)

var changeSteps = []step{stepReadHead, stepWrite, stepWritten, stepSpread, stepInForce}

// fault is a row of the matrix: a failure that the routers must tolerate.
type fault string

// The faults.
const (
	faultPartition              fault = "routers partitioned"
	faultRestart                fault = "router restarts with empty state"
	faultFlood                  fault = "a customer exceeds its queue limit"
	faultColdRestart            fault = "backend server restarts cold"
	faultPlatformDown           fault = "platform down"
	faultPlatformSlow           fault = "platform slow"
	faultResponseLost           fault = "platform's response to a write lost"
	faultLeaderPaused           fault = "leader paused past its timeout"
	faultConflictingChanges     fault = "two offices make conflicting changes"
	faultRequestCrash           fault = "request crashes its backend server"
	faultUnresponsiveConnection fault = "open connection stops responding"
)

var faults = []fault{faultPartition, faultRestart, faultFlood, faultColdRestart, faultPlatformDown, faultPlatformSlow, faultResponseLost, faultLeaderPaused, faultConflictingChanges, faultRequestCrash, faultUnresponsiveConnection}

// whyImpossible returns why a fault cannot occur at a step, or "" if it can.
func whyImpossible(f fault, s step) string {
	isChange := s == stepReadHead || s == stepWrite || s == stepWritten || s == stepSpread || s == stepInForce
	switch f {
	case faultFlood, faultColdRestart, faultRequestCrash, faultUnresponsiveConnection:
		if isChange {
			return "a configuration change involves no backend server and no request queue"
		}
	}
	beforeSend := s == stepAccept || s == stepIdentify || s == stepClaim || s == stepQueue || s == stepForward || s == stepAdmit
	if f == faultRequestCrash && (beforeSend || s == stepSend) {
		return "the request does not run on a backend server yet"
	}
	if f == faultRequestCrash && s == stepReport {
		return "polling a load report runs no request"
	}
	if f == faultUnresponsiveConnection && beforeSend {
		return "no connection to a backend server is open yet"
	}
	return ""
}

// whyExcluded returns why two faults cannot have a combined effect, or "" if they can.
func whyExcluded(a, b fault) string {
	both := map[fault]bool{a: true, b: true}
	if both[faultPlatformDown] && (both[faultPlatformSlow] || both[faultResponseLost]) {
		return "a platform that is down sends no response that could be late or lost"
	}
	return ""
}
