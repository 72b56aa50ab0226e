package placement

// This file defines how streams keep to the software version of the server that began them, and which versions may begin
// one.

import "time"

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

// hasVersion reports whether a server of the version is listed, in service and not leaving.
func (p *pool) hasVersion(now time.Time, version string) bool {
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
