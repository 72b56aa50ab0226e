package fleet

// This file defines Members, one router's view of all live routers, and the election of
// leaders and relays by rendezvous hashing.

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Heartbeat interval and peer timeouts.
const (
	HeartbeatInterval = 1 * time.Second
	SameZoneTimeout   = 2500 * time.Millisecond // for routers of the same zone
	OtherZoneTimeout  = 5 * time.Second         // for routers of other zones, whose heartbeats arrive through relays
)

// Member is the state that a router advertises.
type Member struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // increases with each start of the router process on the VM
	Zone        string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"` // to which other routers connect
	Revision    uint64 `cbor:"5,keyasint"` // revision of its configuration
	Ready       bool   `cbor:"6,keyasint"`
	Leaving     bool   `cbor:"7,keyasint"`
}

// memberState is the last state received of another router, and when a heartbeat of it
// was last received.
type memberState struct {
	Member
	lastHeard time.Time
}

// Members is one router's view of the live routers. It is not safe for concurrent use.
type Members struct {
	self    Member
	members map[string]*memberState
}

// NewMembers returns a view that contains only this router.
func NewMembers(self Member) *Members {
	return &Members{self: self, members: map[string]*memberState{}}
}

// Self returns the state that this router advertises.
func (m *Members) Self() Member { return m.self }

// UpdateSelf changes the state that this router advertises.
func (m *Members) UpdateSelf(revision uint64, ready, leaving bool) {
	m.self.Revision, m.self.Ready, m.self.Leaving = revision, ready, leaving
}

// Observe applies a router's state, received from it or through a relay, and records that
// it is alive at time now. It reports whether the set of live routers changed, or a
// router's incarnation, address, readiness or leaving state.
//
// State of a lower incarnation than the known one is stale and ignored. If others know
// this router by a higher incarnation, its clock went back between two starts; the
// router then takes the next higher incarnation.
func (m *Members) Observe(now time.Time, state Member) bool {
	if state.VM == m.self.VM {
		if state.Incarnation > m.self.Incarnation {
			m.self.Incarnation = state.Incarnation + 1
		}
		return false
	}
	old := m.members[state.VM]
	if old != nil && state.Incarnation < old.Incarnation {
		return false
	}
	if old != nil && state.Incarnation == old.Incarnation {
		state.Revision = max(state.Revision, old.Revision)
	}
	m.members[state.VM] = &memberState{Member: state, lastHeard: now}
	return old == nil || old.Incarnation != state.Incarnation || old.Ready != state.Ready || old.Leaving != state.Leaving || old.Address != state.Address
}

// ConfirmAlive records that a relay still receives heartbeats of a router that it listed
// before. A router that is not in the view is added with the given state; the result
// reports whether that changed the view, as for Observe.
func (m *Members) ConfirmAlive(now time.Time, state Member) bool {
	if x := m.members[state.VM]; x != nil {
		x.lastHeard = now
		return false
	}
	return m.Observe(now, state)
}

// RemoveUnlisted removes the routers of the zones covered by a relay's list that are not listed,
// and reports whether any was removed. Routers with a heartbeat in the last two
// heartbeat intervals stay, since the list may be older.
func (m *Members) RemoveUnlisted(now time.Time, listed []Member, covers func(zone string) bool) bool {
	listedVMs := map[string]bool{}
	for _, r := range listed {
		listedVMs[r.VM] = true
	}
	dropped := false
	for vm, x := range m.members {
		if covers(x.Zone) && !listedVMs[vm] && now.Sub(x.lastHeard) > 2*HeartbeatInterval {
			delete(m.members, vm)
			dropped = true
		}
	}
	return dropped
}

// Remove removes a router, for example after its leave notice. It reports whether the
// router was in the view.
func (m *Members) Remove(vm string) bool {
	if _, ok := m.members[vm]; !ok {
		return false
	}
	delete(m.members, vm)
	return true
}

// Expire removes the routers whose heartbeats have been missing for longer than their
// peer timeout and returns them, sorted by VM name.
func (m *Members) Expire(now time.Time) []Member {
	var expired []Member
	for vm, x := range m.members {
		timeout := OtherZoneTimeout
		if x.Zone == m.self.Zone {
			timeout = SameZoneTimeout
		}
		if now.Sub(x.lastHeard) > timeout {
			delete(m.members, vm)
			expired = append(expired, x.Member)
		}
	}
	slices.SortFunc(expired, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return expired
}

// RestartTimeouts restarts the peer timeout of every router. It is for use after this process
// was paused, when heartbeats are missing because it did not read them.
func (m *Members) RestartTimeouts(now time.Time) {
	for _, x := range m.members {
		x.lastHeard = now
	}
}

// Get returns the live router with the given VM name, or false if there is none.
func (m *Members) Get(vm string) (Member, bool) {
	if vm == m.self.VM {
		return m.self, true
	}
	x := m.members[vm]
	if x == nil {
		return Member{}, false
	}
	return x.Member, true
}

// Live returns the live routers of a zone, or of all zones if zone is empty, sorted by
// VM name. It includes this router.
func (m *Members) Live(zone string) []Member {
	var list []Member
	if zone == "" || zone == m.self.Zone {
		list = append(list, m.self)
	}
	for _, x := range m.members {
		if zone == "" || x.Zone == zone {
			list = append(list, x.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return list
}

// Zones returns the sorted names of the zones that have a live router.
func (m *Members) Zones() []string {
	zones := []string{m.self.Zone}
	for _, x := range m.members {
		zones = append(zones, x.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Leader returns the router of a zone that leads a resource: of the zone's live,
// ready routers that are not leaving, it has the highest rendezvous hash for resource,
// the name of a shard for example. It returns false if there is no such router.
func (m *Members) Leader(zone, resource string) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	consider := func(x *Member) {
		if x.Zone != zone || !x.Ready || x.Leaving {
			return
		}
		s := rendezvousScore(x.VM, resource)
		if !found || s > bestScore || s == bestScore && x.VM > best.VM {
			best, bestScore, found = *x, s, true
		}
	}
	consider(&m.self)
	for _, x := range m.members {
		consider(&x.Member)
	}
	return best, found
}

// rendezvousScore returns the hash of a VM name and a resource. The router with the
// highest score is elected.
func rendezvousScore(vm, resource string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(vm)
	d.WriteString("\x00")
	d.WriteString(resource)
	return d.Sum64()
}

// relayResource is the name that Relay hashes with each router's name.
const relayResource = "relay"

// Relay returns the router that exchanges a zone's updates with other zones, or false if
// the zone has no live router that is not leaving.
//
// It need not be ready, so that routers without a configuration can find each other.
func (m *Members) Relay(zone string) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, x := range m.Live(zone) {
		if s := rendezvousScore(x.VM, relayResource); !x.Leaving && (!found || s > bestScore) {
			best, bestScore, found = x, s, true
		}
	}
	return best, found
}

// IsRelay reports whether this router is the relay of its zone.
func (m *Members) IsRelay() bool {
	r, ok := m.Relay(m.self.Zone)
	return ok && r.VM == m.self.VM
}
