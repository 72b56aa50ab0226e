package quarantine

// This file defines which suspects the accusations convict.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// convicted returns the suspects to be held: those that the accusations convict, and those that the store's
// table lists, unless what this router knows suffices to judge them itself. A crash that one suspect
// explains does not count against another one: what each crash breaks off has sound requests and sound parts, too. The
// parts at the beginning of a customer's prompts are in all of them, and on a service of few servers a sound request may
// break off beside the cause again and again.
//
// It also returns the whole requests to be suspended: two crashes of one that never completed are too few to hold it for
// long, and enough to spare the third server for a while. Of several with the same crashes one is.
func (q *Quarantine) convicted(now time.Time) (convicted, suspended map[Suspect]bool) {
	convicted, suspended = map[Suspect]bool{}, map[Suspect]bool{}
	explained := map[Crash]bool{}
	var parts, requests []Suspect
	for s, rec := range q.records {
		switch {
		case len(rec.accusations) < crashesToHold || len(rec.counted(now, s.Part != "", nil)) < crashesToHold:
		case s.Part != "":
			parts = append(parts, s)
		default:
			requests = append(requests, s)
		}
	}
	q.convictListed(now, parts, true, convicted, explained)
	q.convict(now, parts, convicted, explained)
	q.convictListed(now, requests, false, convicted, explained)
	q.convict(now, requests, convicted, explained)
	var repeated []Suspect
	for s, rec := range q.records {
		if s.Part == "" && !convicted[s] && !rec.ranBefore && rec.lastCrash().After(now.Add(-suspendedTime)) {
			repeated = append(repeated, s)
		}
	}
	q.convict(now, repeated, suspended, explained)
	return convicted, suspended
}

// lastCrash returns when the last crash was that the suspect is accused of and not cleared.
func (rec *record) lastCrash() (last time.Time) {
	for _, a := range rec.accusations {
		if !a.cleared && a.at.After(last) {
			last = a.at
		}
	}
	return last
}

// suspend begins and ends the suspension of whole requests and returns the changes.
func (q *Quarantine) suspend(now time.Time, suspended map[Suspect]bool) (changes []Change) {
	for s, h := range q.suspended {
		if !suspended[s] {
			delete(q.suspended, s)
			changes = append(changes, Change{Hold: *h})
		}
	}
	for s := range suspended {
		if q.suspended[s] == nil {
			h := &Hold{Suspect: s, Since: now, Crashes: len(q.records[s].accusations), Suspended: true}
			q.suspended[s] = h
			changes = append(changes, Change{Hold: *h, Held: true})
		}
	}
	return changes
}

// convictListed adds the parts, or the whole requests, that the store's table lists, unless they are among the accused.
func (q *Quarantine) convictListed(now time.Time, accused []Suspect, parts bool, convicted map[Suspect]bool, explained map[Crash]bool) {
	for s, l := range q.listed {
		if (s.Part != "") == parts && !l.disproved && !l.lapsed(now) && !slices.Contains(accused, s) {
			convicted[s] = true
			q.explain(s, explained)
		}
	}
}

// convict adds the convicted ones among the accused, which are all parts or all whole requests.
func (q *Quarantine) convict(now time.Time, accused []Suspect, convicted map[Suspect]bool, explained map[Crash]bool) {
	for {
		s, ok := q.likeliest(now, accused, explained)
		if !ok {
			return
		}
		convicted[s] = true
		q.explain(s, explained)
	}
}

// explain adds the crashes that a convicted suspect is accused of, which it explains for others.
func (q *Quarantine) explain(s Suspect, explained map[Crash]bool) {
	rec := q.records[s]
	if rec == nil {
		return
	}
	for c, a := range rec.accusations {
		if !a.cleared {
			explained[c] = true
		}
	}
}

// candidate is an accused suspect that may be convicted.
type candidate struct {
	suspect Suspect
	record  *record
	crashes int  // that no convicted suspect explains
	held    bool // it is held so far
}

// likeliest returns the suspect to be convicted next, and false if the crashes that are not explained
// convict none.
func (q *Quarantine) likeliest(now time.Time, accused []Suspect, explained map[Crash]bool) (Suspect, bool) {
	var best candidate
	for _, s := range accused {
		c := candidate{suspect: s, record: q.records[s], held: q.held[s] != nil}
		c.crashes = len(c.record.counted(now, s.Part != "", explained))
		if c.crashes >= unexplainedToHold(s) && (best.record == nil || c.goesBefore(best)) {
			best = c
		}
	}
	return best.suspect, best.record != nil
}

// unexplainedToHold returns how many of the crashes that a suspect is accused of must be unexplained. A whole request is in few
// crashes but its own, so that one of them may be another request's, too: two that crash servers may end one together.
func unexplainedToHold(s Suspect) int {
	if s.Part == "" {
		return crashesToHold - 1
	}
	return crashesToHold
}

// goesBefore reports whether c is convicted before b: first one that never ran without harm, then the one with
// most crashes, then the one that comes last in its prompts, which fewest requests share, then the one that is held.
func (c candidate) goesBefore(b candidate) bool {
	switch {
	case c.record.ranBefore != b.record.ranBefore:
		return !c.record.ranBefore
	case c.crashes != b.crashes:
		return c.crashes > b.crashes
	case c.record.depth != b.record.depth:
		return c.record.depth > b.record.depth
	case c.held != b.held:
		return c.held
	}
	return compareSuspects(c.suspect, b.suspect) < 0
}

// counted returns the accusations that count: those that are neither cleared, expired nor explained. Of
// crashes in one outage one counts, and, if oncePerRequest is set, of those by one request.
func (rec *record) counted(now time.Time, oncePerRequest bool, explained map[Crash]bool) []*accusation {
	list := make([]*accusation, 0, len(rec.accusations))
	for c, a := range rec.accusations {
		if !a.cleared && !explained[c] && now.Sub(a.at) <= accusationTime {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *accusation) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.request, b.request)) })
	within := simultaneous
	if !oncePerRequest && !rec.ranBefore {
		within = simultaneousNew
	}
	counted := list[:0]
	for _, a := range list {
		if n := len(counted); n > 0 && a.sameOutage(counted[n-1], within) {
			continue
		}
		if oncePerRequest && slices.ContainsFunc(counted, func(x *accusation) bool { return x.request == a.request }) {
			continue
		}
		counted = append(counted, a)
	}
	return counted
}

// sameOutage reports whether a crash may have the same cause as one before it, whatever that is: it came
// within a time after that, and its request had been sent before.
func (a *accusation) sameOutage(before *accusation, within time.Duration) bool {
	return a.at.Sub(before.at) < within && a.at.Add(-a.had).Before(before.at.Add(-reportDelay))
}

// compareSuspects orders suspects by part, then by request.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(strings.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
}
