package upstream

// This file defines the errors of requests to backend servers, which tell whether a request may have run.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// ErrAbandoned is the error of a request that was not sent, since its context had ended, or
// Request.Abandoned reported true, when a connection was ready.
var ErrAbandoned = errors.New("request was not sent, since nobody waits for its response")

// DialError reports that no connection could be made, so the request has not run.
type DialError struct {
	Address string
	Err     error
	Took    time.Duration // until it failed
	Timeout time.Duration // after which a dial fails
}

// lateMargin is by how much a dial may take longer than its timeout in a process that is not late itself.
const lateMargin = 20 * time.Millisecond

// IsLate reports whether the dial ended so long after its timeout that this process was late itself: the server may have
// accepted the connection in time.
func (e *DialError) IsLate() bool {
	var timeout net.Error
	return errors.As(e.Err, &timeout) && timeout.Timeout() && e.Took > e.Timeout+lateMargin
}

// Error returns the failure and what to do about it.
func (e *DialError) Error() string {
	return fmt.Sprintf("cannot connect to backend server at %q: %v; try another backend server", e.Address, e.Err)
}

// Unwrap returns the error of the dialer.
func (e *DialError) Unwrap() error { return e.Err }

// ResponseError reports that a request was sent and no complete, valid response was
// received, so the request may have run.
type ResponseError struct {
	Address string
	Err     error
}

// Error returns the failure and what to do about it.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("no complete response from backend server at %q: %v; the request may have run, send it again only if it may be repeated", e.Address, e.Err)
}

// Unwrap returns the error of the connection or of the response.
func (e *ResponseError) Unwrap() error { return e.Err }

// ClosedByServer reports whether err is that the backend server, or its VM, closed the connection before the end of a
// response, as it does when it crashes. A connection over which nothing comes any more may be cut.
func ClosedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

var (
	errNoResponse  = errors.New("received only interim responses or responses to other requests")
	errHeadTooLong = errors.New("response head is longer than allowed")
	errBodyTooLong = errors.New("response body is longer than allowed")
	errTooMuchHeld = errors.New("responses that are received at the same time take more memory than allowed, this one most")
	errNotHTTP1    = errors.New("response is not HTTP/1")
	errNoID        = errors.New("response on a connection that carried another request does not say which it is for")
)
