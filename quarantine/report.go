package quarantine

// This file defines what routers tell each other about suspects, and the suspects in the store's table.

import (
	"cmp"
	"slices"
	"time"
)

// Report is an accusation as one router tells it to others.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Suspect   Suspect
	Crash     Crash
	Age       time.Duration // since the crash was first seen
	Had       time.Duration // for which the server had had the request by then
	Request   uint64        // digest of the request that crashed the server, if the suspect is the cause
	Depth     int           // position of the suspect in its prompts
	RanBefore bool          // the suspect ran without harm before
	Cleared   bool          // an answer on the suspect began after the crash

	At time.Time `cbor:"-"` // Age as a time of this router's clock
}

// Limits of reports.
const (
	repeatTime = 3 * time.Second // how long a change is repeated, so that later reports compensate for lost ones
	holdPeriod = time.Second     // between two tellings of why a suspect is held, to routers that do not reach the store
	maxReports = 200             // in one message
)

// OwnReports returns what this router has to tell the others: what it changed lately, and from time to time
// why suspects are held.
func (q *Quarantine) OwnReports(now time.Time) []Report {
	return q.reports(now, &q.holdsToldAt, func(a *accusation) bool { return a.own })
}

// ZoneReports returns what the zone of this router has to tell the other zones.
func (q *Quarantine) ZoneReports(now time.Time) []Report {
	return q.reports(now, &q.holdsToldZonesAt, func(a *accusation) bool { return a.zone })
}

// reports returns the accusations that were changed within repeatTime and are told, and each holdPeriod those
// that suspects are held for; at most maxReports, the ones that matter most first.
func (q *Quarantine) reports(now time.Time, holdsToldAt *time.Time, told func(*accusation) bool) []Report {
	tellHolds := now.Sub(*holdsToldAt) >= holdPeriod
	if tellHolds {
		*holdsToldAt = now
	}
	var list []Report
	for s, rec := range q.records {
		var decisive []*accusation
		if tellHolds && q.held[s] != nil {
			decisive = rec.counted(now, s.Part != "", nil)
			decisive = decisive[:min(len(decisive), crashesToHold)]
		}
		for c, a := range rec.accusations {
			if changed := now.Sub(a.changedAt) <= repeatTime && told(a); !changed && !slices.Contains(decisive, a) {
				continue
			}
			list = append(list, Report{Suspect: s, Crash: c, Age: now.Sub(a.at), Had: a.had, Request: a.request, Depth: rec.depth, RanBefore: rec.ranBefore, Cleared: a.cleared})
		}
	}
	if len(list) > maxReports {
		slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(q.weight(b), q.weight(a)) })
		list = list[:maxReports]
	}
	return list
}

// weight returns how much a report matters: those of what is held, then of what is accused most and
// not cleared.
func (q *Quarantine) weight(r Report) int {
	switch {
	case q.held[r.Suspect] != nil:
		return 2 * maxAccusations
	case r.Cleared:
		return 0
	}
	n := len(q.records[r.Suspect].accusations)
	if !r.RanBefore {
		n += maxAccusations / 2
	}
	return n
}

// Merge records what another router or zone reports. sameZone is set if it belongs to this router's zone.
func (q *Quarantine) Merge(now time.Time, reports []Report, sameZone bool) []Change {
	changed := false
	for _, r := range reports {
		if r.Age > accusationTime || r.Suspect.Part == "" && r.Suspect.Request == 0 {
			continue
		}
		r.At = now.Add(-max(0, r.Age))
		changed = q.accuse(now, r.Suspect, r.Crash, r, false, sameZone) || changed
	}
	if !changed {
		return nil
	}
	return q.decide(now)
}

// List records that the store's table lists a suspect, which all routers then hold. age is the time since
// it was listed.
func (q *Quarantine) List(now time.Time, s Suspect, age time.Duration) []Change {
	if l := q.listed[s]; l != nil {
		l.lostAt = time.Time{}
	} else {
		q.listed[s] = &listing{since: now.Add(-max(0, age))}
	}
	return q.decide(now)
}

// Restored records what the store's table lists, by age, after the store came back from a copy. A row that it has no
// longer was lost and is to be written again: that is no release. One that it has again was released or unlisted since the
// copy was made.
func (q *Quarantine) Restored(now time.Time, rows map[Suspect]time.Duration) []Change {
	for s, l := range q.listed {
		if _, ok := rows[s]; ok {
			continue
		}
		if l.disproved {
			delete(q.listed, s)
			continue
		}
		l.lostAt = now
	}
	for s, age := range rows {
		if q.listed[s] == nil {
			_, unlisted := q.unlisted[s]
			q.listed[s] = &listing{since: now.Add(-max(0, age)), disproved: unlisted}
		}
	}
	return q.decide(now)
}

// Unlist records that the store's table lists a suspect no longer, since a router found it not to be
// the cause.
func (q *Quarantine) Unlist(now time.Time, s Suspect) []Change {
	if q.listed[s] == nil {
		return nil
	}
	delete(q.listed, s)
	q.unlisted[s] = now
	return q.decide(now)
}

// Release records that an operator released a suspect: the crashes that it was held for count against
// nothing else either.
func (q *Quarantine) Release(now time.Time, s Suspect) []Change {
	if q.held[s] != nil {
		q.clearCrashes(now, q.records[s])
	}
	return q.Unlist(now, s)
}

// clearCrashes clears all accusations of the crashes that a suspect is accused of. rec may be nil.
func (q *Quarantine) clearCrashes(now time.Time, rec *record) {
	if rec == nil {
		return
	}
	for _, other := range q.records {
		for c, a := range other.accusations {
			if rec.accusations[c] != nil && !a.cleared {
				a.cleared, a.changedAt, a.own, a.zone = true, now, true, true
			}
		}
	}
}

// Listed returns the suspects that the store's table lists.
func (q *Quarantine) Listed() []Suspect {
	list := make([]Suspect, 0, len(q.listed))
	for s := range q.listed {
		list = append(list, s)
	}
	return list
}

// settleTime is how long a suspect is held before its row is written: other routers' reports of the same crashes
// may still name a likelier one.
const settleTime = 300 * time.Millisecond

// Unwritten returns the held suspects that this router is to write to the store's table. Those that saw one
// of the crashes do so first, and the others after patience, in case these have failed.
func (q *Quarantine) Unwritten(now time.Time, patience time.Duration) []Hold {
	var list []Hold
	for s, h := range q.held {
		since := h.Since
		if l := q.listed[s]; l != nil {
			if l.lostAt.IsZero() {
				continue
			}
			since = l.lostAt
		}
		if age := now.Sub(since); age >= settleTime && (q.sawCrash(s) || age > patience) {
			list = append(list, *h)
		}
	}
	return list
}

// sawCrash reports whether this router accused the suspect itself.
func (q *Quarantine) sawCrash(s Suspect) bool {
	rec := q.records[s]
	if rec == nil {
		return false
	}
	for _, a := range rec.accusations {
		if a.own {
			return true
		}
	}
	return false
}

// Outdated returns the suspects that the store's table lists though they are not the cause: an answer on them
// began, or another one explains the crashes.
func (q *Quarantine) Outdated(now time.Time) []Suspect {
	var list []Suspect
	for s, l := range q.listed {
		if q.held[s] == nil && !l.lapsed(now) {
			list = append(list, s)
		}
	}
	return list
}

// Lapsed returns the suspects that the store's table has listed for HoldTime.
func (q *Quarantine) Lapsed(now time.Time) []Suspect {
	var list []Suspect
	for s, l := range q.listed {
		if l.lapsed(now) {
			list = append(list, s)
		}
	}
	return list
}

func (l *listing) lapsed(now time.Time) bool { return now.Sub(l.since) > HoldTime }
