package gossip

// This file defines Gossip, which sends and receives datagrams and tracks which routers are
// reachable.

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
	"bulrushtally/rollout"
	"bulrushtally/serverload"
	"bulrushtally/streamversion"
)

// Timing of summaries.
const (
	minPeriod        = 60 * time.Millisecond
	periodPerRouter  = 6 * time.Millisecond // added to the period, so that the rate at which a router receives does not grow with the fleet
	minHearingTime   = 600 * time.Millisecond
	hearingPeriods   = 3                // time without a summary, in periods and at least minHearingTime, after which a zone is told to be silent
	peerTimeout      = 2 * time.Second  // time without a summary after which a router counts as unreachable
	inactiveAfter    = 15 * time.Second // time without a summary after which a router is sent one only every retryPeriods
	retryPeriods     = 16               // periods between two summaries to a router that is inactive
	startingPeriods  = 8                // periods between two summaries of a router that starts in a large fleet to one that it has not heard, or of another zone
	maxDatagramBytes = 60 << 10
)

// Handler provides what Gossip sends and processes what it receives.
type Handler interface {
	// Summary returns the current summary of this router.
	Summary() *placement.Summary
	// ZoneSummary returns the current aggregate of all routers of this router's zone.
	ZoneSummary() *placement.Summary
	// ApplySummary processes the summary of another router or zone.
	ApplySummary(m *placement.Summary)
	// ZoneUpdate returns the update that this router sends to the other routers of its zone,
	// or nil if it sends none.
	ZoneUpdate() *ZoneUpdate
	// ApplyZoneUpdate processes the update of another router of the zone.
	ApplyZoneUpdate(u *ZoneUpdate)
	// Notices returns what this router, or its zone, tells others of backend servers in trouble.
	Notices(zone bool) *Notices
	// ApplyNotices processes the notices of another router or zone. sameZone is set if it belongs to this
	// router's zone.
	ApplyNotices(m *Notices, sameZone bool)
	// StreamReport returns what this router tells the one that logs its streams, or nil if there is nothing to tell. The name of
	// that one is "" if this router logs them itself.
	StreamReport(collector string) *streamversion.Report
	// ApplyStreamReport processes what another router tells of its streams.
	ApplyStreamReport(r *streamversion.Report)
	// RolloutReports returns what this router, or its zone, tells others of roll-outs in progress.
	RolloutReports(zone bool) []rollout.Report
	// ApplyRolloutReports processes what another router or zone tells of roll-outs.
	ApplyRolloutReports(m *RolloutReports)
	// SpeedReport returns the speeds of backend servers that this router measured, or nil. The router's name and the number of the
	// report are set by the caller.
	SpeedReport() *serverload.Report
	// ApplySpeedReport processes the speeds that another router of the zone measured.
	ApplySpeedReport(r *serverload.Report)
	// FleetChanged is called in each period with the current state of the fleet.
	FleetChanged(f Fleet)
	// RouterUnreachable is called with the name of a sender of summaries when none has come
	// from it for peerTimeout, or when another router has taken over as the sender of its zone.
	RouterUnreachable(name string)
}

// Fleet describes the routers that this one knows of.
type Fleet struct {
	Alive       int           // reachable, including this router and those counted in zone summaries
	Known       int           // listed, or sent a summary, since the start, including this router
	Rank        int           // of this router by name, from 0, among the reachable ones, or in a large fleet among the known ones
	ZoneRank    int           // of this router by name, from 0, among the reachable ones of its availability zone
	ZoneRouters int           // reachable in its availability zone, including this router
	Period      time.Duration // between two summaries
	Live        []string      // names of the other routers whose own summaries come; in a large fleet those of the zone
}

// router is another router of the fleet.
type router struct {
	name        string
	zone        string
	address     netip.AddrPort
	lastSeen    time.Time
	unreachable bool
	leaving     bool
	candidate   bool // it may send the summary of its zone; see Summary.ZoneCandidate
	covered     bool // its zone's summary stands for it, whether it is heard or not
	deaf        bool // it hears no other router of its zone, so nothing reaches it
}

// Gossip exchanges summaries with all known routers, or in a large fleet with those of the same
// zone, and zone summaries with other zones.
type Gossip struct {
	self        string
	zone        string
	conn        *net.UDPConn
	handler     Handler
	logger      zerolog.Logger
	done        chan struct{}
	updateReady chan struct{} // holds one element if an update is to be sent at once

	mu      sync.Mutex
	routers map[netip.AddrPort]*router
	zones   map[string]*remoteZone // other zones that sent zone summaries, by name
	periods int                    // since the start

	// Used by Run alone.
	startedAt  time.Time
	leaving    bool          // the last summary announced that this router leaves
	announced  bool          // the last summary announced that this router is a candidate for its zone's summary
	period     time.Duration // between the last summary and the next
	sendsZone  bool          // this router sent the summary of its zone in the last period
	noticesAt  time.Time     // when notices were due last
	noticesDue bool          // in this period

	speedsAt       time.Time // when a report of speeds was due last
	speedsSent     bool      // the last report had speeds
	speedsSequence uint64    // number of the last report
}

// New returns a Gossip that listens at a UDP address. It fails if the address is invalid or in use.
func New(self, zone, address string, h Handler, logger zerolog.Logger) (*Gossip, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	return &Gossip{self: self, zone: zone, updateReady: make(chan struct{}, 1), conn: c, handler: h, logger: logger, done: make(chan struct{}), routers: map[netip.AddrPort]*router{}, zones: map[string]*remoteZone{}}, nil
}

// Address returns the address that other routers send to.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Done returns a channel that is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} { return g.done }

// Add adds a router by its address, and by its name unless that is empty. The router need not
// exist. An address that is invalid, known, or this router's own is ignored.
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

// Run exchanges summaries until the context ends. It then sends a last summary and returns nil.
func (g *Gossip) Run(ctx context.Context) error {
	go g.receive()
	updatesDone := make(chan struct{})
	go func() {
		defer close(updatesDone)
		g.sendUpdates(ctx)
	}()
	g.startedAt = time.Now()
	for ctx.Err() == nil {
		period := g.sendSummary(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
	<-updatesDone
	g.noticesAt = time.Time{} // the last reports of roll-outs tell that nothing of this router runs any more
	g.sendSummary(time.Now()) // the summary announces that this router leaves
	g.conn.Close()
	<-g.done
	return nil
}

// sendSummary sends a summary to the other routers and returns the time until the next is due.
func (g *Gossip) sendSummary(now time.Time) time.Duration {
	to := g.beginPeriod(now)
	due := period(len(to))
	g.period = due
	m := g.handler.Summary()
	g.leaving = m.Leaving
	m.ZoneCandidate, m.Hears = g.candidate(now), g.hears(now)
	g.announced = m.ZoneCandidate
	if len(to) == 0 {
		return due
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("summary-not-sent")
		return due
	}
	g.send(append(data, kindSummary), to)
	if g.noticesDue {
		g.sendNotices(false, to)
		g.sendRollouts(false, to)
	}
	return due
}

// Kinds of datagrams. The last byte of a datagram holds its kind.
const (
	kindSummary   = 's'
	kindUpdate    = 'n'
	kindZone      = 'z' // zone summary, to be forwarded within the receiver's zone
	kindForwarded = 'p' // zone summary that has been forwarded
	kindNotices   = 'q'
	kindStreams   = 'b' // streams that a router has begun, to its collector
	kindRollouts  = 'r'
	kindSpeeds    = 'v' // speeds of backend servers, within the zone
)

// send sends a datagram to each address.
func (g *Gossip) send(data []byte, to []netip.AddrPort) {
	for _, a := range to {
		// If the send queue is full or the router is unreachable, one message is lost; the next
		// one compensates for it.
		if _, err := g.conn.WriteToUDPAddrPort(data, a); err != nil {
			g.logger.Debug().Err(err).Str("router", a.String()).Msg("datagram-not-sent")
		}
	}
}

// period returns the time between two summaries that are sent to so many routers.
func period(routers int) time.Duration {
	return max(minPeriod, time.Duration(routers)*periodPerRouter)
}

// beginPeriod begins a period: it reports the fleet and the unreachable routers to the handler,
// sends the zone summary if that is this router's task, and returns the addresses that get this
// router's summary in the period.
func (g *Gossip) beginPeriod(now time.Time) []netip.AddrPort {
	m := g.nextMembership(now)
	g.noticesDue = m.fleet.Known <= ZoneSummaryThreshold || now.Sub(g.noticesAt) >= noticesPeriod
	if g.noticesDue {
		g.noticesAt = now
	}
	for _, name := range m.timedOut {
		g.logger.Info().Str("router", name).Dur("timeout_ms", peerTimeout).Msg("router-unreachable")
	}
	for _, name := range append(m.timedOut, m.aggregated...) {
		g.handler.RouterUnreachable(name)
	}
	g.handler.FleetChanged(m.fleet)
	g.sendStreams(m)
	g.sendSpeeds(now)
	if m.sendsZone != g.sendsZone {
		g.sendsZone = m.sendsZone
		g.logger.Info().Bool("sends", m.sendsZone).Int("zone_rank", m.fleet.ZoneRank).Int("routers", m.fleet.Alive).Msg("zone-sender-duty")
	}
	if m.sendsZone {
		g.sendZoneSummary(now, m.forwarders[:min(zoneForwarders, len(m.forwarders))])
		if g.noticesDue {
			g.sendNotices(true, g.remoteForwarders(now))
			g.sendRollouts(true, g.remoteForwarders(now))
		}
	}
	return m.targets
}

// membership is the state of the fleet at one moment.
type membership struct {
	fleet      Fleet
	targets    []netip.AddrPort // addresses that get a summary
	live       []string         // names of the other reachable routers
	zoneLive   []string         // those of live that are in this zone and not deaf
	candidates []string         // those of zoneLive that may send the summary of the zone
	known      []string         // names of all other routers
	forwarders []string         // addresses of this router and of those of zoneLive by name; the first zoneForwarders forward zone summaries
	timedOut   []string         // senders of summaries that have become unreachable
	aggregated []string         // routers that are represented by their zone's summary from now on
	sendsZone  bool             // this router sends the summary of its zone
}

// nextMembership counts a new period and returns the state of the fleet in it.
func (g *Gossip) nextMembership(now time.Time) *membership {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.periods++
	m := &membership{forwarders: []string{g.Address()}}
	expired, remote := g.timedOutZones(now)
	m.timedOut = expired
	for i, r := range g.sorted() {
		g.addMember(m, i, r, now.Sub(r.lastSeen))
	}
	m.fleet = Fleet{Alive: 1 + len(m.live), Known: len(g.routers) + 1, Rank: rank(m.live, g.self), ZoneRank: rank(m.zoneLive, g.self), ZoneRouters: 1 + len(m.zoneLive), Period: period(len(m.targets)), Live: m.live}
	if g.large() {
		m.fleet.Alive, m.fleet.Rank = 1+len(m.zoneLive)+remote, rank(m.known, g.self)
		m.sendsZone = g.announced && rank(m.candidates, g.self) == 0
	}
	return m
}

// addMember adds a router to a membership. index is its place among all, and age the time since its last summary. A router of
// another zone in a large fleet gets no summary of its own; g.mu is held.
func (g *Gossip) addMember(m *membership, index int, r *router, age time.Duration) {
	if r.name != "" {
		m.known = append(m.known, r.name)
	}
	sameZone := r.zone == g.zone
	ofOtherZone := g.large() && r.zone != "" && !sameZone
	switch {
	case age < peerTimeout && !r.leaving:
		m.live = append(m.live, r.name)
		if sameZone && !r.deaf {
			m.zoneLive = append(m.zoneLive, r.name)
			if r.candidate {
				m.candidates = append(m.candidates, r.name)
			}
			m.forwarders = append(m.forwarders, r.address.String())
		}
	case age >= peerTimeout && !r.unreachable && !r.lastSeen.IsZero():
		r.unreachable = true
		switch {
		case !ofOtherZone:
			m.timedOut = append(m.timedOut, r.name)
		case !r.covered:
			r.covered = true
			m.aggregated = append(m.aggregated, r.name)
		}
	}
	if n := g.periodsBetween(r, age, ofOtherZone); n > 0 && (index+g.periods)%n == 0 {
		m.targets = append(m.targets, r.address)
	}
}

// periodsBetween returns in how many periods a router gets a summary once, 0 meaning never. Those that get few are spread over the
// periods, since the period grows with the number of summaries in it.
func (g *Gossip) periodsBetween(r *router, age time.Duration, ofOtherZone bool) int {
	active := age < inactiveAfter
	switch {
	case ofOtherZone && !g.starting():
		return 0
	case !g.large():
		if active || g.starting() {
			return 1
		}
	case active && r.zone == g.zone:
		return 1
	case g.starting():
		return startingPeriods
	}
	return retryPeriods
}

// sorted returns the other routers, sorted by name; g.mu is held.
func (g *Gossip) sorted() []*router {
	list := make([]*router, 0, len(g.routers))
	for _, r := range g.routers {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *router) int { return cmp.Compare(a.name, b.name) })
	return list
}

// rank returns how many of the names sort before self.
func rank(names []string, self string) int {
	n := 0
	for _, name := range names {
		if name < self {
			n++
		}
	}
	return n
}

// receive handles datagrams until the connection is closed.
func (g *Gossip) receive() {
	defer close(g.done)
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP reported that an earlier datagram was refused at its destination
		}
		if n > 0 {
			g.handleDatagram(buffer[:n-1], buffer[n-1], from)
		}
	}
}

// handleDatagram decodes a datagram of a kind and processes it. Invalid ones are logged and dropped.
func (g *Gossip) handleDatagram(data []byte, kind byte, from netip.AddrPort) {
	var err error
	switch kind {
	case kindSummary:
		m := &placement.Summary{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.handleSummary(m, cmp.Or(m.Address, from.String()))
		}
	case kindZone, kindForwarded:
		m := &placement.Summary{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.handleZoneSummary(m, data, kind)
		}
	case kindUpdate:
		u := &ZoneUpdate{}
		if err = cbor.Unmarshal(data, u); err == nil && u.Router != g.self {
			g.handler.ApplyZoneUpdate(u)
		}
	case kindNotices:
		m := &Notices{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.handleNotices(m)
		}
	case kindStreams:
		r := &streamversion.Report{}
		if err = cbor.Unmarshal(data, r); err == nil {
			g.handler.ApplyStreamReport(r)
		}
	case kindRollouts:
		m := &RolloutReports{}
		if err = cbor.Unmarshal(data, m); err == nil {
			g.handleRollouts(m)
		}
	case kindSpeeds:
		r := &serverload.Report{}
		if err = cbor.Unmarshal(data, r); err == nil && r.Router != g.self {
			g.handler.ApplySpeedReport(r)
		}
	default:
		err = errUnknownKind
	}
	if err != nil {
		g.logger.Warn().Err(err).Str("from", from.String()).Msg("datagram-rejected")
	}
}

var errUnknownKind = errors.New("datagram of an unknown kind; run the same version on all routers")

// handleSummary records the sender of a summary as reachable and passes the summary to the handler.
func (g *Gossip) handleSummary(m *placement.Summary, from string) {
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
	becameReachable := r.unreachable && !r.covered || r.name != m.Router
	r.name, r.zone, r.lastSeen, r.unreachable, r.leaving, r.candidate = m.Router, m.Zone, time.Now(), false, m.Leaving, m.ZoneCandidate
	r.deaf = !m.HearsZone(m.Zone)
	g.mu.Unlock()
	if becameReachable {
		g.logger.Info().Str("router", m.Router).Str("address", from).Msg("router-reachable")
	}
	g.handler.ApplySummary(m)
}
