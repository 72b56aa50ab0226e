package router

// This file implements operator.Fleet: what the administration API shows of the fleet.

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

// Status returns this router's view of all live routers, and the load and windows of the
// shards that it leads.
func (r *Router) Status() operator.Status {
	s := operator.Status{VM: r.settings.VM, Revision: r.configStore.View().Revision(), Ready: r.Ready() == nil}
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
	for _, l := range r.listLocalLeaders() {
		h := l.LoadHint(now)
		s.Shards = append(s.Shards, operator.ShardStatus{Shard: l.ID().String(), Window: h.Window, Free: h.Free, Waiting: h.Waiting})
	}
	r.ForEachWindow(func(name string, size, inflight int) {
		s.Backends = append(s.Backends, operator.BackendStatus{Name: name, Window: size, InFlight: inflight})
	})
	return s
}

// Suspects returns the crash records of requests that were running when backend servers crashed.
func (r *Router) Suspects() []schedule.CrashRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.List()
}

// ClearSuspect deletes a request's crash record here and propagates the deletion to the other
// routers. It reports whether this router had such a record.
func (r *Router) ClearSuspect(digest uint64) bool {
	r.mu.Lock()
	known := r.quarantine.Forget(digest)
	r.mu.Unlock()
	if known {
		r.propagateCrashRecords("", []schedule.CrashRecord{{Digest: digest}})
	}
	return known
}
