package faultmatrix_test

// This file defines the matrix's rows and columns, and says which cells cannot occur.

// step is a column: a point on the way of a request or of a change.
type step string

// The steps of a request, in order.
const (
	atAccept   step = "accept"   // the router has the connection
	atIdentify step = "identify" // the key is looked up
	atClaim    step = "claim"    // an idempotency key is claimed
	atQueue    step = "queue"    // it waits at the entry router
	atForward  step = "forward"  // it goes to the leader
	atAdmit    step = "admit"    // the leader admits it
	atSend     step = "send"     // it reaches the backend server
	atFirst    step = "first byte"
	atStream   step = "stream"
	atEnd      step = "end"
	atReport   step = "report" // the backend server reports its load
)

var requestSteps = []step{atAccept, atIdentify, atClaim, atQueue, atForward, atAdmit, atSend, atFirst, atStream, atEnd, atReport}

// The steps of a change, in order.
const (
	atRead   step = "read"   // the head is read
	atWrite  step = "write"  // the transaction arrives at the table
	atAnswer step = "answer" // the transaction took effect
	atSpread step = "spread" // the change goes to other routers
	atForce  step = "in force"
)

var changeSteps = []step{atRead, atWrite, atAnswer, atSpread, atForce}

// fault is a row: something of the brief's "What fails".
type fault string

// The faults.
const (
	partitioned fault = "routers partitioned"
	restarted   fault = "router restarts with no memory"
	flooded     fault = "a customer floods"
	coldAgain   fault = "backend server cold again"
	storeDown   fault = "platform down"
	storeSlow   fault = "platform slow"
	answerLost  fault = "platform's answer lost after the write"
	paused      fault = "leader paused past its time"
	officesRace fault = "offices race with conflicting changes"
	crashing    fault = "request crashes its backend server"
	silent      fault = "open connection goes silent"
)

var faults = []fault{partitioned, restarted, flooded, coldAgain, storeDown, storeSlow, answerLost, paused, officesRace, crashing, silent}

// impossible says why a fault cannot occur at a step, or nothing if it can.
func impossible(f fault, s step) string {
	isChange := s == atRead || s == atWrite || s == atAnswer || s == atSpread || s == atForce
	switch f {
	case flooded, coldAgain, crashing, silent:
		if isChange {
			return "a change meets no backend server and no queue"
		}
	}
	beforeSend := s == atAccept || s == atIdentify || s == atClaim || s == atQueue || s == atForward || s == atAdmit
	if f == crashing && (beforeSend || s == atSend) {
		return "the request runs on no backend server yet"
	}
	if f == crashing && s == atReport {
		return "a load report runs no request"
	}
	if f == silent && beforeSend {
		return "no connection to a backend server is open yet"
	}
	return ""
}

// excluded says why two faults cannot be told apart when they meet.
func excluded(a, b fault) string {
	pair := map[fault]bool{a: true, b: true}
	if pair[storeDown] && (pair[storeSlow] || pair[answerLost]) {
		return "a platform that is down answers nothing, slowly or not"
	}
	return ""
}
