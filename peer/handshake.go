package peer

// This file defines the handshake that opens a link: versions are compared and
// each side proves that it has the shared secret without sending it.

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/fasthttp/websocket"

	"bulrushtally/fleet"
)

// ConnectError says that a router could not be linked to.
type ConnectError struct {
	Address string
	Err     error
}

// Error describes the failure and its remedy.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("cannot link to router at %s: %v; check that it runs, and that [peers] has the same secret on both", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// HandshakeError says why a router was refused.
type HandshakeError struct{ Reason string }

// Error describes the refusal and its remedy.
func (e *HandshakeError) Error() string {
	return "handshake refused: " + e.Reason + "; give all routers the same version and the same secret under [peers]"
}

const nonceBytes = 16

func nonce() []byte {
	b := make([]byte, nonceBytes)
	rand.Read(b)
	return b
}

// The sides of a handshake, which proofs are bound to. Without them, a stranger
// could have one router answer another's challenge.
const (
	sideDials   = "dials "
	sideAccepts = "accepts "
)

// proof shows that a router knows the secret, bound to its side, its name and the other's nonce.
func proof(secret, side, vm string, nonce []byte) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	m.Write([]byte(side + vm))
	m.Write([]byte{0})
	m.Write(nonce)
	return m.Sum(nil)
}

// greet is the dialing side: hello, the other's hello with proof, own proof.
func greet(c *websocket.Conn, o Options) (fleet.Member, error) {
	n, self := nonce(), o.Self()
	if err := put(c, o, KindHello, Hello{Version: Version, Member: self, Nonce: n}); err != nil {
		return fleet.Member{}, err
	}
	h, err := take(c, o, KindHello)
	if err != nil {
		return fleet.Member{}, err
	}
	if err := verify(h, o, sideAccepts, n, self); err != nil {
		return fleet.Member{}, err
	}
	mine := Hello{Version: Version, Member: self, Proof: proof(o.Secret, sideDials, self.VM, h.Nonce)}
	return h.Member, put(c, o, KindProof, mine)
}

// welcome is the accepting side.
func welcome(c *websocket.Conn, o Options) (fleet.Member, error) {
	h, err := take(c, o, KindHello)
	if err != nil {
		return fleet.Member{}, err
	}
	if h.Version != Version {
		return fleet.Member{}, &HandshakeError{fmt.Sprintf("version %d, not %d", h.Version, Version)}
	}
	n, self := nonce(), o.Self()
	mine := Hello{Version: Version, Member: self, Nonce: n, Proof: proof(o.Secret, sideAccepts, self.VM, h.Nonce)}
	if err := put(c, o, KindHello, mine); err != nil {
		return fleet.Member{}, err
	}
	p, err := take(c, o, KindProof)
	if err != nil {
		return fleet.Member{}, err
	}
	return p.Member, verify(p, o, sideDials, n, self)
}

func verify(h *Hello, o Options, side string, nonce []byte, self fleet.Member) error {
	switch {
	case h.Version != Version:
		return &HandshakeError{fmt.Sprintf("version %d, not %d", h.Version, Version)}
	case !hmac.Equal(h.Proof, proof(o.Secret, side, h.Member.VM, nonce)):
		return &HandshakeError{"wrong secret"}
	case h.Member.VM == self.VM:
		return &HandshakeError{fmt.Sprintf("the other side has this router's name %q", self.VM)}
	}
	return nil
}

func put(c *websocket.Conn, o Options, k Kind, h Hello) error {
	data, err := encode(k, 0, h)
	if err != nil {
		return err
	}
	if err := c.SetWriteDeadline(time.Now().Add(o.Timeout)); err != nil {
		return err
	}
	return c.WriteMessage(websocket.BinaryMessage, data)
}

func take(c *websocket.Conn, o Options, want Kind) (*Hello, error) {
	if err := c.SetReadDeadline(time.Now().Add(o.Timeout)); err != nil {
		return nil, err
	}
	_, data, err := c.ReadMessage()
	if err != nil {
		return nil, err
	}
	f, err := decode(data)
	if err != nil {
		return nil, err
	}
	if f.Kind != want {
		return nil, errors.New("message out of order")
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return body[Hello](f)
}
