package follow

// This file defines Follower and the Source that it reads.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Row is one row of a table.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version uint64
	Gone    bool
}

// Batch is rows as of a version of the store.
type Batch struct {
	Rows    []Row
	Version uint64
	Now     time.Duration // reading of the store's steady clock when it answered
}

// ErrHistory says that the store dropped the changes after a version.
var ErrHistory = errors.New("the store has dropped the history; read the table again")

// Source is a store of tables.
type Source interface {
	// Rows returns all rows of a table.
	Rows(table string, timeout time.Duration) (Batch, error)
	// Changes waits for rows that changed after a version, and returns ErrHistory if they are dropped.
	Changes(table string, after uint64, wait, timeout time.Duration) (Batch, error)
}

// Table takes in the rows of a table. Reset and Change are called one after another.
type Table interface {
	// Reset takes in all rows; those that are not among them are gone.
	Reset(rows []Row)
	// Change takes in rows that changed, in order.
	Change(rows []Row)
	// Proven takes in that the table was as known at a reading of the clock, and at
	// one of the store's clock, which is 0 if the store tells none.
	Proven(at, store time.Duration)
}

// Options describe a Follower.
type Options struct {
	Name    string
	Source  Source
	Table   Table
	Wait    func() time.Duration // longest time that the store holds a call for changes
	Timeout time.Duration        // beyond that, without an answer
	Pause   func() time.Duration // after changes, before the next call, so that more of them come with it
	Rests   func() bool          // others ask the store and tell this follower; nil if it asks itself
	Changed func()               // called after changes, if not nil
	Clock   func() time.Duration
	Logger  zerolog.Logger
}

// Follower follows one table; Nudge may be called from many goroutines.
//
// Invariant: the table takes in changes in the order of the store's versions, each once.
type Follower struct {
	options Options
	failing bool
	failed  atomic.Int64  // clock reading of the last failure
	version atomic.Uint64 // up to which the table is known
	newest  atomic.Uint64 // version of the newest row that was taken in
	done    chan struct{}

	mu      sync.Mutex // held while the table takes rows in
	known   bool
	spans   []span        // of the last answers, to be told
	heard   time.Duration // clock reading at the last news
	asked   time.Duration // clock reading at the last call
	wanted  bool          // others are ahead: ask now
	wake    chan struct{}
	ahead   uint64        // newest row that another follower has
	behind  time.Duration // clock reading since when this one lacks it, 0 if it does not
	offset  time.Duration // the store's clock is ahead of this one by no more
	offsets bool          // offset is known
	nudging atomic.Bool
}

// New returns a Follower that knows nothing.
func New(o Options) *Follower {
	f := &Follower{options: o, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	f.failed.Store(int64(-time.Hour))
	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// FailedAt returns the clock reading at the last failed call.
func (f *Follower) FailedAt() time.Duration { return time.Duration(f.failed.Load()) }

// Version returns the version of the store up to which the table is known.
func (f *Follower) Version() uint64 { return f.version.Load() }

// Newest returns the version of the newest row that was taken in.
func (f *Follower) Newest() uint64 { return f.newest.Load() }

func (f *Follower) see(rows []Row) {
	for _, r := range rows {
		f.newest.Store(max(f.newest.Load(), r.Version))
	}
}

// Pauses after a failed call.
const (
	firstPause = 40 * time.Millisecond
	longPause  = 400 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	defer close(f.done)
	pause := firstPause
	for ctx.Err() == nil {
		if f.resting() {
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(restLook):
			}
			continue
		}
		changed, err := f.step()
		wait := time.Duration(0)
		switch {
		case err == nil:
			pause = firstPause
			if changed {
				wait = f.options.Pause()
			}
		case errors.Is(err, ErrHistory):
			f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.Version()).Msg("history-dropped")
			f.forget()
		default:
			f.note(err)
			wait = pause/2 + rand.N(pause)
			pause = min(longPause, 2*pause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

func (f *Follower) note(err error) {
	f.failed.Store(int64(f.options.Clock()))
	if !f.failing {
		f.options.Logger.Warn().Err(err).Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-lost")
	}
	f.failing = true
}

// step makes one call and reports whether it brought changes.
func (f *Follower) step() (changed bool, err error) {
	o := &f.options
	began := o.Clock()
	f.mu.Lock()
	known := f.known
	f.asked, f.wanted = began, false
	f.mu.Unlock()
	if !known {
		b, err := o.Source.Rows(o.Name, o.Timeout)
		if err != nil {
			return false, err
		}
		f.reset(b)
		f.prove(began, b, 0)
		f.regained()
		return true, nil
	}
	wait, deaf := o.Wait(), deafTime
	if f.failing || o.Rests != nil && o.Rests() {
		wait, deaf = 0, 0 // learn at once whether the store is back, or what is new
	}
	b, err := o.Source.Changes(o.Name, f.Version(), wait, o.Timeout)
	if err != nil {
		return false, err
	}
	f.take(b)
	f.prove(began, b, deaf)
	f.regained()
	if len(b.Rows) > 0 && o.Changed != nil {
		o.Changed()
	}
	return len(b.Rows) > 0, nil
}

func (f *Follower) reset(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.Table.Reset(b.Rows)
	f.see(b.Rows)
	f.version.Store(b.Version)
	f.known, f.spans = true, nil
}

// forget makes the next call read the whole table.
func (f *Follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = false
}

// take takes in changes, but for those that came with an earlier call.
func (f *Follower) take(b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.version.Load()
	fresh := b.Rows[:0:0]
	for _, r := range b.Rows {
		if r.Version > known {
			fresh = append(fresh, r)
		}
	}
	f.options.Table.Change(fresh)
	f.see(fresh)
	f.version.Store(max(known, b.Version))
	f.keep(known, fresh)
}

// deafTime is for how long a call for changes may hear nothing while changes are made.
const deafTime = 1200 * time.Millisecond

// provenAt returns a clock reading at which the table was as a call's answer says: the
// call's begin, or later by the store's clock. The store read its clock after the call
// began, so its clock is ahead by no more than the difference, and the least
// difference of all calls bounds every answer's age.
func (f *Follower) provenAt(began time.Duration, b Batch, deaf time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Now == 0 {
		return began
	}
	if ahead := b.Now - began; !f.offsets || ahead < f.offset {
		f.offset, f.offsets = ahead, true
	}
	return max(began, b.Now-f.offset-deaf)
}

func (f *Follower) prove(began time.Duration, b Batch, deaf time.Duration) {
	store := time.Duration(0)
	if b.Now > deaf {
		store = b.Now - deaf
	}
	f.options.Table.Proven(f.provenAt(began, b, deaf), store)
}

// Local returns the reading of this router's clock, or an earlier one, at a reading of
// the store's clock, and false if no answer has shown that clock yet.
func (f *Follower) Local(store time.Duration) (at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return store - f.offset, f.offsets
}

func (f *Follower) regained() {
	if f.failing {
		f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.Version()).Msg("store-regained")
	}
	f.failing = false
}

// nudgeAfter is how long another follower may be ahead before a call in progress is
// taken to hear nothing.
const nudgeAfter = 250 * time.Millisecond

// Nudge takes in the version of the newest row that another follower has. If this one
// stays behind, it asks the store beside the call in progress.
func (f *Follower) Nudge(version uint64) {
	f.mu.Lock()
	now := f.options.Clock()
	f.ahead = max(f.ahead, version)
	switch {
	case f.ahead <= f.version.Load():
		f.behind = 0
	case f.behind == 0:
		f.behind = now
	}
	late := f.behind != 0 && now-f.behind > nudgeAfter+f.options.Pause()
	rests := f.options.Rests != nil && f.options.Rests()
	f.wanted = f.wanted || late && rests
	f.mu.Unlock()
	if late && rests {
		select {
		case f.wake <- struct{}{}:
		default: // it is awake
		}
		return
	}
	if !late || f.nudging.Swap(true) {
		return
	}
	go f.catchUp()
}

func (f *Follower) catchUp() {
	defer f.nudging.Store(false)
	o := &f.options
	began := o.Clock()
	b, err := o.Source.Changes(o.Name, f.Version(), 0, o.Timeout)
	if err != nil {
		o.Logger.Debug().Err(err).Str("table", o.Name).Msg("catch-up-failed")
		time.Sleep(longPause)
		return
	}
	f.take(b)
	f.prove(began, b, 0)
}
