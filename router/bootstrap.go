package router

// This file defines how a router discovers other routers, catches up with the platform's
// configuration and becomes ready, and the periodic tasks on the platform's store.

import (
	"context"
	"time"

	"bulrushtally/fleet"
	"bulrushtally/ledger"
)

// Timing of discovery.
const (
	bootstrapInterval = 2 * time.Second
	vmListInterval    = 2 * time.Second
	discoveryTime     = 1500 * time.Millisecond // shortest time from start to ready, in which the other routers report themselves
)

// unreachableRouter is a router whose heartbeats stopped. It is dialed again because it may
// have been cut off by a network partition.
type unreachableRouter struct {
	fleet.Member
	since time.Time
}

// Limits on dialing other routers.
const (
	unreachableMaxAge = 24 * time.Hour // for which an unreachable router is dialed again
	maxDialsPerZone   = 2              // routers dialed in one round, in each other zone without a live one
)

// bootstrap dials routers that are not live members until the context ends: those in the
// settings, unreachable ones, and those on the platform's VM list.
func (r *Router) bootstrap(ctx context.Context) error {
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	vmByAddress := map[string]string{} // VM by dialed address
	for {
		for _, address := range r.settings.PeerAddresses {
			r.dialIfUnknown(address, vmByAddress)
		}
		for _, m := range r.selectDialTargets(append(r.unreachableRouters(), r.platformRouters()...)) {
			r.dialIfUnknown(m.Address, vmByAddress)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// selectDialTargets returns the candidates to dial: all of this router's zone that are not
// live members, and at most maxDialsPerZone of each other zone without a live member. The
// other zones' remaining routers become known through the relays.
func (r *Router) selectDialTargets(candidates []fleet.Member) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	dialsByZone := map[string]int{}
	for _, m := range r.members.Live("") {
		dialsByZone[m.Zone] += maxDialsPerZone
	}
	dialsByZone[r.settings.Zone] = 0
	var targets []fleet.Member
	for _, m := range candidates {
		if _, live := r.members.Get(m.VM); live || dialsByZone[m.Zone] >= maxDialsPerZone {
			continue
		}
		if m.Zone != r.settings.Zone {
			dialsByZone[m.Zone]++
		}
		targets = append(targets, m)
	}
	return targets
}

// unreachableRouters returns the unreachable routers, after dropping from the map those that
// are live again or have been unreachable for longer than unreachableMaxAge.
func (r *Router) unreachableRouters() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Member
	for vm, u := range r.unreachable {
		if _, live := r.members.Get(vm); live || time.Since(u.since) > unreachableMaxAge {
			delete(r.unreachable, vm)
			continue
		}
		list = append(list, u.Member)
	}
	return list
}

// dialIfUnknown opens a link to an address unless the address is this router's own or known
// to be that of a router that is live or already linked. It records the VM that answered.
func (r *Router) dialIfUnknown(address string, vmByAddress map[string]string) {
	if address == r.self().Address {
		return
	}
	if vm := vmByAddress[address]; vm != "" {
		r.mu.Lock()
		_, live := r.members.Get(vm)
		r.mu.Unlock()
		if live || r.peers.Link(vm) != nil {
			return
		}
	}
	link, err := r.peers.Connect("", address)
	if err != nil {
		r.logger.Debug().Err(err).Msg("peer-dial-failed")
		return
	}
	vmByAddress[address] = link.Peer().VM
}

// pollVMList reads the platform's VM list until the context ends. Backend servers that it
// marks as leaving get no new requests; bootstrap dials the routers on it.
func (r *Router) pollVMList(ctx context.Context) error {
	t := time.NewTicker(vmListInterval)
	defer t.Stop()
	for {
		if list, err := r.platform.VMs(); err == nil {
			r.applyVMList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// applyVMList stores a VM list and passes the names of draining backend servers to the
// shard leaders.
func (r *Router) applyVMList(list []ledger.VM) {
	leaving := map[string]bool{}
	for _, vm := range list {
		if vm.Role == ledger.RoleBackend && vm.Leaving {
			leaving[vm.Name] = true
		}
	}
	r.mu.Lock()
	r.platformVMs, r.drainingBackends = list, leaving
	r.mu.Unlock()
	now := time.Now()
	for _, l := range r.listLocalLeaders() {
		l.SetLeavingVMs(now, leaving)
	}
}

// platformRouters returns the routers on the platform's VM list as last read, without this one
// and those marked as leaving.
func (r *Router) platformRouters() []fleet.Member {
	r.mu.Lock()
	list := r.platformVMs
	r.mu.Unlock()
	var routers []fleet.Member
	for _, vm := range list {
		if vm.Role == ledger.RoleRouter && !vm.Leaving && vm.Name != r.settings.VM {
			routers = append(routers, fleet.Member{VM: vm.Name, Zone: vm.Zone, Address: vm.Address})
		}
	}
	return routers
}

// pollConfig reads new configuration changes from the platform until the context ends: each
// router until it is ready, after that only relays, which pass the changes on to their zones.
// It also runs the relays' periodic tasks on the platform's store.
func (r *Router) pollConfig(ctx context.Context) error {
	t := time.NewTicker(r.settings.PollInterval)
	defer t.Stop()
	for {
		r.mu.Lock()
		poll := !r.ready || r.members.IsRelay()
		r.mu.Unlock()
		if poll {
			r.catchUpWithPlatform()
		}
		r.markReadyIfCurrent()
		r.storeSnapshotIfDue()
		r.deleteExpiredClaims()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// catchUpWithPlatform applies the changes in the platform's change log after this router's
// revision and propagates them to other routers.
func (r *Router) catchUpWithPlatform() {
	oldRevision := r.configStore.View().Revision()
	head, err := r.changeLog.Head()
	if err != nil {
		r.metrics.Counter("platform_errors").Inc(1)
		r.logger.Debug().Err(err).Msg("platform-poll-failed")
		return
	}
	if head > oldRevision {
		if err := r.changeLog.CatchUp(r.configStore); err != nil {
			r.logger.Warn().Err(err).Msg("catch-up-failed")
			return
		}
		r.propagateSince(oldRevision, "")
	}
	r.mu.Lock()
	r.platformRead = true
	r.mu.Unlock()
}

// markReadyIfCurrent makes a starting router ready once discoveryTime has passed and no live
// router reports a higher configuration revision than this router's. At revision 0, the
// platform's change log must have been read as well, which shows that there is no
// configuration yet.
func (r *Router) markReadyIfCurrent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready || time.Since(r.startedAt) < discoveryTime {
		return
	}
	revision := r.configStore.View().Revision()
	for _, m := range r.members.Live("") {
		if m.Revision > revision {
			return
		}
	}
	if revision == 0 && !r.platformRead {
		return
	}
	r.ready = true
	r.logger.Info().Uint64("revision", revision).Msg("ready")
	go r.runHeartbeatRound(time.Now())
}

// changesPerSnapshot is the smallest number of configuration changes between two stored snapshots.
const changesPerSnapshot = 200

// storeSnapshotIfDue stores a snapshot of the configuration, from which starting routers load
// it, once changesPerSnapshot changes have been made since the last snapshot that this router
// stored. Only the relay of the first zone by name does so.
func (r *Router) storeSnapshotIfDue() {
	v := r.configStore.View()
	r.mu.Lock()
	due := v.Revision() >= r.snapshotRevision+changesPerSnapshot && r.members.IsRelay() && r.members.Zones()[0] == r.settings.Zone
	r.mu.Unlock()
	if !due {
		return
	}
	if err := r.changeLog.StoreSnapshot(v.Snapshot()); err != nil {
		r.logger.Warn().Err(err).Msg("snapshot-not-stored")
		return
	}
	r.mu.Lock()
	r.snapshotRevision = v.Revision()
	r.mu.Unlock()
	r.logger.Info().Uint64("revision", v.Revision()).Msg("snapshot-stored")
}

// claimsPerCheck is how many idempotency claims are checked for expiry in one call of deleteExpiredClaims.
const claimsPerCheck = 50

// deleteExpiredClaims checks the next claimsPerCheck idempotency claims and deletes those older
// than settings.Settings.IdempotencyKeyRetention. Only the relay of the first zone by name does so.
func (r *Router) deleteExpiredClaims() {
	r.mu.Lock()
	due := r.members.IsRelay() && r.members.Zones()[0] == r.settings.Zone
	after := r.claimCursor
	r.mu.Unlock()
	if !due {
		return
	}
	cursor, err := r.claims.DeleteExpired(time.Now().Add(-r.settings.IdempotencyKeyRetention), after, claimsPerCheck)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.claimCursor = cursor
	r.mu.Unlock()
}
