package caller

// This file defines how a request's events become an HTTP answer. A whole answer
// is collected first and carries its outcome in a header; a stream is passed on
// as it comes, and one that breaks ends in an error event and a cut connection.

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

// maxCollected bounds an answer that is not streamed, in bytes.
const maxCollected = 64 << 20

// eventQueue is how many events of an answer may wait for the caller's connection.
const eventQueue = 16

// goneInterval is the time between two looks at whether a waiting caller is still there.
const goneInterval = 250 * time.Millisecond

// serve sees a request through, claiming its idempotency key first if it has one.
func (v *Server) serve(c *fiber.Ctx, r *request.Request) error {
	key := c.Get(HeaderKey)
	if key == "" || r.Repeatable {
		return v.forward(c, r)
	}
	return v.serveKeyed(c, r, key)
}

// exchange is one request between its handler and the entry.
type exchange struct {
	events chan request.Event
	ctx    context.Context
	cancel context.CancelFunc
}

func (v *Server) start(conn net.Conn, r *request.Request) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{events: make(chan request.Event, eventQueue), ctx: ctx, cancel: cancel}
	v.entry.Do(ctx, r, func(e request.Event) error {
		if e.Kind == request.EventAdmitted {
			return nil
		}
		if e.Kind == request.EventEnd {
			go func() { x.events <- e }() // also after the handler stopped reading
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

// first returns the first event, giving the request up if the caller leaves before.
func (x *exchange) first(conn net.Conn) request.Event {
	t := time.NewTicker(goneInterval)
	defer t.Stop()
	for {
		select {
		case e := <-x.events:
			return e
		case <-t.C:
			if gone(conn) {
				x.cancel()
				return x.last()
			}
		}
	}
}

// last reads on to the end.
func (x *exchange) last() request.Event {
	for e := range x.events {
		if e.Kind == request.EventEnd {
			return e
		}
	}
	return request.Event{}
}

// forward sends a request and writes its answer.
func (v *Server) forward(c *fiber.Ctx, r *request.Request) error {
	conn := c.Context().Conn()
	x := v.start(conn, r)
	e := x.first(conn)
	if e.Kind == request.EventHead && r.Stream && e.Status == fiber.StatusOK {
		v.writeStream(c, r, x, e)
		return nil
	}
	defer x.cancel()
	a := collect(x, e)
	v.log(r, a.end)
	return a.write(c, r.Number)
}

// collected is an answer that has come to its end.
type collected struct {
	status  int
	headers []request.Header
	body    []byte
	end     request.Event
}

func collect(x *exchange, first request.Event) collected {
	var a collected
	for e := first; ; e = <-x.events {
		switch e.Kind {
		case request.EventHead:
			a.status, a.headers = e.Status, e.Headers
		case request.EventData:
			a.body = append(a.body, e.Data...)
			if len(a.body) > maxCollected {
				x.cancel()
				a.end = x.last()
				a.end.Failure = request.Fail(request.CodeTooLarge, "answer is over %d bytes", maxCollected)
				return a
			}
		case request.EventEnd:
			a.end = e
			return a
		}
	}
}

func (a *collected) write(c *fiber.Ctx, number string) error {
	if a.end.Failure != nil {
		return writeFailure(c, number, a.end.Outcome, a.end.Failure, 0)
	}
	setHeaders(c, a.headers)
	c.Set(HeaderRequest, number)
	c.Set(HeaderOutcome, string(a.end.Outcome))
	return c.Status(a.status).Send(a.body)
}

// droppedHeaders are the answer headers that concern one connection only.
var droppedHeaders = map[string]bool{
	"Connection": true, "Transfer-Encoding": true, "Content-Length": true, "Keep-Alive": true, "Server": true, "Date": true, "X-Request-Id": true,
}

func setHeaders(c *fiber.Ctx, list []request.Header) {
	for _, h := range list {
		if !droppedHeaders[h.Name] {
			c.Set(h.Name, h.Value)
		}
	}
}

var errStreamBroke = errors.New("stream broke off")

// writeStream passes a stream on. The connection is cut at a failure, so that no
// client takes a part for the whole.
func (v *Server) writeStream(c *fiber.Ctx, r *request.Request, x *exchange, head request.Event) {
	setHeaders(c, head.Headers)
	c.Set(HeaderRequest, r.Number)
	c.Set(HeaderOutcome, string(request.Ran))
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Status(head.Status)
	c.Context().SetBodyStream(&streamReader{server: v, request: r, exchange: x}, -1)
}

// streamReader is an answer's body as the HTTP server reads it, event by event.
type streamReader struct {
	server   *Server
	request  *request.Request
	exchange *exchange
	rest     []byte // of the last event
	err      error  // once the last event came
}

var _ io.ReadCloser = (*streamReader)(nil)

// Read returns the next part of the answer.
func (s *streamReader) Read(p []byte) (int, error) {
	for len(s.rest) == 0 {
		if s.err != nil {
			return 0, s.err
		}
		e := <-s.exchange.events
		if e.Kind == request.EventEnd {
			s.end(e)
			continue
		}
		s.rest = e.Data
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *streamReader) end(e request.Event) {
	s.server.log(s.request, e)
	s.err = io.EOF
	if e.Failure != nil {
		s.err = errStreamBroke
		s.rest = fmt.Appendf(nil, "event: error\ndata: %s\n\n", failureJSON(s.request.Number, e.Outcome, e.Failure))
	}
}

// Close gives the rest of the answer up, if there is any.
func (s *streamReader) Close() error {
	s.exchange.cancel()
	if s.err == nil {
		s.err = errStreamBroke
		go func() { s.server.log(s.request, s.exchange.last()) }()
	}
	return nil
}

// failureBody is the JSON form of a failure.
type failureBody struct {
	Error failureFields `json:"error"`
}

type failureFields struct {
	Code    request.Code    `json:"code"`
	Message string          `json:"message"`
	Remedy  string          `json:"remedy"`
	Outcome request.Outcome `json:"outcome"`
	Request string          `json:"request,omitempty"`
}

func failureJSON(number string, o request.Outcome, f *request.Failure) []byte {
	data, err := json.Marshal(failureBody{failureFields{f.Code, f.Detail, f.Remedy(), o, number}})
	if err != nil {
		return []byte("{}")
	}
	return data
}

// writeFailure writes a failure; a status of 0 stands for the failure's own.
func writeFailure(c *fiber.Ctx, number string, o request.Outcome, f *request.Failure, status int) error {
	if status == 0 {
		status = f.Status()
	}
	if number != "" {
		c.Set(HeaderRequest, number)
	}
	c.Set(HeaderOutcome, string(o))
	if f.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(failureJSON(number, o, f))
}

func (v *Server) log(r *request.Request, end request.Event) {
	e := v.options.Logger.Debug()
	if end.Failure != nil {
		e = v.options.Logger.Info().Str("code", string(end.Failure.Code)).Str("detail", end.Failure.Detail)
	}
	e.Str("request", r.Number).Str("customer", r.Customer).Str("service", r.Service).
		Str("vm", v.options.VM).Str("zone", v.options.Zone).Str("outcome", string(end.Outcome)).Msg("request-ended")
}
