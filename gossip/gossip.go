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
	// Heard takes in another router's summary.
	Heard(m *placement.Summary)
	// Routers takes in how many routers are alive, how many were ever heard of or
	// listed, this one's rank among those alive, and the time between two summaries.
	Routers(alive, known, rank int, period time.Duration)
	// Silent takes in that a router has not been heard for a time.
	Silent(name string)
}

// router is another router.
type router struct {
	name    string
	address netip.AddrPort
	heard   time.Time
	silent  bool
	leaving bool
}

// Gossip exchanges summaries with all known routers.
type Gossip struct {
	self    string
	conn    *net.UDPConn
	handler Handler
	logger  zerolog.Logger
	done    chan struct{}

	mu      sync.Mutex
	routers map[netip.AddrPort]*router
	periods int
}

// New listens for summaries at a UDP address.
func New(self, address string, h Handler, logger zerolog.Logger) (*Gossip, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	return &Gossip{self: self, conn: c, handler: h, logger: logger, done: make(chan struct{}), routers: map[netip.AddrPort]*router{}}, nil
}

// Address returns the address that other routers send to.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Done returns a channel that is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// Add takes in the address of a router that may exist.
func (g *Gossip) Add(address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || address == g.Address() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routers[a] == nil {
		g.routers[a] = &router{address: a}
	}
}

// Run exchanges summaries until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	go g.receive()
	for ctx.Err() == nil {
		period := g.tell(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
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
	for _, a := range to {
		// A full queue or an unreachable router loses one summary, which the next makes good.
		if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
			g.logger.Debug().Err(err).Str("router", a.String()).Msg("summary-lost")
		}
	}
	return due
}

// period returns the time between two summaries to so many routers.
func period(routers int) time.Duration {
	return max(minPeriod, time.Duration(routers)*perRouter)
}

// targets returns who gets a summary in this period.
func (g *Gossip) targets(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	g.periods++
	var fell []string
	alive := []string{g.self}
	for _, r := range g.routers {
		age := now.Sub(r.heard)
		if age < silence && !r.leaving {
			alive = append(alive, r.name)
		}
		if age >= silence && !r.silent && r.name != "" {
			r.silent = true
			fell = append(fell, r.name)
		}
		if age < farewell || g.periods%retryEvery == 0 || g.periods < 2*retryEvery {
			to = append(to, r.address)
		}
	}
	known := len(g.routers) + 1
	g.mu.Unlock()
	for _, name := range fell {
		g.logger.Info().Str("router", name).Dur("silence_ms", silence).Msg("router-silent")
		g.handler.Silent(name)
	}
	slices.Sort(alive)
	g.handler.Routers(len(alive), known, slices.Index(alive, g.self), period(len(to)))
	return to
}

func (g *Gossip) receive() {
	defer close(g.done)
	buffer := make([]byte, maxMessage)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier summary was refused at its destination
		}
		m := &placement.Summary{}
		if err := cbor.Unmarshal(buffer[:n], m); err != nil {
			g.logger.Warn().Err(err).Str("from", from.String()).Msg("summary-unreadable")
			continue
		}
		g.take(m, cmp.Or(m.Address, from.String()))
	}
}

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
	r.name, r.heard, r.silent, r.leaving = m.Router, time.Now(), false, m.Leaving
	g.mu.Unlock()
	if news {
		g.logger.Info().Str("router", m.Router).Str("address", from).Msg("router-heard")
	}
	g.handler.Heard(m)
}
