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
	suspectTime = 10 * time.Minute
	refuseTime  = 10 * time.Minute
	maxCrimes   = 4096
)

// Crime is what is known of one request's digest.
type Crime struct {
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
	crimes map[uint64]*Crime
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{crimes: map[uint64]*Crime{}} }

// Died takes in that a backend server died while it ran a request, and returns what is now known of it.
func (q *Quarantine) Died(now time.Time, digest uint64) Crime {
	c := q.crimes[digest]
	if c == nil || now.Sub(c.last) > suspectTime {
		q.trim(now)
		c = &Crime{Digest: digest}
		q.crimes[digest] = c
	}
	c.Deaths++
	c.last = now
	return *c
}

// Pardon forgets a request, and reports whether it was known.
func (q *Quarantine) Pardon(digest uint64) bool {
	_, known := q.crimes[digest]
	delete(q.crimes, digest)
	return known
}

// Heard takes in what another router knows of a request, and reports whether it is
// news. No deaths at all mean a pardon.
func (q *Quarantine) Heard(now time.Time, c Crime) bool {
	if c.Deaths == 0 {
		return q.Pardon(c.Digest)
	}
	mine := q.crimes[c.Digest]
	if mine != nil && mine.Deaths >= c.Deaths {
		return false
	}
	q.trim(now)
	c.last = now
	q.crimes[c.Digest] = &c
	return true
}

// Cleared takes in that a suspect ran to its end; a refused request stays refused.
func (q *Quarantine) Cleared(digest uint64) {
	if c := q.crimes[digest]; c != nil && c.Deaths < 2 {
		delete(q.crimes, digest)
	}
}

// Verdict returns whether a request may run.
func (q *Quarantine) Verdict(now time.Time, digest uint64) Verdict {
	c := q.crimes[digest]
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
func (q *Quarantine) List() []Crime {
	var list []Crime
	for _, c := range q.crimes {
		list = append(list, *c)
	}
	return list
}

// trim bounds the memory: what is too old goes, and past the bound, anything.
func (q *Quarantine) trim(now time.Time) {
	for d, c := range q.crimes {
		if now.Sub(c.last) > max(suspectTime, refuseTime) || len(q.crimes) >= maxCrimes {
			delete(q.crimes, d)
		}
	}
}
