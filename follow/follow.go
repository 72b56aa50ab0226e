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

// Batch is a set of rows as of a version of the store.
type Batch struct {
	Rows      []Row
	Version   uint64
	StoreTime time.Duration // reading of the store's monotonic clock when it answered, 0 if unknown
}

// ErrHistoryDropped reports that the store no longer has all changes after a version.
var ErrHistoryDropped = errors.New("store has dropped the changes after the requested version; read the whole table again")

// errStaleAnswer reports that the store, whose reads may be some seconds behind, answered with an older state of
// the table than the follower has.
var errStaleAnswer = errors.New("store answered with a state of the table that is older than the known one")

// Source reads tables from a store.
type Source interface {
	// Rows returns all rows of a table. It fails if the store does not answer within the timeout.
	Rows(table string, timeout time.Duration) (Batch, error)
	// Changes returns the rows that changed after a version. If there are none, the store
	// holds the call for up to wait. Changes fails if the store does not answer within wait
	// and timeout together, and with ErrHistoryDropped if the store has dropped the changes.
	Changes(table string, after uint64, wait, timeout time.Duration) (Batch, error)
}

// Table is the local copy of a table. Calls of Reset and Apply never overlap.
type Table interface {
	// Reset replaces the content of the table with rows.
	Reset(rows []Row)
	// Apply applies changed rows in the given order.
	Apply(rows []Row)
	// Confirm records that the copy was current at the reading at of this router's clock and
	// at the reading store of the store's clock, which is 0 if unknown.
	Confirm(at, store time.Duration)
}

// Options configure a Follower.
type Options struct {
	Name      string // of the table
	Source    Source
	Table     Table
	PollWait  func() time.Duration // longest time that the store may hold a call for changes
	Timeout   time.Duration        // for an answer, in addition to the time that the store may hold the call
	PollDelay func() time.Duration // delay between an answer with changes and the next call, so that one call returns more changes
	Passive   func() bool          // whether other routers poll the store and send Deltas to this one; nil means that it polls itself
	OnChange  func()               // if not nil, called after a polling call returned changes
	Clock     func() time.Duration // reading of this router's monotonic clock
	Logger    zerolog.Logger
}

// Follower keeps one table up to date. CatchUpTo may be called from many goroutines.
//
// Invariants: each change is applied to the table once, in the order of the store's versions, and none is left out: an
// answer is applied only if it holds all changes after a version that the table has. The version never decreases. No row
// changed after newestRow and up to version.
type Follower struct {
	options     Options
	failing     bool          // the last polling call failed
	lastFailure atomic.Int64  // clock reading at the last failed call, of this follower or of one that sent a delta
	version     atomic.Uint64 // version of the store up to which the table is current
	newestRow   atomic.Uint64 // no row changed between this version and version; mostly that of the newest row
	done        chan struct{}

	mu          sync.Mutex    // held while rows are applied to the table
	loaded      bool          // the table has been read, and its history not been dropped since
	recent      []recentBatch // rows of the last answers, sent in deltas
	lastDelta   time.Duration // clock reading at the last delta from a follower that reaches the store
	lastRead    time.Duration // clock reading at the start of the last polling call
	pollNow     bool          // poll once although passive, because another follower is ahead
	wake        chan struct{} // ends the sleep of a passive follower
	peerNewest  uint64        // version of the newest row that another follower has
	staleSince  time.Duration // clock reading since when the store answers with older states of the table, 0 if it does not
	behindSince time.Duration // clock reading since when this follower lacks that row, 0 if it has it
	clockOffset time.Duration // upper bound on the store's clock minus this router's clock, the smallest one found
	hasOffset   bool          // clockOffset is known
	catchingUp  atomic.Bool   // a catchUp call is in progress
}

// New returns a Follower that has not read its table yet.
func New(o Options) *Follower {
	f := &Follower{options: o, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	f.lastFailure.Store(int64(-time.Hour))
	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// LastFailure returns the clock reading at the last failed call of the store, by this follower
// or, as far as deltas report it, by another one.
func (f *Follower) LastFailure() time.Duration { return time.Duration(f.lastFailure.Load()) }

// Version returns the version of the store up to which the table is current.
func (f *Follower) Version() uint64 { return f.version.Load() }

// NewestRow returns the version of the newest row that is known, or a later one if rows may have been removed that
// this follower has not seen removed.
func (f *Follower) NewestRow() uint64 { return f.newestRow.Load() }

// recordNewest raises newestRow to the newest version among rows.
func (f *Follower) recordNewest(rows []Row) {
	for _, r := range rows {
		f.newestRow.Store(max(f.newestRow.Load(), r.Version))
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
		if f.passive() {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(passiveCheckInterval):
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
		case errors.Is(err, ErrHistoryDropped):
			f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-history-dropped")
			f.invalidate()
			backOff, dropped = dropped, true // dropped again right after it was read: the store reads old states
		case errors.Is(err, errStaleAnswer):
			f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-answer-stale")
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

// recordFailure records a failed call and logs the first of a series.
func (f *Follower) recordFailure(err error) {
	f.lastFailure.Store(int64(f.options.Clock()))
	if !f.failing {
		f.options.Logger.Warn().Err(err).Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-read-failed")
	}
	f.failing = true
}

// poll makes one call of the store and applies the answer. It reports whether it read the whole table, and otherwise
// whether the answer held changes.
func (f *Follower) poll() (read, changed bool, err error) {
	o := &f.options
	began := o.Clock()
	f.mu.Lock()
	loaded := f.loaded
	f.lastRead, f.pollNow = began, false
	f.mu.Unlock()
	if !loaded {
		b, err := o.Source.Rows(o.Name, o.Timeout)
		if err != nil {
			return true, false, err
		}
		if !f.reset(b) {
			return true, false, errStaleAnswer
		}
		f.confirm(began, b, 0)
		f.recordSuccess()
		return true, false, nil
	}
	wait, delay := o.PollWait(), maxChangeDelay
	if f.failing || o.Passive != nil && o.Passive() {
		wait, delay = 0, 0 // an immediate answer shows whether the store has recovered, or what has changed
	}
	after := f.Version()
	b, err := o.Source.Changes(o.Name, after, wait, o.Timeout)
	if err != nil {
		return false, false, err
	}
	if f.apply(after, b) {
		f.confirm(began, b, delay)
	}
	f.recordSuccess()
	if len(b.Rows) > 0 && o.OnChange != nil {
		o.OnChange()
	}
	return false, len(b.Rows) > 0, nil
}

// maxStaleTime is how long the store's reads may be behind. Later, the version has gone back for good, whatever the reason.
const maxStaleTime = 15 * time.Second

// reset replaces the content of the table with the answer b, unless that is older.
func (f *Follower) reset(b Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, now := f.version.Load(), f.options.Clock()
	if b.Version >= known {
		f.staleSince = 0
	} else if f.staleSince == 0 {
		f.staleSince = now
	}
	if f.staleSince != 0 && now-f.staleSince < maxStaleTime {
		return false
	}
	f.options.Table.Reset(b.Rows)
	f.recordNewest(b.Rows)
	if known > 0 {
		f.newestRow.Store(b.Version) // rows may have been removed since the known version
	}
	f.version.Store(b.Version)
	f.loaded, f.recent = true, nil
	return true
}

// invalidate makes the next call read the whole table.
func (f *Follower) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
}

// apply applies all changes after a version to the table, except those that it has already, and reports whether the
// table then is as the answer b says. It applies none if the table lacks changes before them, as it may when it
// was read anew while the call was on its way.
func (f *Follower) apply(after uint64, b Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.version.Load()
	if after > known {
		return false
	}
	fresh := b.Rows[:0:0]
	for _, r := range b.Rows {
		if r.Version > known {
			fresh = append(fresh, r)
		}
	}
	f.options.Table.Apply(fresh)
	f.recordNewest(fresh)
	f.version.Store(max(known, b.Version))
	f.keepRecent(known, fresh)
	return b.Version >= known
}

// maxChangeDelay is the longest time between a change and the store's answer to a call that
// it holds for changes; Source must keep it. An answer to such a call therefore confirms the
// table only as of this long before the answer. The time is independent of PollWait, which
// limits how long the store holds the call if nothing changes.
const maxChangeDelay = 1200 * time.Millisecond

// confirmedAt returns the latest reading of this router's clock at which the answer b is known
// to have been current. began is the reading when the call began, and delay is how long the
// store may hold back a change.
//
// The store read the table after began, so the answer was current at began. The store's clock
// can show that it was also current later. Because the store read its clock after began,
// b.StoreTime-began is an upper bound on the offset of the store's clock from this router's.
// clockOffset is the smallest such bound of all calls. It is at least the true offset, so
// b.StoreTime-clockOffset is not later than the store's answer.
func (f *Follower) confirmedAt(began time.Duration, b Batch, delay time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.StoreTime == 0 {
		return began
	}
	if offset := b.StoreTime - began; !f.hasOffset || offset < f.clockOffset {
		f.clockOffset, f.hasOffset = offset, true
	}
	return max(began, b.StoreTime-f.clockOffset-delay)
}

// confirm reports to the table when the answer b to a call that began at began was current.
func (f *Follower) confirm(began time.Duration, b Batch, delay time.Duration) {
	store := time.Duration(0)
	if b.StoreTime > delay {
		store = b.StoreTime - delay
	}
	f.options.Table.Confirm(f.confirmedAt(began, b, delay), store)
}

// LocalTime converts a reading of the store's clock to one of this router's clock. The result may
// be too early, never too late. LocalTime returns false if no answer has held the store's clock yet.
func (f *Follower) LocalTime(store time.Duration) (at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return store - f.clockOffset, f.hasOffset
}

// recordSuccess records a successful call and logs it if the call before failed.
func (f *Follower) recordSuccess() {
	if f.failing {
		f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-read-recovered")
	}
	f.failing = false
}

// catchUpDelay is how long another follower may be ahead before this one assumes that its call
// in progress does not return changes.
const catchUpDelay = 250 * time.Millisecond

// CatchUpTo records the version of the newest row that another follower has. If this follower
// stays behind, it reads the changes with a second call beside the one in progress; a passive
// follower polls once.
func (f *Follower) CatchUpTo(version uint64) {
	f.mu.Lock()
	now := f.options.Clock()
	f.peerNewest = max(f.peerNewest, version)
	switch {
	case f.peerNewest <= f.version.Load():
		f.behindSince = 0
	case f.behindSince == 0:
		f.behindSince = now
	}
	behind := f.behindSince != 0 && now-f.behindSince > catchUpDelay+f.options.PollDelay()
	passive := f.options.Passive != nil && f.options.Passive()
	f.pollNow = f.pollNow || behind && passive
	f.mu.Unlock()
	if behind && passive {
		select {
		case f.wake <- struct{}{}:
		default: // a wake-up is pending
		}
		return
	}
	if !behind || f.catchingUp.Swap(true) {
		return
	}
	go f.catchUp()
}

// catchUp reads the changes with a call that the store does not hold.
func (f *Follower) catchUp() {
	defer f.catchingUp.Store(false)
	o := &f.options
	began, after := o.Clock(), f.Version()
	b, err := o.Source.Changes(o.Name, after, 0, o.Timeout)
	if err != nil {
		o.Logger.Debug().Err(err).Str("table", o.Name).Msg("catch-up-failed")
		time.Sleep(maxRetryDelay)
		return
	}
	if f.apply(after, b) {
		f.confirm(began, b, 0)
	}
}
