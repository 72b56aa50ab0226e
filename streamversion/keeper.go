package streamversion

// This file defines Keeper, a router's part in keeping the row that lists the versions.

import "time"

const (
	// listMaxAge is how old a router's list of servers may be for streams to begin by it. An older one may name servers of a
	// version that others have retired.
	listMaxAge = time.Minute
	// retiringDelay is how long a version is marked before it is removed: a write of the mark that the store does late must
	// have become visible by then.
	retiringDelay = 8 * time.Second
	// refreshPeriod is the time between two reads of the row while streams are logged in the store: another router may have
	// found that this is no longer necessary.
	refreshPeriod = 6 * time.Second
)

// presence is what a router has seen of one version of a service in the list of servers.
type presence struct {
	missingSince  time.Time // zero while a server has it
	missedInRow   bool      // it was missing at some time since the row was read
	retiringSince time.Time // since when the router has seen it marked and missing; zero if it is not
}

// Keeper holds what a router knows of the row that lists the versions, and of the list of servers.
//
// Invariants: a version admits streams only if the row listed it when it was read last, and servers of it have been listed all
// the time since, or since it was last missing and read again. A version is proposed for removal only after no server had it
// for as long as any router may use an older list and a stream may last.
type Keeper struct {
	longestStream time.Duration
	firstStart    bool // the fleet starts for the first time, so no stream has begun before there is a row

	row      *Versions // as it was read or written last; nil before, or if the store has none
	era      uint64    // of the store when the row was read
	loaded   bool      // the row was read in this era of the store
	loadedAt time.Time
	outdated bool // the list was too old at some time since the row was read

	listed      map[string]map[string]bool // versions that servers of a service have
	listedAt    time.Time                  // when the list was current
	seen        map[string]map[string]*presence
	unsureSince map[string]time.Time // since when the router has seen a service as unsure
}

// NewKeeper returns a Keeper that has read nothing. firstStart says that the fleet starts for the first time.
func NewKeeper(firstStart bool) *Keeper {
	return &Keeper{
		firstStart: firstStart, listed: map[string]map[string]bool{},
		seen: map[string]map[string]*presence{}, unsureSince: map[string]time.Time{},
	}
}

// SetLongestStream sets how long a stream may last, with the time in which it may be taken up.
func (k *Keeper) SetLongestStream(d time.Duration) { k.longestStream = max(d, k.longestStream) }

// settleTime is how long something must have been seen until no stream can have begun otherwise.
func (k *Keeper) settleTime() time.Duration { return listMaxAge + k.longestStream }

// Observe records the versions that the listed servers of each service have. current is when the list was known to be
// current.
func (k *Keeper) Observe(now, current time.Time, listed map[string]map[string]bool) {
	k.listed, k.listedAt = listed, current
	if now.Sub(current) > listMaxAge {
		k.outdated = true
		clear(k.seen) // what is missing counts anew once the list is current
		clear(k.unsureSince)
		return
	}
	for service, versions := range listed {
		for version := range versions {
			k.presence(service, version).missingSince = time.Time{}
		}
	}
	if k.row == nil {
		return
	}
	for service, a := range k.row.Services {
		for version, state := range a.Versions {
			k.observeAdmitted(now, service, version, state)
		}
		if !a.Unsure {
			delete(k.unsureSince, service)
		} else if k.unsureSince[service].IsZero() {
			k.unsureSince[service] = now
		}
	}
}

// observeAdmitted records whether a version that the row lists is missing from the list of servers.
func (k *Keeper) observeAdmitted(now time.Time, service, version string, state State) {
	p := k.presence(service, version)
	if k.listed[service][version] {
		p.retiringSince = time.Time{}
		return
	}
	p.missedInRow = true
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	switch {
	case state != Retiring:
		p.retiringSince = time.Time{}
	case p.retiringSince.IsZero():
		p.retiringSince = now
	}
}

func (k *Keeper) presence(service, version string) *presence {
	if k.seen[service] == nil {
		k.seen[service] = map[string]*presence{}
	}
	p := k.seen[service][version]
	if p == nil {
		p = &presence{}
		k.seen[service][version] = p
	}
	return p
}

// Load records the row as it was read, or written, in an era of the store. v is nil if there is none.
func (k *Keeper) Load(now time.Time, v *Versions, era uint64) {
	if k.row == nil || v == nil || v.Era != k.row.Era {
		clear(k.unsureSince) // services became unsure anew
	}
	k.firstStart = k.firstStart && v == nil && k.row == nil
	k.row, k.era, k.loaded, k.loadedAt, k.outdated = v, era, true, now, false
	for service, versions := range k.seen {
		for version, p := range versions {
			p.missedInRow = !k.listed[service][version]
		}
	}
}

// Forget makes the Keeper read the row again, after the store came back from a copy.
func (k *Keeper) Forget() { k.loaded = false }

// admitted returns what the row lists of a service, or nil.
func (k *Keeper) admitted(service string) *Admitted {
	if k.row == nil {
		return nil
	}
	return k.row.Services[service]
}

// Admits returns the versions of a service at which streams may begin now.
func (k *Keeper) Admits(now time.Time, service string) map[string]bool {
	admits := map[string]bool{}
	a := k.admitted(service)
	if a == nil || k.outdated || now.Sub(k.listedAt) > listMaxAge {
		return admits
	}
	for version, state := range a.Versions {
		if state == InUse && k.listed[service][version] && !k.presence(service, version).missedInRow {
			admits[version] = true
		}
	}
	return admits
}

// Logs reports whether streams must be logged in the store: some service has, or may have, streams of several versions.
func (k *Keeper) Logs() bool {
	if !k.loaded || k.row == nil || k.row.Era != k.era {
		return true
	}
	for service, a := range k.row.Services {
		if a.Unsure || len(a.Versions) > 1 {
			return true
		}
		for version := range k.listed[service] {
			if _, ok := a.Versions[version]; !ok {
				return true
			}
		}
	}
	return false
}

// NeedsRead reports whether the row is to be read now: it is stale, or has to change.
func (k *Keeper) NeedsRead(now time.Time) bool { return k.isStale(now) || k.changes(now) }

// beginsNone reports whether no stream can begin that the row would be read for: no service is listed, or the list is too old.
func (k *Keeper) beginsNone(now time.Time) bool {
	return len(k.listed) == 0 || now.Sub(k.listedAt) > listMaxAge
}

// isStale reports whether the row must be read before it counts: it was not read since the store came back, or may have changed since.
func (k *Keeper) isStale(now time.Time) bool {
	if k.beginsNone(now) {
		return false
	}
	if !k.loaded || k.outdated || k.Logs() && now.Sub(k.loadedAt) > refreshPeriod {
		return true
	}
	for service, versions := range k.listed {
		for version := range versions {
			if k.presence(service, version).missedInRow {
				return true
			}
		}
	}
	return false
}

// changes reports whether the row, as it was read last, has to change.
func (k *Keeper) changes(now time.Time) bool {
	if !k.loaded || k.beginsNone(now) {
		return false
	}
	_, changes := k.Next(now)
	return changes
}

// Next returns the row as it should be, and whether that differs from the row that was read.
func (k *Keeper) Next(now time.Time) (next *Versions, changes bool) {
	next = k.row.clone()
	newEra := k.row == nil || k.row.Era != k.era
	next.Era = k.era
	changes = newEra
	for service, versions := range k.listed {
		a := next.Services[service]
		if a == nil {
			a = &Admitted{Versions: map[string]State{}}
			next.Services[service] = a
		}
		for version := range versions {
			changes = changes || a.Versions[version] != InUse
			a.Versions[version] = InUse
		}
	}
	for service, a := range next.Services {
		if newEra && !(k.firstStart && k.row == nil) {
			a.Unsure = true
			continue
		}
		changes = k.settle(now, service, a) || changes
	}
	return next, changes
}

// settle changes what the row says of a service to what has been seen for long enough, and reports whether it did.
func (k *Keeper) settle(now time.Time, service string, a *Admitted) (changes bool) {
	if now.Sub(k.listedAt) > listMaxAge {
		return false
	}
	if since := k.unsureSince[service]; a.Unsure && !since.IsZero() && now.Sub(since) > k.settleTime() {
		a.Unsure, changes = false, true
	}
	for version, state := range a.Versions {
		p := k.presence(service, version)
		switch {
		case p.missingSince.IsZero() || now.Sub(p.missingSince) <= k.settleTime():
		case state == InUse:
			a.Versions[version], changes = Retiring, true
		case !p.retiringSince.IsZero() && now.Sub(p.retiringSince) > retiringDelay:
			delete(a.Versions, version)
			changes = true
		}
	}
	return changes
}
