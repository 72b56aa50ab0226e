package gossip

// This file defines Gossip, which sends and receives summaries.

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"bulrushtally/placement"
)

// Timing of summaries.
const (
	minPeriod  = 60 * time.Millisecond
	perRouter  = 6 * time.Millisecond // of the period, so that what a router receives does not grow with the fleet
	silence    = 2 * time.Second      // after which a router counts as unreachable
	farewell   = 15 * time.Second     // after which it no longer gets summaries at each period
	retryEvery = 16                   // periods between two tries to reach a silent router
	maxMessage = 60 << 10
)

// Handler takes in what other routers say.
type Handler interface {
	// Summary returns what this router says of itself now.
	Summary() *placement.Summary
	// ZoneSummary returns what this router says of all routers of its zone.
	ZoneSummary() *placement.Summary
	// Heard takes in another router's summary.
	Heard(m *placement.Summary)
	// News returns what this router tells those of its zone, or nil if others tell it.
	News() *News
	// HeardNews takes in what another router of the zone tells.
	HeardNews(n *News)
	// Routers takes in which routers there are.
	Routers(f Fleet)
	// Silent takes in that a router has not been heard for a time.
	Silent(name string)
}

// Fleet says which routers there are, by what was heard of them.
type Fleet struct {
	Alive    int
	Known    int           // ever heard of or listed
	Rank     int           // of this router among those alive, in a large fleet among those known, from 0
	ZoneRank int           // the same within its availability zone
	Period   time.Duration // between two summaries
}

// router is another router.
type router struct {
	name    string
	zone    string
	address netip.AddrPort
	heard   time.Time
	silent  bool
	leaving bool
}

// Gossip exchanges summaries with all known routers.
type Gossip struct {
	self    string
	zone    string
	conn    *net.UDPConn
	handler Handler
	logger  zerolog.Logger
	done    chan struct{}
	fresh   chan struct{} // holds one if there is news to tell at once

	mu      sync.Mutex
	routers map[netip.AddrPort]*router
	zones   map[string]*farZone // the others, in a large fleet
	periods int
}

// New listens for summaries at a UDP address.
func New(self, zone, address string, h Handler, logger zerolog.Logger) (*Gossip, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	return &Gossip{self: self, zone: zone, fresh: make(chan struct{}, 1), conn: c, handler: h, logger: logger, done: make(chan struct{}), routers: map[netip.AddrPort]*router{}, zones: map[string]*farZone{}}, nil
}

// Address returns the address that other routers send to.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Done returns a channel that is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// Add takes in the name, if it is known, and the address of a router that may exist.
func (g *Gossip) Add(name, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || address == g.Address() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routers[a] == nil {
		g.routers[a] = &router{name: name, address: a}
	}
}

// Run exchanges summaries until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	go g.receive()
	telling := make(chan struct{})
	go func() {
		defer close(telling)
		g.tellZone(ctx)
	}()
	for ctx.Err() == nil {
		period := g.tell(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	<-telling
	g.tell(time.Now()) // says that this router leaves
	g.conn.Close()
	<-g.done
	return nil
}

// tell sends a summary to the other routers and returns when the next is due.
func (g *Gossip) tell(now time.Time) time.Duration {
	to := g.targets(now)
	due := period(len(to))
	if len(to) == 0 {
		return due
	}
	data, err := cbor.Marshal(g.handler.Summary())
	if err != nil || len(data) > maxMessage {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("summary-not-sent")
		return due
	}
	g.send(append(data, kindSummary), to)
	return due
}

// The last byte of a datagram says what it holds.
const (
	kindSummary = 's'
	kindNews    = 'n'
	kindZone    = 'z' // sums of a zone, to be passed on
	kindPassed  = 'p' // the same, passed on
)

func (g *Gossip) send(data []byte, to []netip.AddrPort) {
	for _, a := range to {
		// A full queue or an unreachable router loses one message, which the next makes good.
		if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
			g.logger.Debug().Err(err).Str("router", a.String()).Msg("summary-lost")
		}
	}
}

// period returns the time between two summaries to so many routers.
func period(routers int) time.Duration {
	return max(minPeriod, time.Duration(routers)*perRouter)
}

// targets takes stock of the routers and returns who gets a summary in this period.
func (g *Gossip) targets(now time.Time) []netip.AddrPort {
	c := g.takeCensus(now)
	for _, name := range c.fell {
		g.logger.Info().Str("router", name).Dur("silence_ms", silence).Msg("router-silent")
	}
	for _, name := range append(c.fell, c.far...) {
		g.handler.Silent(name)
	}
	g.handler.Routers(c.fleet)
	if c.tells {
		g.tellZones(now, c.relays[:min(zoneRelays, len(c.relays))])
	}
	return c.to
}

// census is what is known of the routers at one moment.
type census struct {
	fleet  Fleet
	to     []netip.AddrPort // who gets a summary
	live   []string         // names of the others that are heard
	zone   []string         // of these, those of this zone
	known  []string         // names of all others
	relays []string         // addresses of this zone's routers, by name
	fell   []string         // who is no longer heard
	far    []string         // who speaks through its zone from now on
	tells  bool             // this router sums its zone up
}

func (g *Gossip) takeCensus(now time.Time) *census {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.periods++
	c := &census{relays: []string{g.Address()}}
	fallen, others := g.fallenZones(now)
	c.fell = fallen
	for _, r := range g.sorted() {
		g.add(c, r, now.Sub(r.heard))
	}
	c.fleet = Fleet{Alive: 1 + len(c.live), Known: len(g.routers) + 1, Rank: rank(c.live, g.self), ZoneRank: rank(c.zone, g.self), Period: period(len(c.to))}
	if g.large() {
		c.fleet.Alive, c.fleet.Rank = 1+len(c.zone)+others, rank(c.known, g.self)
		c.tells = !g.settling() && c.fleet.ZoneRank == 0
	}
	return c
}

// add takes a router that was heard so long ago into a census; g.mu is held.
func (g *Gossip) add(c *census, r *router, age time.Duration) {
	if r.name != "" {
		c.known = append(c.known, r.name)
	}
	near := r.zone == g.zone
	far := g.large() && !g.settling() && r.zone != "" && !near
	switch {
	case age < silence && !r.leaving:
		c.live = append(c.live, r.name)
		if near {
			c.zone = append(c.zone, r.name)
			c.relays = append(c.relays, r.address.String())
		}
	case age >= silence && !r.silent && !r.heard.IsZero():
		r.silent = true
		if far {
			c.far = append(c.far, r.name)
		} else {
			c.fell = append(c.fell, r.name)
		}
	}
	if !far && (age < farewell || g.periods%retryEvery == 0 || g.settling()) {
		c.to = append(c.to, r.address)
	}
}

// sorted returns the other routers by name; g.mu is held.
func (g *Gossip) sorted() []*router {
	list := make([]*router, 0, len(g.routers))
	for _, r := range g.routers {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *router) int { return cmp.Compare(a.name, b.name) })
	return list
}

// rank returns how many of the names come before one.
func rank(names []string, self string) int {
	n := 0
	for _, name := range names {
		if name < self {
			n++
		}
	}
	return n
}

func (g *Gossip) receive() {
	defer close(g.done)
	buffer := make([]byte, maxMessage+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier summary was refused at its destination
		}
		if n > 0 {
			g.read(buffer[:n-1], buffer[n-1], from)
		}
	}
}

// read takes in one datagram.
func (g *Gossip) read(data []byte, kind byte, from netip.AddrPort) {
	var err error
	switch kind {
	case kindSummary:
		m := &placement.Summary{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.take(m, cmp.Or(m.Address, from.String()))
		}
	case kindZone, kindPassed:
		m := &placement.Summary{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.takeZone(m, data, kind)
		}
	case kindNews:
		n := &News{}
		if err = cbor.Unmarshal(data, n); err == nil && n.Router != g.self {
			g.handler.HeardNews(n)
		}
	default:
		err = errKind
	}
	if err != nil {
		g.logger.Warn().Err(err).Str("from", from.String()).Msg("summary-unreadable")
	}
}

var errKind = errors.New("a message of an unknown kind; run the same version on all routers")

func (g *Gossip) take(m *placement.Summary, from string) {
	a, err := netip.ParseAddrPort(from)
	if err != nil || m.Router == g.self {
		return
	}
	g.mu.Lock()
	r := g.routers[a]
	if r == nil {
		r = &router{address: a}
		g.routers[a] = r
	}
	news := r.silent || r.name != m.Router
	r.name, r.zone, r.heard, r.silent, r.leaving = m.Router, m.Zone, time.Now(), false, m.Leaving
	g.mu.Unlock()
	if news {
		g.logger.Info().Str("router", m.Router).Str("address", from).Msg("router-heard")
	}
	g.handler.Heard(m)
}
