package schedule

// This file defines the limits on the spread of failures: RetryBudget bounds retries
// to a share of the requests, and Quarantine identifies requests that crash backend
// servers.

import "time"

// RetryBudget is a token bucket that limits retries to a share of first attempts.
type RetryBudget struct {
	tokens float64
}

// Parameters of RetryBudget. A retry costs one token.
const (
	tokensPerFirstAttempt = 0.2 // tokens gained by each first attempt
	maxRetryTokens        = 10  // capacity of the bucket
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt() {
	b.tokens = min(maxRetryTokens, b.tokens+tokensPerFirstAttempt)
}

// TakeRetry takes one token for a retry. It returns false if there is none; the retry is
// then not allowed.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Verdict is a Quarantine's decision on a request.
type Verdict int

// Verdicts on a request.
const (
	VerdictClean   Verdict = iota // it may run
	VerdictSuspect                // it was in flight at one crash of a backend server; it may run, one suspect at a time
	VerdictRefused                // it was in flight at two or more crashes and may not run for refusalDuration
)

// Retention times and the maximum number of records of a Quarantine.
const (
	suspectDuration = 10 * time.Minute
	refusalDuration = 10 * time.Minute
	maxCrashRecords = 4096
)

// CrashRecord counts the backend servers that crashed while they ran a request with a
// given digest.
type CrashRecord struct {
	Digest  uint64 `cbor:"1,keyasint" json:"digest"`
	Crashes int    `cbor:"2,keyasint" json:"deaths"`

	lastCrash time.Time
}

// Quarantine records which requests were in flight when a backend server crashed.
// Use NewQuarantine; the zero value is not usable. It is not safe for concurrent use.
//
// Routers exchange crash records with absolute crash counts. The greater count wins,
// so a duplicate message has no effect.
type Quarantine struct {
	records map[uint64]*CrashRecord
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{records: map[uint64]*CrashRecord{}} }

// RecordCrash records that a backend server crashed while it ran a request, and returns the
// request's updated record. A record whose last crash is older than suspectDuration
// starts anew.
func (q *Quarantine) RecordCrash(now time.Time, digest uint64) CrashRecord {
	c := q.records[digest]
	if c == nil || now.Sub(c.lastCrash) > suspectDuration {
		q.trim(now)
		c = &CrashRecord{Digest: digest}
		q.records[digest] = c
	}
	c.Crashes++
	c.lastCrash = now
	return *c
}

// Forget deletes the record of a request and reports whether there was one.
func (q *Quarantine) Forget(digest uint64) bool {
	_, known := q.records[digest]
	delete(q.records, digest)
	return known
}

// Merge merges another router's record of a request and reports whether that changed
// anything. A record with 0 crashes means that the request was cleared: its record is
// deleted.
func (q *Quarantine) Merge(now time.Time, record CrashRecord) bool {
	if record.Crashes == 0 {
		return q.Forget(record.Digest)
	}
	known := q.records[record.Digest]
	if known != nil && known.Crashes >= record.Crashes {
		return false
	}
	q.trim(now)
	record.lastCrash = now
	q.records[record.Digest] = &record
	return true
}

// RecordCompletion deletes the record of a suspect that ran to completion. The record of a
// request with two or more crashes stays.
func (q *Quarantine) RecordCompletion(digest uint64) {
	if c := q.records[digest]; c != nil && c.Crashes < 2 {
		delete(q.records, digest)
	}
}

// Verdict returns the current verdict on a request.
func (q *Quarantine) Verdict(now time.Time, digest uint64) Verdict {
	c := q.records[digest]
	switch {
	case c == nil:
		return VerdictClean
	case c.Crashes >= 2 && now.Sub(c.lastCrash) <= refusalDuration:
		return VerdictRefused
	case now.Sub(c.lastCrash) <= suspectDuration:
		return VerdictSuspect
	}
	return VerdictClean
}

// List returns all records, for operators.
func (q *Quarantine) List() []CrashRecord {
	var list []CrashRecord
	for _, c := range q.records {
		list = append(list, *c)
	}
	return list
}

// trim deletes expired records, and arbitrary others until there are fewer than
// maxCrashRecords.
func (q *Quarantine) trim(now time.Time) {
	for d, c := range q.records {
		if now.Sub(c.lastCrash) > max(suspectDuration, refusalDuration) || len(q.records) >= maxCrashRecords {
			delete(q.records, d)
		}
	}
}
