package fleet

// This file defines Members, one router's view of all routers.

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing of membership.
const (
	HeartbeatInterval = 1 * time.Second
	NearTimeout       = 2500 * time.Millisecond // silence after which a router of the own zone counts as dead
	FarTimeout        = 5 * time.Second         // the same for other zones, heard through relays
)

// Member is what a router says of itself.
type Member struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // grows with each start of the VM's process
	Zone        string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"` // for links from other routers
	Revision    uint64 `cbor:"5,keyasint"` // of its configuration
	Ready       bool   `cbor:"6,keyasint"`
	Leaving     bool   `cbor:"7,keyasint"`
}

type member struct {
	Member
	heard time.Time
}

// Members is one router's view of the fleet; it is not safe for concurrent use.
type Members struct {
	self    Member
	members map[string]*member
}

// NewMembers returns a view that holds only the router itself.
func NewMembers(self Member) *Members {
	return &Members{self: self, members: map[string]*member{}}
}

// Self returns what the router says of itself.
func (m *Members) Self() Member { return m.self }

// Update changes what the router says of itself.
func (m *Members) Update(revision uint64, ready, leaving bool) {
	m.self.Revision, m.self.Ready, m.self.Leaving = revision, ready, leaving
}

// Heard takes in news of a router, first-hand or through a relay, and reports
// whether the set of live routers or their readiness changed.
//
// A lower incarnation is late news and is dropped. If others know this very VM
// by a higher incarnation, its clock went back over a restart, and it moves above.
func (m *Members) Heard(now time.Time, n Member) bool {
	if n.VM == m.self.VM {
		if n.Incarnation > m.self.Incarnation {
			m.self.Incarnation = n.Incarnation + 1
		}
		return false
	}
	old := m.members[n.VM]
	if old != nil && n.Incarnation < old.Incarnation {
		return false
	}
	if old != nil && n.Incarnation == old.Incarnation {
		n.Revision = max(n.Revision, old.Revision)
	}
	m.members[n.VM] = &member{Member: n, heard: now}
	return old == nil || old.Incarnation != n.Incarnation || old.Ready != n.Ready || old.Leaving != n.Leaving || old.Address != n.Address
}

// Vouch takes in that a relay still hears a router that it listed before, and
// reports whether that is news.
func (m *Members) Vouch(now time.Time, n Member) bool {
	if x := m.members[n.VM]; x != nil {
		x.heard = now
		return false
	}
	return m.Heard(now, n)
}

// Only takes in that a relay's list, already heard, is all there is of the other
// zones that it covers, and reports whether a router was dropped. A router heard
// of more recently than the list can know stays.
func (m *Members) Only(now time.Time, listed []Member, covers func(zone string) bool) bool {
	names := map[string]bool{}
	for _, x := range listed {
		names[x.VM] = true
	}
	dropped := false
	for vm, x := range m.members {
		if covers(x.Zone) && !names[vm] && now.Sub(x.heard) > 2*HeartbeatInterval {
			delete(m.members, vm)
			dropped = true
		}
	}
	return dropped
}

// Lost takes in that a router is gone, as when its link says goodbye.
func (m *Members) Lost(vm string) bool {
	if _, ok := m.members[vm]; !ok {
		return false
	}
	delete(m.members, vm)
	return true
}

// Expire forgets the routers that have been silent for too long and returns them, by name.
func (m *Members) Expire(now time.Time) []Member {
	var gone []Member
	for vm, x := range m.members {
		limit := FarTimeout
		if x.Zone == m.self.Zone {
			limit = NearTimeout
		}
		if now.Sub(x.heard) > limit {
			delete(m.members, vm)
			gone = append(gone, x.Member)
		}
	}
	slices.SortFunc(gone, func(a, b Member) int { return strings.Compare(a.VM, b.VM) })
	return gone
}

// Refresh counts every router as heard now, as after this process was paused
// and the silence was its own.
func (m *Members) Refresh(now time.Time) {
	for _, x := range m.members {
		x.heard = now
	}
}

// Get returns a live router by VM name.
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

// Live returns the live routers of a zone, or of all zones if it is empty, by name.
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

// Zones returns the zones with a live router, by name.
func (m *Members) Zones() []string {
	zones := []string{m.self.Zone}
	for _, x := range m.members {
		zones = append(zones, x.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Leader returns the router that leads something of a zone: of the zone's live,
// ready, staying routers, the one with the highest hash of its name and the thing's.
func (m *Members) Leader(zone, thing string) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	consider := func(x *Member) {
		if x.Zone != zone || !x.Ready || x.Leaving {
			return
		}
		s := score(x.VM, thing)
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

func score(vm, thing string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(vm)
	d.WriteString("\x00")
	d.WriteString(thing)
	return d.Sum64()
}

// relayThing is what relays are elected for by Leader.
const relayThing = "relay"

// Relay returns the router that exchanges a zone's news with other zones.
//
// Readiness does not matter to it, so that routers without a configuration can
// still find each other.
func (m *Members) Relay(zone string) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, x := range m.Live(zone) {
		if s := score(x.VM, relayThing); !x.Leaving && (!found || s > bestScore) {
			best, bestScore, found = x, s, true
		}
	}
	return best, found
}

// Relaying reports whether this router is its zone's relay.
func (m *Members) Relaying() bool {
	r, ok := m.Relay(m.self.Zone)
	return ok && r.VM == m.self.VM
}
