package gateway

// This file defines Gateway: how it is built from its parts, how it runs and how it stops.

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

// Timing, counts and fractions of a gateway. A long poll is a call that the store answers
// once the table changes, or at the latest after the given time.
const (
	configLongPoll           = 1300 * time.Millisecond // each answer confirms that the configuration is current
	largeFleetConfigLongPoll = 700 * time.Millisecond  // the same in a large fleet, where few routers poll for all
	zonePollers              = 2                       // routers of each zone that poll the store in a large fleet
	serverLongPoll           = 4000 * time.Millisecond
	pollDelayPerRouter       = 5 * time.Millisecond   // between polls that return changes, for each router of the fleet
	largeFleetPollDelay      = 300 * time.Millisecond // the same in a large fleet, where two routers of a zone poll in turn
	fallbackSpreadPerRouter  = 25 * time.Millisecond  // for each router of the zone
	maxFallbackSpread        = time.Second
	maxReadDelay             = 2 * time.Second
	storeTimeout             = 700 * time.Millisecond // for an answer, in addition to the time of a long poll
	revokeMargin             = 600 * time.Millisecond // subtracted from MaxRevokeDelay, for clock differences and requests in transit
	dispatchPeriod           = 8 * time.Millisecond
	closeExpiredPeriod       = 500 * time.Millisecond // between checks for expired connections to backend servers
	metricsPeriod            = 5 * time.Second        // between reports to the metrics registry
	exitMargin               = 700 * time.Millisecond // left for the exit before the platform kills the process
	backgroundStopTimeout    = 500 * time.Millisecond // for the other parts to end once all callers are served
	usedLimitFraction        = 0.85                   // of each fleet limit that routers use, since requests may be delayed on their way
	callerConnFraction       = 0.6                    // of the file descriptors that callers' connections may use
	bufferedFraction         = 0.2                    // of the process's memory that responses of backend servers may hold
	memoryLimitFraction      = 0.6                    // of the process's memory, as the soft limit of the Go runtime
)

// Gateway is one router.
type Gateway struct {
	settings      *settings.Gateway
	logger        zerolog.Logger
	metrics       tally.Scope
	metricsCloser io.Closer

	store          *platform.StoreClient
	currentConfig  *route.CurrentTable
	placer         *placement.Placement
	upstream       *upstream.Pool
	suspects       *suspects
	streams        *streams
	rollouts       *rollouts // nil if the deployment has no bounds for roll-outs
	serverRows     *serverTable
	operatorRows   *operatorTable
	followers      struct{ operator, servers, quarantine, states *follow.Follower } // states is nil without roll-outs
	gossip         *gossip.Gossip
	ingress        *ingress.Server
	readyServer    *fasthttp.Server // for the load balancer's readiness checks
	readyListener  net.Listener
	metricsHandler fasthttp.RequestHandler
	previews       previews

	incarnation  uint64        // start time in Unix nanoseconds
	leaving      atomic.Bool   // the stop has begun
	knownRouters atomic.Int64  // number of routers that were listed, or sent a summary, since the start, with this one
	zoneRouters  atomic.Int64  // number of reachable routers of this zone, with this one
	passive      atomic.Bool   // other routers of the zone poll the store for this one
	restored     chan struct{} // holds one element if the store has come back from a copy since this router's row was written
	done         chan struct{}
}

// New returns a gateway that listens but does not serve yet. It fails if one of its
// addresses cannot be used.
func New(s *settings.Gateway, logger zerolog.Logger) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimitMB) * (1 << 20)))
	g := &Gateway{
		settings: s, logger: logger.With().Str("vm", s.VM).Logger(), done: make(chan struct{}),
		store: platform.NewStoreClient(s.StoreAddress), currentConfig: route.NewCurrentTable(),
		incarnation: uint64(time.Now().UnixNano()), restored: make(chan struct{}, 1),
	}
	g.initMetrics()
	if err := g.initParts(); err != nil {
		g.metricsCloser.Close()
		return nil, oops.In("gateway").With("vm", s.VM).Wrap(err)
	}
	return g, nil
}

// initMetrics creates the metrics scope and the handler that exports it to Prometheus.
func (g *Gateway) initMetrics() {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { g.logger.Warn().Err(err).Msg("metric-not-registered") },
	})
	g.metrics, g.metricsCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bulrushtally", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
	}, metricsPeriod)
	g.metricsHandler = fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())
}

// initParts creates the parts that serve callers and follow the store, and listens.
func (g *Gateway) initParts() error {
	s := g.settings
	g.placer = placement.New(placement.Options{Zone: s.Zone, Limits: g.fleetLimits(s), Routers: s.SpareRouters + 1, Now: time.Now()})
	connOptions := upstream.DefaultOptions
	connOptions.MaxBufferedBytes = int64(bufferedFraction * float64(s.MemoryLimitMB) * (1 << 20))
	g.upstream = upstream.NewPool(connOptions, s.IP)
	g.operatorRows = newOperatorTable(g.currentConfig, g.placer, g.logger)
	g.followers.operator = g.newFollower(platform.OperatorTable, g.operatorRows, g.configPollWait)
	g.serverRows = newServerTable(g.placer, g.storeFailedRecently, g.logger)
	g.followers.servers = g.newFollower(platform.ServerTable, g.serverRows, g.serverPollWait)
	g.suspects = newSuspects(s.VM, g.store, g.metrics, g.logger)
	g.followers.quarantine = g.newFollower(QuarantineTable, g.suspects, func() time.Duration { return quarantineLongPoll })
	g.streams = newStreams(streamOptions{
		VM: s.VM, Zone: s.Zone, Incarnation: strconv.FormatUint(g.incarnation, 10), FirstStart: s.FirstStart, Store: g.store, Placer: g.placer,
		ListCurrentAt: g.followers.servers.CurrentAt, Routers: func() int { return int(g.knownRouters.Load()) }, Config: g.currentConfig.Table,
		Clock: boottime, Metrics: g.metrics, Logger: g.logger,
	})
	g.initRollouts()
	var err error
	if g.gossip, err = gossip.New(s.VM, s.Zone, net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), g, g.logger); err != nil {
		return err
	}
	for _, address := range s.Peers {
		g.gossip.Add("", address)
	}
	options := ingress.Options{
		Headers: platform.HeaderNames(), CurrentConfig: g.currentConfig, Placer: g.placer, Upstream: g.upstream, Quarantine: g.suspects, Streams: g.streams,
		Migrator: platform.NewMigrator(g.upstream, g.logger),
		Clock:    boottime, KeyMaxAge: s.MaxRevokeDelay - revokeMargin, RefusalMaxAge: s.MaxConfigDelay, Logger: g.logger, Metrics: g.metrics,
	}
	if g.rollouts != nil { // a nil pointer in the interface would not be nil
		options.Rollouts = g.rollouts
	}
	flow := ingress.NewFlow(options)
	if g.ingress, err = ingress.NewServer(s.Listen, int(callerConnFraction*float64(s.MaxOpenFiles)), s.GracePeriod-exitMargin, flow, g.logger); err != nil {
		return err
	}
	g.readyServer = &fasthttp.Server{Handler: g.handleReady, Logger: debugPrinter{g.logger}, NoDefaultServerHeader: true}
	g.readyListener, err = net.Listen("tcp4", s.ReadyListen)
	return err
}

// initRollouts creates the router's part in roll-outs, if the deployment has bounds for them.
func (g *Gateway) initRollouts() {
	s := g.settings
	g.rollouts = newRollouts(s, rolloutOptions{
		VM: s.VM, Zone: s.Zone, Store: g.store, Placer: g.placer, Incarnation: g.incarnation, Clock: boottime,
		StoreClock: g.followers.operator.LocalTime, Left: func() bool { return g.leaving.Load() && g.ingress.InFlight() == 0 }, Metrics: g.metrics, Logger: g.logger,
	})
	g.operatorRows.rollouts = g.rollouts
	if g.rollouts != nil {
		g.followers.states = g.newFollower(platform.StatusTable, statusTable{g.rollouts}, func() time.Duration { return statusLongPoll - rand.N(statusLongPoll/4) })
	}
}

// debugPrinter lets fasthttp log to a zerolog.Logger.
type debugPrinter struct{ zerolog.Logger }

// Printf logs a message at debug level.
func (p debugPrinter) Printf(format string, args ...any) { p.Debug().Msgf(format, args...) }

// fleetLimits returns the limits of retries and of requests to cold backend servers that
// the settings give for the whole fleet.
func (g *Gateway) fleetLimits(s *settings.Gateway) placement.FleetLimits {
	return placement.FleetLimits{
		RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow, RetrySlack: s.RetrySlack,
		ColdRateFactor: s.ColdRateFactor, ColdRateSlack: s.ColdRateSlack, UsableFraction: usedLimitFraction,
	}
}

// newFollower returns a follower of a table of the store. The function wait returns the
// longest time of each long poll.
func (g *Gateway) newFollower(table string, t follow.Table, wait func() time.Duration) *follow.Follower {
	return follow.New(follow.Options{
		Name: table, Source: g.store, Table: t, PollWait: wait, Timeout: storeTimeout, PollDelay: g.pollDelay, ReadDelay: g.readDelay,
		Passive: g.passive.Load, FallbackSpread: g.fallbackSpread, OnChange: func() { g.gossip.SendUpdate() }, OnRestore: func() { g.storeRestored(table) }, Clock: boottime, Logger: g.logger,
	})
}

// readDelay returns how long this router waits before it reads a table of a store that came back from a copy. It is random and
// grows with the number of routers, since all of them read.
func (g *Gateway) readDelay() time.Duration {
	return rand.N(min(maxReadDelay, time.Duration(1+g.knownRouters.Load())*pollDelayPerRouter))
}

// configPollWait returns the longest time of the next long poll for the configuration. It
// is random, so that routers that started together do not poll together.
func (g *Gateway) configPollWait() time.Duration {
	wait := configLongPoll
	if g.knownRouters.Load() > gossip.ZoneSummaryThreshold {
		wait = largeFleetConfigLongPoll
	}
	return wait - rand.N(wait/4)
}

// serverPollWait returns the longest time of the next long poll for backend servers, also
// random.
func (g *Gateway) serverPollWait() time.Duration { return serverLongPoll - rand.N(serverLongPoll/4) }

// pollDelay returns how long to wait after a poll that returned changes, so that the next
// poll returns more changes at once. It grows with the number of routers.
func (g *Gateway) pollDelay() time.Duration {
	if g.knownRouters.Load() > gossip.ZoneSummaryThreshold {
		return largeFleetPollDelay
	}
	return time.Duration(g.knownRouters.Load()) * pollDelayPerRouter
}

// fallbackSpread returns the time over which the routers of a zone begin to poll the store when those that poll for all send nothing.
func (g *Gateway) fallbackSpread() time.Duration {
	return min(maxFallbackSpread, time.Duration(g.zoneRouters.Load())*fallbackSpreadPerRouter)
}

// recentFailureWindow is the time after the last failed call to the store within which a
// missing entry of a backend server is attributed to the failure: the entry may have
// expired because the backend server could not renew it. The window can be short, since missing
// entries are found as soon as the store answers again.
const recentFailureWindow = time.Second

// storeFailedRecently reports whether a call to the store failed within recentFailureWindow.
func (g *Gateway) storeFailedRecently() bool {
	now := boottime()
	return now-g.followers.servers.LastFailure() < recentFailureWindow || now-g.followers.operator.LastFailure() < recentFailureWindow
}

// Reload applies the fleet limits of new settings. Changed addresses apply after a restart.
func (g *Gateway) Reload(s *settings.Gateway) { g.placer.SetLimits(g.fleetLimits(s)) }

// Address returns the address that callers connect to.
func (g *Gateway) Address() string { return g.ingress.Address() }

// ReadyAddress returns the address that the load balancer sends readiness checks to.
func (g *Gateway) ReadyAddress() string { return g.readyListener.Addr().String() }

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Ready reports whether the router accepts new connections: it has the configuration and
// the list of backend servers, the configuration was confirmed recently enough to check
// keys, and the router is not stopping.
func (g *Gateway) Ready() bool {
	t, age, confirmed := g.currentConfig.Age(boottime())
	return !g.leaving.Load() && t != nil && confirmed && age < g.settings.MaxRevokeDelay-revokeMargin && g.serverRows.ready()
}

// handleReady answers readiness checks with status 200 or 503, and other paths with 404.
func (g *Gateway) handleReady(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.ReadyPath {
		c.Error("the balancer asks at "+platform.ReadyPath, http.StatusNotFound)
		return
	}
	if !g.Ready() || !g.ingress.WantsConnections(int(g.zoneRouters.Load())) {
		c.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// Run serves until the context ends. It then stops accepting connections, waits for the
// requests in flight, and stops the other parts. It returns a *StopError if requests are
// still in flight when the time to stop is over.
func (g *Gateway) Run(ctx context.Context) error {
	defer close(g.done)
	defer g.metricsCloser.Close()
	root := supervise.New("gateway", g.logger)
	links := root.Subtree("links")
	links.Go("operator", g.followers.operator.Run)
	links.Go("servers", g.followers.servers.Run)
	links.Go("quarantine", g.followers.quarantine.Run)
	links.Go("quarantine-rows", g.suspects.run)
	links.Go("streams", g.streams.run)
	if g.rollouts != nil {
		links.Go("rollout-states", g.followers.states.Run)
		links.Go("rollouts", g.rollouts.run)
		links.Go("rollout-writes", g.rollouts.writeStates)
	}
	links.Go("gossip", g.gossip.Run)
	links.Go("register", g.register)
	links.Go("dispatch", g.dispatch)
	links.Go("clean", g.clean)
	links.Go("metrics", g.serveMetrics)
	links.Go("store-calls", g.reportStoreCalls)
	links.Go("spillover", g.reportSpillover)
	go g.readyServer.Serve(g.readyListener)
	serving := root.Subtree("serving")
	serving.Go("callers", g.ingress.Run)
	g.logger.Info().Str("listen", g.Address()).Str("zone", g.settings.Zone).Msg("started")
	<-ctx.Done()
	return g.stop(root)
}

// StopError reports that requests were still in flight when the time to stop was over.
type StopError struct{ InFlight int }

// Error returns how many requests were cut off and what to do about it.
func (e *StopError) Error() string {
	return fmt.Sprintf("%d requests in flight were cut off; raise the platform's time between SIGTERM and SIGKILL", e.InFlight)
}

// stop ends the parts of the router. It waits for the callers' requests until shortly
// before the platform kills the process, and then briefly for the other parts.
func (g *Gateway) stop(root *supervise.Tree) error {
	g.leaving.Store(true)
	g.logger.Info().Int("in_flight", g.ingress.InFlight()).Msg("stopping")
	stopped := make(chan struct{})
	go func() {
		root.Stop()
		close(stopped)
	}()
	timer := time.NewTimer(g.settings.GracePeriod - exitMargin)
	defer timer.Stop()
	select {
	case <-g.ingress.Done():
	case <-timer.C:
		return &StopError{g.ingress.InFlight()}
	}
	select {
	case <-stopped:
	case <-time.After(backgroundStopTimeout): // a call to the store may still wait for an answer
	}
	g.logger.Info().Msg("stopped")
	return nil
}

// dispatch periodically removes backend servers whose entries are missing for too long, and
// assigns waiting requests to backend servers.
func (g *Gateway) dispatch(ctx context.Context) error {
	t := time.NewTicker(dispatchPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			g.serverRows.expire(now)
			g.operatorRows.expire(now)
			g.placer.Tick(now)
		}
	}
}

// clean periodically closes expired connections to backend servers, and all idle ones when the
// context ends. It also measures how many backend servers name a limit or state their load, what their responses hold and
// which roles model servers have, and logs changes of their roles and of their slowness.
func (g *Gateway) clean(ctx context.Context) error {
	limited, unsplit := g.metrics.Gauge("limited_servers"), g.metrics.Gauge("services_without_prefill_servers")
	stating, slow := g.metrics.Gauge("servers_stating_load"), g.metrics.Gauge("slow_servers")
	held, ended := g.metrics.Gauge("response_bytes_held"), g.metrics.Gauge("exchanges_ended_for_memory")
	t := time.NewTicker(closeExpiredPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.upstream.Close()
			return nil
		case now := <-t.C:
			g.upstream.CloseExpired(now)
			limited.Update(float64(g.placer.LimitedServers()))
			unsplit.Update(float64(g.placer.ServicesWithoutPrefillServers()))
			g.logRoles()
			n, m := g.placer.LoadStatements(now)
			stating.Update(float64(n))
			slow.Update(float64(m))
			for _, c := range g.placer.SlownessChanges() {
				ingress.LogSlowness(g.logger, c)
			}
			held.Update(float64(g.upstream.BufferedBytes()))
			ended.Update(float64(g.upstream.EndedForMemory()))
		}
	}
}

// serveMetrics serves the metrics page until the context ends, if an address is set.
func (g *Gateway) serveMetrics(ctx context.Context) error {
	if g.settings.MetricsListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp4", g.settings.MetricsListen)
	if err != nil {
		return err
	}
	s := &fasthttp.Server{Handler: g.handlePage, Logger: debugPrinter{g.logger}}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
		return err
	}
	return nil
}
