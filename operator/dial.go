package operator

// This file defines how Client connects to a router, so that responses that are not valid HTTP are errors on the connection.

import (
	"crypto/tls"
	"net"

	"github.com/valyala/fasthttp"

	"bulrushtally/responsehead"
)

// checkResponses makes a client check the heads of responses.
func checkResponses(c *fasthttp.HostClient) error {
	c.Dial = func(address string) (net.Conn, error) {
		if c.IsTLS {
			return dialTLS(address)
		}
		return responsehead.Wrap(fasthttp.Dial(address))
	}
	return nil
}

// dialTLS connects to a router over TLS. The responses are checked after they are decrypted, so that fasthttp, which would set up
// TLS above the check, must not do it.
func dialTLS(address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	encrypted := tls.Client(c, &tls.Config{ServerName: host})
	return &tlsConn{responsehead.NewConn(encrypted), encrypted}, nil
}

// tlsConn is a checked connection over TLS. fasthttp takes any connection with a method Handshake for one over TLS.
type tlsConn struct {
	*responsehead.Conn
	encrypted *tls.Conn
}

// Handshake runs the handshake of TLS if it has not run.
func (c *tlsConn) Handshake() error { return c.encrypted.Handshake() }
