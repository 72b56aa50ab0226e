package placement

// This file defines which software versions of servers a request may go to: streams keep to the version that began them,
// begin only at admitted versions, and a roll-out moves the requests of a service from the old versions to a new one.

import (
	"cmp"
	"slices"
	"time"
)

// restartDoubtTime is how long a server that was unreachable may run as another start than its entry says. A server that
// has started writes its entry at once.
const restartDoubtTime = 3 * time.Second

// certainVersion returns the version of the server's software, or "" if it may have started anew as another one since its
// entry was written.
func (s *server) certainVersion(now time.Time) string {
	if !s.doubtedAt.IsZero() && now.Sub(s.doubtedAt) < restartDoubtTime {
		return ""
	}
	return s.Version
}

// fits reports whether a request may run on the server by the server's version.
func (s *server) fits(now time.Time, req *Request) bool {
	switch {
	case !s.obeysRollout(now, req):
		return false
	case !req.KeepsVersion:
		return true
	case req.Version != "":
		return s.certainVersion(now) == req.Version
	}
	return s.pool.admitted[s.Version]
}

// sharesKVCache reports whether the server can use KV cache that another one has written: only if both have the same
// version.
func (s *server) sharesKVCache(other *server) bool {
	return s.Version != "" && s.Version == other.Version
}

// hasVersion reports whether a server of the version is listed, in service and not leaving, and no roll-out forbids the
// version.
func (p *pool) hasVersion(now time.Time, version string) bool {
	if r := &p.rollout; r.To != "" && (version == r.To && r.StopNew || version != r.To && r.EndOld) {
		return false
	}
	for _, s := range p.servers {
		if s.Version == version && s.stays(now) {
			return true
		}
	}
	return false
}

// Versions returns the versions that the listed servers of each service have, those that leave included, and a number that
// differs when they do. It returns nil if that is the known number.
func (p *Placement) Versions(known uint64) (versions map[string]map[string]bool, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known == p.versionsChanged {
		return nil, known
	}
	versions = make(map[string]map[string]bool, len(p.pools))
	for name, pl := range p.pools {
		versions[name] = map[string]bool{}
		for _, s := range pl.servers {
			versions[name][s.Version] = true
		}
	}
	return versions, p.versionsChanged
}

// AdmitVersions sets the versions of a service at which streams may begin, instead of those before.
func (p *Placement) AdmitVersions(now time.Time, service string, versions map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[service]
	if pl == nil {
		return
	}
	pl.admitted = versions
	p.dispatch(now, pl)
}

// VersionRule says which versions a request may go to while a roll-out of its service moves requests to a new one.
type VersionRule uint8

// Rules for a request. Where no roll-out is in progress, all of them allow any version.
const (
	AnyVersion VersionRule = iota // none was chosen, since no roll-out was in progress; means OldVersion if one is now
	OldVersion                    // any version but the new one
	NewVersion                    // the new version, or another one if no server of it can take the request now
)

// Rollout is how far the roll-out of a service is. The zero value means that none is in progress.
type Rollout struct {
	To           string // the new version; "" if there is no roll-out
	TrialServers int    // how many servers of it new requests go to; 0 means all
	StopNew      bool   // the new version gets nothing more
	StopOld      bool   // the other versions get no new requests, only streams that they have begun
	EndOld       bool   // they do not get these either
}

// SetRollout sets how far the roll-out of a service is, and returns how many servers of the new version are listed, in
// service and not leaving. It has to be called from time to time while the trial uses few servers, since the servers of the
// version change.
func (p *Placement) SetRollout(now time.Time, service string, r Rollout) (servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[service]
	if pl == nil {
		return 0
	}
	changed := pl.rollout != r
	pl.rollout = r
	if r.TrialServers > 0 {
		pl.selectTrialServers(now)
	}
	if changed {
		p.dispatch(now, pl)
	}
	for _, s := range pl.servers {
		if r.To != "" && s.Version == r.To && s.stays(now) {
			servers++
		}
	}
	return servers
}

// selectTrialServers selects the servers that take part in the trial of the new version: the first ones by hash, so that all
// routers select the same ones and these get the load that servers of the version will have.
func (p *pool) selectTrialServers(now time.Time) {
	var list []*server
	for _, s := range p.servers {
		s.onTrial = false
		if s.Version == p.rollout.To && s.stays(now) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) })
	for _, s := range list[:min(p.rollout.TrialServers, len(list))] {
		s.onTrial = true
	}
}

// obeysRollout reports whether the roll-out of the service lets a request run on the server. A server that may have started
// anew as another version gets nothing meanwhile.
func (s *server) obeysRollout(now time.Time, req *Request) bool {
	r := &s.pool.rollout
	if r.To == "" {
		return true
	}
	version := s.certainVersion(now)
	continues := req.Version != "" && req.Version == version
	switch {
	case version == "" && s.Version != "":
		return false
	case version != r.To:
		return !r.StopOld && (continues || req.Rule != NewVersion) || r.StopOld && !r.EndOld && continues
	case r.StopNew:
		return false
	case continues:
		return true
	}
	return (req.Rule == NewVersion || r.StopOld) && (r.TrialServers == 0 || s.onTrial)
}

// mayLeaveNewVersion reports whether a request may go to another version if no server of the new one can take it now.
func (p *pool) mayLeaveNewVersion(req *Request) bool {
	return req.Rule == NewVersion && p.rollout.To != "" && !p.rollout.StopOld && req.Version == ""
}

// leavesNewVersion lets a request go to another version than the new one, and reports whether it may.
func (p *pool) leavesNewVersion(req *Request) bool {
	if !p.mayLeaveNewVersion(req) {
		return false
	}
	req.Rule = OldVersion
	return true
}

// ignoresRoles reports whether a request takes servers of any role: those that its version leaves it may all have one role.
func (p *pool) ignoresRoles(req *Request) bool {
	return req.Version != "" || req.Rule == NewVersion && p.rollout.To != "" && p.rollout.TrialServers > 0
}

// ownerByRollout returns owner, or the one that owns the prompt's shared segments among the servers that the roll-out leaves
// the request if owner is none of them.
func (p *pool) ownerByRollout(now time.Time, req *Request, owner *server, prefill bool) *server {
	if owner == nil || owner.obeysRollout(now, req) {
		return owner
	}
	key := req.Segments[len(req.Segments)-1].ID
	var best *server
	var highest uint64
	for _, s := range p.servers {
		if !s.usable(now) || s.limited() || p.disaggregated && s.prefillServer != prefill || !s.obeysRollout(now, req) {
			continue
		}
		if score := mix(key, s.hash); best == nil || score > highest {
			best, highest = s, score
		}
	}
	return best
}

// MaySend reports whether the request may still be sent to the server: no roll-out has ended that since it was placed, and
// the server has not started anew, perhaps as another version.
func (g *Grant) MaySend(now time.Time) bool {
	g.placement.mu.Lock()
	defer g.placement.mu.Unlock()
	if g.server.pool.rollout.To == "" {
		return true
	}
	return g.server.StartedMs == g.startedMs && g.server.obeysRollout(now, g.request)
}

// IsNewVersion reports whether the server had the new version of a roll-out when the request was placed.
func (g *Grant) IsNewVersion() bool { return g.newVersion }

// ServerVersion returns the version of the server by its entry when the request was placed.
func (g *Grant) ServerVersion() string { return g.serverVersion }

// Ending is how an attempt ended.
type Ending struct {
	At       time.Time
	Result   AttemptResult
	Unsent   bool          // the request was not sent
	Cold     bool          // the server was cold
	Lasted   time.Duration // from sending to the end
	First    time.Duration // from sending to the first event, or to the whole response; 0 if it did not come
	Expected time.Duration // the same as the service's servers take for it at this server's load; 0 if unknown
}

// OnEnd sets a function that is called once when the attempt ends, if it has not ended and none was set.
func (g *Grant) OnEnd(end func(Ending)) {
	g.placement.mu.Lock()
	defer g.placement.mu.Unlock()
	if g.onEnd == nil && !g.ended {
		g.onEnd = end
	}
}

// Answered returns what is known of the attempt after its first event, in the form of its end.
func (g *Grant) Answered(now time.Time) Ending {
	g.placement.mu.Lock()
	defer g.placement.mu.Unlock()
	return g.ending(now, Done, false)
}

// ending returns how the attempt ends; the placement's lock is held. The time expected leaves the server's own slowdown out,
// by which a slow version would excuse itself.
func (g *Grant) ending(now time.Time, r AttemptResult, unsent bool) Ending {
	e := Ending{At: now, Result: r, Unsent: unsent, Cold: g.server.cold(g.sentAt), Lasted: now.Sub(g.sentAt)}
	if g.firstEventSeen && !g.firstEventAt.IsZero() {
		e.First = g.firstEventAt.Sub(g.sentAt)
	}
	if pl := g.server.pool; g.request.PromptTokens > 0 && !g.migrated {
		e.Expected = time.Duration(((g.queuedCost+g.prefillCost)*pl.msPerToken + pl.baseMs) * float64(time.Millisecond))
	}
	return e
}

// callOnEnd calls the function of OnEnd, if one is set, after the placement's lock was released.
func (g *Grant) callOnEnd(e Ending) {
	if g.onEnd != nil {
		g.onEnd(e)
	}
}
