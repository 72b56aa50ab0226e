package placement

// This file defines where the shared parts of prompts are kept: their home among the
// engines, and who held them last beside it.

import "time"

// home returns the usable server that a prompt's shared parts belong to by
// rendezvous hashing, so that all routers read them at the same one, or nil.
func (p *pool) home(now time.Time, parts []Part, reader bool) *server {
	if len(parts) == 0 {
		return nil
	}
	key := parts[len(parts)-1].ID
	var best *server
	var top uint64
	for _, s := range p.servers {
		if !s.usable(now) || p.split && s.reader != reader {
			continue
		}
		if h := mix(key, s.hash); best == nil || h > top {
			best, top = s, h
		}
	}
	return best
}

// maxHolders bounds how many parts are remembered with their holder.
const maxHolders = 4096

// holder returns the engine beside its home that a prompt's last shared part was last sent or moved to, or nil.
func (p *pool) holder(parts []Part) *server {
	if len(parts) == 0 {
		return nil
	}
	return p.holders[parts[len(parts)-1].ID]
}

// spareHolder returns the engine that is likely to hold what a home has lost of a
// prompt's shared parts, or nil: the one that this router saw hold them last, or the home
// among the engines of the other kind.
func (p *pool) spareHolder(now time.Time, parts []Part, home *server) *server {
	s := p.holder(parts)
	if s == nil {
		s = p.home(now, parts, !home.reader)
	}
	if s == nil || s == home || !s.listed {
		return nil
	}
	return s
}

// hold takes in that an engine holds a prompt's shared parts.
func (p *pool) hold(parts []Part, s *server) {
	if len(parts) == 0 {
		return
	}
	if len(p.holders) >= maxHolders {
		clear(p.holders)
	}
	p.holders[parts[len(parts)-1].ID] = s
}

// mix returns a hash of two hashes.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
