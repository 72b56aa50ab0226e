package quarantine

// This file defines accusation and record, what is known of one suspect.

import "time"

// accusation is a crash that a suspect may be the cause of.
type accusation struct {
	at        time.Time     // when the crash was seen first
	had       time.Duration // for which the server had had the request
	request   uint64        // digest of the request that crashed the server, if the suspect is the cause
	cleared   bool          // an answer on the suspect has begun since
	changedAt time.Time
	own       bool // this router accused or cleared it
	zone      bool // this router or another one of its zone did
}

// record is what is known of one suspect.
type record struct {
	depth       int  // position in the prompts that contain it; a whole request comes after all parts
	ranBefore   bool // it ran without harm before, at some router
	accusations map[Crash]*accusation
}

// clear clears all accusations of a suspect, and reports whether there was one that was not cleared.
func (q *Quarantine) clear(now time.Time, s Suspect) bool {
	changed := false
	if l := q.listed[s]; l != nil && !l.disproved {
		l.disproved, changed = true, true
	}
	rec := q.records[s]
	if rec == nil {
		return changed
	}
	for _, a := range rec.accusations {
		if !a.cleared {
			a.cleared, a.changedAt, a.own, a.zone = true, now, true, true
			changed = true
		}
	}
	return changed
}

// accuse adds an accusation of s for the crash c, or what a report of a known one adds to it, and reports
// whether anything is new. own says that this router accuses, and zone that a router of its zone does.
func (q *Quarantine) accuse(now time.Time, s Suspect, c Crash, r Report, own, zone bool) bool {
	rec := q.records[s]
	if rec == nil {
		q.makeRoom(now)
		rec = &record{accusations: map[Crash]*accusation{}}
		q.records[s] = rec
	}
	rec.depth = max(rec.depth, r.Depth)
	a := rec.accusations[c]
	changed := false
	if a == nil {
		rec.makeRoom()
		a = &accusation{at: r.At, had: r.Had, request: r.Request, own: own, zone: zone}
		rec.accusations[c] = a
		changed = true
	}
	if r.At.Before(a.at) {
		a.at = r.At
	}
	if r.Cleared && !a.cleared {
		a.cleared, changed = true, true
	}
	if ranHere := q.ranHere(s); (r.RanBefore || ranHere) && !rec.ranBefore {
		rec.ranBefore, changed = true, true
		a.own, a.zone = a.own || ranHere, a.zone || ranHere
	}
	if changed {
		a.changedAt, a.own, a.zone = now, a.own || own, a.zone || zone
	}
	return changed
}

// makeRoom drops what has expired and, if there are still maxSuspects, one that is accused least.
func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.records) < maxSuspects {
		return
	}
	q.expire(now)
	if len(q.records) < maxSuspects {
		return
	}
	var least Suspect
	fewest := maxAccusations + 1
	for s, rec := range q.records {
		if n := len(rec.accusations); n < fewest && q.held[s] == nil {
			least, fewest = s, n
		}
	}
	delete(q.records, least)
}

// expire drops what counts no longer.
func (q *Quarantine) expire(now time.Time) {
	for s, at := range q.unlisted {
		if now.Sub(at) > unlistedTime {
			delete(q.unlisted, s)
		}
	}
	for s, rec := range q.records {
		for c, a := range rec.accusations {
			if now.Sub(a.at) > accusationTime || a.cleared && now.Sub(a.changedAt) > clearedTime {
				delete(rec.accusations, c)
			}
		}
		if len(rec.accusations) == 0 {
			delete(q.records, s)
		}
	}
}

// makeRoom drops the oldest accusation if there are maxAccusations, a cleared one first.
func (rec *record) makeRoom() {
	if len(rec.accusations) < maxAccusations {
		return
	}
	var oldest Crash
	var dropped *accusation
	for c, a := range rec.accusations {
		if dropped == nil || a.cleared && !dropped.cleared || a.cleared == dropped.cleared && a.at.Before(dropped.at) {
			oldest, dropped = c, a
		}
	}
	delete(rec.accusations, oldest)
}

// accusedBeside reports whether the suspect is accused of a crash other than c and not cleared.
func (rec *record) accusedBeside(c Crash) bool {
	for crash, a := range rec.accusations {
		if crash != c && !a.cleared {
			return true
		}
	}
	return false
}
