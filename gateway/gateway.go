package gateway

// This file defines Gateway: its construction, its tree of parts, and its stop.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"bulrushtally/follow"
	"bulrushtally/gossip"
	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/route"
	"bulrushtally/settings"
	"bulrushtally/supervise"
	"bulrushtally/upstream"
)

// Timing of a gateway.
const (
	configWait      = 1300 * time.Millisecond // a call for changes proves the configuration this often
	sharedWait      = 700 * time.Millisecond  // the same where few routers ask for all
	zoneAskers      = 2                       // routers of a zone that ask then
	serversWait     = 4000 * time.Millisecond
	feedPause       = 5 * time.Millisecond // for each router, between calls that bring changes
	longFeedPause   = 700 * time.Millisecond
	storeTimeout    = 700 * time.Millisecond
	leaseMargin     = 600 * time.Millisecond // of a key's time, for clocks and requests on their way
	dispatchPeriod  = 8 * time.Millisecond
	cleanPeriod     = 500 * time.Millisecond
	metricsPeriod   = 5 * time.Second
	registerTimeout = time.Second
	registerPause   = 300 * time.Millisecond
	exitMargin      = 700 * time.Millisecond // before the platform ends the process
	linksMargin     = 500 * time.Millisecond // for the other parts to end once all callers are served
	boundShare      = 0.85                   // of a bound over the fleet that is used
	callersPart     = 0.6                    // of the descriptors that callers' connections may take
	memoryPart      = 0.6                    // of the memory limit from which the collector works harder
)

// Gateway is one router.
type Gateway struct {
	settings *settings.Gateway
	logger   zerolog.Logger
	metrics  tally.Scope
	closer   io.Closer

	store    *platform.Store
	view     *route.View
	place    *placement.Placement
	upstream *upstream.Pool
	suspects *suspects
	servers  *serverTable
	operator *operatorTable
	follower struct{ operator, servers *follow.Follower }
	gossip   *gossip.Gossip
	ingress  *ingress.Server
	ready    *fasthttp.Server
	readyOn  net.Listener
	scrape   fasthttp.RequestHandler

	incarnation uint64
	leaving     atomic.Bool
	routers     atomic.Int64 // that could exist
	rests       atomic.Bool  // others of the zone ask the store
	done        chan struct{}
}

// New returns a gateway that listens but does not serve yet.
func New(s *settings.Gateway, logger zerolog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	g := &Gateway{
		settings: s, logger: logger.With().Str("vm", s.VM).Logger(), done: make(chan struct{}),
		store: platform.NewStore(s.StoreAddress), view: route.NewView(), suspects: newSuspects(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	g.startMetrics()
	if err := g.build(); err != nil {
		g.closer.Close()
		return nil, oops.In("gateway").With("vm", s.VM).Wrap(err)
	}
	return g, nil
}

func (g *Gateway) startMetrics() {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { g.logger.Warn().Err(err).Msg("metric-not-registered") },
	})
	g.metrics, g.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bulrushtally", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsPeriod)
	g.scrape = fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
}

func (g *Gateway) build() error {
	s := g.settings
	g.place = placement.New(placement.Options{Zone: s.Zone, Bounds: g.bounds(s), Routers: s.SpareRouters + 1, Now: time.Now()})
	g.upstream = upstream.NewPool(upstream.DefaultOptions, s.IP)
	g.operator = &operatorTable{view: g.view, place: g.place, logger: g.logger, out: map[string]bool{}}
	g.follower.operator = g.follow(platform.OperatorTable, g.operator, g.configWait)
	g.servers = &serverTable{place: g.place, trouble: g.troubled, logger: g.logger, missing: map[string]time.Time{}}
	g.follower.servers = g.follow(platform.ServerTable, g.servers, g.serversWait)
	var err error
	if g.gossip, err = gossip.New(s.VM, s.Zone, net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), g, g.logger); err != nil {
		return err
	}
	for _, address := range s.Peers {
		g.gossip.Add("", address)
	}
	flow := ingress.NewFlow(ingress.Options{
		Dialect: platform.Dialect(), View: g.view, Place: g.place, Upstream: g.upstream, Suspects: g.suspects,
		Mover: platform.NewMover(g.upstream, g.logger),
		Clock: boottime, Lease: s.Revoke - leaseMargin, Settle: s.ConfigApply, Logger: g.logger, Metrics: g.metrics,
	})
	if g.ingress, err = ingress.NewServer(s.Listen, int(callersPart*float64(s.Descriptors)), flow, g.logger); err != nil {
		return err
	}
	g.ready = &fasthttp.Server{Handler: g.answer, Logger: printer{g.logger}, NoDefaultServerHeader: true}
	g.readyOn, err = net.Listen("tcp4", s.ReadyListen)
	return err
}

type printer struct{ zerolog.Logger }

// Printf logs what a library says.
func (p printer) Printf(format string, args ...any) { p.Debug().Msgf(format, args...) }

func (g *Gateway) bounds(s *settings.Gateway) placement.Bounds {
	return placement.Bounds{
		RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetrySlack: s.RetrySlack,
		ColdOver: s.ColdOver, ColdSlack: s.ColdSlack, Share: boundShare,
	}
}

func (g *Gateway) follow(table string, t follow.Table, wait func() time.Duration) *follow.Follower {
	return follow.New(follow.Options{
		Name: table, Source: g.store, Table: t, Wait: wait, Timeout: storeTimeout, Pause: g.feedPause, Rests: g.rests.Load, Changed: func() { g.gossip.Tell() }, Clock: boottime, Logger: g.logger,
	})
}

// configWait returns how long a call for a change of the configuration may wait. It
// varies, so that routers that started together do not call together.
func (g *Gateway) configWait() time.Duration {
	wait := configWait
	if g.routers.Load() > gossip.Many {
		wait = sharedWait
	}
	return wait - rand.N(wait/4)
}

func (g *Gateway) serversWait() time.Duration { return serversWait - rand.N(serversWait/4) }

// feedPause returns how long to wait after changes for more of them.
func (g *Gateway) feedPause() time.Duration {
	return min(longFeedPause, time.Duration(min(gossip.Many, g.routers.Load()))*feedPause)
}

// lapseTime is how long after the store's last failure a missing entry may have
// lapsed with the store; the entries are seen as soon as it answers again.
const lapseTime = time.Second

// troubled reports whether the store failed so lately that entries may have lapsed with it.
func (g *Gateway) troubled() bool {
	now := boottime()
	return now-g.follower.servers.FailedAt() < lapseTime || now-g.follower.operator.FailedAt() < lapseTime
}

// Reload takes in the bounds of new settings. Addresses hold until the next start.
func (g *Gateway) Reload(s *settings.Gateway) { g.place.SetBounds(g.bounds(s)) }

// Address returns the address that callers reach.
func (g *Gateway) Address() string { return g.ingress.Address() }

// ReadyAddress returns the address that the balancer asks.
func (g *Gateway) ReadyAddress() string { return g.readyOn.Addr().String() }

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready reports whether the router takes new connections: it knows the
// configuration and backend servers, can prove keys, and does not leave.
func (g *Gateway) Ready() bool {
	t, age, proven := g.view.Age(boottime())
	return !g.leaving.Load() && t != nil && proven && age < g.settings.Revoke-leaseMargin && g.servers.ready()
}

// answer answers the balancer.
func (g *Gateway) answer(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.ReadyPath {
		c.Error("the balancer asks at "+platform.ReadyPath, http.StatusNotFound)
		return
	}
	if !g.Ready() {
		c.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends, then stops: no new connections, requests in
// flight end, then the parts.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.closer.Close()
	root := supervise.New("gateway", g.logger)
	links := root.Subtree("links")
	links.Go("operator", g.follower.operator.Run)
	links.Go("servers", g.follower.servers.Run)
	links.Go("gossip", g.gossip.Run)
	links.Go("register", g.register)
	links.Go("dispatch", g.dispatch)
	links.Go("clean", g.clean)
	links.Go("metrics", g.serveMetrics)
	go g.ready.Serve(g.readyOn)
	serving := root.Subtree("serving")
	serving.Go("callers", g.ingress.Run)
	g.logger.Info().Str("listen", g.Address()).Str("zone", g.settings.Zone).Msg("started")
	<-ctx.Done()
	return g.stop(root)
}

// StopError says that requests were still in flight when the time to stop was over.
type StopError struct{ InFlight int }

// Error describes what was cut off and the remedy.
func (e *StopError) Error() string {
	return fmt.Sprintf("%d requests in flight were cut off; raise the platform's time between SIGTERM and SIGKILL", e.InFlight)
}

func (g *Gateway) stop(root *supervise.Tree) error {
	g.leaving.Store(true)
	g.logger.Info().Int("in_flight", g.ingress.InFlight()).Msg("stopping")
	stopped := make(chan struct{})
	go func() {
		root.Stop()
		close(stopped)
	}()
	timer := time.NewTimer(g.settings.Grace - exitMargin)
	defer timer.Stop()
	select {
	case <-g.ingress.Done():
	case <-timer.C:
		return &StopError{g.ingress.InFlight()}
	}
	select {
	case <-stopped:
	case <-time.After(linksMargin): // a call of the store may go on without an answer
	}
	g.logger.Info().Msg("stopped")
	return nil
}

// register writes this router's address to the store and reads those of the others.
func (g *Gateway) register(ctx context.Context) error {
	written := false
	for ctx.Err() == nil {
		var err error
		if !written {
			err = g.store.Put(platform.RouterTable, g.settings.VM, []byte(g.gossip.Address()), registerTimeout)
			written = err == nil
		}
		if written {
			if err = g.readRouters(); err == nil {
				return nil
			}
		}
		g.logger.Warn().Err(err).Msg("not-registered")
		select {
		case <-ctx.Done():
		case <-time.After(registerPause):
		}
	}
	return nil
}

func (g *Gateway) readRouters() error {
	b, err := g.store.Rows(platform.RouterTable, registerTimeout)
	if err != nil {
		return err
	}
	for _, r := range b.Rows {
		g.gossip.Add(r.Key, string(r.Value))
	}
	return nil
}

func (g *Gateway) dispatch(ctx context.Context) error {
	t := time.NewTicker(dispatchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			g.servers.expire(now)
			g.place.Tick(now)
		}
	}
}

func (g *Gateway) clean(ctx context.Context) error {
	t := time.NewTicker(cleanPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.upstream.Close()
			return nil
		case now := <-t.C:
			g.upstream.CloseExpired(now)
		}
	}
}

func (g *Gateway) serveMetrics(ctx context.Context) error {
	if g.settings.MetricsListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp4", g.settings.MetricsListen)
	if err != nil {
		return err
	}
	s := &fasthttp.Server{Handler: g.scrape, Logger: printer{g.logger}}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
		return err
	}
	return nil
}
