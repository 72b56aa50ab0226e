package router

// This file defines how accepted configuration changes reach every router. They are pushed:
// the router that accepted them sends them to its zone, the zone's relay sends them to the
// other zones' relays, and those send them to their zones. A router that learns of a higher
// revision than its own also pulls the changes it lacks.

import (
	"time"

	"bulrushtally/config"
	"bulrushtally/peer"
)

// minPullInterval is the shortest time between two pull messages of this router.
const minPullInterval = 100 * time.Millisecond

// propagateOwnChange propagates a change that an operator made through this router.
func (r *Router) propagateOwnChange(change *config.Change) { r.propagateSince(change.Revision-1, "") }

// propagateSince sends the changes after a revision to the routers that should get them from
// this router. fromZone is the zone of the router that sent them, or empty if they came from
// the platform or were made here. Changes from this router's own zone are not sent to that
// zone again; changes from another zone are sent only within this router's zone.
func (r *Router) propagateSince(revision uint64, fromZone string) {
	changes, ok := r.configStore.Since(revision)
	if !ok || len(changes) == 0 {
		return
	}
	for _, l := range r.propagationLinks() {
		sameZone := l.Peer().Zone == r.settings.Zone
		if sameZone && fromZone == r.settings.Zone || !sameZone && fromZone != "" && fromZone != r.settings.Zone {
			continue
		}
		l.SendControl(peer.KindChanges, peer.Changes{Changes: changes})
	}
}

// pullIfOutdated pulls the changes after this router's revision over a link if the other
// router's revision is higher, at most once per minPullInterval.
func (r *Router) pullIfOutdated(l *peer.Link, revision uint64) {
	ownRevision := r.configStore.View().Revision()
	if revision <= ownRevision {
		return
	}
	now := time.Now()
	r.mu.Lock()
	tooSoon := now.Sub(r.lastPull) < minPullInterval
	if !tooSoon {
		r.lastPull = now
	}
	r.mu.Unlock()
	if !tooSoon {
		l.SendControl(peer.KindPull, peer.Pull{After: ownRevision})
	}
}

// SendChanges answers another router's pull with the changes after its revision, or with a snapshot
// of the configuration if those changes are no longer kept.
func (r *Router) SendChanges(l *peer.Link, p *peer.Pull) {
	changes, ok := r.configStore.Since(p.After)
	reply := peer.Changes{Changes: changes}
	if !ok {
		snapshot := r.configStore.View().Snapshot()
		reply.Snapshot = &snapshot
	}
	l.SendControl(peer.KindChanges, reply)
}

// ApplyChanges applies a snapshot or changes received over a link and propagates what was new to
// this router. If a change is missing before one of them, it pulls from the sender.
func (r *Router) ApplyChanges(l *peer.Link, c *peer.Changes) {
	oldRevision := r.configStore.View().Revision()
	if c.Snapshot != nil {
		r.configStore.ApplySnapshot(*c.Snapshot)
	}
	if err := r.configStore.ApplyChanges(c.Changes...); err != nil {
		r.logger.Debug().Err(err).Msg("changes-out-of-order")
		r.pullIfOutdated(l, r.configStore.View().Revision()+1)
	}
	if r.configStore.View().Revision() > oldRevision {
		r.propagateSince(oldRevision, l.Peer().Zone)
		r.markReadyIfCurrent()
	}
}
