package backend

// This file defines Client, which makes one attempt of one request at one
// backend server and reads load reports.

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
)

// AttemptHeader carries an attempt's number, which the backend server echoes.
const AttemptHeader = "X-Request-Id"

// Timeouts of a Client.
type Timeouts struct {
	Connect  time.Duration
	First    time.Duration // from the request to the answer's head
	Progress time.Duration // between two parts of an answer
}

// Fault says how an attempt went wrong.
type Fault int

// The faults of an attempt.
const (
	FaultNotSent Fault = iota + 1 // no byte of the request left this router
	FaultBroken                   // the connection broke after the request was sent
	FaultSilent                   // nothing came within the timeout
	FaultCrossed                  // the answer carries another attempt's number
	FaultLimit                    // the answer broke the protocol or a bound
)

// AttemptError says how an attempt went wrong, and at which backend server.
type AttemptError struct {
	Fault   Fault
	Address string
	Err     error
}

var faultText = map[Fault]string{
	FaultNotSent: "cannot connect; check that the backend server runs",
	FaultBroken:  "connection broke during the request; check the backend server's log",
	FaultSilent:  "nothing came within the timeout; check the backend server and the network between",
	FaultCrossed: "answer carries another attempt's number and was dropped; the backend server must echo " + AttemptHeader,
	FaultLimit:   "answer breaks the protocol; check that the address is a backend server's",
}

// Error describes the fault and its remedy.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("backend server %s: %s: %v", e.Address, faultText[e.Fault], e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// BodyError returns the *AttemptError that an error in reading an answer's body stands for.
func BodyError(address string, err error) error { return &AttemptError{faultOf(err), address, err} }

// Client makes attempts; it may be used from many goroutines.
//
// Each attempt has a fresh connection. A pooled one may have gone silent, or be
// closed by the server just as the request is written, and then nobody knows
// whether the request ran.
type Client struct {
	timeouts Timeouts
	dialer   net.Dialer
}

// NewClient returns a Client.
func NewClient(t Timeouts) *Client {
	return &Client{timeouts: t, dialer: net.Dialer{Timeout: t.Connect}}
}

// Attempt is one try of a request at a backend server.
type Attempt struct {
	Number  string
	Address string
	Method  string
	Path    string
	Headers []request.Header
	Body    []byte
}

// Response is an attempt's answer, whose body is still to be read.
type Response struct {
	Status  int
	Headers []request.Header
	Body    *bufio.Reader

	conn *conn
	resp *fasthttp.Response
	stop func() bool
}

// conn puts a deadline on each single read, so that a connection that went
// silent is noticed however long the whole answer takes.
type conn struct {
	net.Conn
	timeout time.Duration
	wrote   bool
	once    sync.Once
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *conn) Write(p []byte) (int, error) {
	c.wrote = true
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *conn) shut() { c.once.Do(func() { c.Conn.Close() }) }

// Do sends an attempt and returns once the answer's head is there, or an *AttemptError.
// The context aborts the attempt, also while the body is read.
func (c *Client) Do(ctx context.Context, a Attempt) (*Response, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", a.Address)
	if err != nil {
		return nil, &AttemptError{FaultNotSent, a.Address, err}
	}
	nc := &conn{Conn: raw, timeout: c.timeouts.First}
	stop := context.AfterFunc(ctx, nc.shut)
	r, err := c.exchange(nc, a)
	if err != nil {
		stop()
		nc.shut()
		return nil, err
	}
	r.stop = stop
	nc.timeout = c.timeouts.Progress
	return r, nil
}

func (c *Client) exchange(nc *conn, a Attempt) (*Response, error) {
	if err := write(nc, a); err != nil {
		f := FaultBroken
		if !nc.wrote {
			f = FaultNotSent
		}
		return nil, &AttemptError{f, a.Address, err}
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	if err := resp.Read(bufio.NewReader(nc)); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, &AttemptError{faultOf(err), a.Address, err}
	}
	if got := string(resp.Header.Peek(AttemptHeader)); got != a.Number {
		fasthttp.ReleaseResponse(resp)
		return nil, &AttemptError{FaultCrossed, a.Address, fmt.Errorf("attempt %q got the answer of %q", a.Number, got)}
	}
	r := &Response{Status: resp.StatusCode(), Headers: copyHeaders(&resp.Header), conn: nc, resp: resp}
	r.Body = bufio.NewReader(bodyOf(resp))
	return r, nil
}

func bodyOf(resp *fasthttp.Response) io.Reader {
	if s := resp.BodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(nil)
}

func write(nc *conn, a Attempt) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(a.Method)
	req.SetRequestURI(a.Path)
	req.Header.SetHost(a.Address)
	for _, h := range a.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(AttemptHeader, a.Number)
	req.SetConnectionClose()
	req.SetBodyRaw(a.Body)
	w := bufio.NewWriter(nc)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func copyHeaders(h *fasthttp.ResponseHeader) []request.Header {
	var list []request.Header
	for k, v := range h.All() {
		list = append(list, request.Header{Name: string(k), Value: string(v)})
	}
	return list
}

func faultOf(err error) Fault {
	var ne net.Error
	switch {
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &ne) && ne.Timeout():
		return FaultSilent
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne), errors.Is(err, net.ErrClosed):
		return FaultBroken
	}
	return FaultLimit
}

// Close ends the attempt and its connection; it may be called more than once.
func (r *Response) Close() {
	if r.resp == nil {
		return
	}
	r.stop()
	r.conn.shut()
	fasthttp.ReleaseResponse(r.resp)
	r.resp = nil
}

// maxReport bounds a load report, in bytes.
const maxReport = 64 << 10

// Load is a backend server's load report.
type Load struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving"`
}

// Load reads a backend server's load report.
func (c *Client) Load(ctx context.Context, address, number string) (Load, error) {
	r, err := c.Do(ctx, Attempt{Number: number, Address: address, Method: "GET", Path: "/load"})
	if err != nil {
		return Load{}, err
	}
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxReport))
	if err != nil {
		return Load{}, BodyError(address, err)
	}
	var l Load
	if err := json.Unmarshal(body, &l); err != nil || r.Status != 200 {
		return Load{}, &AttemptError{FaultLimit, address, fmt.Errorf("status %d: %v", r.Status, err)}
	}
	return l, nil
}

// cancelTimeout bounds the order to cancel an abandoned stream.
const cancelTimeout = 2 * time.Second

// Cancel orders an engine to stop working on an attempt that nobody waits for.
func (c *Client) Cancel(address, attempt, number string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	r, err := c.Do(ctx, Attempt{Number: number, Address: address, Method: "DELETE", Path: "/v1/streams/" + attempt})
	if err != nil {
		return err
	}
	r.Close()
	return nil
}
