package router

// This file defines how a router finds others and becomes ready.

import (
	"context"
	"time"
)

// Timing of bootstrap.
const (
	bootstrapInterval = 2 * time.Second
	listInterval      = 10 * time.Second
	settleTime        = 1500 * time.Millisecond // in which a newcomer hears of the others
)

// bootstrap dials the routers that the settings and the platform's list name,
// until the context ends.
func (r *Router) bootstrap(ctx context.Context) error {
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	var listed time.Time
	known := map[string]string{} // VM by address
	for {
		addresses := r.settings.PeerAddresses
		if time.Since(listed) > listInterval {
			listed = time.Now()
			addresses = append(addresses[:len(addresses):len(addresses)], r.listedRouters()...)
		}
		for _, a := range addresses {
			r.dialUnknown(a, known)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (r *Router) dialUnknown(address string, known map[string]string) {
	if address == r.self().Address {
		return
	}
	if vm := known[address]; vm != "" {
		r.mu.Lock()
		_, live := r.members.Get(vm)
		r.mu.Unlock()
		if live {
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

// listedRouters returns the addresses of routers on the platform's list.
func (r *Router) listedRouters() []string {
	list, err := r.platform.VMs()
	if err != nil {
		return nil
	}
	var addresses []string
	for _, vm := range list {
		if vm.Role == "router" && !vm.Leaving && vm.Name != r.settings.VM {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
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
