package peer

// This file defines the messages between routers and their CBOR encoding.

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// Version is the protocol version. Routers of different versions cannot open a link.
const Version = 1

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. A comment that is a type name gives the type of the body.
const (
	KindHello          Kind = iota + 1 // Hello
	KindAuthenticate                   // Hello with the dialer's MAC; ends the handshake
	KindHeartbeat                      // Heartbeat
	KindRequest                        // request.Request
	KindEvent                          // request.Event
	KindCancel                         // cancels a request
	KindRecall                         // recalls a request unless it was admitted
	KindCredit                         // Credit
	KindShardAvailable                 // ShardAvailable
	KindPull                           // Pull
	KindChanges                        // Changes
	KindCrashRecords                   // CrashRecords
	KindLeave                          // leave notice: the sender stops
	kindEnd
)

// isRequestTraffic reports whether a message belongs to a forwarded request. All other
// messages are control traffic.
func (k Kind) isRequestTraffic() bool {
	return k == KindRequest || k == KindEvent || k == KindCancel || k == KindRecall || k == KindCredit
}

// frame is the envelope of every message.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Stream uint64 // number of the request's stream, 0 for control messages
	Body   cbor.RawMessage
}

// Hello is a message of the handshake.
type Hello struct {
	Version int          `cbor:"1,keyasint"`
	Member  fleet.Member `cbor:"2,keyasint"`
	Nonce   []byte       `cbor:"3,keyasint"`
	MAC     []byte       `cbor:"4,keyasint,omitempty"` // handshakeMAC over the receiver's nonce; absent from the dialer's KindHello
}

// Heartbeat reports that its sender is alive, and what changed in its state and, from a
// relay, in its list of live routers.
type Heartbeat struct {
	Member       *fleet.Member         `cbor:"1,keyasint,omitempty"` // the sender; absent if nothing but its revision changed since the last heartbeat
	Members      []fleet.Member        `cbor:"2,keyasint,omitempty"` // from a relay: the live routers that it reports, if the list changed
	NoMembers    bool                  `cbor:"7,keyasint,omitempty"` // from a relay: the list has changed and is now empty
	SameMembers  bool                  `cbor:"3,keyasint,omitempty"` // from a relay: the list is the same as the last one sent
	Counters     []fleet.CounterUpdate `cbor:"4,keyasint,omitempty"` // updates of usage counters
	Revision     uint64                `cbor:"6,keyasint,omitempty"` // of the sender's configuration
	KnownMembers []fleet.Member        `cbor:"5,keyasint,omitempty"` // when a link opens: live routers that the receiver may not know
}

// Credit allows the sender of a response to send more bytes of its stream.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// ShardAvailable reports that a shard has more free slots than requests in its queue.
type ShardAvailable struct {
	Shard config.ShardID   `cbor:"1,keyasint"`
	Load  request.LoadHint `cbor:"2,keyasint"`
}

// Pull asks for the configuration changes after a revision. The reply is Changes.
type Pull struct {
	After uint64 `cbor:"1,keyasint"`
}

// Changes carries configuration changes in order of their revisions, or a snapshot of the
// whole configuration if the sender no longer keeps the changes asked for.
type Changes struct {
	Changes  []*config.Change `cbor:"1,keyasint,omitempty"`
	Snapshot *config.Snapshot `cbor:"2,keyasint,omitempty"`
}

// CrashRecords carries the digests of requests that were running when backend servers crashed.
type CrashRecords struct {
	Records []schedule.CrashRecord `cbor:"1,keyasint"`
}

// ProtocolError reports a message that breaks the protocol. Its link is closed.
type ProtocolError struct {
	Peer string // VM name of the sender
	Err  error
}

// Error returns the sender, the cause and how to correct it.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("message from router %q breaks the protocol: %v; run the same version on both", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Err }

// decMode limits the memory that decoding a message can allocate.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// outgoingFrame is a frame for encoding, whose body is not encoded yet. Its encoding is that
// of frame.
type outgoingFrame struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Stream uint64
	Body   any
}

// encode returns the encoding of a message.
func encode(k Kind, stream uint64, body any) ([]byte, error) {
	return cbor.Marshal(outgoingFrame{Kind: k, Stream: stream, Body: body})
}

// decode returns a message's envelope. It fails if the envelope is malformed, the kind is
// unknown, or a control message has a stream number or a request's message has none.
func decode(data []byte) (frame, error) {
	var f frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return f, err
	}
	if f.Kind < KindHello || f.Kind >= kindEnd {
		return f, fmt.Errorf("unknown kind %d", f.Kind)
	}
	if f.Kind.isRequestTraffic() != (f.Stream != 0) {
		return f, errors.New("stream number does not fit the kind")
	}
	return f, nil
}

// decodeBody decodes the body of a message.
func decodeBody[T any](f frame) (*T, error) {
	v := new(T)
	if err := decMode.Unmarshal(f.Body, v); err != nil {
		return nil, err
	}
	return v, nil
}
