package placement

// This file defines where the KV cache of shared prompt segments is: each prefix has an
// owner among the backend servers, and another server may hold a copy.

import "time"

// owner returns the usable server that owns a prompt's shared segments, or nil. It is
// chosen by rendezvous hashing, so that all routers send such prompts to the same
// server. A server that names a limit owns none. In a disaggregated pool, prefill selects
// between prefill and decode servers. If a version is given, the owner is one of its servers.
func (p *pool) owner(now time.Time, segments []Segment, prefill bool, version string) *server {
	if len(segments) == 0 {
		return nil
	}
	key := segments[len(segments)-1].ID
	var best *server
	var highest uint64
	for _, s := range p.servers {
		if !s.usable(now) || s.limited() || p.disaggregated && s.prefillServer != prefill || version != "" && s.Version != version {
			continue
		}
		if score := mix(key, s.hash); best == nil || score > highest {
			best, highest = s, score
		}
	}
	return best
}

// ownerFor returns the server from which a server may fetch the KV cache of the prompt's shared segments, or nil. If the
// owner has another version, that is the server that would own them among those of its version, provided that it has them.
func (sr *search) ownerFor(s *server) *server {
	if sr.owner == nil || sr.owner == s || sr.owner.sharesKVCache(s) {
		return sr.owner
	}
	if s.Version == "" {
		return nil
	}
	segments := sr.waiter.request.Segments
	owner, known := sr.versionOwners[s.Version]
	if !known {
		if sr.versionOwners == nil {
			sr.versionOwners = map[string]*server{}
		}
		owner = sr.pool.owner(sr.now, segments, sr.wantsPrefill, s.Version)
		if owner != nil && owner.segments.cachedTokens(segments) < sr.waiter.request.SharedTokens() {
			owner = nil
		}
		sr.versionOwners[s.Version] = owner
	}
	return owner
}

// maxKVHolders limits the number of prefixes in pool.kvHolders; the map is cleared when
// it is full.
const maxKVHolders = 4096

// kvHolder returns the server other than the owner to which a request with the same
// shared segments was last sent or migrated, or nil.
func (p *pool) kvHolder(segments []Segment) *server {
	if len(segments) == 0 {
		return nil
	}
	return p.kvHolders[segments[len(segments)-1].ID]
}

// fallbackKVHolder returns the server that is likely to hold shared segments which the
// owner has evicted, or nil. It is the last known holder or, in a disaggregated pool,
// the owner among the servers of the other role.
func (p *pool) fallbackKVHolder(now time.Time, segments []Segment, owner *server) *server {
	s := p.kvHolder(segments)
	if s == nil || !s.sharesKVCache(owner) {
		s = p.owner(now, segments, !owner.prefillServer, owner.Version)
	}
	if s == nil || s == owner || !s.listed || !s.sharesKVCache(owner) {
		return nil
	}
	return s
}

// setKVHolder records that a server holds a prompt's shared segments.
func (p *pool) setKVHolder(segments []Segment, s *server) {
	if len(segments) == 0 {
		return
	}
	if len(p.kvHolders) >= maxKVHolders {
		clear(p.kvHolders)
	}
	p.kvHolders[segments[len(segments)-1].ID] = s
}

// mix combines two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
