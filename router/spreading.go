package router

// This file defines how accepted changes of the configuration reach every router:
// pushed from the router that accepted them to its zone and its relay, from there
// to the other relays and their zones; and pulled by a router that hears of a
// higher revision than its own.

import (
	"time"

	"bulrushtally/config"
	"bulrushtally/peer"
)

// pullPause is the least time between two pulls.
const pullPause = 100 * time.Millisecond

// spreadOwn sends on a change that this router had accepted.
func (r *Router) spreadOwn(c *config.Change) { r.spreadSince(c.Revision-1, "") }

// spreadSince sends the changes after a revision to those who should get them
// from here; the zone says whom they came from, empty for the platform.
func (r *Router) spreadSince(revision uint64, from string) {
	list, ok := r.store.Since(revision)
	if !ok || len(list) == 0 {
		return
	}
	for _, l := range r.neighbours() {
		near := l.Peer().Zone == r.settings.Zone
		if near && from == r.settings.Zone || !near && from != "" && from != r.settings.Zone {
			continue
		}
		l.Send(peer.KindChanges, peer.Changes{Changes: list})
	}
}

func (r *Router) pullIfBehind(l *peer.Link, revision uint64) {
	mine := r.store.View().Revision()
	if revision <= mine {
		return
	}
	now := time.Now()
	r.mu.Lock()
	soon := now.Sub(r.pulled) < pullPause
	if !soon {
		r.pulled = now
	}
	r.mu.Unlock()
	if !soon {
		l.Send(peer.KindPull, peer.Pull{After: mine})
	}
}

// Pull sends the configuration after a revision, or the whole of it if the
// changes are no longer kept.
func (r *Router) Pull(l *peer.Link, p *peer.Pull) {
	list, ok := r.store.Since(p.After)
	c := peer.Changes{Changes: list}
	if !ok {
		snap := r.store.View().Snapshot()
		c.Snapshot = &snap
	}
	l.Send(peer.KindChanges, c)
}

// Changes takes in changes of the configuration and passes on what was news.
func (r *Router) Changes(l *peer.Link, c *peer.Changes) {
	before := r.store.View().Revision()
	if c.Snapshot != nil {
		r.store.Restore(*c.Snapshot)
	}
	if err := r.store.Offer(c.Changes...); err != nil {
		r.logger.Debug().Err(err).Msg("changes-out-of-order")
		r.pullIfBehind(l, r.store.View().Revision()+1)
	}
	if r.store.View().Revision() > before {
		r.spreadSince(before, l.Peer().Zone)
		r.becomeReady()
	}
}
