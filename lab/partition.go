package lab

// This file defines wires: what lies between the zones of a fleet and between
// each zone and the platform, so that experiments can cut it.

import (
	"fmt"
	"net"
	"sync"

	"bulrushtally/settings"
)

// PlatformSide names the platform in Partition.
const PlatformSide = "platform"

// wires holds the wires in front of every router and, for every router, in front of the platform.
type wires struct {
	zones []string
	on    bool // without, routers reach each other and the platform directly

	mu   sync.Mutex
	cuts map[[2]string]Cut
	list []*Wire
}

func newWires(zones []string, on bool) *wires {
	return &wires{zones: zones, on: on, cuts: map[[2]string]Cut{}}
}

// address returns a loopback address of a zone's own, so that wires know who dials.
func (w *wires) address(zone int) string { return fmt.Sprintf("127.0.%d.1", zone+1) }

// zoneOf returns the zone that an address belongs to.
func (w *wires) zoneOf(address string) string {
	for i, z := range w.zones {
		if w.address(i) == address {
			return z
		}
	}
	return ""
}

// connect makes a router's settings lead over wires.
func (w *wires) connect(s *settings.Settings, platform string, zone int) error {
	ip := w.address(zone)
	s.PeerListen = net.JoinHostPort(ip, "0")
	if !w.on {
		s.PlatformAddress = platform
		return nil
	}
	name := w.zones[zone]
	toPlatform, err := NewWire(anyPort, platform, func(string) Cut { return w.between(name, PlatformSide) })
	if err != nil {
		return err
	}
	s.PlatformAddress = toPlatform.Address()
	port, err := freePort(ip)
	if err != nil {
		return err
	}
	s.PeerListen = port
	toRouter, err := NewWire(anyPort, port, func(from string) Cut { return w.between(w.zoneOf(from), name) })
	if err != nil {
		return err
	}
	s.PeerAdvertise = toRouter.Address()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, toPlatform, toRouter)
	return nil
}

// freePort returns an address with a port that nobody listens on.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (w *wires) between(a, b string) Cut {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a > b {
		a, b = b, a
	}
	return w.cuts[[2]string{a, b}]
}

func (w *wires) set(a, b string, c Cut) {
	if a > b {
		a, b = b, a
	}
	w.mu.Lock()
	w.cuts[[2]string{a, b}] = c
	list := w.list
	w.mu.Unlock()
	for _, x := range list {
		x.Apply()
	}
}

func (w *wires) close() {
	w.mu.Lock()
	list := w.list
	w.mu.Unlock()
	for _, x := range list {
		x.Close()
	}
}

// Partition cuts, silences or heals what lies between two zones, or between a
// zone and the PlatformSide.
func (f *Fleet) Partition(a, b string, c Cut) { f.wires.set(a, b, c) }
