package ingress

// This file defines Flow, which takes a request from its head to its final answer.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/placement"
	"bulrushtally/route"
	"bulrushtally/upstream"
)

// Suspects finds requests that crash the backend servers that run them.
type Suspects interface {
	Refused(now time.Time, digest uint64) bool
	Crashed(now time.Time, digest uint64)
	Cleared(digest uint64)
}

// Moved says where the memory of a request is that was to move.
type Moved struct {
	From   string // to be named when the request goes on
	Copied bool   // the other engine has it; if not, only the one that ran the request
}

// Mover hands running requests over from one engine to another.
type Mover interface {
	// Move stops a request at an engine and copies its memory to another one. It
	// reports false if the request goes on where it was.
	Move(ctx context.Context, source, id, target string) (Moved, bool)
	// Free lets the engine that stopped a request forget its memory.
	Free(m Moved)
}

// Options describe a Flow.
type Options struct {
	Dialect  *Dialect
	View     *route.View
	Place    *placement.Placement
	Upstream *upstream.Pool
	Suspects Suspects
	Mover    Mover
	Clock    func() time.Duration // goes on while the VM is suspended
	Lease    time.Duration        // a key is accepted for so long after the last proof that the configuration is the newest
	Settle   time.Duration        // a request is refused for good only with a proof that is younger
	Logger   zerolog.Logger
	Metrics  tally.Scope
}

// Flow serves requests; it may be used from many goroutines.
type Flow struct {
	Options
	counts counters
}

// NewFlow returns a Flow.
func NewFlow(o Options) *Flow {
	return &Flow{Options: o, counts: newCounters(o.Metrics)}
}

func (f *Flow) limits() limits {
	t := f.View.Table()
	if t == nil {
		return defaultLimits
	}
	l := t.Limits()
	return limits{headBytes: l.HeaderBytes, bodyBytes: l.BodyBytes, head: l.HeaderTimeout, idle: l.IdleTimeout}
}

// call is one request on its way.
type call struct {
	flow *Flow
	conn *conn
	http *http.Request
	body []byte
	meta meta
	out  *reply

	table    *route.Table
	route    *route.Route
	service  *route.Service
	customer *route.Customer
	proofAge time.Duration

	heed     func() // notices from now on when the client leaves
	arrived  time.Time
	deadline time.Time
	digest   uint64
	ask      *placement.Ask
	tries    int
	mayRun   bool // some attempt may have run
	last     *verdict
	stream   *stream

	movedFrom string // where the memory of a moved request is
	moves     int

	queued     time.Duration // before the last attempt was sent
	firstAfter time.Duration // from the arrival to the first event
	expected   time.Duration // from the last send to the first event
	fetched    string        // address of the engine that shared parts were fetched from
	unread     int           // prompt tokens that the backend server was expected to read
}

// verdict is how a call ends if nothing better comes.
type verdict struct {
	status int
	cause  string
	after  time.Duration // when to come back, for a call that has not run
	seen   placement.Seen
	share  placement.ShareSeen
}

// serve serves one request and reports whether its connection stays usable.
func (f *Flow) serve(c *conn, r *http.Request, body []byte) bool {
	x := &call{flow: f, conn: c, http: r, body: body, arrived: time.Now()}
	x.meta = f.Dialect.read(r.Header)
	x.out = newReply(c, r)
	if v := x.resolve(); v != nil {
		return x.refuse(v)
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	x.heed = sync.OnceFunc(func() { c.heed(cancel) })
	v := x.run(ctx)
	c.watch.stop()
	if v != nil {
		return x.refuse(v)
	}
	x.log(x.out.status, &verdict{cause: "answered"})
	return x.out.keep
}

// resolve finds the route, the customer and the service, or says why the request ends here.
func (x *call) resolve() *verdict {
	f := x.flow
	now := f.Clock()
	table, age, proven := f.View.Age(now)
	x.table, x.proofAge = table, age
	if table == nil {
		return &verdict{status: 503, cause: "no-configuration", after: firstRetry}
	}
	certain := proven && age <= f.Settle
	path, _, _ := strings.Cut(x.http.RequestURI, "?")
	if x.route = table.Lookup(x.http.Host, path); x.route == nil {
		return unless(certain, &verdict{status: 404, cause: "no-route"})
	}
	if v := x.identify(proven && age <= f.Lease, certain); v != nil {
		return v
	}
	if x.service = x.route.Pick(rand.Float64()); x.service == nil {
		return &verdict{status: 503, cause: "no-service", after: firstRetry}
	}
	x.prepare()
	return nil
}

// firstRetry is when to come back to a router that does not know enough yet.
const firstRetry = 300 * time.Millisecond

// unless returns a final refusal only if it is certain under the newest configuration.
func unless(certain bool, v *verdict) *verdict {
	if certain {
		return v
	}
	return &verdict{status: 503, cause: v.cause + "-unproven", after: firstRetry}
}

// identify finds the customer by the key. A key counts only while the
// configuration is known to be the newest, since another one may have taken it away.
func (x *call) identify(fresh, certain bool) *verdict {
	key := x.http.Header.Get(x.flow.Dialect.Key)
	if !x.table.Keyed() {
		return nil
	}
	if x.route.Public {
		if fresh && key != "" {
			x.customer = x.table.Customer(key)
		}
		return nil
	}
	if !fresh {
		return &verdict{status: 503, cause: "key-unproven", after: firstRetry}
	}
	if x.customer = x.table.Customer(key); x.customer == nil {
		return unless(certain, &verdict{status: 401, cause: "no-key"})
	}
	return nil
}

// noDeadline stands for a client that says no deadline on a route without one.
const noDeadline = time.Minute

func (x *call) prepare() {
	wait := x.route.Timeout
	if wait <= 0 {
		wait = noDeadline
	}
	x.deadline = x.arrived.Add(wait)
	elapsed := time.Duration(0)
	if d := x.meta.deadline; d > 0 {
		if x.route.Kind == route.Stream {
			elapsed = max(0, wait-d)
		}
		if d < wait {
			x.deadline = x.arrived.Add(d)
		}
	}
	x.ask = &placement.Ask{
		Service: x.service.Name, Priority: x.route.Priority,
		Within: x.route.Objective, Pause: x.route.GapObjective, Objective: x.arrived.Add(x.route.Objective - elapsed), Deadline: x.deadline,
		Late: elapsed > x.route.Objective,
	}
	if x.customer != nil {
		x.ask.Customer = x.customer.Name
		if x.customer.Priority >= 0 {
			x.ask.Priority = x.customer.Priority
		}
	}
	if x.service.Engine() {
		x.ask.Prompt, x.ask.Output, x.ask.Parts = x.meta.prompt, x.meta.output, x.meta.parts
	}
	x.digest = x.fingerprint()
	if x.route.Kind == route.Stream {
		x.stream = newStream(x.route.Resumable, x.http.Header.Get(x.flow.Dialect.LastEvent))
	}
}

// fingerprint identifies a request that comes again: the same path, customer and body.
func (x *call) fingerprint() uint64 {
	h := xxhash.New()
	h.WriteString(x.http.Method)
	h.WriteString(x.http.RequestURI)
	h.WriteString("\n" + x.ask.Customer + "\n")
	h.Write(x.body)
	if len(x.body) == 0 {
		h.WriteString(x.meta.id) // nothing else tells such requests apart
	}
	return h.Sum64()
}

// maxUnreached is how many backend servers that cannot be reached are passed over.
const maxUnreached = 3

// run tries backend servers until there is a final answer. It returns nil if the
// answer was passed on, or how the call ends otherwise.
func (x *call) run(ctx context.Context) *verdict {
	f := x.flow
	if f.Suspects.Refused(x.arrived, x.digest) {
		return &verdict{status: 503, cause: "crashes-servers", after: x.route.Timeout}
	}
	f.Place.Arrived(x.arrived, x.ask)
	x.ask.Waits = x.heed
	unreached := 0
	for x.tries < max(1, x.route.MaxAttempts) && unreached < maxUnreached {
		grant, refusal := f.Place.Admit(ctx, x.ask)
		if refusal != nil {
			return x.unplaced(ctx, refusal)
		}
		if x.conn.left() {
			grant.Unsent(time.Now())
			return &verdict{status: 502, cause: causeLeft}
		}
		x.heed()
		x.ask.Tried = append(x.ask.Tried, grant.ID())
		x.queued = time.Since(x.arrived)
		again, v := x.attempt(ctx, grant)
		if !again {
			return v
		}
		x.last = v
		if v.cause == causeUnreachable {
			unreached++
			continue
		}
		x.tries++
	}
	return x.settle(ctx)
}

// unplaced says how a call ends that got no backend server.
func (x *call) unplaced(ctx context.Context, r *placement.Refusal) *verdict {
	if x.last != nil && (x.mayRun || r.Reason == placement.NoBudget) {
		return x.settle(ctx)
	}
	if ctx.Err() != nil && !x.mayRun {
		return &verdict{status: 503, cause: string(placement.Left)}
	}
	return &verdict{status: 503, cause: string(r.Reason), after: r.After, seen: r.Seen, share: r.Share}
}

// settle turns the last failure into a final answer that is true of all attempts.
func (x *call) settle(ctx context.Context) *verdict {
	v := x.last
	switch {
	case v == nil:
		return &verdict{status: 503, cause: string(placement.NoServer), after: firstRetry}
	case !x.mayRun:
		return &verdict{status: 503, cause: v.cause, after: firstRetry}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &verdict{status: 504, cause: v.cause}
	}
	return &verdict{status: 502, cause: v.cause}
}

// The causes of failed attempts.
const (
	causeUnreachable = "unreachable"
	causeDeclined    = "declined"
	causeBroken      = "broken"
	causeUnsealed    = "unsealed"
	causeTimeout     = "timeout"
	causeLeft        = "client-left"
)

// refuse answers with a status of the router's own.
func (x *call) refuse(v *verdict) bool {
	if x.out.begun {
		x.log(x.out.status, v)
		return false // the answer has begun: only its missing end tells that it failed
	}
	x.out.fail(v)
	x.log(v.status, v)
	return x.out.keep
}

func (f *Flow) refuseHead(c *conn, e *headError) {
	o := &reply{conn: c, close: true}
	o.fail(&verdict{status: e.status, cause: e.text})
	f.counts.refused(e.status)
	f.Logger.Info().Int("status", e.status).Str("client", c.RemoteAddr().String()).Msg("head-refused")
}
