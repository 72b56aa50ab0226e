package lab

// This file defines System, a fleet under one policy, so that experiments treat
// ours and the baselines alike.

import (
	"strconv"
	"sync"

	"bulrushtally/router"
)

func itoa(n int) string { return strconv.Itoa(n) }

// System is a fleet whose routers follow one policy.
type System struct {
	*Fleet
	Policy Policy
	lone   []*loneRouter

	mu sync.Mutex // guards Routers once the system runs
}

// startWarm starts our routers at today's size, before engines that are warm.
func startWarm(seed uint64) (*System, error) {
	o := Today(seed)
	o.Warm = true
	return StartSystem(o, Ours)
}

// swap puts a new router in the place of one that was stopped.
func (s *System) swap(i int, r *router.Router) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Routers[i] = r
}

// address returns the address of a router for callers.
func (s *System) address(i int) string {
	list := s.Addresses()
	return list[i%len(list)]
}

// StartSystem starts backend servers and routers under a policy.
func StartSystem(o FleetOptions, p Policy) (*System, error) {
	perZone := o.RoutersPerZone
	if p != Ours {
		o.RoutersPerZone = 0
	}
	f, err := StartFleet(o)
	if err != nil {
		return nil, err
	}
	s := &System{Fleet: f, Policy: p}
	if p == Ours {
		return s, nil
	}
	n := perZone * len(o.Zones)
	for i := range n {
		r, err := newLoneRouter(o.Zones[i%len(o.Zones)], f.store.View().Snapshot(), n, p)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.lone = append(s.lone, r)
	}
	return s, nil
}

// Addresses returns the routers' addresses for callers.
func (s *System) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, r := range s.Routers {
		list = append(list, r.Address())
	}
	for _, r := range s.lone {
		list = append(list, r.server.Address())
	}
	return list
}

// Windows calls f with each window of each router.
func (s *System) Windows(f func(name string, size, inflight int)) {
	for _, r := range s.Routers {
		r.Windows(f)
	}
	for _, r := range s.lone {
		r.Windows(f)
	}
}

// Close stops everything.
func (s *System) Close() {
	for _, r := range s.lone {
		r.tree.Stop()
	}
	s.Fleet.Close()
}
