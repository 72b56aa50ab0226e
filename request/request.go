package request

// This file defines Request and Event, the messages between the router that
// took a request in and the leader of the shard that runs it.

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

// Request is a caller's request on its way to a leader. It is not changed once sent.
type Request struct {
	Number     string         `cbor:"1,keyasint"` // names the request in logs and answers
	Customer   string         `cbor:"2,keyasint"`
	Service    string         `cbor:"3,keyasint"`
	Shard      config.ShardID `cbor:"4,keyasint"`
	Method     string         `cbor:"5,keyasint"`
	Path       string         `cbor:"6,keyasint"` // with the query
	Headers    []Header       `cbor:"7,keyasint"`
	Body       []byte         `cbor:"8,keyasint"`
	Model      bool           `cbor:"9,keyasint"`  // for a model engine, so that the answer is counted in tokens
	Repeatable bool           `cbor:"10,keyasint"` // may run more than once
	Stream     bool           `cbor:"11,keyasint"` // the answer is server-sent events
	Wait       time.Duration  `cbor:"12,keyasint"` // longest time in the leader's queue
	Attempts   int            `cbor:"13,keyasint"` // attempts already made
	Avoid      string         `cbor:"14,keyasint,omitempty"`
}

// Digest identifies the request's content, so that a repeated request is known again.
func (r *Request) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Customer, r.Service, r.Method, r.Path} {
		d.WriteString(s)
		d.WriteString("\x00")
	}
	d.Write(r.Body)
	return d.Sum64()
}

// Outcome is what a caller is told about whether its request ran.
type Outcome string

// The outcomes.
const (
	Ran     Outcome = "ran"     // it ran; the answer is whole unless an error says otherwise
	NotRun  Outcome = "not-run" // no backend server received any part of it
	Unknown Outcome = "unknown" // it may have run
)

// EventKind says what an Event tells.
type EventKind uint8

// The kinds of events, in the order in which they occur.
const (
	EventAdmitted EventKind = iota + 1 // the request goes to a backend server now
	EventHead                          // status and headers of the answer
	EventData                          // part of the answer's body
	EventEnd                           // the last event
)

// Event is one step of an answer.
type Event struct {
	Kind    EventKind `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint,omitempty"`
	Headers []Header  `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Outcome Outcome   `cbor:"5,keyasint,omitempty"` // with EventEnd
	Failure *Failure  `cbor:"6,keyasint,omitempty"` // with EventEnd, nil for a whole answer
	Hint    *Hint     `cbor:"7,keyasint,omitempty"` // the shard's load, with EventAdmitted and EventEnd
	Backend string    `cbor:"8,keyasint,omitempty"` // with EventAdmitted
}

// Hint is a shard's load as its leader sees it.
type Hint struct {
	Free    int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
	Window  int `cbor:"3,keyasint"`
}

// Sink takes an answer's events in order. It may block to slow the sender down;
// an error says that nobody wants the rest.
type Sink func(Event) error
