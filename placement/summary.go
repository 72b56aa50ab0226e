package placement

// This file defines Summary, what routers tell each other.

import "time"

// Load is what a router has in flight at one backend server.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Server  string
	Running int
	Tokens  int
	Reading int    // tokens that it has yet to read of these
	Sent    uint64 // tokens sent to be read so far, a sum since the router started
	Down    bool   // the router could not reach it lately
}

// FitSums are a router's observations of how long the engines of a service take to read.
type FitSums struct {
	_               struct{} `cbor:",toarray"`
	Service         string
	N, X, Y, XX, XY float64
}

// Service is what a customer asked for and got at a router, as sums since the router started.
type Service struct {
	_             struct{} `cbor:",toarray"`
	Customer      string
	Asked, Served uint64
}

// Summary is what a router tells others about itself. It holds sums, so what is
// lost is made good by the next one and what comes twice adds nothing.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	Router      string
	Incarnation uint64
	Zone        string
	Routers     int      // of the zone, for which it speaks; 0 if it speaks for itself alone
	Relays      []string // addresses of those of the zone that take the summaries of other zones
	Address     string   // for summaries to it
	Leaving     bool
	Version     uint64 // of the configuration
	Proof       uint64 // reading of the store's clock at which it was the newest, in milliseconds; 0 if unknown
	Rows        uint64 // version of the newest known row of the store's list of backend servers
	Settings    uint64 // the same of the operator's table
	Loads       []Load
	Services    []Service
	Crashes     []Crash
	Fits        []FitSums
}

// Crash is a request that was running when its backend server broke off.
type Crash struct {
	_      struct{} `cbor:",toarray"`
	Digest uint64
	Count  int
}

// peerSums is what another router last said.
type peerSums struct {
	zone        string
	routers     int
	incarnation uint64
	sent        map[string]uint64
	asked       map[string]uint64
	served      map[string]uint64
}

// Fill adds what this router's placement tells others to a summary.
func (p *Placement) Fill(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		if s.told(now) {
			m.Loads = append(m.Loads, Load{Server: id, Running: s.running, Tokens: s.tokens, Reading: int(s.unread), Sent: s.sent, Down: s.failures > 1})
		}
	}
	p.fillFits(m)
	for name, c := range p.shares.customers {
		if c.askedSum > 0 {
			m.Services = append(m.Services, Service{Customer: name, Asked: c.askedSum, Served: c.servedSum})
		}
	}
}

// FillZone adds what this router and those of its zone have said to a summary of the zone.
func (p *Placement) FillZone(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Routers = 1
	var near []string
	for name, o := range p.peers {
		if o.zone == p.zone && o.routers == 0 {
			near = append(near, name)
		}
	}
	m.Routers += len(near)
	for id, s := range p.servers {
		l := Load{Server: id, Running: s.running, Tokens: s.tokens, Reading: int(s.unread), Sent: s.sent + s.zoneSent, Down: s.failures > 1}
		told := s.told(now)
		for _, name := range near {
			if r, ok := s.remote[name]; ok {
				l.Running, l.Tokens, l.Reading, told = l.Running+r.running, l.Tokens+r.tokens, l.Reading+r.reading, true
				l.Down = l.Down || r.down
			}
		}
		if told {
			m.Loads = append(m.Loads, l)
		}
	}
	for name, pl := range p.pools {
		f := pl.fit
		for _, from := range near {
			f = f.plus(pl.fits[from])
		}
		m.addFit(name, f)
	}
	for name, c := range p.shares.customers {
		if asked := c.askedSum + c.zoneAsked; asked > 0 {
			m.Services = append(m.Services, Service{Customer: name, Asked: asked, Served: c.servedSum + c.zoneServed})
		}
	}
}

// fillFits adds this router's observations to a summary.
func (p *Placement) fillFits(m *Summary) {
	for name, pl := range p.pools {
		m.addFit(name, pl.fit)
	}
}

func (m *Summary) addFit(service string, f fit) {
	if f.n > 0 {
		m.Fits = append(m.Fits, FitSums{Service: service, N: f.n, X: f.x, Y: f.y, XX: f.xx, XY: f.xy})
	}
}

// heardFits takes in another router's observations.
func (p *Placement) heardFits(m *Summary) {
	for _, f := range m.Fits {
		if pl := p.pools[f.Service]; pl != nil {
			pl.fits[m.Router] = fit{n: f.N, x: f.X, y: f.Y, xx: f.XX, xy: f.XY}
		}
	}
}

// toldTime is how long after its last request there a router still tells of a server.
const toldTime = 2 * time.Second

// told reports whether there is something to tell others of a server.
func (s *server) told(now time.Time) bool {
	return s.running > 0 || s.failures > 0 || now.Sub(s.sentAt) < toldTime
}

// Heard takes in what another router says of its own requests.
func (p *Placement) Heard(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[m.Router]
	if old == nil || old.incarnation != m.Incarnation {
		old = &peerSums{zone: m.Zone, routers: m.Routers, incarnation: m.Incarnation, sent: map[string]uint64{}, asked: map[string]uint64{}, served: map[string]uint64{}}
		p.peers[m.Router] = old
		for _, s := range p.servers {
			s.unhear(m.Router)
		}
	}
	for id := range old.sent {
		if s := p.servers[id]; s != nil {
			s.unhear(m.Router)
		}
	}
	for _, l := range m.Loads {
		p.heardLoad(now, old, m.Router, l)
	}
	p.heardFits(m)
	slot := p.shares.slot(now)
	near := m.Zone == p.zone
	for _, s := range m.Services {
		c := p.shares.customer(s.Customer)
		asked, served := increase(old.asked, s.Customer, s.Asked), increase(old.served, s.Customer, s.Served)
		c.asked.add(slot, asked)
		c.served.add(slot, served)
		if near {
			c.zoneAsked += uint64(asked)
			c.zoneServed += uint64(served)
		}
	}
}

func (p *Placement) heardLoad(now time.Time, old *peerSums, from string, l Load) {
	s := p.servers[l.Server]
	if s == nil {
		return
	}
	s.hear(from, remoteLoad{running: l.Running, tokens: l.Tokens, reading: l.Reading, down: l.Down})
	if more := increase(old.sent, l.Server, l.Sent); more > 0 {
		s.push(now, more)
		if old.zone == p.zone {
			s.zoneSent += uint64(more)
		}
	}
	if l.Down && s.failures == 0 && !s.cold(now) {
		s.warming = true // it may have started anew
	}
}

// increase returns by how much a sum grew since it was last heard; the first time counts as nothing.
func increase(sums map[string]uint64, name string, sum uint64) float64 {
	old, known := sums[name]
	sums[name] = max(old, sum)
	if !known || sum < old {
		return 0
	}
	return float64(sum - old)
}

// Forget drops what a router said that is gone.
func (p *Placement) Forget(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, router)
	for _, s := range p.servers {
		s.unhear(router)
	}
	for _, pl := range p.pools {
		delete(pl.fits, router)
	}
}
