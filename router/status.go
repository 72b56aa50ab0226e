package router

// This file defines what operators see of a router.

import (
	"time"

	"bulrushtally/backend"
	"bulrushtally/caller"
	"bulrushtally/operator"
	"bulrushtally/peer"
	"bulrushtally/schedule"
)

var (
	_ operator.Fleet  = (*Router)(nil)
	_ peer.Handler    = (*Router)(nil)
	_ caller.Leaders  = (*Router)(nil)
	_ backend.Tracker = (*Router)(nil)
)

// Status returns this router's view of all routers, and the windows of the
// backend servers that it admits to.
func (r *Router) Status() operator.Status {
	s := operator.Status{VM: r.settings.VM, Revision: r.store.View().Revision(), Ready: r.Ready() == nil}
	r.mu.Lock()
	live := r.members.Live("")
	r.mu.Unlock()
	for _, m := range live {
		if m.VM == r.settings.VM {
			m.Revision = s.Revision
		}
		s.Routers = append(s.Routers, operator.RouterStatus{VM: m.VM, Zone: m.Zone, Revision: m.Revision, Ready: m.Ready, Leaving: m.Leaving})
	}
	now := time.Now()
	for _, l := range r.led() {
		h := l.Hint(now)
		s.Shards = append(s.Shards, operator.ShardStatus{Shard: l.ID().String(), Window: h.Window, Free: h.Free, Waiting: h.Waiting})
	}
	r.Windows(func(name string, size, inflight int) {
		s.Backends = append(s.Backends, operator.BackendStatus{Name: name, Window: size, InFlight: inflight})
	})
	return s
}

// Suspects returns the requests that were running when backend servers died.
func (r *Router) Suspects() []schedule.CrashRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.List()
}

// ClearSuspect forgets a request's deaths here and at the routers that hear of it from here.
func (r *Router) ClearSuspect(digest uint64) bool {
	r.mu.Lock()
	known := r.quarantine.Forget(digest)
	r.mu.Unlock()
	if known {
		r.spreadCrashRecords("", []schedule.CrashRecord{{Digest: digest}})
	}
	return known
}
