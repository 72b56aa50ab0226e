package upstream

// This file defines Exchange, one request on one connection; body.go reads the body of its response.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bulrushtally/responsehead"
)

// Request is a request to a backend server.
type Request struct {
	Method   string
	Head     []byte // request line and header, including the empty line at the end
	Body     []byte
	IDHeader string // name of the header that carries ID; backend servers echo it
	ID       string

	// The request must not be sent twice. It is not sent on a connection that was idle
	// for longer than Options.NonRepeatableMaxIdle, as the server may have closed it.
	NonRepeatable bool

	// The request must be the first one on its connection, since the server has had one with the same ID before: its
	// answer to that one must not be taken for the answer to this.
	NewConnection bool

	// Abandoned, if not nil, is called once a connection is ready, just before the request is
	// written. If it reports true, nobody waits for the response, and the request is not sent.
	Abandoned func() bool
}

// MaxInlineBodyBytes is the length of the longest request body that is written together
// with the head, before the response is read. A longer body is written while the
// response is read, since the backend server may respond early.
const MaxInlineBodyBytes = 16 << 10

// Limits of what is read from a backend server.
const (
	maxInterimResponses  = 5 // most responses with a status of 1xx that are skipped before the response
	maxStaleResponses    = 2 // most responses to other requests that are skipped before it
	maxResponseHeadBytes = 64 << 10
	maxResponseBodyBytes = 16 << 20
	firstBodyBytes       = 64 << 10 // largest first capacity of a body's buffer, which grows with what comes
)

// Exchange is a request that was sent and the response to it. It must be closed.
type Exchange struct {
	pool           *Pool
	conn           *conn
	response       *http.Response
	unwatch        func() bool   // stops watching the context; returns false if the context has ended
	bodyWritten    chan struct{} // closed once a long body was written, or could not be; nil for a short one
	writeErr       error         // of writing a long body; valid once bodyWritten is closed
	requestWritten bool          // head and short body were written; stays false for a long body
	complete       bool          // the response body was read to its end
	reused         bool          // the connection carried an earlier request
	closed         atomic.Bool
	head           headMeter
	scanner        responsehead.Scanner
	bodyHeld       int64 // bytes that the reader of the body holds of it

	held        int64 // bytes that the exchange holds; guarded by memory.mu, as are the next two
	received    bool  // the response was received to its end
	tooMuchHeld bool  // the exchange was ended for what it held
}

// Send sends a request and reads the head of the response. If the context ends before
// the exchange is closed, the connection is closed, also while the response body is
// read. The error is a *DialError, a *ResponseError or ErrAbandoned.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	began := time.Now()
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, &DialError{address, err, time.Since(began), p.options.DialTimeout}
	}
	if ctx.Err() != nil || r.Abandoned != nil && r.Abandoned() {
		p.putIdle(c)
		return nil, ErrAbandoned
	}
	x := &Exchange{pool: p, conn: c, reused: c.exchanges > 0}
	x.unwatch = context.AfterFunc(ctx, c.abort)
	if err := x.send(r); err != nil {
		x.Close()
		return nil, &ResponseError{address, err}
	}
	if err := x.readHead(r); err != nil {
		err = x.explain(err)
		x.Close()
		return nil, &ResponseError{address, err}
	}
	return x, nil
}

// send writes the request. A long body is written by a goroutine that send starts.
func (x *Exchange) send(r *Request) error {
	if len(r.Body) <= MaxInlineBodyBytes {
		_, err := x.conn.Write(append(r.Head, r.Body...))
		x.requestWritten = err == nil
		return err
	}
	if _, err := x.conn.Write(r.Head); err != nil {
		return err
	}
	x.bodyWritten = make(chan struct{})
	go func() {
		_, x.writeErr = x.conn.Write(r.Body)
		close(x.bodyWritten)
	}()
	return nil
}

// readHead reads the head of the response. It skips interim responses and late
// responses to earlier requests, and fails if there are more than maxInterimResponses or maxStaleResponses, or if a head is not
// valid, is longer than maxResponseHeadBytes or does not fit beside what other exchanges hold. A response without an ID may be
// to any request that the connection carried, so only that on a new connection is the response to this one.
func (x *Exchange) readHead(r *Request) error {
	for interim, stale := 0, 0; interim <= maxInterimResponses && stale <= maxStaleResponses; {
		resp, err := x.readOneHead(r.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			interim++
			continue
		}
		if resp.ProtoMajor != 1 {
			return errNotHTTP1
		}
		id := resp.Header.Get(r.IDHeader)
		if id != "" && id != r.ID {
			if _, err := io.CopyN(io.Discard, resp.Body, maxResponseBodyBytes); !errors.Is(err, io.EOF) {
				return errNoResponse
			}
			stale++
			continue
		}
		if id == "" && r.ID != "" && x.reused {
			return errNoID
		}
		x.response = resp
		return nil
	}
	return errNoResponse
}

// readOneHead reads the head of the next response on the connection.
func (x *Exchange) readOneHead(method string) (*http.Response, error) {
	x.head, x.scanner = headMeter{}, responsehead.Scanner{}
	buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered())
	if err := x.checkHead(buffered); err != nil {
		return nil, err
	}
	x.conn.headOf = x
	defer func() { x.conn.headOf = nil }()
	return http.ReadResponse(x.conn.reader, &http.Request{Method: method})
}

// checkHead checks and counts bytes of a head that were read. It returns an error if the head is not valid, is too long, or takes
// too much memory.
func (x *Exchange) checkHead(b []byte) error {
	if _, err := x.scanner.Scan(b); err != nil {
		return err
	}
	x.head.write(b)
	if x.head.bytes > maxResponseHeadBytes {
		return errHeadTooLong
	}
	return x.pool.memory.hold(x, x.head.memory())
}

// maxErrorBytes is the length of the longest text of an error, which may quote what a server sent.
const maxErrorBytes = 200

// explain returns errTooMuchHeld instead of err if that is why the connection was closed, and else err without a long text.
func (x *Exchange) explain(err error) error {
	if x.pool.memory.isTooMuchHeld(x) {
		return errTooMuchHeld
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes])
	}
	return err
}

// HoldBody records what the caller of Read holds of the body, in bytes. It returns a *ResponseError if the exchange is ended
// because that does not fit beside what other exchanges hold.
func (x *Exchange) HoldBody(bytes int64) error {
	if bytes == x.bodyHeld {
		return nil
	}
	x.bodyHeld = bytes
	if err := x.pool.memory.hold(x, x.head.memory()+bytes); err != nil {
		return &ResponseError{x.conn.address, err}
	}
	return nil
}

// Address returns the IP address and port of the backend server.
func (x *Exchange) Address() string { return x.conn.address }

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.response.StatusCode }

// EndsWithConnection reports whether the response has neither a length nor chunks, so that its end looks the same
// whether it is complete or broken off.
func (x *Exchange) EndsWithConnection() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// Chunked reports whether the response is sent in chunks, of which the last one tells that it is complete.
func (x *Exchange) Chunked() bool { return len(x.response.TransferEncoding) > 0 }

// Header returns the header of the response.
func (x *Exchange) Header() http.Header { return x.response.Header }

// Close ends the exchange. It keeps the connection for reuse if the response was read
// completely and no further bytes were received. Otherwise it closes the connection,
// which cancels the request.
func (x *Exchange) Close() {
	if x.closed.Swap(true) {
		return
	}
	x.pool.memory.release(x)
	contextLive := x.unwatch == nil || x.unwatch()
	if !contextLive || !x.reusable() {
		x.conn.abort()
		return
	}
	c := x.conn
	c.exchanges++
	c.idleSince = time.Now()
	c.idleTimeout = x.pool.idleTimeout(x.response.Header.Get("Keep-Alive"), c.idleTimeout)
	x.pool.putIdle(c)
}

// reusable reports whether the connection can carry another request.
func (x *Exchange) reusable() bool {
	if !x.complete || x.response == nil || x.response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.requestWritten {
		return true
	}
	select {
	case <-x.bodyWritten:
		return x.writeErr == nil
	default:
		return false // the server responded early and may still be reading the request body
	}
}

// idleTimeout returns how long a connection may be idle, given the Keep-Alive header of
// the last response. Without a timeout in the header, it returns the current value.
func (p *Pool) idleTimeout(header string, current time.Duration) time.Duration {
	_, rest, ok := strings.Cut(header, "timeout=")
	if !ok {
		return current
	}
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	seconds, err := strconv.Atoi(rest[:digits])
	if err != nil {
		return current
	}
	return min(p.options.IdleTimeout, max(0, time.Duration(seconds)*time.Second-serverTimeoutMargin))
}
