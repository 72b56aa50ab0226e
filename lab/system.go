package lab

// This file defines System, a fleet under one scheduling policy. It gives experiments the
// same interface to bulrushtally's routers and to the routers of the baselines.

import (
	"strconv"
	"sync"

	"bulrushtally/router"
)

func itoa(n int) string { return strconv.Itoa(n) }

// System is a fleet whose routers all follow one scheduling policy.
type System struct {
	*Fleet
	Policy             Policy
	independentRouters []*independentRouter // the routers of a baseline policy; none under FleetWide

	mu sync.Mutex // guards Routers after the start
}

// startWarmSystem starts a fleet of the current production size under FleetWide. Its model
// servers are warm: they can sustain all their slots from the start.
func startWarmSystem(seed uint64) (*System, error) {
	o := CurrentFleetOptions(seed)
	o.StartWarm = true
	return StartSystem(o, FleetWide)
}

// setRouter replaces router i, which the caller has stopped, by a started one.
func (s *System) setRouter(i int, r *router.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Routers[i] = r
}

// routerAddress returns the host and port at which router i serves callers. Indices past the
// last router wrap around.
func (s *System) routerAddress(i int) string {
	list := s.RouterAddresses()
	return list[i%len(list)]
}

// StartSystem starts the platform, the backend servers and the routers of a policy. On an
// error it stops what it has started.
func StartSystem(o FleetOptions, p Policy) (*System, error) {
	routersPerZone := o.RoutersPerZone
	if p != FleetWide {
		o.RoutersPerZone = 0
	}
	f, err := StartFleet(o)
	if err != nil {
		return nil, err
	}
	s := &System{Fleet: f, Policy: p}
	if p == FleetWide {
		return s, nil
	}
	n := routersPerZone * len(o.Zones)
	for i := range n {
		r, err := newIndependentRouter(o.Zones[i%len(o.Zones)], f.store.View().Snapshot(), n, p)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.independentRouters = append(s.independentRouters, r)
	}
	return s, nil
}

// RouterAddresses returns the addresses at which the routers serve callers.
func (s *System) RouterAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, r := range s.Routers {
		list = append(list, r.Address())
	}
	for _, r := range s.independentRouters {
		list = append(list, r.server.Address())
	}
	return list
}

// ForEachWindow calls f for each window of each router, with the name of its backend server,
// its size in slots and the requests in flight.
func (s *System) ForEachWindow(f func(name string, size, inflight int)) {
	for _, r := range s.Routers {
		r.ForEachWindow(f)
	}
	for _, r := range s.independentRouters {
		r.ForEachWindow(f)
	}
}

// Close stops the routers, the backend servers and the platform.
func (s *System) Close() {
	for _, r := range s.independentRouters {
		r.tree.Stop()
	}
	s.Fleet.Close()
}
