package backend

// This file defines Client, which sends one attempt of a request to a backend server,
// reads load reports and cancels streams.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushtally/request"
	"bulrushtally/responsehead"
)

// AttemptIDHeader is the header that carries an attempt's ID. Backend servers return it
// unchanged, so that a response to another attempt is detected.
const AttemptIDHeader = "X-Request-Id"

// Timeouts are the timeouts of a Client. Header and Idle apply to each single read and write,
// not to their sum.
type Timeouts struct {
	Connect time.Duration // to open the connection
	Header  time.Duration // until the response's status and headers have arrived
	Idle    time.Duration // for each read of the response's body
}

// Fault is the kind of failure of an attempt.
type Fault int

// The kinds of failure of an attempt.
const (
	FaultNotSent         Fault = iota + 1 // no byte of the request was written to a connection
	FaultConnectionLost                   // the connection failed after part of the request was written
	FaultTimeout                          // a read or write took longer than its timeout
	FaultAttemptMismatch                  // the response lacks this attempt's ID
	FaultProtocol                         // the response is not valid HTTP or exceeds a limit
)

// AttemptError reports the failure of an attempt at a backend server.
type AttemptError struct {
	Fault   Fault
	Address string
	Err     error
}

var faultMessages = map[Fault]string{
	FaultNotSent:         "cannot connect; check that the backend server runs",
	FaultConnectionLost:  "connection broke during the request; check the backend server's log",
	FaultTimeout:         "nothing came within the timeout; check the backend server and the network between",
	FaultAttemptMismatch: "answer carries another attempt's number and was dropped; the backend server must echo " + AttemptIDHeader,
	FaultProtocol:        "answer breaks the protocol; check that the address is a backend server's",
}

// Error returns the backend server's address, the fault with what an operator should
// check, and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("backend server %s: %s: %v", e.Address, faultMessages[e.Fault], e.Err)
}

// Unwrap returns Err.
func (e *AttemptError) Unwrap() error { return e.Err }

// WrapBodyError returns an *AttemptError for an error that occurred while reading the body
// of a response.
func WrapBodyError(address string, err error) error { return &AttemptError{faultOf(err), address, err} }

// Client sends attempts to backend servers. It is safe for concurrent use.
//
// Each attempt opens a new connection. A pooled connection may be dead without notice, or
// be closed by the server while the request is written; it would then be unknown whether
// the request ran.
type Client struct {
	timeouts Timeouts
	dialer   net.Dialer
}

// NewClient returns a Client with the given timeouts.
func NewClient(t Timeouts) *Client {
	return &Client{timeouts: t, dialer: net.Dialer{Timeout: t.Connect}}
}

// Attempt is one transmission of a request to a backend server.
type Attempt struct {
	ID      string // unique among all routers' attempts
	Address string // host:port of the backend server
	Method  string
	Path    string // with the query
	Headers []request.Header
	Body    []byte
}

// Response is the response to an attempt, with its body still to be read. The caller must
// call Close.
type Response struct {
	Status  int
	Headers []request.Header
	Body    *bufio.Reader

	conn       *conn
	resp       *fasthttp.Response
	unregister func() bool // stops the context from closing conn
}

// conn sets a deadline for each single read and write. This detects a stalled connection
// without limiting how long the whole response takes.
type conn struct {
	net.Conn
	timeout      time.Duration // of each read and write
	writeStarted bool          // set before the first write, even if it fails
	once         sync.Once
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *conn) Write(p []byte) (int, error) {
	c.writeStarted = true
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) closeOnce() { c.once.Do(func() { c.Conn.Close() }) }

// Do sends an attempt and returns its response as soon as status and headers have arrived.
// Any error is an *AttemptError. When the context ends, the connection is closed, also while
// the body is being read.
func (c *Client) Do(ctx context.Context, a Attempt) (*Response, error) {
	tcp, err := c.dialer.DialContext(ctx, "tcp", a.Address)
	if err != nil {
		return nil, &AttemptError{FaultNotSent, a.Address, err}
	}
	nc := &conn{Conn: responsehead.NewConn(tcp), timeout: c.timeouts.Header}
	unregister := context.AfterFunc(ctx, nc.closeOnce)
	r, err := c.roundTrip(nc, a)
	if err != nil {
		unregister()
		nc.closeOnce()
		return nil, err
	}
	r.unregister = unregister
	nc.timeout = c.timeouts.Idle
	return r, nil
}

// roundTrip writes an attempt and reads the response up to its body.
func (c *Client) roundTrip(nc *conn, a Attempt) (*Response, error) {
	if err := writeRequest(nc, a); err != nil {
		fault := FaultConnectionLost
		if !nc.writeStarted {
			fault = FaultNotSent
		}
		return nil, &AttemptError{fault, a.Address, err}
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := resp.Read(bufio.NewReader(nc)); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, &AttemptError{faultOf(err), a.Address, err}
	}
	if got := string(resp.Header.Peek(AttemptIDHeader)); got != a.ID {
		fasthttp.ReleaseResponse(resp)
		return nil, &AttemptError{FaultAttemptMismatch, a.Address, fmt.Errorf("attempt %q got the answer of %q", a.ID, got)}
	}
	r := &Response{Status: resp.StatusCode(), Headers: copyHeaders(&resp.Header), conn: nc, resp: resp}
	r.Body = bufio.NewReader(bodyReader(resp))
	return r, nil
}

func bodyReader(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(nil)
}

func writeRequest(nc *conn, a Attempt) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(a.Method)
	req.SetRequestURI(a.Path)
	req.Header.SetHost(a.Address)
	for _, h := range a.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(AttemptIDHeader, a.ID)
	req.SetConnectionClose()
	req.SetBodyRaw(a.Body)
	w := bufio.NewWriter(nc)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// copyHeaders returns a copy that stays valid after the response is released.
func copyHeaders(h *fasthttp.ResponseHeader) []request.Header {
	var list []request.Header
	for k, v := range h.All() {
		list = append(list, request.Header{Name: string(k), Value: string(v)})
	}
	return list
}

// faultOf classifies an error in reading a response.
func faultOf(err error) Fault {
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		return FaultTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr), errors.Is(err, net.ErrClosed):
		return FaultConnectionLost
	}
	return FaultProtocol
}

// Close closes the connection and releases the response. Further calls do nothing.
func (r *Response) Close() {
	if r.resp == nil {
		return
	}
	r.unregister()
	r.conn.closeOnce()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}

const maxLoadReportBytes = 64 << 10

// Load is a load report of a backend server.
type Load struct {
	BootID  string `json:"boot"`    // changes whenever the server starts
	Running int    `json:"running"` // requests being processed
	Waiting int    `json:"waiting"` // requests in the server's own queue
	Leaving bool   `json:"leaving"` // the server is draining
}

// FetchLoad reads the load report of the backend server at an address; attemptID identifies
// this call. It fails if the server does not answer within the timeouts or the context, or
// if the report is not valid. Any error is an *AttemptError.
func (c *Client) FetchLoad(ctx context.Context, address, attemptID string) (Load, error) {
	r, err := c.Do(ctx, Attempt{ID: attemptID, Address: address, Method: "GET", Path: "/load"})
	if err != nil {
		return Load{}, err
	}
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxLoadReportBytes))
	if err != nil {
		return Load{}, WrapBodyError(address, err)
	}
	var load Load
	if err := json.Unmarshal(body, &load); err != nil || r.Status != 200 {
		return Load{}, &AttemptError{FaultProtocol, address, fmt.Errorf("status %d: %v", r.Status, err)}
	}
	return load, nil
}

// cancelTimeout limits the request that cancels a stream.
const cancelTimeout = 2 * time.Second

// Cancel tells a model server to stop generating for the attempt with the ID target; attemptID
// identifies this call. It fails if no valid response arrives within cancelTimeout, and
// ignores the response's status.
func (c *Client) Cancel(address, target, attemptID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	r, err := c.Do(ctx, Attempt{ID: attemptID, Address: address, Method: "DELETE", Path: "/v1/streams/" + target})
	if err != nil {
		return err
	}
	r.Close()
	return nil
}
