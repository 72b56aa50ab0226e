package schedule

// This file defines what keeps failures from spreading: RetryBudget bounds
// retries to a share of requests, Quarantine finds requests that crash servers.

import "time"

// RetryBudget allows retries as a share of recent first attempts.
type RetryBudget struct {
	tokens float64
}

// Sizes of a retry budget.
const (
	retryShare  = 0.2 // retries for each first attempt
	retryTokens = 10  // the most that can be saved up
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryTokens} }

// First takes in a first attempt.
func (b *RetryBudget) First() { b.tokens = min(retryTokens, b.tokens+retryShare) }

// Take reports whether a retry is allowed, and spends it.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Verdict is what a Quarantine says of a request.
type Verdict int

// The verdicts on a request.
const (
	Clean   Verdict = iota
	Suspect         // it was in flight when a backend server died
	Refused         // it was in flight in two deaths and may not run for a time
)

// Times for which a Quarantine remembers.
const (
	suspectTime     = 10 * time.Minute
	refuseTime      = 10 * time.Minute
	maxCrashRecords = 4096
)

// CrashRecord is what is known of one request's digest.
type CrashRecord struct {
	Digest uint64 `cbor:"1,keyasint" json:"digest"`
	Deaths int    `cbor:"2,keyasint" json:"deaths"`

	last time.Time
}

// Quarantine remembers the requests that were in flight when a backend server
// died; its zero value is not usable, see NewQuarantine.
//
// Digests spread between routers as counts of deaths. The greater count wins, so
// a message that arrives twice adds nothing.
type Quarantine struct {
	records map[uint64]*CrashRecord
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{records: map[uint64]*CrashRecord{}} }

// Died takes in that a backend server died while it ran a request, and returns what is now known of it.
func (q *Quarantine) Died(now time.Time, digest uint64) CrashRecord {
	c := q.records[digest]
	if c == nil || now.Sub(c.last) > suspectTime {
		q.trim(now)
		c = &CrashRecord{Digest: digest}
		q.records[digest] = c
	}
	c.Deaths++
	c.last = now
	return *c
}

// Forget forgets a request, and reports whether it was known.
func (q *Quarantine) Forget(digest uint64) bool {
	_, known := q.records[digest]
	delete(q.records, digest)
	return known
}

// Heard takes in what another router knows of a request, and reports whether it is
// news. No deaths at all mean that it was cleared.
func (q *Quarantine) Heard(now time.Time, c CrashRecord) bool {
	if c.Deaths == 0 {
		return q.Forget(c.Digest)
	}
	mine := q.records[c.Digest]
	if mine != nil && mine.Deaths >= c.Deaths {
		return false
	}
	q.trim(now)
	c.last = now
	q.records[c.Digest] = &c
	return true
}

// Cleared takes in that a suspect ran to its end; a refused request stays refused.
func (q *Quarantine) Cleared(digest uint64) {
	if c := q.records[digest]; c != nil && c.Deaths < 2 {
		delete(q.records, digest)
	}
}

// Verdict returns whether a request may run.
func (q *Quarantine) Verdict(now time.Time, digest uint64) Verdict {
	c := q.records[digest]
	switch {
	case c == nil:
		return Clean
	case c.Deaths >= 2 && now.Sub(c.last) <= refuseTime:
		return Refused
	case now.Sub(c.last) <= suspectTime:
		return Suspect
	}
	return Clean
}

// List returns what is known, for operators.
func (q *Quarantine) List() []CrashRecord {
	var list []CrashRecord
	for _, c := range q.records {
		list = append(list, *c)
	}
	return list
}

// trim bounds the memory: what is too old goes, and past the bound, anything.
func (q *Quarantine) trim(now time.Time) {
	for d, c := range q.records {
		if now.Sub(c.last) > max(suspectTime, refuseTime) || len(q.records) >= maxCrashRecords {
			delete(q.records, d)
		}
	}
}
