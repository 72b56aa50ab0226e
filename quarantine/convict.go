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
func (q *Quarantine) convicted(now time.Time) map[Suspect]bool {
	convicted := map[Suspect]bool{}
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
	q.convict(now, parts, true, convicted, explained)
	q.convict(now, requests, false, convicted, explained)
	return convicted
}

// convict adds the convicted ones among the accused, which are all parts or all whole requests, and those of that kind that
// the store's table lists.
func (q *Quarantine) convict(now time.Time, accused []Suspect, parts bool, convicted map[Suspect]bool, explained map[Crash]bool) {
	for s, l := range q.listed {
		if (s.Part != "") == parts && !l.disproved && !l.lapsed(now) && !slices.Contains(accused, s) {
			convicted[s] = true
			q.explain(s, explained)
		}
	}
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

// likeliest returns the suspect to be convicted next, and false if the crashes that are not explained
// convict none. One that never ran without harm goes first, then the one with most crashes, then the
// one that comes last in its prompts, which fewest requests share.
func (q *Quarantine) likeliest(now time.Time, accused []Suspect, explained map[Crash]bool) (Suspect, bool) {
	var best Suspect
	var bestRecord *record
	bestCrashes := 0
	for _, s := range accused {
		rec := q.records[s]
		crashes := len(rec.counted(now, s.Part != "", explained))
		if crashes < crashesToHold {
			continue
		}
		if bestRecord == nil || goesBefore(s, rec, crashes, best, bestRecord, bestCrashes) {
			best, bestRecord, bestCrashes = s, rec, crashes
		}
	}
	return best, bestRecord != nil
}

// goesBefore reports whether suspect a is convicted before suspect b.
func goesBefore(a Suspect, ra *record, crashesA int, b Suspect, rb *record, crashesB int) bool {
	switch {
	case ra.ranBefore != rb.ranBefore:
		return !ra.ranBefore
	case crashesA != crashesB:
		return crashesA > crashesB
	case ra.depth != rb.depth:
		return ra.depth > rb.depth
	}
	return compareSuspects(a, b) < 0
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
	counted := list[:0]
	for _, a := range list {
		if n := len(counted); n > 0 && a.sameOutage(counted[n-1]) {
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
// shortly after, and its request had been sent before.
func (a *accusation) sameOutage(before *accusation) bool {
	return a.at.Sub(before.at) < simultaneous && a.at.Add(-a.had).Before(before.at.Add(-reportDelay))
}

// compareSuspects orders suspects by part, then by request.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(strings.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
}
