package lab

// This file defines Fleet: the stand-in platform, the backend servers and the routers of
// one experiment, all in this process and on loopback addresses.

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/config"
	"bulrushtally/ledger"
	"bulrushtally/router"
	"bulrushtally/settings"
	"bulrushtally/standin"
)

// OperatorKey is the bearer key of the first operator of every Fleet.
const OperatorKey = "laboratory-operator-key"

// FleetOptions describe the size and the behaviour of a Fleet.
type FleetOptions struct {
	Zones              []string
	RoutersPerZone     int
	ModelServers       int // number of model servers, assigned to the zones in turn
	PlainServers       int // number of servers of the plain service, assigned to the zones in turn
	Customers          int
	Weights            map[string]string // scheduling weights by customer name; 1 if missing
	ModelServerOptions standin.ModelServerOptions
	PlainCallTime      time.Duration // processing time of a call to the plain service
	StartWarm          bool          // model servers can sustain all their slots from the start
	FaultProxies       bool          // links between zones and to the platform pass through proxies, so that SetLinkState can cut them
	Seed               uint64
	RouterLog          io.Writer                // receives the log lines of all routers; nil for none
	LogLevel           string                   // lowest level to log; info if empty or invalid
	AdjustSettings     func(*settings.Settings) // adjusts the settings of each router; may be nil
}

// The services of every Fleet.
const (
	ModelService = "drafting-models" // model completions
	PlainService = "quote-desk"      // plain HTTP calls
)

// CurrentFleetOptions returns the options of a fleet as large as the one in production today.
func CurrentFleetOptions(seed uint64) FleetOptions {
	return FleetOptions{
		Zones: []string{"kgn-a", "kgn-b", "spn-c"}, RoutersPerZone: 2, ModelServers: 9, PlainServers: 3, Customers: 16,
		ModelServerOptions: standin.DefaultModelServerOptions, PlainCallTime: 5 * time.Millisecond, Seed: seed,
	}
}

// Fleet is a running fleet of routers with its stand-in platform and backend servers.
type Fleet struct {
	Options      FleetOptions
	Platform     *standin.Platform
	ModelServers []*standin.ModelServer
	PlainServers []*standin.PlainService
	Routers      []*router.Router
	ConfigLog    *ledger.Log // the configuration log, through a platform client that no router uses

	store        *config.Store // the configuration up to the last change that CommitChange committed
	faultProxies *faultProxies
}

// StartFleet starts a fleet and waits until every router is ready. On an error it stops
// what it has started.
func StartFleet(o FleetOptions) (*Fleet, error) {
	f := &Fleet{Options: o, store: config.NewStore(), faultProxies: newFaultProxies(o.Zones, o.FaultProxies)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// anyPort is a loopback address to listen on, with a port that the system chooses.
const anyPort = "127.0.0.1:0"

// start starts the platform, the backend servers and the routers.
func (f *Fleet) start() error {
	var err error
	if f.Platform, err = standin.NewPlatform(anyPort, f.Options.Seed); err != nil {
		return err
	}
	c := ledger.NewClient(ledger.Options{
		Address: f.Platform.Address(), Timeout: 5 * time.Second, ReadsPerSecond: 1e5, WritesPerSecond: 1e5,
	})
	f.ConfigLog = ledger.NewLog(c, c)
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.writeConfig(); err != nil {
		return err
	}
	return f.startRouters()
}

// startBackends starts the model servers and the plain servers.
func (f *Fleet) startBackends() error {
	for range f.Options.ModelServers {
		e, err := standin.NewModelServer(anyPort, f.Options.ModelServerOptions)
		if err != nil {
			return err
		}
		if f.Options.StartWarm {
			e.MarkWarm()
		}
		f.ModelServers = append(f.ModelServers, e)
	}
	for range f.Options.PlainServers {
		p, err := standin.NewPlainService(anyPort, f.Options.PlainCallTime)
		if err != nil {
			return err
		}
		f.PlainServers = append(f.PlainServers, p)
	}
	return nil
}

// CustomerName returns the name of customer number i, counted from 0.
func CustomerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

// CallerKey returns the bearer key that the callers of a customer use.
func CallerKey(customer string) string { return "key-of-" + customer }

// modelServerPrefix begins the names of model servers in the configuration.
const modelServerPrefix = "engine"

// writeConfig commits the configuration of the fleet to the platform's log.
func (f *Fleet) writeConfig() error {
	o := f.Options
	var objects []*config.Object
	for _, z := range o.Zones {
		objects = append(objects, &config.Object{Kind: config.KindZone, Name: z})
	}
	objects = append(objects,
		&config.Object{Kind: config.KindService, Name: ModelService, Labels: map[string]string{config.LabelServiceKind: "model"}},
		&config.Object{Kind: config.KindService, Name: PlainService, Labels: map[string]string{config.LabelServiceKind: "plain"}},
		&config.Object{Kind: config.KindAccess, Name: "all-models", Service: ModelService},
		&config.Object{Kind: config.KindAccess, Name: "all-plain", Service: PlainService},
	)
	for i, e := range f.ModelServers {
		objects = append(objects, f.backendObject(modelServerPrefix, i, ModelService, e.Address(), o.ModelServerOptions.Slots))
	}
	for i, p := range f.PlainServers {
		objects = append(objects, f.backendObject("plain", i, PlainService, p.Address(), 8))
	}
	for i := range o.Customers {
		name := CustomerName(i)
		customer := &config.Object{Kind: config.KindCustomer, Name: name, Labels: map[string]string{}}
		if w := o.Weights[name]; w != "" {
			customer.Labels[config.LabelWeight] = w
		}
		callerKey := &config.Object{Kind: config.KindCaller, Name: name, Customer: name, KeyHash: config.HashKey(CallerKey(name))}
		objects = append(objects, customer, callerKey)
	}
	for _, x := range objects {
		if err := f.CommitChange(config.ChangeRequest{Object: x}); err != nil {
			return err
		}
	}
	return nil
}

// backendObject returns the configuration object of backend server i of a kind.
func (f *Fleet) backendObject(prefix string, i int, service, address string, slots int) *config.Object {
	zone := f.Options.Zones[i%len(f.Options.Zones)]
	return &config.Object{
		Kind: config.KindBackend, Name: fmt.Sprintf("%s-%02d", prefix, i), Service: service, Zone: zone,
		Address: address, Labels: map[string]string{config.LabelSlots: strconv.Itoa(slots)},
	}
}

// CommitChange commits a change to the platform's log directly, without a router. The routers
// read it from the log.
func (f *Fleet) CommitChange(w config.ChangeRequest) error {
	requestNumber := fmt.Sprintf("lab-%d", f.store.View().Revision())
	_, err := f.ConfigLog.Commit(f.store, ledger.Proposal{
		Request: requestNumber, Operator: "lab", Office: "laboratory",
		Plan: func(s *config.State) (*config.Change, error) {
			c, _, err := config.Plan(s, w)
			return c, err
		},
	})
	return err
}

// startRouters starts all routers and waits until they are ready.
func (f *Fleet) startRouters() error {
	for i := range f.Options.RoutersPerZone * len(f.Options.Zones) {
		r, err := f.NewRouter(i)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
		r.Start()
	}
	return f.WaitReady(readyTimeout)
}

// maxBootstrapPeers is how many of the first routers are set as peers of a new one.
const maxBootstrapPeers = 3

// readyTimeout limits the time in which all routers must become ready.
const readyTimeout = 60 * time.Second

// NewRouter returns router number i, not yet started. The number decides its name and its
// zone. Its peers are the first maxBootstrapPeers routers and the previous router of its
// zone.
func (f *Fleet) NewRouter(i int) (*router.Router, error) {
	var peers []string
	for _, r := range f.Routers[:min(len(f.Routers), maxBootstrapPeers)] {
		peers = append(peers, r.AdvertisedAddress())
	}
	if n := len(f.Options.Zones); i >= n && i-n < len(f.Routers) {
		peers = append(peers, f.Routers[i-n].AdvertisedAddress())
	}
	return f.newRouterWithPeers(i, peers)
}

// newRouterWithPeers returns router number i, which connects to the given peer addresses
// first.
func (f *Fleet) newRouterWithPeers(i int, peers []string) (*router.Router, error) {
	s := settings.Defaults()
	zone := f.Options.Zones[i%len(f.Options.Zones)]
	s.VM = fmt.Sprintf("%s-%d", zone, i/len(f.Options.Zones))
	s.Zone = zone
	s.Listen = anyPort
	if err := f.faultProxies.addRouter(s, f.Platform.Address(), i%len(f.Options.Zones)); err != nil {
		return nil, err
	}
	s.PeerSecret = "laboratory-secret"
	s.PeerAddresses = append([]string(nil), peers...)
	s.FirstOperatorKeyHash = config.HashKey(OperatorKey)
	s.FirstOperatorOffice = "kingston"
	if f.Options.AdjustSettings != nil {
		f.Options.AdjustSettings(s)
	}
	return router.New(s, f.logger())
}

// logger returns a logger for routers that writes to Options.Log.
func (f *Fleet) logger() zerolog.Logger {
	if f.Options.RouterLog == nil {
		return zerolog.Nop()
	}
	level, err := zerolog.ParseLevel(f.Options.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(f.Options.RouterLog).Level(level).With().Timestamp().Logger()
}

// WaitReady waits until every router is ready and knows all others. After the timeout it
// returns why one is not.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f.checkReady()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkReady returns an error unless every router reports readiness and knows all routers.
func (f *Fleet) checkReady() error {
	for _, r := range f.Routers {
		if err := r.Ready(); err != nil {
			return err
		}
		if n := len(r.Status().Routers); n < len(f.Routers) {
			return fmt.Errorf("router %s knows %d of %d routers", r.Status().VM, n, len(f.Routers))
		}
	}
	return nil
}

// Close stops the routers, the backend servers and the platform.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Stop()
	}
	for _, e := range f.ModelServers {
		e.Close()
	}
	for _, p := range f.PlainServers {
		p.Close()
	}
	f.faultProxies.close()
	if f.Platform != nil {
		f.Platform.Close()
	}
}

// Revision returns the configuration revision of the last change that Apply committed.
func (f *Fleet) Revision() uint64 { return f.store.View().Revision() }
