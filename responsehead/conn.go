package responsehead

// This file defines Conn, which checks the responses on a connection.

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Conn is a client's connection that checks the heads of responses, for a client that parses them by a library. Its Read returns
// an *Error in place of the byte that shows that a head is not valid, so that the parser never gets a whole head. The client
// must send one request at a time, and write all of it before it reads the response.
type Conn struct {
	net.Conn
	written  atomic.Bool // a part of a request was written since the last read
	scanner  Scanner     // of the head that is being read, or was read last
	err      error       // of the scanner
	upgraded bool        // the connection does not carry HTTP any more
}

// NewConn returns a Conn for a connection that has carried nothing. With TLS, give it the *tls.Conn: it must see plain text.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Wrap returns a Conn for the connection that a dial has made, or the error of the dial.
func Wrap(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write writes a part of a request.
func (c *Conn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(b)
}

// Read reads a part of a response. It returns an *Error if its head is not valid, and from then on reads no more: a parser that
// looks ahead may drop the error, and must not go on behind the bytes that were refused.
func (c *Conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if c.written.Swap(false) { // asked after the read, since that may have begun before the request was written
		c.scanner = Scanner{}
	}
	valid, headErr := c.scan(b[:n])
	if headErr != nil {
		c.err = headErr
		return valid, headErr
	}
	return n, err
}

// scan checks the parts of heads in b. It returns how many bytes of b come before the one that shows that a head is not valid.
func (c *Conn) scan(b []byte) (valid int, err error) {
	for valid < len(b) && !c.scanner.Ended() && !c.upgraded {
		n, err := c.scanner.Scan(b[valid:])
		valid += n
		if err != nil {
			return valid, err
		}
		if c.scanner.Ended() {
			c.endHead()
		}
	}
	return valid, nil
}

// endHead prepares for what comes after a head: another head after an interim response (1xx), no HTTP after an upgrade.
func (c *Conn) endHead() {
	switch status := c.scanner.Status(); {
	case status == http.StatusSwitchingProtocols:
		c.upgraded = true
	case status < http.StatusOK:
		c.scanner = Scanner{}
	}
}
