package rollout

// This file defines the names of states, choices and reasons in logs.

import "strconv"

var (
	stateNames  = [...]string{Serving: "serving", Complete: "complete", RolledBack: "rolled back"}
	choiceNames = [...]string{AnyVersion: "any", OldVersion: "old", NewVersion: "new"}
	reasonNames = [...]string{
		NoOrder: "no order", Stored: "stored", OnTrial: "on trial", Shifting: "shifting", OldInFlight: "requests on old servers",
		Drained: "old servers are drained", MoreFailures: "more failures", SlowerAnswers: "slower answers", TooManyBad: "too many bad answers",
		PeersStopped: "stopped by another router", NoEvidence: "no evidence by the deadline",
	}
)

// String returns the name of the state.
func (s State) String() string { return nameOf(stateNames[:], int(s)) }

// String returns the name of the choice.
func (c Choice) String() string { return nameOf(choiceNames[:], int(c)) }

// String returns the name of the reason.
func (r Reason) String() string { return nameOf(reasonNames[:], int(r)) }

// nameOf returns a name, or the number of a value that has none.
func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}
