package lab

// This file defines faultProxies, the TCP proxies between the zones of a fleet and between
// each zone and the platform, with which experiments interrupt traffic.

import (
	"fmt"
	"net"
	"sync"

	"bulrushtally/settings"
)

// PlatformSide names the platform in Fleet.SetLinkState.
const PlatformSide = "platform"

// faultProxies holds two proxies for each router: one in front of the router's peer
// listener, and one through which the router reaches the platform.
type faultProxies struct {
	zones   []string
	enabled bool // if false, there are no proxies: routers connect directly

	mu      sync.Mutex
	states  map[[2]string]LinkState // by the two sides in alphabetical order; without an entry, traffic passes
	proxies []*FaultProxy
}

func newFaultProxies(zones []string, enabled bool) *faultProxies {
	return &faultProxies{zones: zones, enabled: enabled, states: map[[2]string]LinkState{}}
}

// zoneIP returns the loopback address of a zone. Each zone has its own, by which proxies
// recognize the zone of a connection's source.
func (p *faultProxies) zoneIP(zoneIndex int) string { return fmt.Sprintf("127.0.%d.1", zoneIndex+1) }

// zoneOf returns the zone with a loopback address, or "" if there is none.
func (p *faultProxies) zoneOf(ip string) string {
	for i, z := range p.zones {
		if p.zoneIP(i) == ip {
			return z
		}
	}
	return ""
}

// addRouter sets the addresses in a router's settings and, if proxies are enabled,
// starts the router's proxies and points the settings at them.
func (p *faultProxies) addRouter(s *settings.Settings, platform string, zoneIndex int) error {
	ip := p.zoneIP(zoneIndex)
	s.PeerListen = net.JoinHostPort(ip, "0")
	if !p.enabled {
		s.PlatformAddress = platform
		return nil
	}
	zone := p.zones[zoneIndex]
	toPlatform, err := NewFaultProxy(anyPort, platform, func(string) LinkState { return p.linkState(zone, PlatformSide) })
	if err != nil {
		return err
	}
	s.PlatformAddress = toPlatform.Address()
	peerListen, err := freeAddress(ip)
	if err != nil {
		return err
	}
	s.PeerListen = peerListen
	toRouter, err := NewFaultProxy(anyPort, peerListen, func(sourceIP string) LinkState { return p.linkState(p.zoneOf(sourceIP), zone) })
	if err != nil {
		return err
	}
	s.PeerAdvertiseAddress = toRouter.Address()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proxies = append(p.proxies, toPlatform, toRouter)
	return nil
}

// freeAddress returns ip with a TCP port that is not in use.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (p *faultProxies) linkState(a, b string) LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a > b {
		a, b = b, a
	}
	return p.states[[2]string{a, b}]
}

func (p *faultProxies) setLinkState(a, b string, state LinkState) {
	if a > b {
		a, b = b, a
	}
	p.mu.Lock()
	p.states[[2]string{a, b}] = state
	proxies := p.proxies
	p.mu.Unlock()
	for _, proxy := range proxies {
		proxy.CloseBroken()
	}
}

func (p *faultProxies) close() {
	p.mu.Lock()
	proxies := p.proxies
	p.mu.Unlock()
	for _, proxy := range proxies {
		proxy.Close()
	}
}

// SetLinkState sets the state of the link between two zones, or between a zone and
// PlatformSide. It has no effect on a fleet without proxies.
func (f *Fleet) SetLinkState(a, b string, state LinkState) { f.faultProxies.setLinkState(a, b, state) }
