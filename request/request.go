package request

// This file defines Request and Event, the messages between the entry router, which received
// the request from its caller, and the leader of the shard that runs it.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/config"
)

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is a caller's request as it is sent to a leader. It must not be modified after that.
type Request struct {
	ID            string         `cbor:"1,keyasint"` // unique ID, used in logs and responses
	Customer      string         `cbor:"2,keyasint"`
	Service       string         `cbor:"3,keyasint"`
	Shard         config.ShardID `cbor:"4,keyasint"`
	Method        string         `cbor:"5,keyasint"`
	Path          string         `cbor:"6,keyasint"` // with the query string
	Headers       []Header       `cbor:"7,keyasint"`
	Body          []byte         `cbor:"8,keyasint"`
	Model         bool           `cbor:"9,keyasint"`            // the service is a model service, whose cost is counted in tokens
	Repeatable    bool           `cbor:"10,keyasint"`           // running it more than once is safe
	Stream        bool           `cbor:"11,keyasint"`           // a successful response is a stream of server-sent events
	MaxWait       time.Duration  `cbor:"12,keyasint"`           // maximum wait in the leader's queue
	PriorAttempts int            `cbor:"13,keyasint"`           // attempts made before it was sent
	AvoidBackend  string         `cbor:"14,keyasint,omitempty"` // backend server to use only if the customer may use no other
}

// Digest returns a hash of the customer, service, method, path and body. It
// identifies a repeated request.
func (r *Request) Digest() uint64 {
	var hash xxhash.Digest
	hash.Reset()
	for _, field := range []string{r.Customer, r.Service, r.Method, r.Path} {
		hash.WriteString(field)
		hash.WriteString("\x00")
	}
	hash.Write(r.Body)
	return hash.Sum64()
}

// Outcome states whether a request ran, as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRan     Outcome = "ran"     // it ran; the response is complete unless there is a Failure
	OutcomeNotRun  Outcome = "not-run" // it did not run: no backend server received it, or those that did refused it
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events, in the order in which they occur. If an attempt is repeated,
// EventAdmitted occurs again.
const (
	EventAdmitted EventKind = iota + 1 // an attempt at a backend server starts
	EventHead                          // status and headers of the response
	EventData                          // part of the response's body
	EventEnd                           // the response has ended
)

// Event is one step in the processing of a request.
type Event struct {
	Kind    EventKind `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint,omitempty"` // with EventHead
	Headers []Header  `cbor:"3,keyasint,omitempty"` // with EventHead
	Data    []byte    `cbor:"4,keyasint,omitempty"` // with EventData
	Outcome Outcome   `cbor:"5,keyasint,omitempty"` // with EventEnd
	Failure *Failure  `cbor:"6,keyasint,omitempty"` // with EventEnd, nil for a complete response
	Hint    *LoadHint `cbor:"7,keyasint,omitempty"` // the shard's load, with EventAdmitted and EventEnd
	Backend string    `cbor:"8,keyasint,omitempty"` // with EventAdmitted, the backend server's name
}

// LoadHint is a shard's load as counted by its leader.
type LoadHint struct {
	Free    int `cbor:"1,keyasint"` // request slots that are free and not needed by the queue
	Waiting int `cbor:"2,keyasint"` // requests in the queue
	Window  int `cbor:"3,keyasint"` // sum of the backend servers' windows, in requests
}

// Sink receives the events of a response in order. It may block to slow the sender down. An
// error means that no further events are wanted.
type Sink func(Event) error
