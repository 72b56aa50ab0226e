package peer

// This file defines the handshake that opens a link. Both routers compare protocol
// versions, and each authenticates itself with an HMAC under the shared secret, which is
// not sent. The messages are KindHello from the dialer, KindHello from the acceptor and
// KindAuthenticate from the dialer.

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

// ConnectError reports that no link to the router at Address could be opened.
type ConnectError struct {
	Address string
	Err     error
}

// Error returns the address, the cause and what to check.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("cannot link to router at %s: %v; check that it runs, and that [peers] has the same secret on both", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// HandshakeError reports why the handshake with a router failed.
type HandshakeError struct{ Reason string }

// Error returns the reason and how to correct it.
func (e *HandshakeError) Error() string {
	return "handshake refused: " + e.Reason + "; give all routers the same version and the same secret under [peers]"
}

const nonceBytes = 16

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// Roles in a handshake, which are part of the input of handshakeMAC. Without them, a
// party that lacks the secret could dial a second router, send it the first router's
// nonce, and return the second router's MAC to the first.
const (
	roleDialer   = "dials "
	roleAcceptor = "accepts "
)

// handshakeMAC returns the MAC that authenticates a router as a holder of the secret. It
// covers the router's role, its VM name and the nonce of the other router.
func handshakeMAC(secret, role, vm string, nonce []byte) []byte {
	m := hmac.New(sha256.New, []byte(secret))
	m.Write([]byte(role + vm))
	m.Write([]byte{0})
	m.Write(nonce)
	return m.Sum(nil)
}

// handshakeAsDialer runs the dialer's part of the handshake and returns the acceptor's
// member record.
func handshakeAsDialer(c *websocket.Conn, o Options) (fleet.Member, error) {
	nonce, self := newNonce(), o.Self()
	if err := writeHello(c, o, KindHello, Hello{Version: Version, Member: self, Nonce: nonce}); err != nil {
		return fleet.Member{}, err
	}
	hello, err := readHello(c, o, KindHello)
	if err != nil {
		return fleet.Member{}, err
	}
	if err := verifyHello(hello, o, roleAcceptor, nonce, self); err != nil {
		return fleet.Member{}, err
	}
	auth := Hello{Version: Version, Member: self, MAC: handshakeMAC(o.Secret, roleDialer, self.VM, hello.Nonce)}
	return hello.Member, writeHello(c, o, KindAuthenticate, auth)
}

// handshakeAsAcceptor runs the acceptor's part of the handshake and returns the dialer's
// member record.
func handshakeAsAcceptor(c *websocket.Conn, o Options) (fleet.Member, error) {
	hello, err := readHello(c, o, KindHello)
	if err != nil {
		return fleet.Member{}, err
	}
	if hello.Version != Version {
		return fleet.Member{}, &HandshakeError{fmt.Sprintf("version %d, not %d", hello.Version, Version)}
	}
	nonce, self := newNonce(), o.Self()
	reply := Hello{Version: Version, Member: self, Nonce: nonce, MAC: handshakeMAC(o.Secret, roleAcceptor, self.VM, hello.Nonce)}
	if err := writeHello(c, o, KindHello, reply); err != nil {
		return fleet.Member{}, err
	}
	auth, err := readHello(c, o, KindAuthenticate)
	if err != nil {
		return fleet.Member{}, err
	}
	return auth.Member, verifyHello(auth, o, roleDialer, nonce, self)
}

// verifyHello checks the other router's version and its MAC over nonce, and that it is not
// named like this router. It returns a *HandshakeError if a check fails.
func verifyHello(h *Hello, o Options, role string, nonce []byte, self fleet.Member) error {
	switch {
	case h.Version != Version:
		return &HandshakeError{fmt.Sprintf("version %d, not %d", h.Version, Version)}
	case !hmac.Equal(h.MAC, handshakeMAC(o.Secret, role, h.Member.VM, nonce)):
		return &HandshakeError{"wrong secret"}
	case h.Member.VM == self.VM:
		return &HandshakeError{fmt.Sprintf("the other side has this router's name %q", self.VM)}
	}
	return nil
}

// writeHello sends a handshake message of kind k within o.SetupTimeout.
func writeHello(c *websocket.Conn, o Options, k Kind, h Hello) error {
	data, err := encode(k, 0, h)
	if err != nil {
		return err
	}
	if err := c.SetWriteDeadline(time.Now().Add(o.SetupTimeout)); err != nil {
		return err
	}
	return c.WriteMessage(websocket.BinaryMessage, data)
}

// readHello waits up to o.SetupTimeout for a handshake message and returns it. It fails if
// the message is malformed or not of kind want.
func readHello(c *websocket.Conn, o Options, want Kind) (*Hello, error) {
	if err := c.SetReadDeadline(time.Now().Add(o.SetupTimeout)); err != nil {
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
	return decodeBody[Hello](f)
}
