package router

// This file defines how a router finds others and becomes ready.

import (
	"context"
	"time"

	"bulrushtally/fleet"
	"bulrushtally/ledger"
)

// Timing of bootstrap.
const (
	bootstrapInterval = 2 * time.Second
	listInterval      = 2 * time.Second
	settleTime        = 1500 * time.Millisecond // in which a newcomer hears of the others
)

// lostRouter is a router that went silent, and may be back after a partition.
type lostRouter struct {
	fleet.Member
	at time.Time
}

// Bounds on what a router keeps of lost ones and dials at once.
const (
	lostTime     = 24 * time.Hour
	dialsPerZone = 2
)

// bootstrap looks for routers until the context ends: those in the settings, those
// that went silent, and those on the platform's list.
func (r *Router) bootstrap(ctx context.Context) error {
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	known := map[string]string{} // VM by address
	for {
		for _, a := range r.settings.PeerAddresses {
			r.dialUnknown(a, known)
		}
		for _, m := range r.worthDialing(append(r.lostRouters(), r.listedRouters()...)) {
			r.dialUnknown(m.Address, known)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// worthDialing returns the candidates of the own zone that are not known, and a
// few of each other zone of which nobody is known; relays tell of the rest.
func (r *Router) worthDialing(candidates []fleet.Member) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	inZone := map[string]int{}
	for _, m := range r.members.Live("") {
		inZone[m.Zone] += dialsPerZone
	}
	inZone[r.settings.Zone] = 0
	var out []fleet.Member
	for _, m := range candidates {
		if _, live := r.members.Get(m.VM); live || inZone[m.Zone] >= dialsPerZone {
			continue
		}
		if m.Zone != r.settings.Zone {
			inZone[m.Zone]++
		}
		out = append(out, m)
	}
	return out
}

// lostRouters returns the silent routers that may be back.
func (r *Router) lostRouters() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fleet.Member
	for vm, l := range r.lost {
		if _, live := r.members.Get(vm); live || time.Since(l.at) > lostTime {
			delete(r.lost, vm)
			continue
		}
		list = append(list, l.Member)
	}
	return list
}

func (r *Router) dialUnknown(address string, known map[string]string) {
	if address == r.self().Address {
		return
	}
	if vm := known[address]; vm != "" {
		r.mu.Lock()
		_, live := r.members.Get(vm)
		r.mu.Unlock()
		if live || r.peers.Link(vm) != nil {
			return
		}
	}
	l, err := r.peers.Connect("", address)
	if err != nil {
		r.logger.Debug().Err(err).Msg("bootstrap-failed")
		return
	}
	known[address] = l.Peer().VM
}

// readList reads the platform's list of VMs until the context ends. Backend
// servers that leave by it get nothing new; its routers are a hint for bootstrap.
func (r *Router) readList(ctx context.Context) error {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		if list, err := r.platform.VMs(); err == nil {
			r.takeList(list)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (r *Router) takeList(list []ledger.VM) {
	leaving := map[string]bool{}
	for _, vm := range list {
		if vm.Role == ledger.RoleBackend && vm.Leaving {
			leaving[vm.Name] = true
		}
	}
	r.mu.Lock()
	r.vms, r.departing = list, leaving
	r.mu.Unlock()
	now := time.Now()
	for _, l := range r.led() {
		l.SetLeaving(now, leaving)
	}
}

// listedRouters returns the routers on the platform's list as last read.
func (r *Router) listedRouters() []fleet.Member {
	r.mu.Lock()
	list := r.vms
	r.mu.Unlock()
	var out []fleet.Member
	for _, vm := range list {
		if vm.Role == ledger.RoleRouter && !vm.Leaving && vm.Name != r.settings.VM {
			out = append(out, fleet.Member{VM: vm.Name, Zone: vm.Zone, Address: vm.Address})
		}
	}
	return out
}

// follow keeps the configuration up with the platform until the context ends. A
// newcomer asks until it is ready; after that, only relays ask.
func (r *Router) follow(ctx context.Context) error {
	t := time.NewTicker(r.settings.PollInterval)
	defer t.Stop()
	for {
		r.mu.Lock()
		ask := !r.ready || r.members.Relaying()
		r.mu.Unlock()
		if ask {
			r.pollPlatform()
		}
		r.becomeReady()
		r.storeSnapshot()
		r.trimClaims()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// pollPlatform takes over what the platform's log has beyond the own revision.
func (r *Router) pollPlatform() {
	before := r.store.View().Revision()
	head, err := r.log.Head()
	if err != nil {
		r.metrics.Counter("platform_errors").Inc(1)
		r.logger.Debug().Err(err).Msg("platform-poll-failed")
		return
	}
	if head > before {
		if err := r.log.CatchUp(r.store); err != nil {
			r.logger.Warn().Err(err).Msg("catch-up-failed")
			return
		}
		r.spreadSince(before, "")
	}
	r.mu.Lock()
	r.asked = true
	r.mu.Unlock()
}

// becomeReady makes a newcomer ready once it has heard of the others and holds
// the highest revision that any of them or the platform names.
func (r *Router) becomeReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready || time.Since(r.began) < settleTime {
		return
	}
	revision := r.store.View().Revision()
	for _, m := range r.members.Live("") {
		if m.Revision > revision {
			return
		}
	}
	if revision == 0 && !r.asked {
		return
	}
	r.ready = true
	r.logger.Info().Uint64("revision", revision).Msg("ready")
	go r.beat(time.Now())
}

// snapshotEvery is the number of changes between two stored snapshots.
const snapshotEvery = 200

// storeSnapshot has one relay store a snapshot now and then, from which newcomers start.
func (r *Router) storeSnapshot() {
	v := r.store.View()
	r.mu.Lock()
	due := v.Revision() >= r.snapshot+snapshotEvery && r.members.Relaying() && r.members.Zones()[0] == r.settings.Zone
	r.mu.Unlock()
	if !due {
		return
	}
	if err := r.log.StoreSnapshot(v.Snapshot()); err != nil {
		r.logger.Warn().Err(err).Msg("snapshot-not-stored")
		return
	}
	r.mu.Lock()
	r.snapshot = v.Revision()
	r.mu.Unlock()
	r.logger.Info().Uint64("revision", v.Revision()).Msg("snapshot-stored")
}

// trimBatch is how many claims one relay looks at in one round.
const trimBatch = 50

// trimClaims has one relay delete idempotency keys that are older than the
// settings keep them, some at a time.
func (r *Router) trimClaims() {
	r.mu.Lock()
	due := r.members.Relaying() && r.members.Zones()[0] == r.settings.Zone
	after := r.trimmed
	r.mu.Unlock()
	if !due {
		return
	}
	next, err := r.claims.Trim(time.Now().Add(-r.settings.KeepKeys), after, trimBatch)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.trimmed = next
	r.mu.Unlock()
}
