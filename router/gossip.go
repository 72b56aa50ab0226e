package router

// This file defines the exchange of heartbeats: each router beats to its zone;
// one relay for each zone beats to the other zones' relays and passes on to its
// zone what it hears there. So a router's traffic grows with its zone's size and
// a relay's with the number of zones, not with the number of routers.

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/fleet"
	"bulrushtally/peer"
)

// pausedAfter is a gap between two heartbeats of this process that shows it was paused.
const pausedAfter = fleet.NearTimeout

// gossip sends heartbeats until the context ends.
func (r *Router) gossip(ctx context.Context) error {
	t := time.NewTicker(fleet.HeartbeatInterval)
	defer t.Stop()
	for {
		r.beat(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// beat takes stock of the members and sends one round of heartbeats.
func (r *Router) beat(now time.Time) {
	r.noticePause(now)
	r.settleCharges(now)
	r.measure(now)
	r.mu.Lock()
	for _, m := range r.members.Expire(now) {
		r.lost[m.VM] = lostRouter{m, now}
		r.logger.Warn().Str("peer", m.VM).Msg("router-silent")
	}
	r.members.Update(r.store.View().Revision(), r.ready, r.leaving)
	r.accounts.SetRelaying(now, r.members.Relaying())
	r.accounts.Prune(now)
	r.metrics.Gauge("members").Update(float64(len(r.members.Live(""))))
	out := r.compose(now)
	r.mu.Unlock()
	r.reconcile(r.store.View(), false)
	for _, o := range out {
		if l := r.peers.Link(o.to.VM); l != nil {
			l.Send(peer.KindHeartbeat, o.beat)
		} else {
			go r.peers.Connect(o.to.VM, o.to.Address)
		}
	}
}

// measure updates the gauges of what this router holds.
func (r *Router) measure(now time.Time) {
	var waiting, window, free int
	for _, l := range r.led() {
		h := l.Hint(now)
		waiting += h.Waiting
		window += h.Window
		free += h.Free
	}
	r.metrics.Gauge("requests_waiting").Update(float64(waiting))
	r.metrics.Gauge("slots").Update(float64(window))
	r.metrics.Gauge("slots_free").Update(float64(free))
	r.metrics.Gauge("requests_in_flight").Update(float64(r.entry.InFlight()))
	r.metrics.Gauge("control_bytes_sent").Update(float64(r.peers.Traffic().ControlOut.Load()))
}

// noticePause returns windows to cold after this process was paused: other
// routers have led its shards meanwhile.
func (r *Router) noticePause(now time.Time) {
	r.mu.Lock()
	gap := now.Sub(r.ticked)
	r.ticked = now
	if gap <= pausedAfter {
		r.mu.Unlock()
		return
	}
	r.members.Refresh(now)
	r.mu.Unlock()
	r.logger.Warn().Dur("gap", gap).Msg("process-was-paused")
	for _, l := range r.led() {
		l.ResetCold(now)
	}
}

// outgoing is a heartbeat on its way.
type outgoing struct {
	to   fleet.Member
	beat *peer.Heartbeat
}

// compose returns this round's heartbeats; r.mu is held.
func (r *Router) compose(now time.Time) []outgoing {
	self := r.members.Self()
	mates := r.members.Live(self.Zone)
	var near []fleet.Sums
	if m, ok := r.accounts.Take(now, fleet.ScopeOwn); ok {
		near = append(near, m)
	}
	relaying := r.members.Relaying()
	var far []fleet.Member
	if relaying {
		if m, ok := r.accounts.Take(now, fleet.ScopeWorld); ok {
			near = append(near, m)
		}
		far = r.others(self.Zone)
	}
	var out []outgoing
	for _, m := range mates {
		if m.VM != self.VM {
			out = append(out, outgoing{m, r.heartbeat(m, near, far, relaying)})
		}
	}
	r.beats++
	if relaying && r.beats%farEvery(len(r.members.Zones())) == 0 {
		out = append(out, r.composeFar(now, mates)...)
	}
	return out
}

// zonesPerBeat is how many zones a relay tells each second at the most; with more
// zones it tells all of them less often.
const zonesPerBeat = 12

// farEvery returns how many beats lie between two of a relay's to other zones.
func farEvery(zones int) int { return max(1, (zones+zonesPerBeat-1)/zonesPerBeat) }

// composeFar returns a relay's heartbeats to the other zones' relays.
func (r *Router) composeFar(now time.Time, mates []fleet.Member) []outgoing {
	var sums []fleet.Sums
	if m, ok := r.accounts.Take(now, fleet.ScopeZone); ok {
		sums = append(sums, m)
	}
	var out []outgoing
	for _, zone := range r.members.Zones() {
		to, ok := r.members.Relay(zone)
		if ok && zone != r.settings.Zone {
			out = append(out, outgoing{to, r.heartbeat(to, sums, mates, true)})
		}
	}
	return out
}

// others returns the live routers of all other zones.
func (r *Router) others(zone string) []fleet.Member {
	var list []fleet.Member
	for _, m := range r.members.Live("") {
		if m.Zone != zone {
			list = append(list, m)
		}
	}
	return list
}

// heartbeat returns a heartbeat to one router. A list of members is sent whole
// only when it differs from the last one sent there.
func (r *Router) heartbeat(to fleet.Member, sums []fleet.Sums, list []fleet.Member, vouch bool) *peer.Heartbeat {
	self := r.members.Self()
	h := &peer.Heartbeat{Revision: self.Revision, Sums: sums}
	if d := digest([]fleet.Member{self}, to.Incarnation); r.sentSelf[to.VM] != d {
		r.sentSelf[to.VM] = d
		h.Member = &self
	}
	if !vouch {
		return h
	}
	d := digest(list, to.Incarnation)
	if r.listed[to.VM] == d {
		h.Same = true
		return h
	}
	r.listed[to.VM] = d
	h.Members, h.None = list, len(list) == 0
	return h
}

// digest identifies a list of members by what matters to routing.
func digest(list []fleet.Member, to uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	number := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		d.Write(b[:])
	}
	number(to)
	for _, m := range list {
		d.WriteString(m.VM)
		number(m.Incarnation)
		flags := uint64(0)
		if m.Ready {
			flags |= 1
		}
		if m.Leaving {
			flags |= 2
		}
		number(flags)
	}
	return d.Sum64()
}

// Heartbeat takes in a router's heartbeat.
func (r *Router) Heartbeat(l *peer.Link, h *peer.Heartbeat) {
	now := time.Now()
	r.mu.Lock()
	from := r.sender(l, h)
	changed := r.members.Heard(now, from)
	for _, list := range [][]fleet.Member{h.Members, h.Known} {
		for _, m := range list {
			changed = r.members.Heard(now, m) || changed
		}
	}
	changed = r.vouch(now, from, h) || changed
	var remote []fleet.Charge
	for _, s := range h.Sums {
		remote = append(remote, r.accounts.Merge(now, s)...)
	}
	r.mu.Unlock()
	r.countRemote(now, remote)
	if changed {
		r.reconcile(r.store.View(), false)
	}
	r.pullIfBehind(l, from.Revision)
	r.redirect(l, h)
}

// sender returns what is known of a heartbeat's sender; r.mu is held.
func (r *Router) sender(l *peer.Link, h *peer.Heartbeat) fleet.Member {
	vm := l.Peer().VM
	if h.Member != nil {
		r.peerMembers[vm] = *h.Member
	}
	from, ok := r.peerMembers[vm]
	if !ok {
		from = l.Peer()
	}
	from.Revision = h.Revision
	return from
}

// redirect tells a relay of another zone, which took this router for the relay
// here, of all routers of this zone. Without, two relays that each know only the
// other's neighbour would never find each other. What it sends is not answered.
func (r *Router) redirect(l *peer.Link, h *peer.Heartbeat) {
	if l.Peer().Zone == r.settings.Zone || len(h.Members) == 0 && !h.Same {
		return
	}
	r.mu.Lock()
	if r.members.Relaying() {
		r.mu.Unlock()
		return
	}
	reply := r.introduction(r.members.Live(r.settings.Zone))
	r.mu.Unlock()
	l.Send(peer.KindHeartbeat, reply)
}

// vouch keeps the members alive that a relay vouches for and drops those that it
// no longer lists; r.mu is held.
func (r *Router) vouch(now time.Time, from fleet.Member, h *peer.Heartbeat) bool {
	if h.Same {
		changed := false
		for _, m := range r.vouched[from.VM] {
			changed = r.members.Vouch(now, m) || changed
		}
		return changed
	}
	if len(h.Members) == 0 && !h.None {
		return false
	}
	r.vouched[from.VM] = h.Members
	return r.members.Only(now, append(h.Members, from), func(zone string) bool {
		if from.Zone == r.settings.Zone {
			return zone != from.Zone
		}
		return zone == from.Zone
	})
}

// Up takes in a new link.
func (r *Router) Up(l *peer.Link) {
	r.mu.Lock()
	changed := r.members.Heard(time.Now(), l.Peer())
	delete(r.listed, l.Peer().VM)
	delete(r.sentSelf, l.Peer().VM)
	if m, ok := r.peerMembers[l.Peer().VM]; !ok || m.Incarnation != l.Peer().Incarnation {
		r.peerMembers[l.Peer().VM] = l.Peer()
	}
	hello := r.introduction(r.introduce(l.Peer()))
	r.mu.Unlock()
	r.logger.Info().Str("peer", l.Peer().VM).Msg("link-up")
	l.Send(peer.KindHeartbeat, hello)
	if changed {
		r.reconcile(r.store.View(), false)
	}
	r.pullIfBehind(l, l.Peer().Revision)
}

// introduction is a heartbeat that tells of other routers; r.mu is held.
func (r *Router) introduction(known []fleet.Member) *peer.Heartbeat {
	self := r.members.Self()
	return &peer.Heartbeat{Member: &self, Revision: self.Revision, Known: known}
}

// introduce returns the routers to tell a new neighbour of: all of a shared zone,
// else the relay of each zone; r.mu is held.
func (r *Router) introduce(to fleet.Member) []fleet.Member {
	if to.Zone == r.settings.Zone {
		return r.members.Live(to.Zone)
	}
	var list []fleet.Member
	for _, zone := range r.members.Zones() {
		if m, ok := r.members.Relay(zone); ok {
			list = append(list, m)
		}
	}
	return list
}

// Down takes in that a link ended. Without a goodbye the router may live on, so
// only its silence decides.
func (r *Router) Down(l *peer.Link, goodbye bool) {
	r.logger.Info().Str("peer", l.Peer().VM).Bool("goodbye", goodbye).Msg("link-down")
	if !goodbye {
		return
	}
	r.mu.Lock()
	changed := r.members.Lost(l.Peer().VM)
	r.mu.Unlock()
	if changed {
		r.reconcile(r.store.View(), false)
	}
}

// neighbours returns the links to the routers of the own zone and, from a relay,
// to the other relays.
func (r *Router) neighbours() []*peer.Link {
	r.mu.Lock()
	list := r.members.Live(r.settings.Zone)
	if r.members.Relaying() {
		for _, zone := range r.members.Zones() {
			if m, ok := r.members.Relay(zone); ok && zone != r.settings.Zone {
				list = append(list, m)
			}
		}
	}
	r.mu.Unlock()
	var links []*peer.Link
	for _, m := range list {
		if l := r.peers.Link(m.VM); l != nil {
			links = append(links, l)
		}
	}
	return links
}
