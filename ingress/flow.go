package ingress

// This file defines Flow, which serves a request up to its final response.

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/placement"
	"bulrushtally/quarantine"
	"bulrushtally/route"
	"bulrushtally/upstream"
)

// Quarantine decides which requests must not run, because they crash the backend servers that run them.
type Quarantine interface {
	// Held returns why a request must not run, or nil if it may.
	Held(r quarantine.Identity) *quarantine.Hold
	// Accused reports whether the request may be the cause of another crash than c.
	Accused(r quarantine.Identity, c quarantine.Crash) bool
	// RecordCrash records that a backend server broke off that had the request for a time, before an answer to it
	// had begun without harm.
	RecordCrash(now time.Time, c quarantine.Crash, had time.Duration, r quarantine.Identity)
	// RecordBegun records that an answer to the request began, and the server was up afterwards.
	RecordBegun(now time.Time, r quarantine.Identity)
	// RecordCompleted records that the request ran to its end.
	RecordCompleted(now time.Time, r quarantine.Identity)
}

// Options configures a Flow.
type Options struct {
	Headers       *HeaderNames
	CurrentConfig *route.CurrentTable
	Placer        *placement.Placement
	Upstream      *upstream.Pool
	Quarantine    Quarantine
	Streams       Streams
	Rollouts      Rollouts // nil if the deployment has none
	Migrator      Migrator
	Clock         func() time.Duration // monotonic, also advances while the VM is suspended
	KeyMaxAge     time.Duration        // how long keys are accepted after the configuration was last confirmed current
	RefusalMaxAge time.Duration        // a request is refused for good (401, 404) only if the configuration was confirmed current within this time
	Logger        zerolog.Logger
	Metrics       tally.Scope
}

// Flow serves requests. It is safe for concurrent use.
type Flow struct {
	Options
	metrics flowMetrics
}

// NewFlow returns a Flow with the given options.
func NewFlow(o Options) *Flow {
	return &Flow{Options: o, metrics: newFlowMetrics(o.Metrics)}
}

// limits returns the limits of the current configuration, or defaultLimits without one.
func (f *Flow) limits() limits {
	t := f.CurrentConfig.Table()
	if t == nil {
		return defaultLimits
	}
	l := t.Limits()
	return limits{headBytes: l.HeaderBytes, bodyBytes: l.BodyBytes, headTimeout: l.HeaderTimeout, idleTimeout: l.IdleTimeout}
}

// call is the state of one request that is being served.
type call struct {
	flow     *Flow
	conn     *conn
	http     *http.Request
	body     []byte
	meta     requestMeta
	response *responseWriter

	table     *route.Table
	route     *route.Route
	service   *route.Service
	customer  *route.Customer
	configAge time.Duration // since the configuration was last confirmed current

	cancel           context.CancelFunc
	watchClose       func()        // from its call on, the request is canceled if the caller disconnects
	unwatchStop      func() bool   // while the request waits, ends the watch for a shutdown; returns false if that has come
	readTime         time.Duration // from conn.requestBegan until the request was read
	arrived          time.Time     // when the request was read
	callerDeadline   time.Time     // until when the caller and the route allow the request to take
	deadline         time.Time     // the same, or the end of the router's shutdown if that comes before
	identity         quarantine.Identity
	hold             *quarantine.Hold // why the request must not run, once that was found
	placementRequest *placement.Request
	attempts         int      // failed attempts so far, without those on unreachable backend servers
	sentTo           []string // IDs of the backend servers that the request was to be sent to, in order
	mayHaveRun       bool     // some backend server may have run the request
	lastFailure      *result
	stream           *stream
	versionChosen    bool             // the roll-out has counted the request
	holdsNewVersion  bool             // the roll-out chose the new version, and the request has not been sent
	answeredBy       *placement.Grant // whose first event the roll-out was told of last
	versionEnded     bool             // the roll-out goes on without the version of the server that the request was about to be sent to

	kvSource   string // location of a migrated request's KV cache, "" if none is to be sent
	migrations int

	sentAfter       time.Duration // from the arrival to the last attempt
	firstEventAfter time.Duration // from the arrival to the first event
	expectedFirst   time.Duration // expected time from the last attempt to the first event
	kvFetchedFrom   string        // backend server to fetch the KV cache of shared segments from, "" if none
	expectedPrefill int           // prompt tokens that the backend server was expected to prefill
}

// serve serves one request and reports whether the connection can be used for another.
func (f *Flow) serve(c *conn, r *http.Request, body []byte) bool {
	x := &call{flow: f, conn: c, http: r, body: body, arrived: time.Now()}
	x.readTime = x.arrived.Sub(c.requestBegan)
	f.metrics.readTime.RecordDuration(x.readTime)
	x.meta = f.Headers.parse(r.Header)
	x.response = newResponseWriter(c, r)
	if v := x.resolve(); v != nil {
		return x.writeFailure(v)
	}
	ctx, cancel := context.WithDeadline(c.server.requests, x.deadline)
	defer cancel()
	x.cancel = cancel
	x.watchClose = sync.OnceFunc(func() { c.watchClose(cancel) })
	v := x.run(ctx)
	c.watcher.stop()
	if v != nil {
		return x.writeFailure(v)
	}
	x.logResult(x.response.status, &result{cause: "answered"})
	return x.response.keepConn
}

// resolve finds the route, the customer and the service. It returns a result if the
// request cannot be served.
func (x *call) resolve() *result {
	f := x.flow
	now := f.Clock()
	table, age, confirmed := f.CurrentConfig.Age(now)
	x.table, x.configAge = table, age
	if table == nil {
		return &result{status: 503, cause: "no-configuration", retryAfter: defaultRetryAfter}
	}
	recent := confirmed && age <= f.RefusalMaxAge
	path, _, _ := strings.Cut(x.http.RequestURI, "?")
	if x.route = table.Lookup(x.http.Host, path); x.route == nil {
		return finalOrRetry(recent, &result{status: 404, cause: "no-route"})
	}
	if v := x.identifyCustomer(confirmed && age <= f.KeyMaxAge, recent); v != nil {
		return v
	}
	if x.service = x.route.Pick(x.share()); x.service == nil {
		return &result{status: 503, cause: "no-service", retryAfter: defaultRetryAfter}
	}
	x.preparePlacement()
	return nil
}

// identifyCustomer finds the customer by the API key. Keys are accepted only if keysValid
// is set, that is, if the configuration was confirmed current within KeyMaxAge, since a
// newer configuration may have revoked them. An unknown key is refused for good only if
// recent is set.
func (x *call) identifyCustomer(keysValid, recent bool) *result {
	key := x.http.Header.Get(x.flow.Headers.APIKey)
	if !x.table.KeysRequired() {
		return nil
	}
	if x.route.Public {
		if keysValid && key != "" {
			x.customer = x.table.Customer(key)
		}
		return nil
	}
	if !keysValid {
		return &result{status: 503, cause: "key-unproven", retryAfter: defaultRetryAfter}
	}
	if x.customer = x.table.Customer(key); x.customer == nil {
		return finalOrRetry(recent, &result{status: 401, cause: "no-key"})
	}
	return nil
}

// preparePlacement sets the deadline, the placement request, what may be quarantined and the stream
// state of the call. A caller's deadline can shorten the timeout of a route, but not extend it.
func (x *call) preparePlacement() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = route.DefaultTimeout
	}
	x.callerDeadline = x.arrived.Add(timeout)
	elapsed := time.Duration(0)
	if d := x.meta.deadline; d > 0 {
		if x.route.Kind == route.Stream {
			elapsed = max(0, timeout-d)
		}
		if d < timeout {
			x.callerDeadline = x.arrived.Add(d)
		}
	}
	x.deadline = x.callerDeadline
	if at := x.conn.server.stopsAt.Load(); at != nil && at.Before(x.deadline) {
		x.deadline = *at
	}
	x.placementRequest = &placement.Request{
		Service: x.service.Name, Priority: x.route.Priority,
		LatencyObjective: x.route.Objective, MaxEventGap: x.route.GapObjective, Objective: x.arrived.Add(x.route.Objective - elapsed), Deadline: x.deadline,
		Late: elapsed > x.route.Objective,
	}
	if x.customer != nil {
		x.placementRequest.Customer = x.customer.Name
		if x.customer.Priority >= 0 {
			x.placementRequest.Priority = x.customer.Priority
		}
	}
	if x.service.ServesModels() {
		x.placementRequest.PromptTokens, x.placementRequest.OutputTokens, x.placementRequest.Segments = x.meta.promptTokens, x.meta.outputTokens, x.meta.segments
	}
	x.identity = quarantine.Identity{Digest: x.computeDigest(), Parts: x.meta.parts}
	if x.route.Kind == route.Stream {
		x.prepareStream()
	}
}

// caller returns the customer by which like requests of several callers are told apart. That is nobody on a public route, where
// it depends on the age of the configuration whether a key counts.
func (x *call) caller() string {
	if x.route.Public {
		return ""
	}
	return x.placementRequest.Customer
}

// computeDigest returns a hash of the method, URI, caller and body of the request, which
// repetitions of the request share.
func (x *call) computeDigest() uint64 {
	h := xxhash.New()
	h.WriteString(x.http.Method)
	h.WriteString(x.http.RequestURI)
	h.WriteString("\n" + x.caller() + "\n")
	h.Write(x.body)
	return h.Sum64()
}

// maxUnreachable is how many backend servers that are unreachable, or get no more requests by then, are tried before a call fails.
// They do not count towards the route's MaxAttempts.
const maxUnreachable = 3

// run tries backend servers until there is a final response. It returns nil if the
// response was forwarded, or otherwise how the call ends.
func (x *call) run(ctx context.Context) *result {
	f := x.flow
	if x.quarantined() {
		return x.holdResult()
	}
	if x.mayOutlastStop() {
		return stoppingResult()
	}
	f.Placer.RecordArrival(x.arrived, x.placementRequest)
	x.placementRequest.OnWait = x.beginWait
	if x.takesUp() {
		if v := x.findVersion(ctx); v != nil {
			return v
		}
	}
	if x.stream != nil {
		defer x.recordStreamEnd(false)
	}
	defer x.releaseVersion()
	unreachable := 0
	for x.attempts < max(1, x.route.MaxAttempts) && unreachable < maxUnreachable {
		x.leaveVersion()
		grant, v := x.admit(ctx)
		if grant == nil {
			return v
		}
		x.watchClose()
		x.placementRequest.Tried = append(x.placementRequest.Tried, grant.ID())
		x.sentAfter = time.Since(x.arrived)
		retry, v := x.attempt(ctx, grant)
		if !retry {
			return v
		}
		x.lastFailure = v
		switch v.cause {
		case causeRevoked: // nothing was sent, so that the next send is no second one
			x.placementRequest.Tried = x.placementRequest.Tried[:len(x.placementRequest.Tried)-1]
			unreachable++
			continue
		case causeUnreachable, causeVersionStopped:
			unreachable++
			continue
		}
		x.attempts++
	}
	return x.finalFailure(ctx)
}

// admit waits until the request is placed on a backend server, or returns how the call ends if it is not. Its wait ends when a
// shutdown has come so far that the request may not be sent any more.
func (x *call) admit(ctx context.Context) (*placement.Grant, *result) {
	x.chooseVersion()
	grant, refusal := x.flow.Placer.Admit(ctx, x.placementRequest)
	x.observeAttempt(grant)
	if x.waitEndedByStop() {
		if grant != nil {
			grant.EndUnsent(time.Now())
		}
		return nil, stoppingResult()
	}
	if refusal != nil {
		return nil, x.refusalResult(ctx, refusal)
	}
	return grant, nil
}

// beginWait is called when the request begins to wait for a server. Most do not, and in a flood those that are refused at once must
// cost almost nothing.
func (x *call) beginWait() {
	x.watchClose()
	if x.mayHaveRun {
		return
	}
	server, deadline := x.conn.server, x.callerDeadline
	x.unwatchStop = context.AfterFunc(server.early, func() {
		if server.mayCutOff(deadline) {
			x.cancel()
		}
	})
}

// waitEndedByStop ends what beginWait began, and reports whether the shutdown has ended the wait, and with it the call.
func (x *call) waitEndedByStop() bool {
	unwatch := x.unwatchStop
	x.unwatchStop = nil
	return unwatch != nil && !unwatch() && x.mayOutlastStop()
}

// mayOutlastStop reports whether the request must not be sent, since the router's shutdown may cut it off. One that may have
// run already is sent again all the same: its caller cannot be told that it has not run.
func (x *call) mayOutlastStop() bool {
	return !x.mayHaveRun && x.conn.server.mayCutOff(x.callerDeadline)
}

// quarantined reports whether the request must not run. It is asked on arrival and again before each
// send, since the request may have waited, or run elsewhere, meanwhile.
func (x *call) quarantined() bool {
	x.hold = x.flow.Quarantine.Held(x.identity)
	return x.hold != nil
}

// rejectRequest writes the error response to a request whose head or body is invalid or too
// long.
func (f *Flow) rejectRequest(c *conn, e *requestError) {
	w := &responseWriter{conn: c, closeConn: true}
	w.writeError(&result{status: e.status, cause: e.text})
	f.metrics.requestRejected(e.status)
	f.Logger.Info().Int("status", e.status).Str("caller", c.RemoteAddr().String()).Msg("request-rejected")
}
