package router

// This file defines the exchange of heartbeats. Each router sends heartbeats to the routers of
// its zone. Each zone has one relay, which also sends heartbeats to the other zones' relays and
// passes what it receives from them on to its zone. So a router's traffic grows with the size
// of its zone and a relay's with the number of zones, not with the number of routers.

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/fleet"
	"bulrushtally/peer"
)

// pauseThreshold is the time between two heartbeat rounds above which this process counts as
// paused: the other routers of the zone have then removed it from their members.
const pauseThreshold = fleet.SameZoneTimeout

// sendHeartbeats runs one heartbeat round each fleet.HeartbeatInterval until the context ends.
func (r *Router) sendHeartbeats(ctx context.Context) error {
	t := time.NewTicker(fleet.HeartbeatInterval)
	defer t.Stop()
	for {
		r.runHeartbeatRound(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// runHeartbeatRound removes members whose heartbeats stopped, updates this router's own state,
// and sends one round of heartbeats. It dials the receivers to which there is no link.
func (r *Router) runHeartbeatRound(now time.Time) {
	r.detectPause(now)
	r.flushCharges(now)
	r.updateGauges(now)
	r.mu.Lock()
	for _, m := range r.members.Expire(now) {
		r.unreachable[m.VM] = unreachableRouter{m, now}
		r.logger.Warn().Str("peer", m.VM).Msg("router-unreachable")
	}
	r.members.UpdateSelf(r.configStore.View().Revision(), r.ready, r.leaving)
	r.usageCounters.SetRelay(now, r.members.IsRelay())
	r.usageCounters.Prune(now)
	r.metrics.Gauge("members").Update(float64(len(r.members.Live(""))))
	out := r.composeHeartbeats(now)
	r.mu.Unlock()
	r.reconcileLeaders(r.configStore.View(), false)
	for _, o := range out {
		if link := r.peers.Link(o.to.VM); link != nil {
			link.SendControl(peer.KindHeartbeat, o.heartbeat)
		} else {
			go r.peers.Connect(o.to.VM, o.to.Address)
		}
	}
}

// updateGauges updates the gauges of queues, windows, requests in flight and control traffic.
func (r *Router) updateGauges(now time.Time) {
	var waiting, window, free int
	for _, leader := range r.listLocalLeaders() {
		load := leader.LoadHint(now)
		waiting += load.Waiting
		window += load.Window
		free += load.Free
	}
	r.metrics.Gauge("requests_waiting").Update(float64(waiting))
	r.metrics.Gauge("slots").Update(float64(window))
	r.metrics.Gauge("slots_free").Update(float64(free))
	r.metrics.Gauge("requests_in_flight").Update(float64(r.entry.InFlight()))
	r.metrics.Gauge("control_bytes_sent").Update(float64(r.peers.Traffic().ControlBytesOut.Load()))
}

// detectPause resets the windows of all led shards to cold if this process was paused, because
// other routers may have led the shards in the meantime. It also restarts the members' timeouts,
// since their heartbeats could not be received during the pause.
func (r *Router) detectPause(now time.Time) {
	r.mu.Lock()
	gap := now.Sub(r.lastRound)
	r.lastRound = now
	if gap <= pauseThreshold {
		r.mu.Unlock()
		return
	}
	r.members.RestartTimeouts(now)
	r.mu.Unlock()
	r.logger.Warn().Dur("gap_ms", gap).Msg("process-paused")
	for _, l := range r.listLocalLeaders() {
		l.ResetCold(now)
	}
}

// outgoingHeartbeat is a heartbeat with its receiver.
type outgoingHeartbeat struct {
	to        fleet.Member
	heartbeat *peer.Heartbeat
}

// composeHeartbeats returns this round's heartbeats to the own zone and, if this router is a
// relay and the round is due, to the other zones' relays; r.mu is held.
func (r *Router) composeHeartbeats(now time.Time) []outgoingHeartbeat {
	self := r.members.Self()
	zoneRouters := r.members.Live(self.Zone)
	var counters []fleet.CounterUpdate
	if m, ok := r.usageCounters.NextUpdate(now, fleet.ScopeRouter); ok {
		counters = append(counters, m)
	}
	isRelay := r.members.IsRelay()
	var otherRouters []fleet.Member
	if isRelay {
		if m, ok := r.usageCounters.NextUpdate(now, fleet.ScopeOtherZones); ok {
			counters = append(counters, m)
		}
		otherRouters = r.routersOutside(self.Zone)
	}
	var out []outgoingHeartbeat
	for _, m := range zoneRouters {
		if m.VM != self.VM {
			out = append(out, outgoingHeartbeat{m, r.newHeartbeat(m, counters, otherRouters, isRelay)})
		}
	}
	r.heartbeatRounds++
	if isRelay && r.heartbeatRounds%roundsPerRelaySend(len(r.members.Zones())) == 0 {
		out = append(out, r.composeRelayHeartbeats(now, zoneRouters)...)
	}
	return out
}

// relayZonesPerRound is the largest number of zones to which a relay sends heartbeats per round,
// averaged over rounds. With more zones, it sends to all of them but not in every round.
const relayZonesPerRound = 12

// roundsPerRelaySend returns n such that a relay sends heartbeats to the other zones in every
// n-th round, for a number of zones with live routers.
func roundsPerRelaySend(zones int) int {
	return max(1, (zones+relayZonesPerRound-1)/relayZonesPerRound)
}

// composeRelayHeartbeats returns a relay's heartbeats to the other zones' relays. They list all
// live routers of its own zone; r.mu is held.
func (r *Router) composeRelayHeartbeats(now time.Time, zoneRouters []fleet.Member) []outgoingHeartbeat {
	var counters []fleet.CounterUpdate
	if m, ok := r.usageCounters.NextUpdate(now, fleet.ScopeZone); ok {
		counters = append(counters, m)
	}
	var out []outgoingHeartbeat
	for _, zone := range r.members.Zones() {
		to, ok := r.members.Relay(zone)
		if ok && zone != r.settings.Zone {
			out = append(out, outgoingHeartbeat{to, r.newHeartbeat(to, counters, zoneRouters, true)})
		}
	}
	return out
}

// routersOutside returns the live routers of all zones but the given one; r.mu is held.
func (r *Router) routersOutside(zone string) []fleet.Member {
	var list []fleet.Member
	for _, m := range r.members.Live("") {
		if m.Zone != zone {
			list = append(list, m)
		}
	}
	return list
}

// newHeartbeat returns a heartbeat to one router; r.mu is held. With asRelay, it carries the
// list of members that this relay reports as alive, but only if the list differs from the last
// one sent to that router; otherwise SameMembers is set. The state of this router itself, other
// than its revision, is likewise left out if unchanged.
func (r *Router) newHeartbeat(to fleet.Member, counters []fleet.CounterUpdate, memberList []fleet.Member, asRelay bool) *peer.Heartbeat {
	self := r.members.Self()
	h := &peer.Heartbeat{Revision: self.Revision, Counters: counters}
	if d := membersDigest([]fleet.Member{self}, to.Incarnation); r.sentSelfDigest[to.VM] != d {
		r.sentSelfDigest[to.VM] = d
		h.Member = &self
	}
	if !asRelay {
		return h
	}
	d := membersDigest(memberList, to.Incarnation)
	if r.sentMembersDigest[to.VM] == d {
		h.SameMembers = true
		return h
	}
	r.sentMembersDigest[to.VM] = d
	h.Members, h.NoMembers = memberList, len(memberList) == 0
	return h
}

// membersDigest returns a hash of the members' VM names, incarnations, and ready and leaving
// flags, which are what affects routing. The receiver's incarnation is part of it, so that a
// router that restarted gets the list again.
func membersDigest(memberList []fleet.Member, receiverIncarnation uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeUint64 := func(n uint64) {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		d.Write(b[:])
	}
	writeUint64(receiverIncarnation)
	for _, m := range memberList {
		d.WriteString(m.VM)
		writeUint64(m.Incarnation)
		flags := uint64(0)
		if m.Ready {
			flags |= 1
		}
		if m.Leaving {
			flags |= 2
		}
		writeUint64(flags)
	}
	return d.Sum64()
}

// ApplyHeartbeat applies a heartbeat received over a link: members, usage counters and revision.
func (r *Router) ApplyHeartbeat(l *peer.Link, h *peer.Heartbeat) {
	now := time.Now()
	r.mu.Lock()
	from := r.senderMember(l, h)
	changed := r.members.Observe(now, from)
	for _, list := range [][]fleet.Member{h.Members, h.KnownMembers} {
		for _, m := range list {
			changed = r.members.Observe(now, m) || changed
		}
	}
	changed = r.applyMemberList(now, from, h) || changed
	var charges []fleet.Charge
	for _, s := range h.Counters {
		charges = append(charges, r.usageCounters.Merge(now, s)...)
	}
	r.mu.Unlock()
	r.applyRemoteCharges(now, charges)
	if changed {
		r.reconcileLeaders(r.configStore.View(), false)
	}
	r.pullIfOutdated(l, from.Revision)
	r.sendZoneMembersToRelay(l, h)
}

// senderMember returns the sender of a heartbeat as a member: as the heartbeat describes it, or
// else as it last reported itself, with the heartbeat's revision; r.mu is held.
func (r *Router) senderMember(l *peer.Link, h *peer.Heartbeat) fleet.Member {
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

// sendZoneMembersToRelay answers a heartbeat from another zone's relay, which took this router
// for the relay of this zone, with all routers of this zone. Without this, two relays that each
// know only a router other than the relay in the other's zone would never discover each other.
// The answer has no member list of its own, so it is not answered in turn.
func (r *Router) sendZoneMembersToRelay(l *peer.Link, h *peer.Heartbeat) {
	if l.Peer().Zone == r.settings.Zone || len(h.Members) == 0 && !h.SameMembers {
		return
	}
	r.mu.Lock()
	if r.members.IsRelay() {
		r.mu.Unlock()
		return
	}
	reply := r.newKnownMembersHeartbeat(r.members.Live(r.settings.Zone))
	r.mu.Unlock()
	l.SendControl(peer.KindHeartbeat, reply)
}

// applyMemberList restarts the timeouts of the members that a relay reports as alive and removes
// those that it no longer lists. A relay of this router's zone lists the routers of all other
// zones; another zone's relay lists those of its own zone. It reports whether the set of live
// routers changed; r.mu is held.
func (r *Router) applyMemberList(now time.Time, from fleet.Member, h *peer.Heartbeat) bool {
	if h.SameMembers {
		changed := false
		for _, m := range r.relayMembers[from.VM] {
			changed = r.members.ConfirmAlive(now, m) || changed
		}
		return changed
	}
	if len(h.Members) == 0 && !h.NoMembers {
		return false
	}
	r.relayMembers[from.VM] = h.Members
	return r.members.RemoveUnlisted(now, append(h.Members, from), func(zone string) bool {
		if from.Zone == r.settings.Zone {
			return zone != from.Zone
		}
		return zone == from.Zone
	})
}

// LinkUp handles a new link: it records the other router as a member and sends it the
// members that it may not know.
func (r *Router) LinkUp(l *peer.Link) {
	r.mu.Lock()
	changed := r.members.Observe(time.Now(), l.Peer())
	delete(r.sentMembersDigest, l.Peer().VM)
	delete(r.sentSelfDigest, l.Peer().VM)
	if m, ok := r.peerMembers[l.Peer().VM]; !ok || m.Incarnation != l.Peer().Incarnation {
		r.peerMembers[l.Peer().VM] = l.Peer()
	}
	heartbeat := r.newKnownMembersHeartbeat(r.knownMembersFor(l.Peer()))
	r.mu.Unlock()
	r.logger.Info().Str("peer", l.Peer().VM).Msg("link-opened")
	l.SendControl(peer.KindHeartbeat, heartbeat)
	if changed {
		r.reconcileLeaders(r.configStore.View(), false)
	}
	r.pullIfOutdated(l, l.Peer().Revision)
}

// newKnownMembersHeartbeat returns a heartbeat that names routers which the receiver may not
// know. The receiver adds them to its members but, unlike for a relay's list, removes none that
// are missing from it; r.mu is held.
func (r *Router) newKnownMembersHeartbeat(known []fleet.Member) *peer.Heartbeat {
	self := r.members.Self()
	return &peer.Heartbeat{Member: &self, Revision: self.Revision, KnownMembers: known}
}

// knownMembersFor returns the routers to name in the first heartbeat to a newly linked router:
// all live routers of the zone if it is this router's zone, else the relay of each zone; r.mu
// is held.
func (r *Router) knownMembersFor(to fleet.Member) []fleet.Member {
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

// LinkDown handles the end of a link. After a leave notice, the other router is removed from the
// members at once. Otherwise it may still run, so it is removed only when its heartbeats stop.
func (r *Router) LinkDown(l *peer.Link, leaveNotice bool) {
	r.logger.Info().Str("peer", l.Peer().VM).Bool("leave_notice", leaveNotice).Msg("link-closed")
	if !leaveNotice {
		return
	}
	r.mu.Lock()
	changed := r.members.Remove(l.Peer().VM)
	r.mu.Unlock()
	if changed {
		r.reconcileLeaders(r.configStore.View(), false)
	}
}

// propagationLinks returns the open links to the live routers of the own zone and, if this
// router is a relay, to the other zones' relays.
func (r *Router) propagationLinks() []*peer.Link {
	r.mu.Lock()
	list := r.members.Live(r.settings.Zone)
	if r.members.IsRelay() {
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
