package ingress

// This file defines attempts. An attempt sends a request to one backend server.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushtally/placement"
	"bulrushtally/quarantine"
	"bulrushtally/upstream"
)

// attempt sends the request to a backend server and forwards the response. It reports
// whether another backend server may be tried, and returns how the call ends if none is
// tried. A nil result means that the final response was forwarded.
func (x *call) attempt(ctx context.Context, g *placement.Grant) (retry bool, v *result) {
	x.flow.metrics.attempts.Inc(1)
	x.keepVersion(g)
	ex, err := x.send(ctx, g)
	if err != nil {
		return x.attemptError(ctx, g, err)
	}
	defer ex.Close()
	status := ex.Status()
	if x.declined(ex) {
		io.CopyN(io.Discard, ex, 1<<16)
		x.endGrant(g, placement.Declined)
		return true, &result{status: 503, cause: causeDeclined, retryAfter: defaultRetryAfter}
	}
	x.mayHaveRun = true
	if status/100 == 2 && ex.Header().Get(x.flow.Headers.ResponseSeal) == "" {
		x.endGrant(g, placement.ServerError)
		return x.route.CanRepeat(), &result{status: 502, cause: causeUnsealed}
	}
	if x.stream != nil && status == http.StatusOK {
		return x.forwardStream(ctx, g, ex)
	}
	if x.response.started { // no other answer fits into the stream that the caller has got so far
		x.endGrant(g, placement.ServerError)
		return x.rerunAllowed(), &result{status: 502, cause: causeBroken}
	}
	return x.forwardResponse(ctx, g, ex)
}

// errRevoked is the error of a request that was not sent, since its backend server was to get no more requests by the time a
// connection was ready.
var errRevoked = errors.New("request was not sent, since the backend server is to get no more requests")

// send sends the request to the backend server of a grant, unless the caller has left, the server is to get no more requests
// or the request must not run any more by the time a connection is ready. On a busy VM that may be seconds after the grant.
func (x *call) send(ctx context.Context, g *placement.Grant) (*upstream.Exchange, error) {
	r := x.buildRequest(g)
	revoked := false
	r.Abandoned = func() bool { // the roll-out last, since it counts what is sent, and the connection before: the checks before it may wait for locks
		if x.quarantined() || x.mayOutlastStop() {
			return true
		}
		revoked = g.Revoked(time.Now())
		return revoked || x.conn.closedByCaller() || x.versionStopped(g)
	}
	r.NewConnection = slices.Contains(x.sentTo, g.ID())
	x.sentTo = append(x.sentTo, g.ID())
	ex, err := x.flow.Upstream.Send(ctx, g.Address(), r)
	if revoked {
		x.logRevoked(g)
		return nil, errRevoked
	}
	if err == nil && ex.Status() != http.StatusMisdirectedRequest { // that one would be from another server
		st := x.flow.Headers.statementOf(ex.Status(), ex.Header())
		c := g.RecordStatement(time.Now(), st)
		x.flow.logStatement(x.meta.id, g, st, c)
	}
	return ex, err
}

// declined reports whether the response states that the backend server has not run the request.
func (x *call) declined(ex *upstream.Exchange) bool {
	return ex.Header().Get(x.flow.Headers.NotExecuted) != "" || ex.Status() == http.StatusMisdirectedRequest
}

// attemptError ends an attempt that failed with err before its response was complete.
// It records the result and returns what attempt returns.
func (x *call) attemptError(ctx context.Context, g *placement.Grant, err error) (retry bool, v *result) {
	var dial *upstream.DialError
	var broken *upstream.ResponseError // may wrap a DialError when a migrated request could not continue, though the request has run
	abandoned := errors.Is(err, upstream.ErrAbandoned)
	revoked := errors.Is(err, errRevoked)
	unsent := abandoned || revoked || !errors.As(err, &broken) && errors.As(err, &dial)
	if !unsent {
		x.mayHaveRun = true
	}
	switch {
	case ctx.Err() != nil && unsent:
		g.EndUnsent(time.Now())
		return false, x.contextEnded(ctx)
	case revoked:
		g.EndUnsent(time.Now())
		return true, &result{status: 503, cause: causeRevoked, retryAfter: defaultRetryAfter}
	case abandoned && x.versionEnded:
		return x.retryOtherVersion(g)
	case abandoned && x.hold != nil:
		g.EndUnsent(time.Now())
		return false, x.holdResult()
	case abandoned && x.mayOutlastStop():
		g.EndUnsent(time.Now())
		return false, stoppingResult()
	case abandoned:
		g.EndUnsent(time.Now())
		return false, &result{status: 502, cause: causeLeft}
	case ctx.Err() != nil:
		x.endGrant(g, x.contextResult(ctx))
		return false, x.contextEnded(ctx)
	case unsent && dial.IsLate():
		x.endGrant(g, placement.DialedLate)
		x.flow.metrics.lateDials.Inc(1)
		return true, &result{status: 503, cause: causeUnreachable, retryAfter: defaultRetryAfter}
	case unsent:
		x.endGrant(g, placement.Unreachable)
		return true, &result{status: 503, cause: causeUnreachable, retryAfter: defaultRetryAfter}
	}
	x.endGrant(g, placement.Broken)
	x.logBroken(g, err)
	return x.recordBroken(g, err) && x.rerunAllowed(), &result{status: 502, cause: causeBroken}
}

// recordBroken records that a backend server broke off with err, and reports whether the request may be the cause
// of so few crashes that it may run at another server.
func (x *call) recordBroken(g *placement.Grant, err error) (mayRun bool) {
	answerBegan := x.stream != nil && x.stream.events >= provenEvents
	if answerBegan || !upstream.ClosedByServer(err) {
		return true // another request crashed the server, or it is not known to have crashed
	}
	q := x.flow.Quarantine
	c := quarantine.Crash{Server: g.ID(), StartedMs: g.ServerStartedMs()}
	now := time.Now()
	q.RecordCrash(now, c, now.Sub(g.SentAt()), x.identity)
	return q.Held(x.identity) == nil && !q.Accused(x.identity, c)
}

// recordCompleted records that the request ran to its end. begun says whether an answer to it had begun.
func (x *call) recordCompleted(begun bool) {
	q, now := x.flow.Quarantine, time.Now()
	if begun {
		q.RecordBegun(now, x.identity)
	}
	q.RecordCompleted(now, x.identity)
}

// rerunAllowed reports whether the request may run again after a run that failed midway.
func (x *call) rerunAllowed() bool {
	return x.route.CanRepeat() || x.stream != nil && x.stream.resumable && len(x.stream.lastID) <= maxEventIDBytes && !x.versionUnknown()
}

// contextResult returns placement.TimedOut if the deadline passed, and placement.Abandoned
// if the caller disconnected.
func (x *call) contextResult(ctx context.Context) placement.AttemptResult {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return placement.TimedOut
	}
	return placement.Abandoned
}

// endGrant ends a grant with the result of the attempt, and logs it if the backend server
// was ejected.
func (x *call) endGrant(g *placement.Grant, r placement.AttemptResult) {
	if g.End(time.Now(), r) {
		x.flow.Logger.Warn().Str("server", g.ID()).Str("request", x.meta.id).Msg("server-ejected")
	}
}

// forwardResponse reads a whole response that is not a stream and forwards it. After a 5xx
// response, a route that allows repeats and has attempts left sends the request once more;
// if that succeeds, the second response is forwarded instead.
func (x *call) forwardResponse(ctx context.Context, g *placement.Grant, ex *upstream.Exchange) (retry bool, v *result) {
	body, err := x.readAll(ex)
	if err != nil {
		return x.attemptError(ctx, g, err)
	}
	g.RecordFirstEvent(time.Now())
	failed := ex.Status() >= 500
	if failed {
		x.endGrant(g, placement.ServerError) // the server may have failed before it ran the request
	} else {
		x.endGrant(g, placement.Done)
		x.recordCompleted(true)
	}
	if failed && x.route.CanRepeat() && x.attempts+1 < x.route.MaxAttempts {
		if forwarded, v := x.retryServerError(ctx); forwarded {
			return false, v
		}
	}
	x.response.writeComplete(ex.Status(), x.responseHeader(ex.Header()), body)
	return false, nil
}

// readAll returns the body of a whole response. A success of which nothing came but its head, and no length says that this is
// all, was broken off.
func (x *call) readAll(ex *upstream.Exchange) ([]byte, error) {
	body, err := ex.ReadAll()
	mayBeEmpty := x.http.Method == http.MethodHead || ex.Status() == http.StatusNoContent || ex.Status()/100 != 2
	if err == nil && len(body) == 0 && ex.EndsWithConnection() && !mayBeEmpty {
		return nil, &upstream.ResponseError{Address: ex.Address(), Err: io.ErrUnexpectedEOF}
	}
	return body, err
}

// retryServerError sends a request again after a 5xx response, and reports whether a 2xx
// response was forwarded.
func (x *call) retryServerError(ctx context.Context) (forwarded bool, v *result) {
	x.attempts++
	g, _ := x.admit(ctx)
	if g == nil {
		return false, nil
	}
	x.placementRequest.Tried = append(x.placementRequest.Tried, g.ID())
	ex, err := x.send(ctx, g)
	if err != nil {
		x.attemptError(ctx, g, err)
		return false, nil
	}
	defer ex.Close()
	if x.declined(ex) || ex.Status()/100 != 2 || ex.Header().Get(x.flow.Headers.ResponseSeal) == "" {
		x.endGrant(g, placement.ServerError)
		return false, nil
	}
	body, err := x.readAll(ex)
	if err != nil {
		x.attemptError(ctx, g, err)
		return false, nil
	}
	g.RecordFirstEvent(time.Now())
	x.endGrant(g, placement.Done)
	x.response.writeComplete(ex.Status(), x.responseHeader(ex.Header()), body)
	return true, nil
}

// uncopiedHeaders are not copied from a request or a response: the hop-by-hop headers, and
// those that the router writes itself.
var uncopiedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// requestHeadBytes is the initial buffer capacity for a request head.
const requestHeadBytes = 768

// minSentDeadline is the shortest deadline that is sent to a backend server.
const minSentDeadline = time.Millisecond

// buildRequest returns the request to send to the backend server of a grant.
func (x *call) buildRequest(g *placement.Grant) *upstream.Request {
	names, r := x.flow.Headers, x.http
	b := make([]byte, 0, requestHeadBytes+min(len(x.body), upstream.MaxInlineBodyBytes))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	hopByHop := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if uncopiedHeaders[name] || hopByHop[name] || x.dropsHeader(name) {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	remaining := max(minSentDeadline, time.Until(x.deadline))
	b = appendHeader(b, names.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	b = appendHeader(b, names.ExpectedServer, g.ID())
	if x.customer != nil {
		b = appendHeader(b, names.Customer, x.customer.Name)
	}
	if g.KVFetchAddress() != "" && x.kvSource == "" {
		x.kvFetchedFrom = g.KVFetchAddress()
		b = appendHeader(b, names.KVFetch, x.kvFetchedFrom)
	}
	if x.kvSource != "" {
		b = appendHeader(b, names.KVSource, x.kvSource)
	}
	if x.stream != nil && x.stream.lastID != "" {
		b = appendHeader(b, names.LastEventID, x.stream.lastID)
	}
	if len(x.body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(x.body)))
	}
	b = append(b, "\r\n"...)
	return &upstream.Request{
		Method: r.Method, Head: b, Body: x.body, IDHeader: names.RequestID, ID: x.meta.id, NonRepeatable: !x.rerunAllowed(),
	}
}

// dropsHeader reports whether a caller's header is not forwarded, because the router sets
// the header itself or because it is not meant for backend servers.
func (x *call) dropsHeader(name string) bool {
	names := x.flow.Headers
	switch name {
	case names.Deadline, names.ExpectedServer, names.Customer, names.APIKey, names.KVFetch, names.KVSource:
		return true
	case names.LastEventID:
		return x.stream != nil
	}
	for _, r := range names.NotForwarded {
		if name == r {
			return true
		}
	}
	return false
}

// connectionHeaders returns the headers listed in Connection, which are hop-by-hop, or nil.
func connectionHeaders(h http.Header) map[string]bool {
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

// responseHeader returns the encoded response header for the caller, without uncopiedHeaders
// and the headers that Connection lists.
func (x *call) responseHeader(h http.Header) []byte {
	hopByHop := connectionHeaders(h)
	b := make([]byte, 0, 512)
	for name, values := range h {
		if uncopiedHeaders[name] || hopByHop[name] {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	return b
}
