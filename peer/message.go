package peer

// This file defines the messages between routers and their encoding.

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// Version is the version of the protocol; routers of different versions do not link.
const Version = 1

// Kind names a message.
type Kind uint8

// The messages.
const (
	KindHello        Kind = iota + 1
	KindProof             // ends the handshake
	KindHeartbeat         // Heartbeat
	KindRequest           // request.Request
	KindEvent             // request.Event
	KindCancel            // gives a request up
	KindRecall            // gives a request up unless it was admitted
	KindCredit            // Credit
	KindRoom              // Room
	KindPull              // Pull
	KindChanges           // Changes
	KindCrashRecords      // CrashRecords
	KindGoodbye           // the sender stops
	kindEnd
)

// carriesRequests reports whether a message belongs to a forwarded request and
// so does not count as control traffic.
func (k Kind) carriesRequests() bool {
	return k == KindRequest || k == KindEvent || k == KindCancel || k == KindRecall || k == KindCredit
}

// frame is the envelope of every message.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Stream uint64 // of a request, 0 for control
	Body   cbor.RawMessage
}

// Hello opens a link from either side.
type Hello struct {
	Version int          `cbor:"1,keyasint"`
	Member  fleet.Member `cbor:"2,keyasint"`
	Nonce   []byte       `cbor:"3,keyasint"`
	Proof   []byte       `cbor:"4,keyasint,omitempty"` // of the shared secret, over the other side's nonce
}

// Heartbeat says that a router lives and what it knows.
type Heartbeat struct {
	Member   *fleet.Member  `cbor:"1,keyasint,omitempty"` // left out when only the revision may have changed
	Members  []fleet.Member `cbor:"2,keyasint,omitempty"` // from a relay: all other routers that it vouches for
	None     bool           `cbor:"7,keyasint,omitempty"` // from a relay: it hears of no other router
	Same     bool           `cbor:"3,keyasint,omitempty"` // from a relay: it vouches for those it listed last
	Sums     []fleet.Sums   `cbor:"4,keyasint,omitempty"`
	Revision uint64         `cbor:"6,keyasint,omitempty"`
	Known    []fleet.Member `cbor:"5,keyasint,omitempty"` // when a link opens: routers that the other may not know of
}

// Credit allows the sender of an answer further bytes.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Room says that a shard has room and nothing waiting.
type Room struct {
	Shard config.ShardID `cbor:"1,keyasint"`
	Hint  request.Hint   `cbor:"2,keyasint"`
}

// Pull asks for the configuration after a revision.
type Pull struct {
	After uint64 `cbor:"1,keyasint"`
}

// Changes carries changes of the configuration in order, or a whole one.
type Changes struct {
	Changes  []*config.Change `cbor:"1,keyasint,omitempty"`
	Snapshot *config.Snapshot `cbor:"2,keyasint,omitempty"`
}

// CrashRecords carries the digests of requests that were running when backend servers died.
type CrashRecords struct {
	CrashRecords []schedule.CrashRecord `cbor:"1,keyasint"`
}

// FrameError says that a message broke the protocol, which closes its link.
type FrameError struct {
	Peer string
	Err  error
}

// Error describes the fault and its remedy.
func (e *FrameError) Error() string {
	return fmt.Sprintf("message from router %q breaks the protocol: %v; run the same version on both", e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// decoding bounds what a message can make its reader allocate.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// outgoing is a frame whose body is encoded together with it.
type outgoing struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Stream uint64
	Body   any
}

// encode returns a message as it goes over a link.
func encode(k Kind, stream uint64, body any) ([]byte, error) {
	return cbor.Marshal(outgoing{Kind: k, Stream: stream, Body: body})
}

// decode returns a message's envelope, or an error if it is malformed.
func decode(data []byte) (frame, error) {
	var f frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return f, err
	}
	if f.Kind < KindHello || f.Kind >= kindEnd {
		return f, fmt.Errorf("unknown kind %d", f.Kind)
	}
	if f.Kind.carriesRequests() != (f.Stream != 0) {
		return f, errors.New("stream number does not fit the kind")
	}
	return f, nil
}

// body decodes a message's body.
func body[T any](f frame) (*T, error) {
	v := new(T)
	if err := decoding.Unmarshal(f.Body, v); err != nil {
		return nil, err
	}
	return v, nil
}
