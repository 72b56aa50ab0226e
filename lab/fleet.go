package lab

// This file defines Fleet: the platform, the backend servers and the routers of
// one experiment, all on loopback addresses.

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

// OperatorKey is the bearer key of the first operator of every laboratory fleet.
const OperatorKey = "laboratory-operator-key"

// FleetOptions describe a fleet.
type FleetOptions struct {
	Zones          []string
	RoutersPerZone int
	Engines        int // of service ModelService, spread over the zones in turn
	Plains         int // of service PlainService
	Customers      int
	Weights        map[string]string // by customer, 1 for those left out
	Engine         standin.EngineOptions
	PlainWork      time.Duration
	Warm           bool // engines bear all their slots from the start
	Wires          bool // what lies between zones can be cut
	Seed           uint64
	Log            io.Writer // of all routers; nil for none
	LogLevel       string
	Change         func(*settings.Settings) // adjusts each router's settings, may be nil
}

// The services of every laboratory fleet.
const (
	ModelService = "drafting-models"
	PlainService = "quote-desk"
)

// Today is the size of the fleet that runs today.
func Today(seed uint64) FleetOptions {
	return FleetOptions{
		Zones: []string{"kgn-a", "kgn-b", "spn-c"}, RoutersPerZone: 2, Engines: 9, Plains: 3, Customers: 16,
		Engine: standin.DefaultEngine, PlainWork: 5 * time.Millisecond, Seed: seed,
	}
}

// Fleet is a running fleet.
type Fleet struct {
	Options  FleetOptions
	Platform *standin.Platform
	Engines  []*standin.Engine
	Plains   []*standin.Plain
	Routers  []*router.Router
	Log      *ledger.Log // with a client of its own

	store *config.Store
	wires *wires
}

// StartFleet starts a fleet and returns once every router is ready.
func StartFleet(o FleetOptions) (*Fleet, error) {
	f := &Fleet{Options: o, store: config.NewStore(), wires: newWires(o.Zones, o.Wires)}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

const anyPort = "127.0.0.1:0"

func (f *Fleet) start() error {
	var err error
	if f.Platform, err = standin.NewPlatform(anyPort, f.Options.Seed); err != nil {
		return err
	}
	c := ledger.NewClient(ledger.Options{
		Address: f.Platform.Address(), Timeout: 5 * time.Second, ReadsPerSecond: 1e5, WritesPerSecond: 1e5,
	})
	f.Log = ledger.NewLog(c, c)
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.seed(); err != nil {
		return err
	}
	return f.startRouters()
}

func (f *Fleet) startBackends() error {
	for range f.Options.Engines {
		e, err := standin.NewEngine(anyPort, f.Options.Engine)
		if err != nil {
			return err
		}
		if f.Options.Warm {
			e.Warm()
		}
		f.Engines = append(f.Engines, e)
	}
	for range f.Options.Plains {
		p, err := standin.NewPlain(anyPort, f.Options.PlainWork)
		if err != nil {
			return err
		}
		f.Plains = append(f.Plains, p)
	}
	return nil
}

// Customer returns the name of customer number i, and CallerKey its bearer key.
func Customer(i int) string { return fmt.Sprintf("customer-%02d", i) }

// CallerKey returns the bearer key of a customer's callers.
func CallerKey(customer string) string { return "key-of-" + customer }

// enginePrefix begins the names of model engines.
const enginePrefix = "engine"

// seed writes the fleet's configuration to the platform.
func (f *Fleet) seed() error {
	o := f.Options
	var list []*config.Object
	for _, z := range o.Zones {
		list = append(list, &config.Object{Kind: config.KindZone, Name: z})
	}
	list = append(list,
		&config.Object{Kind: config.KindService, Name: ModelService, Labels: map[string]string{config.LabelServiceKind: "model"}},
		&config.Object{Kind: config.KindService, Name: PlainService, Labels: map[string]string{config.LabelServiceKind: "plain"}},
		&config.Object{Kind: config.KindAccess, Name: "all-models", Service: ModelService},
		&config.Object{Kind: config.KindAccess, Name: "all-plain", Service: PlainService},
	)
	for i, e := range f.Engines {
		list = append(list, f.backend(enginePrefix, i, ModelService, e.Address(), o.Engine.Slots))
	}
	for i, p := range f.Plains {
		list = append(list, f.backend("plain", i, PlainService, p.Address(), 8))
	}
	for i := range o.Customers {
		name := Customer(i)
		c := &config.Object{Kind: config.KindCustomer, Name: name, Labels: map[string]string{}}
		if w := o.Weights[name]; w != "" {
			c.Labels[config.LabelWeight] = w
		}
		key := &config.Object{Kind: config.KindCaller, Name: name, Customer: name, KeyHash: config.HashKey(CallerKey(name))}
		list = append(list, c, key)
	}
	for _, x := range list {
		if err := f.Apply(config.Wish{Object: x}); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) backend(prefix string, i int, service, address string, slots int) *config.Object {
	zone := f.Options.Zones[i%len(f.Options.Zones)]
	return &config.Object{
		Kind: config.KindBackend, Name: fmt.Sprintf("%s-%02d", prefix, i), Service: service, Zone: zone,
		Address: address, Labels: map[string]string{config.LabelSlots: strconv.Itoa(slots)},
	}
}

// Apply has a change accepted past the routers, which find it in the platform's log.
func (f *Fleet) Apply(w config.Wish) error {
	number := fmt.Sprintf("lab-%d", f.store.View().Revision())
	_, err := f.Log.Commit(f.store, ledger.Draft{
		Request: number, Operator: "lab", Office: "laboratory",
		Plan: func(s *config.State) (*config.Change, error) {
			c, _, err := config.Plan(s, w)
			return c, err
		},
	})
	return err
}

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

// bootstrapPeers is how many routers a new one is told of.
const bootstrapPeers = 3

// readyTimeout bounds the start of a fleet.
const readyTimeout = 60 * time.Second

// NewRouter makes a router whose number decides its name and zone, and tells it of
// the first routers and the last of its zone.
func (f *Fleet) NewRouter(i int) (*router.Router, error) {
	var peers []string
	for _, r := range f.Routers[:min(len(f.Routers), bootstrapPeers)] {
		peers = append(peers, r.Advertised())
	}
	if n := len(f.Options.Zones); i >= n && i-n < len(f.Routers) {
		peers = append(peers, f.Routers[i-n].Advertised())
	}
	return f.newRouter(i, peers)
}

func (f *Fleet) newRouter(i int, peers []string) (*router.Router, error) {
	s := settings.Defaults()
	zone := f.Options.Zones[i%len(f.Options.Zones)]
	s.VM = fmt.Sprintf("%s-%d", zone, i/len(f.Options.Zones))
	s.Zone = zone
	s.Listen = anyPort
	if err := f.wires.connect(s, f.Platform.Address(), i%len(f.Options.Zones)); err != nil {
		return nil, err
	}
	s.PeerSecret = "laboratory-secret"
	s.PeerAddresses = append([]string(nil), peers...)
	s.FirstOperatorKeyHash = config.HashKey(OperatorKey)
	s.FirstOperatorOffice = "kingston"
	if f.Options.Change != nil {
		f.Options.Change(s)
	}
	return router.New(s, f.logger())
}

func (f *Fleet) logger() zerolog.Logger {
	if f.Options.Log == nil {
		return zerolog.Nop()
	}
	level, err := zerolog.ParseLevel(f.Options.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(f.Options.Log).Level(level).With().Timestamp().Logger()
}

// WaitReady waits until every router is ready, or returns why one is not.
func (f *Fleet) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		err := f.ready()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *Fleet) ready() error {
	for _, r := range f.Routers {
		if err := r.Ready(); err != nil {
			return err
		}
		if n := len(r.Status().Routers); n < len(f.Routers) {
			return fmt.Errorf("router %s knows %d routers of %d", r.Status().VM, n, len(f.Routers))
		}
	}
	return nil
}

// Close stops everything.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Stop()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, p := range f.Plains {
		p.Close()
	}
	f.wires.close()
	if f.Platform != nil {
		f.Platform.Close()
	}
}

// Revision returns the revision that Apply last led to.
func (f *Fleet) Revision() uint64 { return f.store.View().Revision() }
