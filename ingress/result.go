package ingress

// This file defines result, how a call ends that no backend server answered, and chooses the result of each such call: it is 429
// or 503 only if the request has not run.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bulrushtally/placement"
)

// result is how a call ends, unless a later attempt succeeds.
type result struct {
	status     int
	cause      string
	retryAfter time.Duration // value of Retry-After, for a request that has not run
	servers    placement.Rejections
	share      placement.ShareState
}

// defaultRetryAfter is the Retry-After of a failure that does not determine one.
const defaultRetryAfter = 300 * time.Millisecond

// finalOrRetry returns a final refusal if the configuration was recently confirmed
// current, and otherwise a result that asks the caller to retry.
func finalOrRetry(recent bool, v *result) *result {
	if recent {
		return v
	}
	return &result{status: 503, cause: v.cause + "-unproven", retryAfter: defaultRetryAfter}
}

// stoppingRetryAfter is the Retry-After of a request that has not run since the router stops: another router takes it at once.
const stoppingRetryAfter = 50 * time.Millisecond

// stoppingResult returns how a call ends that has not run since the router stops.
func stoppingResult() *result {
	return &result{status: http.StatusServiceUnavailable, cause: causeStopping, retryAfter: stoppingRetryAfter}
}

// holdResult returns how a call ends whose request must not run (again).
func (x *call) holdResult() *result {
	if x.mayHaveRun {
		return &result{status: 502, cause: causeQuarantined}
	}
	return &result{status: 503, cause: causeQuarantined, retryAfter: x.route.Timeout}
}

// refusalResult returns how a call ends that was not placed on a backend server.
func (x *call) refusalResult(ctx context.Context, r *placement.Refusal) *result {
	if x.lastFailure != nil && (x.mayHaveRun || r.Reason == placement.NoRetryBudget) {
		return x.finalFailure(ctx)
	}
	if stopped(ctx) {
		return x.contextEnded(ctx)
	}
	if ctx.Err() != nil && !x.mayHaveRun {
		return &result{status: 503, cause: string(placement.Canceled)}
	}
	status := http.StatusServiceUnavailable
	if r.Reason == placement.OverShare {
		status = http.StatusTooManyRequests // the customer's own requests are why, not the service
	}
	return &result{status: status, cause: string(r.Reason), retryAfter: r.RetryAfter, servers: r.Rejections, share: r.Share}
}

// finalFailure returns the result of a call after its last failed attempt. Its status is
// 503 only if no attempt may have run the request.
func (x *call) finalFailure(ctx context.Context) *result {
	v := x.lastFailure
	switch {
	case v == nil:
		return &result{status: 503, cause: string(placement.NoServer), retryAfter: defaultRetryAfter}
	case !x.mayHaveRun:
		return &result{status: 503, cause: v.cause, retryAfter: defaultRetryAfter}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &result{status: 504, cause: v.cause}
	}
	return &result{status: 502, cause: v.cause}
}

// Causes of failed attempts, as sent to callers, logged and counted.
const (
	causeQuarantined    = "crashes-servers"
	causeUnreachable    = "unreachable"
	causeRevoked        = "server-revoked" // before the request was sent
	causeDeclined       = "declined"
	causeBroken         = "broken"
	causeUnsealed       = "unsealed"
	causeTimeout        = "timeout"
	causeLeft           = "client-left"
	causeStopping       = "stopping"
	causeVersionStopped = "version-stopped" // by the roll-out, just before the request was sent
	causeNoStream       = "version-unknown" // of the servers that began the stream which the caller takes up
)

// writeFailure writes an error response of the router and reports whether the connection
// can be used for another request.
func (x *call) writeFailure(v *result) bool {
	if x.response.started {
		x.logResult(x.response.status, v)
		return false // only the missing end of the response can still show that it failed
	}
	x.response.writeError(v)
	x.logResult(v.status, v)
	return x.response.keepConn
}

// stopped reports whether ctx has ended because the router's time to stop has.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// contextEnded returns how a call ends after ctx was canceled because the caller
// disconnected or the router stops, or after its deadline passed.
func (x *call) contextEnded(ctx context.Context) *result {
	switch {
	case stopped(ctx) && x.mayHaveRun:
		return &result{status: 504, cause: causeStopping}
	case stopped(ctx):
		return stoppingResult()
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &result{status: 502, cause: causeLeft}
	case x.mayHaveRun:
		return &result{status: 504, cause: causeTimeout}
	}
	return &result{status: 503, cause: causeTimeout}
}
