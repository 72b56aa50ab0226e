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
	OnChange  func()               // if not nil, called after a polling call returned changes
	OnRestore func()               // if not nil, called after the table was read in a new era
	Clock     func() time.Duration // reading of this router's monotonic clock
	Logger    zerolog.Logger
}

// Follower keeps one table up to date. CatchUpTo may be called from many goroutines.
//
// Invariants: each change of an era is applied to the table once, in the order of the store's versions, and none is left
// out: an answer is applied only if it holds all changes after a position that the table has. The position never runs
// backwards. No row changed after newestRow and up to the position.
type Follower struct {
	options     Options
	failing     bool         // the last polling call failed
	lastFailure atomic.Int64 // clock reading at the last failed call, of this follower or of one that sent a delta
	done        chan struct{}

	mu          sync.Mutex    // held while rows are applied to the table
	position    Position      // up to which the table is current; zero before it was read
	newestRow   Position      // no row changed between this position and position; mostly that of the newest row
	loaded      bool          // the table has been read in this era, and its history not been dropped since
	readAfter   time.Duration // clock reading before which the table is not read anew
	recent      []recentBatch // rows of the last answers, sent in deltas
	lastDelta   time.Duration // clock reading at the last delta from a follower that reaches the store
	lastRead    time.Duration // clock reading at the start of the last polling call
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
	f.lastFailure.Store(int64(-time.Hour))
	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// LastFailure returns the clock reading at the last failed call of the store or its return from a copy, by this follower
// or, as far as deltas report it, by another one.
func (f *Follower) LastFailure() time.Duration { return time.Duration(f.lastFailure.Load()) }

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
	f.lastFailure.Store(int64(f.options.Clock()))
	if !f.failing {
		f.options.Logger.Warn().Err(err).Str("table", f.options.Name).Uint64("version", f.Position().Version).Msg("store-read-failed")
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
		return true, false, f.readTable(began)
	}
	wait, delay := o.PollWait(), maxChangeDelay
	if f.failing || o.Passive != nil && o.Passive() {
		wait, delay = 0, 0 // an immediate answer shows whether the store has recovered, or what has changed
	}
	changed, err = f.readChanges(began, wait, delay)
	if err != nil {
		return false, false, err
	}
	f.recordSuccess()
	if changed && o.OnChange != nil {
		o.OnChange()
	}
	return false, changed, nil
}

// readTable reads the whole table.
func (f *Follower) readTable(began time.Duration) error {
	b, err := f.options.Source.Rows(f.options.Name, f.options.Timeout)
	if err != nil {
		return err
	}
	ok, newEra := f.reset(b)
	if !ok {
		return errStaleAnswer
	}
	f.confirm(began, b, 0)
	f.recordSuccess()
	if newEra {
		f.event().Msg("store-restored")
		if f.options.OnRestore != nil {
			f.options.OnRestore()
		}
	}
	return nil
}

// readChanges makes a call for changes, which the store may hold for wait and with it a change for delay, and reports
// whether there were any.
func (f *Follower) readChanges(began, wait, delay time.Duration) (changed bool, err error) {
	after := f.Position()
	b, err := f.options.Source.Changes(f.options.Name, after.Version, wait, f.options.Timeout)
	switch {
	case err != nil:
		return false, err
	case b.Era > after.Era:
		return false, errNewEra
	case b.Era < after.Era:
		return false, errStaleAnswer
	}
	if f.apply(after, b) {
		f.confirm(began, b, delay)
	}
	if wait == 0 {
		f.answered()
	}
	return len(b.Rows) > 0, nil
}

// answered records an answer that the store did not hold: what others have beyond it is asked for again after
// catchUpDelay only.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = 0
}

// maxStaleTime is how long the store's reads may be behind. Later, the version has gone back for good, whatever the reason.
const maxStaleTime = 15 * time.Second

// reset replaces the content of the table with the answer b, unless that is older. It reports whether it did, and whether
// the store has begun a new era since.
func (f *Follower) reset(b Batch) (ok, newEra bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, now := f.position, f.options.Clock()
	if !b.Position.Before(known) {
		f.staleSince = 0
	} else if f.staleSince == 0 {
		f.staleSince = now
	}
	if f.staleSince != 0 {
		if now-f.staleSince < maxStaleTime {
			return false, false
		}
		f.staleSince, f.peerNewest = 0, b.Position
	}
	sameEra := b.Era == known.Era
	switch {
	case known == (Position{}) || sameEra:
		f.options.Table.Reset(b.Rows)
	default:
		newEra = true
		f.hasOffset = false
		f.lastFailure.Store(int64(now))
		f.options.Table.Restore(b.Rows)
	}
	f.position, f.loaded, f.recent = b.Position, true, nil
	if !sameEra {
		f.newestRow = Position{Era: b.Era}
	}
	f.recordNewest(b.Rows)
	if sameEra && known.Version > 0 {
		f.newestRow = b.Position // rows may have been removed since the known version
	}
	return true, newEra
}

// invalidate makes the next call read the whole table.
func (f *Follower) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
}

// awaitRead makes the next call read the whole table, once the read delay has passed.
func (f *Follower) awaitRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return // the delay has begun before
	}
	f.loaded = false
	if f.options.ReadDelay != nil {
		f.readAfter = f.options.Clock() + f.options.ReadDelay()
	}
}

// apply applies all changes after a position to the table, except those that it has already, and reports whether the
// table then is as the answer b says. It applies none if they are of another era, or if the table lacks changes before
// them, as it may when it was read anew while the call was on its way.
func (f *Follower) apply(after Position, b Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.position
	if b.Era != known.Era || known.Before(after) {
		return false
	}
	fresh := b.Rows[:0:0]
	for _, r := range b.Rows {
		if r.Version > known.Version {
			fresh = append(fresh, r)
		}
	}
	f.options.Table.Apply(fresh)
	f.recordNewest(fresh)
	if known.Before(b.Position) {
		f.position = b.Position
	}
	f.keepRecent(known.Version, fresh)
	return !b.Position.Before(known)
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
	f.options.Table.Confirm(Confirmation{At: f.confirmedAt(began, b, delay), StoreTime: store, Era: b.Era})
}

// LocalTime converts a reading of the store's clock in an era to one of this router's clock. The result may
// be too early, never too late. LocalTime returns false if no answer of this era has held the store's clock yet.
func (f *Follower) LocalTime(store time.Duration, era uint64) (at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return store - f.clockOffset, f.hasOffset && era == f.position.Era
}

// recordSuccess records a successful call and logs it if the call before failed.
func (f *Follower) recordSuccess() {
	if f.failing {
		f.event().Msg("store-read-recovered")
	}
	f.failing = false
}

// catchUpDelay is how long another follower may be ahead before this one assumes that its call
// in progress does not return changes.
const catchUpDelay = 250 * time.Millisecond

// CatchUpTo records the position of the newest row that another follower has. If this follower
// stays behind, it reads the changes with a second call beside the one in progress; a passive
// follower polls once. In an era that is new to this follower, it reads the whole table.
func (f *Follower) CatchUpTo(p Position) {
	f.mu.Lock()
	now := f.options.Clock()
	if f.peerNewest.Before(p) {
		f.peerNewest = p
	}
	newEra := f.position.Era < f.peerNewest.Era
	switch {
	case !f.position.Before(f.peerNewest):
		f.behindSince = 0
	case f.behindSince == 0:
		f.behindSince = now
	}
	behind := f.behindSince != 0 && now-f.behindSince > catchUpDelay+f.options.PollDelay()
	passive := f.options.Passive != nil && f.options.Passive()
	f.pollNow = f.pollNow || behind && passive
	f.mu.Unlock()
	if newEra {
		f.awaitRead()
	}
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

// catchUp reads what is missing with a call that the store does not hold.
func (f *Follower) catchUp() {
	defer f.catchingUp.Store(false)
	began := f.options.Clock()
	f.mu.Lock()
	loaded, due := f.loaded, began >= f.readAfter
	f.mu.Unlock()
	var err error
	switch {
	case loaded:
		_, err = f.readChanges(began, 0, 0)
	case due:
		err = f.readTable(began)
	}
	switch {
	case errors.Is(err, errNewEra):
		f.awaitRead()
	case errors.Is(err, ErrHistoryDropped):
		f.invalidate()
	}
	if err != nil {
		f.options.Logger.Debug().Err(err).Str("table", f.options.Name).Msg("catch-up-failed")
		time.Sleep(maxRetryDelay)
	}
}
