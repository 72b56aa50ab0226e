package placement

// This file defines Summary, the load and usage that routers report to each other.

import (
	"time"

	"bulrushtally/follow"
)

// Load is one router's load of a backend server, or that of a zone's routers together.
type Load struct {
	_              struct{} `cbor:",toarray"`
	Server         string
	Running        int    // requests in flight
	Tokens         int    // prompt and output tokens of those
	PendingPrefill int    // prefill cost that is still pending, in tokens
	SentTokens     uint64 // prefill tokens sent, a counter since the router's start
	Unreachable    bool   // connections to it failed repeatedly
}

// FitSums is a router's prefillFit for a service.
type FitSums struct {
	_               struct{} `cbor:",toarray"`
	Service         string
	N, X, Y, XX, XY float64
}

// CustomerUsage is a customer's usage at a router or in a zone, over the sliding window.
type CustomerUsage struct {
	_              struct{} `cbor:",toarray"`
	Customer       string
	Demand, Served uint64 // cost of the requests that arrived, and of those that were sent to backend servers
	WithinShare    uint64 // cost of those of the latter that used the customer's fair share
}

// Summary is a router's report on itself, or on all routers of its zone, to other
// routers. It holds states and counters instead of differences, so the next summary compensates
// for a lost one and a duplicate has no effect.
type Summary struct {
	_                  struct{} `cbor:",toarray"`
	Router             string   // name of the router, or of the zone
	Incarnation        uint64   // of the sender
	Zone               string
	ZoneCandidate      bool            // the router may send the summary of its zone
	ZoneRouters        int             // number of routers of the zone that it covers; 0 if it covers one router
	Sender             string          // router that sent the summary of the zone; "" if it covers one router
	ForwarderAddresses []string        // addresses of the zone's routers that receive the summaries of other zones and forward them within the zone
	Address            string          // address that the router receives summaries at
	Leaving            bool            // the router is shutting down
	ConfigVersion      uint64          // version of the configuration
	ConfirmedAt        uint64          // reading of the store's clock, in milliseconds, at which ConfigVersion was confirmed current; 0 if unknown
	ConfirmedEra       uint64          // era of the store at that reading
	ServerRows         follow.Position // of the newest known row of the store's table of backend servers
	OperatorRows       follow.Position // of the newest known row of the operator's table
	Loads              []Load
	Usage              []CustomerUsage
	Hears              []any // names of the zones of which the sender hears another router; routers of earlier versions send nil or something else
	Fits               []FitSums
}

// peerState is what another router's last summary told, without the usage of customers.
type peerState struct {
	zone        string
	zoneRouters int // number of routers that the summary covers; 0 if it covers one router
	incarnation uint64
	sentTokens  map[string]uint64 // by server ID
}

// FillSummary adds this router's loads, fits and customer usage to a summary.
func (p *Placement) FillSummary(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		if s.hasReport(now) {
			m.Loads = append(m.Loads, Load{Server: id, Running: s.running, Tokens: s.kvTokens, PendingPrefill: int(s.pendingCost), SentTokens: s.sentTokens, Unreachable: s.failures > 1})
		}
	}
	p.addFits(m)
	p.shares.fillUsage(now, m)
}

// FillZoneSummary adds the loads, fits and customer usage of this router and, from
// their summaries, of the other routers of its zone.
func (p *Placement) FillZoneSummary(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.ZoneRouters = 1
	var zonePeers []string
	for name, peer := range p.peers {
		if peer.zone == p.zone && peer.zoneRouters == 0 {
			zonePeers = append(zonePeers, name)
		}
	}
	m.ZoneRouters += len(zonePeers)
	for id, s := range p.servers {
		l := Load{Server: id, Running: s.running, Tokens: s.kvTokens, PendingPrefill: int(s.pendingCost), SentTokens: s.sentTokens + s.zoneSentTokens, Unreachable: s.failures > 1}
		report := s.hasReport(now)
		for _, name := range zonePeers {
			if r, ok := s.remoteLoads[name]; ok {
				l.Running, l.Tokens, l.PendingPrefill, report = l.Running+r.running, l.Tokens+r.kvTokens, l.PendingPrefill+r.pendingPrefill, true
				l.Unreachable = l.Unreachable || r.unreachable
			}
		}
		if report {
			m.Loads = append(m.Loads, l)
		}
	}
	for name, pl := range p.pools {
		f := pl.ownFit
		for _, router := range zonePeers {
			f = f.merge(pl.peerFits[router])
		}
		m.addFit(name, f)
	}
	p.shares.fillZoneUsage(now, p.zone, m)
}

// addFits adds this router's fits to a summary.
func (p *Placement) addFits(m *Summary) {
	for name, pl := range p.pools {
		m.addFit(name, pl.ownFit)
	}
}

// addFit adds the fit of a service to the summary if it has observations.
func (m *Summary) addFit(service string, f prefillFit) {
	if f.n > 0 {
		m.Fits = append(m.Fits, FitSums{Service: service, N: f.n, X: f.x, Y: f.y, XX: f.xx, XY: f.xy})
	}
}

// applyFits replaces another router's fits by those of its summary.
func (p *Placement) applyFits(m *Summary) {
	for _, f := range m.Fits {
		if pl := p.pools[f.Service]; pl != nil {
			pl.peerFits[m.Router] = prefillFit{n: f.N, x: f.X, y: f.Y, xx: f.XX, xy: f.XY}
		}
	}
}

// reportTime is how long after the last request to a server its load is still reported.
const reportTime = 2 * time.Second

// hasReport reports whether summaries must include the server.
func (s *server) hasReport(now time.Time) bool {
	return s.running > 0 || s.failures > 0 || now.Sub(s.sentAt) < reportTime
}

// ApplySummary replaces a router's loads, fits and usage of customers by those of a summary.
func (p *Placement) ApplySummary(now time.Time, m *Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zonesHeard[m.Zone] = now
	peer := p.peers[m.Router]
	if peer == nil || peer.incarnation != m.Incarnation {
		peer = &peerState{zone: m.Zone, zoneRouters: m.ZoneRouters, incarnation: m.Incarnation, sentTokens: map[string]uint64{}}
		p.peers[m.Router] = peer
		for _, s := range p.servers {
			s.removeRemoteLoad(m.Router)
		}
	}
	for id := range peer.sentTokens {
		if s := p.servers[id]; s != nil {
			s.removeRemoteLoad(m.Router)
		}
	}
	for _, l := range m.Loads {
		p.applyLoad(now, peer, m, l)
	}
	p.applyFits(m)
	p.shares.applyReport(now, m)
}

// applyLoad applies the load of one backend server from another router's summary.
func (p *Placement) applyLoad(now time.Time, peer *peerState, m *Summary, l Load) {
	s := p.servers[l.Server]
	if s == nil {
		return
	}
	unreachable := l.Unreachable && p.believesFailure(m, s.Zone)
	s.setRemoteLoad(m.Router, remoteLoad{running: l.Running, kvTokens: l.Tokens, pendingPrefill: l.PendingPrefill, unreachable: unreachable})
	if sent := counterIncrease(peer.sentTokens, l.Server, l.SentTokens); sent > 0 {
		s.addPrefill(now, sent)
		if peer.zone == p.zone {
			s.zoneSentTokens += uint64(sent)
		}
	}
	if unreachable && s.failures == 0 && !s.cold(now) {
		if !s.maybeRestarted {
			s.stated.Forget() // once: a router that does not reach the server repeats so in each summary
		}
		s.maybeRestarted = true
	}
}

// counterIncrease returns the increase of a counter since its last value, and stores the
// new one. It returns 0 for the first value of a counter and for one that went back.
func counterIncrease(counters map[string]uint64, name string, value uint64) float64 {
	old, known := counters[name]
	counters[name] = max(old, value)
	if !known || value < old {
		return 0
	}
	return float64(value - old)
}

// ForgetRouter removes the loads and fits that a sender of summaries reported, because its summaries have
// stopped. If they start again, only increases of its counters from then on count. The usage of
// customers that it reported fades.
func (p *Placement) ForgetRouter(router string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, router)
	for _, s := range p.servers {
		s.removeRemoteLoad(router)
	}
	for _, pl := range p.pools {
		delete(pl.peerFits, router)
	}
}
