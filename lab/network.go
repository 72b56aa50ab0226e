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
type wires struct {
	zones   []string
	enabled bool // if false, there are no proxies: routers connect directly

	mu      sync.Mutex
	states  map[[2]string]Cut // by the two sides in alphabetical order; without an entry, traffic passes
	proxies []*Wire
}

func newWires(zones []string, enabled bool) *wires {
	return &wires{zones: zones, enabled: enabled, states: map[[2]string]Cut{}}
}

// zoneIP returns the loopback address of a zone. Each zone has its own, by which proxies
// recognize the zone of a connection's source.
func (p *wires) zoneIP(zoneIndex int) string { return fmt.Sprintf("127.0.%d.1", zoneIndex+1) }

// zoneOf returns the zone with a loopback address, or "" if there is none.
func (p *wires) zoneOf(ip string) string {
	for i, z := range p.zones {
		if p.zoneIP(i) == ip {
			return z
		}
	}
	return ""
}

// addRouter sets the addresses in a router's settings and, if proxies are enabled,
// starts the router's proxies and points the settings at them.
func (p *wires) connect(s *settings.Settings, platform string, zoneIndex int) error {
	ip := p.zoneIP(zoneIndex)
	s.PeerListen = net.JoinHostPort(ip, "0")
	if !p.enabled {
		s.PlatformAddress = platform
		return nil
	}
	zone := p.zones[zoneIndex]
	toPlatform, err := NewWire(anyPort, platform, func(string) Cut { return p.linkState(zone, PlatformSide) })
	if err != nil {
		return err
	}
	s.PlatformAddress = toPlatform.Address()
	peerListen, err := freeAddress(ip)
	if err != nil {
		return err
	}
	s.PeerListen = peerListen
	toRouter, err := NewWire(anyPort, peerListen, func(sourceIP string) Cut { return p.linkState(p.zoneOf(sourceIP), zone) })
	if err != nil {
		return err
	}
	s.PeerAdvertise = toRouter.Address()
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

func (p *wires) linkState(a, b string) Cut {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a > b {
		a, b = b, a
	}
	return p.states[[2]string{a, b}]
}

func (p *wires) setLinkState(a, b string, state Cut) {
	if a > b {
		a, b = b, a
	}
	p.mu.Lock()
	p.states[[2]string{a, b}] = state
	proxies := p.proxies
	p.mu.Unlock()
	for _, proxy := range proxies {
		proxy.Apply()
	}
}

func (p *wires) close() {
	p.mu.Lock()
	proxies := p.proxies
	p.mu.Unlock()
	for _, proxy := range proxies {
		proxy.Close()
	}
}

// SetLinkState sets the state of the link between two zones, or between a zone and
// PlatformSide. It has no effect on a fleet without proxies.
func (f *Fleet) SetLinkState(a, b string, state Cut) { f.wires.setLinkState(a, b, state) }
