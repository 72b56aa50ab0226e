package router

// This file defines Router: its construction, its tree of parts, and its stop.

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

// Router is one process of the fleet.
type Router struct {
	settings *settings.Settings
	logger   zerolog.Logger
	metrics  tally.Scope
	closer   io.Closer // of metrics

	store    *config.Store
	platform *ledger.Client
	log      *ledger.Log
	claims   *ledger.Claims
	client   *backend.Client
	peers    *peer.Peers
	entry    *caller.Entry
	server   *caller.Server

	root, links, serving *supervise.Tree
	stopping             sync.Once
	stopped              chan struct{}

	charges charges

	// mu guards what the packages that decide hold for the whole router.
	mu          sync.Mutex
	members     *fleet.Members
	accounts    *fleet.Accounts
	quarantine  *schedule.Quarantine
	leaders     map[config.ShardID]*leading
	interest    map[config.ShardID]map[string]time.Time // routers that sent requests lately
	listed      map[string]uint64                       // by VM: the list of members it was last sent
	vouched     map[string][]fleet.Member               // by relay: the members it last listed
	lost        map[string]lostRouter                   // silent routers, by VM
	began       time.Time
	ticked      time.Time
	ready       bool
	leaving     bool
	names       map[fleet.KeyID]fleet.Key
	peerMembers map[string]fleet.Member // what each router last said of itself over its link
	sentSelf    map[string]uint64       // by VM: digest of what it was last sent about this router
	beats       int
	asked       bool            // peers and platform were asked for the configuration
	pulled      time.Time       // last time a peer was asked
	vms         []ledger.VM     // the platform's list, as last read
	departing   map[string]bool // backend servers that leave by it
	trimmed     string          // claim up to which the table was trimmed
	snapshot    uint64          // revision of the last snapshot stored
}

// New returns a router that listens but does not serve yet.
func New(s *settings.Settings, logger zerolog.Logger) (*Router, error) {
	now := time.Now()
	r := &Router{
		settings: s, began: now, ticked: now, stopped: make(chan struct{}),
		logger:      logger.With().Str("vm", s.VM).Str("zone", s.Zone).Logger(),
		store:       config.NewStore(),
		quarantine:  schedule.NewQuarantine(),
		leaders:     map[config.ShardID]*leading{},
		interest:    map[config.ShardID]map[string]time.Time{},
		listed:      map[string]uint64{},
		vouched:     map[string][]fleet.Member{},
		lost:        map[string]lostRouter{},
		peerMembers: map[string]fleet.Member{},
		sentSelf:    map[string]uint64{},
	}
	incarnation := uint64(now.UnixNano())
	r.accounts = fleet.NewAccounts(now, s.VM, incarnation)
	r.members = fleet.NewMembers(fleet.Member{VM: s.VM, Incarnation: incarnation, Zone: s.Zone})
	handler := r.startMetrics()
	if err := r.build(handler); err != nil {
		r.closer.Close()
		return nil, oops.In("router").With("vm", s.VM).Wrap(err)
	}
	return r, nil
}

// metricsInterval is the time between two reports of counters to the reporter.
const metricsInterval = 1 * time.Second

func (r *Router) startMetrics() fiber.Handler {
	registry := prometheus.NewRegistry() // of this router alone
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { r.logger.Warn().Err(err).Msg("metric-not-registered") },
	})
	r.metrics, r.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bulrushtally",
		Tags:           map[string]string{"vm": r.settings.VM, "zone": r.settings.Zone},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, metricsInterval)
	return adaptor.HTTPHandler(reporter.HTTPHandler())
}

func (r *Router) build(metrics fiber.Handler) error {
	s := r.settings
	r.platform = ledger.NewClient(ledger.Options{
		Address: s.PlatformAddress, Token: s.PlatformToken, Timeout: s.PlatformTimeout,
		ReadsPerSecond: s.ReadsPerSecond, WritesPerSecond: s.WritesPerSecond,
	})
	r.log = ledger.NewLog(r.platform, r.platform)
	r.claims = ledger.NewClaims(r.platform)
	r.client = backend.NewClient(backend.Timeouts{Connect: s.ConnectTimeout, First: s.FirstTimeout, Progress: s.ProgressTimeout})
	serverTLS, clientTLS, err := peerTLS(s)
	if err != nil {
		return err
	}
	r.peers, err = peer.New(peer.Options{
		Listen: s.PeerListen, Secret: s.PeerSecret, MaxMessage: int64(s.MaxMessage), Timeout: s.ConnectTimeout,
		ServerTLS: serverTLS, ClientTLS: clientTLS, Self: r.self, Logger: r.logger,
	}, r)
	if err != nil {
		return err
	}
	r.setAddress()
	r.entry = caller.NewEntry(caller.EntryOptions{
		Zone: s.Zone, Wait: s.QueueWait, Limits: schedule.Limits{Requests: s.QueueRequests, Bytes: s.QueueBytes},
	}, r, r.logger, r.metrics)
	r.store.Watch(r.configured)
	return r.listen(metrics)
}

func (r *Router) listen(metrics fiber.Handler) error {
	s := r.settings
	callerTLS, err := certificate(s.TLSCert, s.TLSKey)
	if err != nil {
		return err
	}
	api := operator.New(operator.Options{
		FirstKeyHash: s.FirstOperatorKeyHash, FirstOffice: s.FirstOperatorOffice,
		Store: r.store, Log: r.log, Fleet: r, Accepted: r.spreadOwn, Logger: r.logger, Metrics: r.metrics,
	})
	r.server, err = caller.NewServer(caller.ServerOptions{
		Listen: s.Listen, MaxBody: s.MaxBody, MaxHeaders: s.MaxHeaders, Timeout: s.ReadTimeout, TLS: callerTLS,
		VM: s.VM, Zone: s.Zone, Ready: r.Ready, Metrics: metrics, Extra: api.Routes, Logger: r.logger,
	}, r.entry, r.store, r.claims)
	return err
}

func (r *Router) setAddress() {
	address := r.settings.PeerAdvertise
	if address == "" {
		address = r.peers.Address()
	}
	self := r.members.Self()
	self.Address = address
	r.members = fleet.NewMembers(self)
}

// Address returns the address that callers and operators reach.
func (r *Router) Address() string { return r.server.Address() }

// PeerAddress returns the address that other routers dial.
func (r *Router) PeerAddress() string { return r.peers.Address() }

// Advertised returns the address that this router tells other routers to dial.
func (r *Router) Advertised() string { return r.self().Address }

// Store returns the router's configuration.
func (r *Router) Store() *config.Store { return r.store }

// Traffic returns the counts of bytes over links to other routers.
func (r *Router) Traffic() *peer.Traffic { return r.peers.Traffic() }

// Done returns a channel that is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} { return r.stopped }

// Start runs the router's parts and returns.
func (r *Router) Start() {
	r.root = supervise.New("router", r.logger)
	r.links = r.root.Subtree("links")
	listening := r.root.Subtree("listening")
	r.serving = r.root.Subtree("serving")
	r.links.Go("peers", r.peers.Run)
	r.links.Go("gossip", r.gossip)
	r.links.Go("bootstrap", r.bootstrap)
	r.links.Go("configuration", r.follow)
	r.links.Go("list", r.readList)
	listening.Go("callers", r.server.Run)
	r.serving.Go("entry", r.entry.Run)
}

// StopError says that requests were still in flight when the time to stop was over.
type StopError struct {
	InFlight int
	Timeout  time.Duration
}

// Error describes what was cut off and the remedy.
func (e *StopError) Error() string {
	return fmt.Sprintf("%d requests in flight were cut off after %v; raise timeout under [stop]", e.InFlight, e.Timeout)
}

// Stop takes nothing new, tells the other routers, hands back what waits, lets
// what runs end, and then stops all parts; within the stop timeout.
func (r *Router) Stop() error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.logger.Info().Msg("stopping")
	r.beat(time.Now())
	r.stopping.Do(func() {
		go func() {
			defer close(r.stopped)
			r.root.Stop()
			r.closer.Close()
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

// Run serves until the context ends, then stops.
func (r *Router) Run(ctx context.Context) error {
	r.Start()
	<-ctx.Done()
	return r.Stop()
}

var (
	errNoConfiguration = errors.New("no configuration yet: neither a peer nor the platform has answered; check [platform] and [peers]")
	errLeaving         = errors.New("this router stops; use another")
)

// Ready returns nil when the router takes requests, or why not.
func (r *Router) Ready() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.leaving:
		return errLeaving
	case !r.ready:
		return errNoConfiguration
	}
	return nil
}

func (r *Router) self() fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Self()
}
