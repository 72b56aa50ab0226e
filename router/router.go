package router

// This file defines Router: its construction, its supervisor tree, and its shutdown.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"bulrushtally/backend"
	"bulrushtally/caller"
	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/ledger"
	"bulrushtally/operator"
	"bulrushtally/peer"
	"bulrushtally/schedule"
	"bulrushtally/settings"
	"bulrushtally/supervise"
)

// Router is one router process of the fleet. After Start, its methods may be called from many
// goroutines.
type Router struct {
	settings      *settings.Settings
	logger        zerolog.Logger
	metrics       tally.Scope
	metricsCloser io.Closer

	configStore   *config.Store
	platform      *ledger.Client
	changeLog     *ledger.Log
	claims        *ledger.Claims
	backendClient *backend.Client
	peers         *peer.Peers
	entry         *caller.EntryRouter
	callerServer  *caller.Server

	rootTree, linkTree, servingTree *supervise.Tree
	stopOnce                        sync.Once
	stopped                         chan struct{}

	charges chargeBuffer

	// mu guards the fields below, among them the state of packages fleet and schedule,
	// which are not safe for concurrent use.
	mu                sync.Mutex
	members           *fleet.Members
	usageCounters     *fleet.UsageCounters
	quarantine        *schedule.Quarantine
	localLeaders      map[config.ShardID]*localLeader
	recentSenders     map[config.ShardID]map[string]time.Time // when each router, by VM, last sent a request for the shard
	sentMembersDigest map[string]uint64                       // by VM: digest of the member list last sent to it
	relayMembers      map[string][]fleet.Member               // by VM of a relay: the members that it last listed
	unreachable       map[string]unreachableRouter            // by VM: routers whose heartbeats stopped
	startedAt         time.Time
	lastRound         time.Time                            // of heartbeats
	ready             bool                                 // see markReadyIfCurrent; stays true
	leaving           bool                                 // Stop was called
	counterKeys       map[fleet.CounterID]fleet.CounterKey // of every customer at every service
	peerMembers       map[string]fleet.Member              // by VM: what each router last reported about itself over its link
	sentSelfDigest    map[string]uint64                    // by VM: digest of what was last sent to it about this router
	heartbeatRounds   int
	platformRead      bool            // the platform's change log was read successfully at least once
	lastPull          time.Time       // when a configuration was last requested from a peer
	platformVMs       []ledger.VM     // the platform's VM list, as last read
	drainingBackends  map[string]bool // names of backend servers that platformVMs marks as leaving
	claimCursor       string          // row key of the last idempotency claim checked for expiry; empty at the start of the table
	snapshotRevision  uint64          // configuration revision of the last snapshot that this router stored
}

// New returns a router whose sockets listen, but which accepts no connections until Start.
// It fails if a certificate cannot be loaded or an address cannot be listened on.
func New(s *settings.Settings, logger zerolog.Logger) (*Router, error) {
	now := time.Now()
	r := &Router{
		settings: s, startedAt: now, lastRound: now, stopped: make(chan struct{}),
		logger:            logger.With().Str("vm", s.VM).Str("zone", s.Zone).Logger(),
		configStore:       config.NewStore(),
		quarantine:        schedule.NewQuarantine(),
		localLeaders:      map[config.ShardID]*localLeader{},
		recentSenders:     map[config.ShardID]map[string]time.Time{},
		sentMembersDigest: map[string]uint64{},
		relayMembers:      map[string][]fleet.Member{},
		unreachable:       map[string]unreachableRouter{},
		peerMembers:       map[string]fleet.Member{},
		sentSelfDigest:    map[string]uint64{},
	}
	incarnation := uint64(now.UnixNano())
	r.usageCounters = fleet.NewUsageCounters(now, s.VM, incarnation)
	r.members = fleet.NewMembers(fleet.Member{VM: s.VM, Incarnation: incarnation, Zone: s.Zone})
	metricsHandler := r.startMetrics()
	if err := r.buildComponents(metricsHandler); err != nil {
		r.metricsCloser.Close()
		return nil, oops.In("router").With("vm", s.VM).Wrap(err)
	}
	return r, nil
}

// metricsInterval is how often the metrics scope passes its values to the Prometheus reporter.
const metricsInterval = 1 * time.Second

// startMetrics sets metrics and metricsCloser and returns the handler of /metrics.
func (r *Router) startMetrics() fiber.Handler {
	registry := prometheus.NewRegistry() // not the global one, so that one process can run several routers
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { r.logger.Warn().Err(err).Msg("metric-not-registered") },
	})
	r.metrics, r.metricsCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bulrushtally",
		Tags:           map[string]string{"vm": r.settings.VM, "zone": r.settings.Zone},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, metricsInterval)
	return adaptor.HTTPHandler(reporter.HTTPHandler())
}

// buildComponents creates the clients of the platform and the backend servers, the links
// to other routers, the entry and the servers for callers and operators.
func (r *Router) buildComponents(metricsHandler fiber.Handler) error {
	s := r.settings
	r.platform = ledger.NewClient(ledger.Options{
		Address: s.PlatformAddress, Token: s.PlatformToken, Timeout: s.PlatformTimeout,
		ReadsPerSecond: s.ReadsPerSecond, WritesPerSecond: s.WritesPerSecond,
	})
	r.changeLog = ledger.NewLog(r.platform, r.platform)
	r.claims = ledger.NewClaims(r.platform)
	r.backendClient = backend.NewClient(backend.Timeouts{Connect: s.ConnectTimeout, Header: s.ResponseHeaderTimeout, Idle: s.ProgressTimeout})
	serverTLS, clientTLS, err := loadPeerTLSConfigs(s)
	if err != nil {
		return err
	}
	r.peers, err = peer.New(peer.Options{
		Listen: s.PeerListen, Secret: s.PeerSecret, MaxMessageBytes: int64(s.MaxMessageBytes), SetupTimeout: s.ConnectTimeout,
		ServerTLS: serverTLS, ClientTLS: clientTLS, Self: r.self, Logger: r.logger,
	}, r)
	if err != nil {
		return err
	}
	r.setAdvertisedAddress()
	r.entry = caller.NewEntryRouter(caller.EntryRouterOptions{
		Zone: s.Zone, MaxWait: s.MaxQueueWait, Limits: schedule.Limits{Requests: s.MaxQueuedRequests, Bytes: s.MaxQueuedBytes},
	}, r, r.logger, r.metrics)
	r.configStore.Watch(r.applyConfig)
	return r.listenForCallers(metricsHandler)
}

// listenForCallers creates the server for callers, which also serves the administration API
// and the metrics.
func (r *Router) listenForCallers(metricsHandler fiber.Handler) error {
	s := r.settings
	callerTLS, err := loadTLSConfig(s.TLSCert, s.TLSKey)
	if err != nil {
		return err
	}
	api := operator.New(operator.Options{
		FirstOperatorKeySHA256: s.FirstOperatorKeyHash, FirstOperatorOffice: s.FirstOperatorOffice,
		Store: r.configStore, Log: r.changeLog, Fleet: r, OnAccepted: r.propagateOwnChange, Logger: r.logger, Metrics: r.metrics,
	})
	r.callerServer, err = caller.NewServer(caller.ServerOptions{
		Listen: s.Listen, MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes, RequestReadTimeout: s.ReadTimeout, TLS: callerTLS,
		VM: s.VM, Zone: s.Zone, Ready: r.Ready, MetricsHandler: metricsHandler, AddRoutes: api.Routes, Logger: r.logger,
	}, r.entry, r.configStore, r.claims)
	return err
}

// setAdvertisedAddress sets the address that this router reports to others: the one in the
// settings, or else the listening address.
func (r *Router) setAdvertisedAddress() {
	address := r.settings.PeerAdvertiseAddress
	if address == "" {
		address = r.peers.Address()
	}
	self := r.members.Self()
	self.Address = address
	r.members = fleet.NewMembers(self)
}

// Address returns the listening address for callers and operators.
func (r *Router) Address() string { return r.callerServer.Address() }

// PeerAddress returns the listening address for links from other routers.
func (r *Router) PeerAddress() string { return r.peers.Address() }

// AdvertisedAddress returns the address that this router reports to other routers for their links.
func (r *Router) AdvertisedAddress() string { return r.self().Address }

// ConfigStore returns the store of the router's configuration.
func (r *Router) ConfigStore() *config.Store { return r.configStore }

// Traffic returns the byte counters of all links to other routers.
func (r *Router) Traffic() *peer.Traffic { return r.peers.Traffic() }

// Done returns a channel that is closed once Stop has ended all tasks.
func (r *Router) Done() <-chan struct{} { return r.stopped }

// Start starts the router's tasks and returns. The subtrees are created in the reverse
// order of their shutdown: serving stops first, links last.
func (r *Router) Start() {
	r.rootTree = supervise.New("router", r.logger)
	r.linkTree = r.rootTree.Subtree("links")
	listenerTree := r.rootTree.Subtree("listening")
	r.servingTree = r.rootTree.Subtree("serving")
	r.linkTree.Go("peers", r.peers.Run)
	r.linkTree.Go("gossip", r.sendHeartbeats)
	r.linkTree.Go("bootstrap", r.bootstrap)
	r.linkTree.Go("configuration", r.pollConfig)
	r.linkTree.Go("list", r.pollVMList)
	listenerTree.Go("callers", r.callerServer.Run)
	r.servingTree.Go("entry", r.entry.Run)
}

// StopError reports that requests were still in flight when the stop timeout expired.
type StopError struct {
	InFlight int // requests
	Timeout  time.Duration
}

// Error returns the number of requests cut off, the timeout and the remedy.
func (e *StopError) Error() string {
	return fmt.Sprintf("%d requests in flight were cut off after %v; raise timeout under [stop]", e.InFlight, e.Timeout)
}

// Stop makes Ready fail, reports to the other routers that this one is leaving, returns
// queued requests to their entry routers, waits for running requests to end, and stops all
// tasks. It returns a *StopError if this takes longer than the stop timeout.
func (r *Router) Stop() error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.logger.Info().Msg("stopping")
	r.runHeartbeatRound(time.Now())
	r.stopOnce.Do(func() {
		go func() {
			defer close(r.stopped)
			r.rootTree.Stop()
			r.metricsCloser.Close()
		}()
	})
	select {
	case <-r.stopped:
		r.logger.Info().Msg("stopped")
		return nil
	case <-time.After(r.settings.StopTimeout):
		return &StopError{InFlight: r.entry.InFlight(), Timeout: r.settings.StopTimeout}
	}
}

// Run calls Start, waits until the context ends, and returns the result of Stop.
func (r *Router) Run(ctx context.Context) error {
	r.Start()
	<-ctx.Done()
	return r.Stop()
}

var (
	errNoConfig = errors.New("no configuration yet: neither a peer nor the platform has answered; check [platform] and [peers]")
	errLeaving  = errors.New("this router stops; use another")
)

// Ready returns nil if the router accepts requests, else an error with the reason.
func (r *Router) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.leaving:
		return errLeaving
	case !r.ready:
		return errNoConfig
	}
	return nil
}

// self returns what this router reports about itself to other routers.
func (r *Router) self() fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Self()
}
