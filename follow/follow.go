package follow

// This file defines Follower, the Source that it reads and the Table that it updates.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Row is a row of a table as of the version of the store that last changed it.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Deleted bool // the row was deleted
}

// Batch is a set of rows as of a position of the store.
type Batch struct {
	Rows []Row
	Position
	StoreTime time.Duration // reading of the store's monotonic clock when it answered, 0 if unknown
}

// ErrHistoryDropped reports that the store no longer has all changes after a version.
var ErrHistoryDropped = errors.New("store has dropped the changes after the requested version; read the whole table again")

var (
	// errStaleAnswer reports that the store, whose reads may be some seconds behind, answered with an older state of
	// the table than the follower has.
	errStaleAnswer = errors.New("store answered with a state of the table that is older than the known one")
	// errNewEra reports that the store has come back from a copy since the table was read.
	errNewEra = errors.New("store has begun a new era; read the whole table again")
)

// Source reads tables from a store.
type Source interface {
	// Rows returns all rows of a table. It fails if the store does not answer within the timeout.
	Rows(table string, timeout time.Duration) (Batch, error)
	// Changes returns the rows that changed after a version. If there are none, the store
	// holds the call for up to wait. Changes fails if the store does not answer within wait
	// and timeout together, and with ErrHistoryDropped if the store has dropped the changes.
	Changes(table string, after uint64, wait, timeout time.Duration) (Batch, error)
}

// Table is the local copy of a table. Calls of Reset, Restore and Apply never overlap.
type Table interface {
	// Reset replaces the content of the table with rows.
	Reset(rows []Row)
	// Restore takes the rows that the store has after it came back from a copy. What differs from the known ones was
	// lost or is older, and is mostly written again, which Apply tells; only if it is not, the rows are right.
	Restore(rows []Row)
	// Apply applies changed rows in the given order.
	Apply(rows []Row)
	// Confirm records that the copy was current.
	Confirm(c Confirmation)
}

// Confirmation is a moment at which a table was current.
type Confirmation struct {
	At        time.Duration // reading of this router's clock
	StoreTime time.Duration // reading of the store's clock, 0 if unknown
	Era       uint64        // of the store
}

// Options configure a Follower.
type Options struct {
	Name      string // of the table
	Source    Source
	Table     Table
	PollWait  func() time.Duration // longest time that the store may hold a call for changes
	Timeout   time.Duration        // for an answer, in addition to the time that the store may hold the call
	ReadDelay func() time.Duration // delay before the table is read anew in a new era, at another moment by each router; nil means none
	PollDelay func() time.Duration // delay between an answer with changes and the next call, so that one call returns more changes
	Passive   func() bool          // whether other routers poll the store and send Deltas to this one; nil means that it polls itself
	OnChange  func()               // if not nil, called after a polling call returned changes, or was made since no Deltas come
	// FallbackSpread returns the time over which passive followers spread their calls when no Deltas come, so that the first one can
	// tell the others what it read; nil means none.
	FallbackSpread func() time.Duration
	OnRestore      func()               // if not nil, called after the table was read in a new era
	Clock          func() time.Duration // reading of this router's monotonic clock
	Logger         zerolog.Logger
}

// Follower keeps one table up to date. CatchUpTo may be called from many goroutines.
//
// Invariants: each change of an era is applied to the table once, in the order of the store's versions, and none is left
// out: an answer is applied only if it holds all changes after a position that the table has. The position never runs
// backwards. No row changed after newestRow and up to the position.
type Follower struct {
	options     Options
	failing     bool         // the last polling call failed
	currentAt   atomic.Int64 // clock reading at which the table was current
	lastFailure atomic.Int64 // clock reading at the last failed call, of this follower or of one that sent a delta
	ownFailure  atomic.Int64 // clock reading at the last failed call of this follower
	done        chan struct{}

	mu          sync.Mutex    // held while rows are applied to the table
	position    Position      // up to which the table is current; zero before it was read
	readAt      uint64        // version of the store when the whole table was read; what was removed before is not known
	newestRow   Position      // no row changed between this position and position; mostly that of the newest row
	loaded      bool          // the table has been read in this era, and its history not been dropped since
	readAfter   time.Duration // clock reading before which the table is not read anew
	recent      []recentBatch // rows of the last answers, sent in deltas
	lastDelta   time.Duration // clock reading at the last delta from a follower that reaches the store
	fallback    time.Duration // beyond deltaTimeout, until this follower polls when no delta comes
	lastRead    time.Duration // clock reading at the start of the last polling call
	lastAnswer  time.Duration // clock reading at the start of the last polling call that succeeded
	pollNow     bool          // poll once although passive, because another follower is ahead
	wake        chan struct{} // ends the sleep of a passive follower
	peerNewest  Position      // of the newest row that another follower has
	staleSince  time.Duration // clock reading since when the store answers with older states of the table, 0 if it does not
	behindSince time.Duration // clock reading since when this follower lacks that row, 0 if it has it
	clockOffset time.Duration // upper bound on the store's clock minus this router's clock, the smallest one found in this era
	hasOffset   bool          // clockOffset is known
	catchingUp  atomic.Bool   // a catchUp call is in progress
}

// New returns a Follower that has not read its table yet.
func New(o Options) *Follower {
	f := &Follower{options: o, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	f.currentAt.Store(int64(-time.Hour))
	f.lastFailure.Store(int64(-time.Hour))
	f.ownFailure.Store(int64(-time.Hour))
	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// LastFailure returns the clock reading at the last failed call of the store or its return from a copy, by this follower
// or, as far as deltas report it, by another one.
func (f *Follower) LastFailure() time.Duration { return time.Duration(f.lastFailure.Load()) }

// CurrentAt returns the latest clock reading at which the table is known to have been current. What a delta brings is taken
// to be of when it came.
func (f *Follower) CurrentAt() time.Duration { return time.Duration(f.currentAt.Load()) }

// setCurrent records that the table was current at a clock reading.
func (f *Follower) setCurrent(at time.Duration) {
	for {
		known := f.currentAt.Load()
		if int64(at) <= known || f.currentAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// Position returns the position of the store up to which the table is current.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// NewestRow returns the position of the newest row that is known, or a later one if rows may have been removed that
// this follower has not seen removed.
func (f *Follower) NewestRow() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestRow
}

// unchangedSince returns the version of the store since which no row has changed, as far as this follower can tell; f.mu is held.
func (f *Follower) unchangedSince() uint64 { return max(f.readAt, f.newestRow.Version) }

// recordNewest raises newestRow to the newest version among rows; f.mu is held.
func (f *Follower) recordNewest(rows []Row) {
	for _, r := range rows {
		f.newestRow.Version = max(f.newestRow.Version, r.Version)
	}
}

// Limits of the delay after a failed call, which doubles with each further failure.
const (
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Run keeps the table up to date until the context ends, and returns nil.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	retryDelay, dropped := minRetryDelay, false
	for ctx.Err() == nil {
		if rest := f.rest(); rest > 0 {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(rest):
			}
			continue
		}
		read, changed, err := f.poll()
		wait, backOff := time.Duration(0), false
		switch {
		case err == nil && read:
			wait = f.options.PollDelay()
		case err == nil:
			retryDelay, dropped = minRetryDelay, false
			if changed {
				wait = f.options.PollDelay()
			}
		case errors.Is(err, errNewEra):
			f.awaitRead()
		case errors.Is(err, ErrHistoryDropped):
			f.event().Msg("store-history-dropped")
			f.invalidate()
			backOff, dropped = dropped, true // dropped again right after it was read: the store reads old states
		case errors.Is(err, errStaleAnswer):
			f.event().Msg("store-answer-stale")
			backOff = true
		default:
			f.recordFailure(err)
			backOff = true
		}
		if backOff {
			wait = retryDelay/2 + rand.N(retryDelay)
			retryDelay = min(maxRetryDelay, 2*retryDelay)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// event returns a log event with the position of the table.
func (f *Follower) event() *zerolog.Event {
	p := f.Position()
	return f.options.Logger.Info().Str("table", f.options.Name).Uint64("era", p.Era).Uint64("version", p.Version)
}

// rest returns how long the follower makes no call now: as long as others poll the store for it, or until it is its turn to
// read the table in a new era.
func (f *Follower) rest() time.Duration {
	if f.passive() {
		return passiveCheckInterval
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded {
		return 0
	}
	return f.readAfter - f.options.Clock()
}

// recordFailure records a failed call and logs the first of a series.
func (f *Follower) recordFailure(err error) {
	now := int64(f.options.Clock())
	f.lastFailure.Store(now)
	f.ownFailure.Store(now)
	if !f.failing {
		f.options.Logger.Warn().Err(err).Str("table", f.options.Name).Uint64("version", f.Position().Version).Msg("store-read-failed")
	}
	f.failing = true
}

// recordSuccess records a successful call and logs it if the call before failed.
func (f *Follower) recordSuccess() {
	if f.failing {
		f.event().Msg("store-read-recovered")
	}
	f.failing = false
}
