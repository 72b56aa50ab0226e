package ingress

// This file defines attempts: one request on one backend server.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"bulrushtally/placement"
	"bulrushtally/upstream"
)

// attempt sends the request to a backend server. It reports whether another one
// may be tried, with how the call ends if none is; a nil verdict means that the
// final answer was passed on.
func (x *call) attempt(ctx context.Context, g *placement.Grant) (again bool, v *verdict) {
	x.flow.counts.attempts.Inc(1)
	ex, err := x.flow.Upstream.Send(ctx, g.Address(), x.outgoing(g))
	if err != nil {
		return x.unanswered(ctx, g, err)
	}
	defer ex.Close()
	status := ex.Status()
	if x.declined(ex) {
		io.CopyN(io.Discard, ex, 1<<16)
		x.end(g, placement.Declined)
		return true, &verdict{status: 503, cause: causeDeclined, after: firstRetry}
	}
	x.mayRun = true
	if status/100 == 2 && ex.Header().Get(x.flow.Dialect.Seal) == "" {
		x.end(g, placement.Failed)
		return x.route.Repeats(), &verdict{status: 502, cause: causeUnsealed}
	}
	if x.stream != nil && status == http.StatusOK {
		return x.pass(ctx, g, ex)
	}
	return x.whole(ctx, g, ex)
}

// declined reports whether the backend server says that it has not run the request.
func (x *call) declined(ex *upstream.Exchange) bool {
	return ex.Header().Get(x.flow.Dialect.NotRun) != "" || ex.Status() == http.StatusMisdirectedRequest
}

// unanswered judges an attempt without an answer.
func (x *call) unanswered(ctx context.Context, g *placement.Grant, err error) (again bool, v *verdict) {
	var dial *upstream.DialError
	var broken *upstream.BrokenError // a run that could not go on may wrap a DialError
	unsent := !errors.As(err, &broken) && errors.As(err, &dial)
	if !unsent {
		x.mayRun = true
	}
	switch {
	case ctx.Err() != nil && unsent:
		g.Unsent(time.Now())
		return false, x.overdue(ctx)
	case ctx.Err() != nil:
		x.end(g, x.patienceOutcome(ctx))
		return false, x.overdue(ctx)
	case unsent:
		x.end(g, placement.Unreachable)
		return true, &verdict{status: 503, cause: causeUnreachable, after: firstRetry}
	}
	x.end(g, placement.Broken)
	x.flow.Suspects.Crashed(time.Now(), x.digest)
	if x.flow.Suspects.Refused(time.Now(), x.digest) {
		return false, &verdict{status: 502, cause: causeBroken}
	}
	return x.repeatable(), &verdict{status: 502, cause: causeBroken}
}

// repeatable reports whether a second run is allowed after one that broke off.
func (x *call) repeatable() bool {
	return x.route.Repeats() || x.stream != nil && x.stream.resumable
}

// overdue says how a call ends whose client left or whose time is over.
func (x *call) overdue(ctx context.Context) *verdict {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &verdict{status: 502, cause: causeLeft}
	case x.mayRun:
		return &verdict{status: 504, cause: causeTimeout}
	}
	return &verdict{status: 503, cause: causeTimeout}
}

// patienceOutcome tells a server that stayed silent from a client that left.
func (x *call) patienceOutcome(ctx context.Context) placement.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return placement.Silent
	}
	return placement.GivenUp
}

func (x *call) end(g *placement.Grant, o placement.Outcome) {
	if g.End(time.Now(), o) {
		x.flow.Logger.Warn().Str("server", g.ID()).Str("request", x.meta.id).Msg("server-ejected")
	}
}

// whole passes on an answer that is not a stream, once it is complete.
func (x *call) whole(ctx context.Context, g *placement.Grant, ex *upstream.Exchange) (again bool, v *verdict) {
	body, err := ex.ReadAll()
	if err != nil {
		return x.unanswered(ctx, g, err)
	}
	g.First(time.Now())
	failed := ex.Status() >= 500
	if failed {
		x.end(g, placement.Failed)
	} else {
		x.end(g, placement.Done)
	}
	x.flow.Suspects.Cleared(x.digest)
	if failed && x.route.Repeats() && x.tries+1 < x.route.MaxAttempts {
		if better, v := x.repeat(ctx); better {
			return false, v
		}
	}
	x.out.whole(ex.Status(), x.passed(ex.Header()), body)
	return false, nil
}

// repeat runs a request again whose answer was a failure of the backend server, and
// reports whether a better answer was passed on.
func (x *call) repeat(ctx context.Context) (better bool, v *verdict) {
	x.tries++
	g, refusal := x.flow.Place.Admit(ctx, x.ask)
	if refusal != nil {
		return false, nil
	}
	x.ask.Tried = append(x.ask.Tried, g.ID())
	ex, err := x.flow.Upstream.Send(ctx, g.Address(), x.outgoing(g))
	if err != nil {
		x.unanswered(ctx, g, err)
		return false, nil
	}
	defer ex.Close()
	if x.declined(ex) || ex.Status()/100 != 2 || ex.Header().Get(x.flow.Dialect.Seal) == "" {
		x.end(g, placement.Failed)
		return false, nil
	}
	body, err := ex.ReadAll()
	if err != nil {
		x.unanswered(ctx, g, err)
		return false, nil
	}
	g.First(time.Now())
	x.end(g, placement.Done)
	x.out.whole(ex.Status(), x.passed(ex.Header()), body)
	return true, nil
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// outgoingHead is about the length of a request's head, in bytes.
const outgoingHead = 768

// minLeft is the least deadline that is handed to a backend server.
const minLeft = time.Millisecond

// outgoing returns the request as it goes to a backend server.
func (x *call) outgoing(g *placement.Grant) *upstream.Request {
	d, r := x.flow.Dialect, x.http
	b := make([]byte, 0, outgoingHead+min(len(x.body), upstream.InlineBody))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	named := connectionNames(r.Header)
	for name, values := range r.Header {
		if hopHeaders[name] || named[name] || x.reserved(name) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	left := max(minLeft, time.Until(x.deadline))
	b = appendHeader(b, d.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	b = appendHeader(b, d.Expect, g.ID())
	if x.customer != nil {
		b = appendHeader(b, d.Customer, x.customer.Name)
	}
	if g.Fetch() != "" && x.movedFrom == "" {
		x.fetched = g.Fetch()
		b = appendHeader(b, d.Fetch, x.fetched)
	}
	if x.movedFrom != "" {
		b = appendHeader(b, d.MoveFrom, x.movedFrom)
	}
	if x.stream != nil && x.stream.lastID != "" {
		b = appendHeader(b, d.LastEvent, x.stream.lastID)
	}
	if len(x.body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(x.body)))
	}
	b = append(b, "\r\n"...)
	return &upstream.Request{
		Method: r.Method, Head: b, Body: x.body, IDHeader: d.RequestID, ID: x.meta.id, Young: !x.repeatable(),
	}
}

// reserved reports whether a header is the router's alone to set.
func (x *call) reserved(name string) bool {
	d := x.flow.Dialect
	switch name {
	case d.Deadline, d.Expect, d.Customer, d.Key, d.Fetch, d.MoveFrom:
		return true
	case d.LastEvent:
		return x.stream != nil
	}
	for _, r := range d.Reserved {
		if name == r {
			return true
		}
	}
	return false
}

// connectionNames returns the headers that Connection names, or nil.
func connectionNames(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			n = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))
			if n == "Close" || n == "Keep-Alive" || n == "" {
				continue
			}
			if names == nil {
				names = map[string]bool{}
			}
			names[n] = true
		}
	}
	return names
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// passed returns the header of a backend server's answer as it goes to the client.
func (x *call) passed(h http.Header) []byte {
	named := connectionNames(h)
	b := make([]byte, 0, 512)
	for name, values := range h {
		if hopHeaders[name] || named[name] {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	return b
}
