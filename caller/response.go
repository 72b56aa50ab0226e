package caller

// This file defines how a request's events become an HTTP response. A response that is
// not streamed is collected completely before it is written, so that a header can state
// its outcome. A stream is forwarded event by event; if it fails, it ends with an error
// event and the connection is closed without the end of the body.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"bulrushtally/request"
)

// maxCollectedBytes is the maximum body size of a response that is not streamed.
const maxCollectedBytes = 64 << 20

// maxQueuedEvents is the maximum number of events of a response that are buffered for
// the caller's connection. Further events block the sender.
const maxQueuedEvents = 16

// disconnectCheckInterval is the interval at which the connection of a caller that waits
// for the first event is checked.
const disconnectCheckInterval = 250 * time.Millisecond

// serve forwards a request and writes its response. The idempotency key of a request
// that is not repeatable is claimed first; other requests do not need it.
func (s *Server) serve(c *fiber.Ctx, r *request.Request) error {
	key := c.Get(HeaderIdempotencyKey)
	if key == "" || r.Repeatable {
		return s.forward(c, r)
	}
	return s.serveWithIdempotencyKey(c, r, key)
}

// exchange is a request that a handler has passed to the EntryRouter, with the events of
// its response.
type exchange struct {
	events chan request.Event
	ctx    context.Context
	cancel context.CancelFunc
}

// startExchange passes a request to the EntryRouter and returns the exchange. EventEnd is
// always delivered; other events are dropped after the exchange is canceled.
func (s *Server) startExchange(conn net.Conn, r *request.Request) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{events: make(chan request.Event, maxQueuedEvents), ctx: ctx, cancel: cancel}
	s.entry.Enqueue(ctx, r, func(e request.Event) error {
		if e.Kind == request.EventAdmitted {
			return nil
		}
		if e.Kind == request.EventEnd {
			go func() { x.events <- e }() // the handler may no longer read, which must not block the EntryRouter
			return nil
		}
		select {
		case x.events <- e:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	return x
}

// firstEvent waits for the first event and returns it. If the caller disconnects before,
// it cancels the request and returns its EventEnd.
func (x *exchange) firstEvent(conn net.Conn) request.Event {
	t := time.NewTicker(disconnectCheckInterval)
	defer t.Stop()
	for {
		select {
		case e := <-x.events:
			return e
		case <-t.C:
			if callerDisconnected(conn) {
				x.cancel()
				return x.awaitEnd()
			}
		}
	}
}

// awaitEnd discards events up to EventEnd and returns that.
func (x *exchange) awaitEnd() request.Event {
	for e := range x.events {
		if e.Kind == request.EventEnd {
			return e
		}
	}
	return request.Event{}
}

// forward passes a request to the EntryRouter and writes its response.
func (s *Server) forward(c *fiber.Ctx, r *request.Request) error {
	conn := c.Context().Conn()
	x := s.startExchange(conn, r)
	e := x.firstEvent(conn)
	if e.Kind == request.EventHead && r.Stream && e.Status == fiber.StatusOK {
		s.writeStream(c, r, x, e)
		return nil
	}
	defer x.cancel()
	response := collectResponse(x, e)
	s.logRequestEnd(r, response.end)
	return response.write(c, r.ID)
}

// collectedResponse is a response that has ended.
type collectedResponse struct {
	status  int
	headers []request.Header
	body    []byte
	end     request.Event
}

// collectResponse reads events, starting with first, up to EventEnd. If the body exceeds
// maxCollectedBytes, it cancels the request and returns a failure.
func collectResponse(x *exchange, first request.Event) collectedResponse {
	var a collectedResponse
	for e := first; ; e = <-x.events {
		switch e.Kind {
		case request.EventHead:
			a.status, a.headers = e.Status, e.Headers
		case request.EventData:
			a.body = append(a.body, e.Data...)
			if len(a.body) > maxCollectedBytes {
				x.cancel()
				a.end = x.awaitEnd()
				a.end.Failure = request.NewFailure(request.CodeTooLarge, "answer is over %d bytes", maxCollectedBytes)
				return a
			}
		case request.EventEnd:
			a.end = e
			return a
		}
	}
}

// write writes the response, or its failure, to the caller.
func (a *collectedResponse) write(c *fiber.Ctx, requestID string) error {
	if a.end.Failure != nil {
		return writeFailure(c, requestID, a.end.Outcome, a.end.Failure, 0)
	}
	setResponseHeaders(c, a.headers)
	c.Set(HeaderRequestID, requestID)
	c.Set(HeaderOutcome, string(a.end.Outcome))
	return c.Status(a.status).Send(a.body)
}

// droppedResponseHeaders are the headers of a backend server's response that are not
// forwarded. Most of them apply only to the connection to that server.
var droppedResponseHeaders = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Content-Length": true, "Keep-Alive": true, "Server": true, "Date": true, "X-Request-Id": true,
}

// setResponseHeaders sets all headers but droppedResponseHeaders.
func setResponseHeaders(c *fiber.Ctx, list []request.Header) {
	for _, h := range list {
		if !droppedResponseHeaders[h.Name] {
			c.Set(h.Name, h.Value)
		}
	}
}

// errStreamInterrupted makes the HTTP server close the connection of a stream that did
// not end normally.
var errStreamInterrupted = errors.New("stream broke off")

// writeStream sets the head of a streamed response and has the HTTP server read its body
// from a streamReader. After a failure the connection is closed without the end of the
// body, so that no client takes a partial response for a complete one.
func (s *Server) writeStream(c *fiber.Ctx, r *request.Request, x *exchange, head request.Event) {
	setResponseHeaders(c, head.Headers)
	c.Set(HeaderRequestID, r.ID)
	c.Set(HeaderOutcome, string(request.OutcomeRan))
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Status(head.Status)
	c.Context().SetBodyStream(&streamReader{server: s, request: r, exchange: x}, -1)
}

// streamReader is the body of a streamed response. Each Read returns data of one event.
type streamReader struct {
	server   *Server
	request  *request.Request
	exchange *exchange
	unread   []byte // remaining data of the last event
	err      error  // result of further Reads, set when the response has ended or was closed
}

var _ io.ReadCloser = (*streamReader)(nil)

// Read implements io.Reader. It returns io.EOF after a complete response and
// errStreamInterrupted after a failure, whose error event it returns as data first.
func (r *streamReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		e := <-r.exchange.events
		if e.Kind == request.EventEnd {
			r.finish(e)
			continue
		}
		r.unread = e.Data
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// finish records the end of the response.
func (r *streamReader) finish(e request.Event) {
	r.server.logRequestEnd(r.request, e)
	r.err = io.EOF
	if e.Failure != nil {
		r.err = errStreamInterrupted
		r.unread = fmt.Appendf(nil, "event: error\ndata: %s\n\n", failureJSON(r.request.ID, e.Outcome, e.Failure))
	}
}

// Close cancels the request if its response has not ended.
func (r *streamReader) Close() error {
	r.exchange.cancel()
	if r.err == nil {
		r.err = errStreamInterrupted
		go func() { r.server.logRequestEnd(r.request, r.exchange.awaitEnd()) }()
	}
	return nil
}

// failureBody is the JSON body of a failure response.
type failureBody struct {
	Error failureFields `json:"error"`
}

// failureFields are the fields of a failure response. Request is the request ID.
type failureFields struct {
	Code    request.Code    `json:"code"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy"`
	Outcome request.Outcome `json:"outcome"`
	Request string          `json:"request,omitempty"`
}

// failureJSON returns the JSON body of a failure response.
func failureJSON(requestID string, o request.Outcome, f *request.Failure) []byte {
	data, err := json.Marshal(failureBody{failureFields{f.Code, f.Detail, f.Remedy(), o, requestID}})
	if err != nil {
		return []byte("{}")
	}
	return data
}

// writeFailure writes a failure response. If status is 0, the HTTP status is that of the
// failure's code.
func writeFailure(c *fiber.Ctx, requestID string, o request.Outcome, f *request.Failure, status int) error {
	if status == 0 {
		status = f.HTTPStatus()
	}
	if requestID != "" {
		c.Set(HeaderRequestID, requestID)
	}
	c.Set(HeaderOutcome, string(o))
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(failureJSON(requestID, o, f))
}

// logRequestEnd logs the outcome of a request, at level info if it failed.
func (s *Server) logRequestEnd(r *request.Request, end request.Event) {
	e := s.options.Logger.Debug()
	if end.Failure != nil {
		e = s.options.Logger.Info().Str("code", string(end.Failure.Code)).Str("detail", end.Failure.Detail)
	}
	e.Str("request", r.ID).Str("customer", r.Customer).Str("service", r.Service).
		Str("vm", s.options.VM).Str("zone", s.options.Zone).Str("outcome", string(end.Outcome)).Msg("request-ended")
}
