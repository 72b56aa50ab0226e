package quarantine

// This file defines Quarantine, its suspects and what it learns of them.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// crashesToHold is how many crashes hold a suspect. Of five crashes, one side of a split fleet has three.
const crashesToHold = 3

// Times and bounds of a Quarantine.
const (
	simultaneous    = 100 * time.Millisecond // crashes within this time are one outage, unless the later request was sent after the earlier crash
	simultaneousNew = 10 * time.Millisecond  // the same for a whole request that never completed: it is hardly one that many callers share
	reportDelay     = 5 * time.Millisecond   // by which a report may shift the times of a crash
	accusationTime  = 10 * time.Minute       // how long an accusation counts
	HoldTime        = time.Hour              // how long a suspect in the store's table is held
	unlistedTime    = time.Minute            // how long it is known that a suspect was unlisted; a copy of the store is some seconds old
	suspendedTime   = 30 * time.Second       // since its last crash, for which a whole request is suspended
	clearedTime     = 10 * time.Second       // how long a cleared accusation is remembered, so that a late report of it changes nothing
	maxSuspects     = 4096
	maxAccusations  = 16   // of one suspect
	maxKnownSound   = 8192 // parts on which an answer began, all forgotten when there are more; requests that completed likewise
	maxPartIDBytes  = 64   // parts with longer IDs are not considered
	maxPartsChecked = 64   // of one request
)

// Suspect is what may crash backend servers: a part of prompts or a whole request.
type Suspect struct {
	_       struct{} `cbor:",toarray"`
	Part    string   // ID of the part, or "" for a whole request
	Request uint64   // digest of the request, or 0 for a part
}

// String returns the suspect's key in the store's table.
func (s Suspect) String() string {
	if s.Part != "" {
		return "part/" + s.Part
	}
	return "request/" + strconv.FormatUint(s.Request, 16)
}

// Crash names a crash of a backend server by the server and the start that the crash ended.
type Crash struct {
	_         struct{} `cbor:",toarray"`
	Server    string
	StartedMs int64 // Unix milliseconds
}

// ParseSuspect returns the suspect of a key in the store's table. It fails on anything else.
func ParseSuspect(key string) (Suspect, error) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "part":
		if name != "" && len(name) <= maxPartIDBytes {
			return Suspect{Part: name}, nil
		}
	case "request":
		if digest, err := strconv.ParseUint(name, 16, 64); err == nil && digest != 0 {
			return Suspect{Request: digest}, nil
		}
	}
	return Suspect{}, fmt.Errorf("key %q names no suspect; want part/ID or request/DIGEST", key)
}

// Identity is what a request may be held for.
type Identity struct {
	Digest uint64   // of the whole request; its repetitions share it
	Parts  []string // IDs of the parts of its prompt that other requests may share, in order
}

// suspects returns what may make the request crash a server.
func (i Identity) suspects() []Suspect {
	list := []Suspect{{Request: i.Digest}}
	for _, id := range i.checkedParts() {
		list = append(list, Suspect{Part: id})
	}
	return list
}

// checkedParts returns the first maxPartsChecked parts.
func (i Identity) checkedParts() []string { return i.Parts[:min(len(i.Parts), maxPartsChecked)] }

// Hold is why and since when a suspect is held.
type Hold struct {
	Suspect Suspect
	Since   time.Time // when this router began to hold it, or the store to list it
	Crashes int       // that it is accused of, as far as this router knows

	// The suspect is held for suspendedTime only, after one crash less than convicts it.
	Suspended bool
	Listed    bool // the store's table lists it
}

// Change is a change of what this router believes of a suspect.
type Change struct {
	Hold
	Held bool // false if it is held no longer
}

// listing is a suspect in the store's table.
type listing struct {
	since     time.Time
	disproved bool      // an answer on it has begun since, or it had been unlisted before the store came back from a copy
	lostAt    time.Time // when the store came back without its row, which is to be written again; zero if it has it
}

// Quarantine is one router's knowledge of suspects. It is not safe for concurrent use.
//
// Invariant: held and suspended follow from records and listed alone, as of the last method that returned changes.
type Quarantine struct {
	records   map[Suspect]*record
	held      map[Suspect]*Hold
	suspended map[Suspect]*Hold // whole requests that are not held
	listed    map[Suspect]*listing

	unlisted map[Suspect]time.Time // when a suspect was released or unlisted, for unlistedTime

	// What ran at this router without harm.
	begun     map[string]bool // parts on which an answer began
	completed map[uint64]bool // digests of whole requests that completed

	holdsToldAt, holdsToldZonesAt time.Time // when the accusations of all held suspects were told last
}

// New returns an empty Quarantine.
func New() *Quarantine {
	return &Quarantine{records: map[Suspect]*record{}, held: map[Suspect]*Hold{}, suspended: map[Suspect]*Hold{}, listed: map[Suspect]*listing{}, unlisted: map[Suspect]time.Time{}, begun: map[string]bool{}, completed: map[uint64]bool{}}
}

// Held returns why a request must not run, or nil if it may.
func (q *Quarantine) Held(r Identity) *Hold {
	if len(q.held)+len(q.suspended) == 0 {
		return nil
	}
	whole := Suspect{Request: r.Digest}
	if h := q.held[whole]; h != nil {
		return h
	}
	if h := q.suspended[whole]; h != nil {
		return h
	}
	for _, id := range r.checkedParts() {
		if h := q.held[Suspect{Part: id}]; h != nil {
			return h
		}
	}
	return nil
}

// Count returns how many suspects are held, without those that are suspended.
func (q *Quarantine) Count() int { return len(q.held) }

// Accused reports whether the request, or a part of its prompt, is accused of a crash other than c and
// nothing has cleared it.
func (q *Quarantine) Accused(r Identity, c Crash) bool {
	for _, s := range r.suspects() {
		if rec := q.records[s]; rec != nil && rec.accusedBeside(c) {
			return true
		}
	}
	return false
}

// RecordCrash records that a backend server crashed that had the request for a time, and accuses the request and
// its parts. It must not be called if an answer to the request had begun and the server was up afterwards.
func (q *Quarantine) RecordCrash(now time.Time, c Crash, had time.Duration, r Identity) []Change {
	for depth, s := range r.suspects() {
		if len(s.Part) > maxPartIDBytes {
			continue
		}
		if s.Part == "" {
			depth = maxPartsChecked + 1
		}
		q.accuse(now, s, c, Report{At: now, Had: had, Request: r.Digest, Depth: depth, RanBefore: q.ranHere(s)}, true, true)
	}
	return q.decide(now)
}

// RecordBegun records that an answer to the request began and its server was up afterwards, so none of the
// parts crashes servers.
func (q *Quarantine) RecordBegun(now time.Time, r Identity) []Change {
	changed := false
	for _, id := range r.checkedParts() {
		remember(q.begun, id)
		changed = q.clear(now, Suspect{Part: id}) || changed
	}
	if !changed {
		return nil
	}
	return q.decide(now)
}

// RecordCompleted records that the request ran to its end, so that it does not crash servers as a whole. Whether
// its parts do not either is for RecordBegun.
func (q *Quarantine) RecordCompleted(now time.Time, r Identity) []Change {
	remember(q.completed, r.Digest)
	if !q.clear(now, Suspect{Request: r.Digest}) {
		return nil
	}
	return q.decide(now)
}

// remember adds an element to a set, which it empties before if there are too many.
func remember[T comparable](set map[T]bool, element T) {
	if len(set) >= maxKnownSound {
		clear(set)
	}
	set[element] = true
}

// ranHere reports whether the suspect ran at this router without harm.
func (q *Quarantine) ranHere(s Suspect) bool {
	return s.Part != "" && q.begun[s.Part] || s.Part == "" && q.completed[s.Request]
}

// Tick drops what has expired. It must be called every few seconds.
func (q *Quarantine) Tick(now time.Time) []Change {
	q.expire(now)
	return q.decide(now)
}

// decide computes which suspects are held and returns the changes, sorted by suspect.
func (q *Quarantine) decide(now time.Time) []Change {
	convicted, suspended := q.convicted(now)
	changes := q.suspend(now, suspended)
	for s, h := range q.held {
		if !convicted[s] {
			delete(q.held, s)
			changes = append(changes, Change{Hold: *h})
		}
	}
	for s := range convicted {
		h := q.held[s]
		began := h == nil
		if began {
			h = &Hold{Suspect: s, Since: now}
			q.held[s] = h
		}
		l := q.listed[s]
		if l != nil && l.since.Before(h.Since) {
			h.Since = l.since
		}
		h.Listed, h.Crashes = l != nil, 0
		if rec := q.records[s]; rec != nil {
			h.Crashes = len(rec.accusations)
		}
		if began {
			changes = append(changes, Change{Hold: *h, Held: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return compareSuspects(a.Suspect, b.Suspect) })
	return changes
}
