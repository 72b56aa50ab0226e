package follow

// This file defines Follower and the Source that it reads.

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Gone    bool
}

// Batch is rows as of a version of the store.
type Batch struct {
	Rows    []Row
	Version uint64
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

// Table takes in the rows of a table. Its methods are called one after another.
type Table interface {
	// Reset takes in all rows; those that are not among them are gone.
	Reset(rows []Row)
	// Change takes in rows that changed, in order.
	Change(rows []Row)
	// Proven takes in that the table was as known at a reading of the clock.
	Proven(at time.Duration)
}

// Options describe a Follower.
type Options struct {
	Name    string
	Source  Source
	Table   Table
	Wait    time.Duration // longest time that the store holds a call for changes
	Timeout time.Duration // beyond that, without an answer
	Clock   func() time.Duration
	Logger  zerolog.Logger
}

// Follower follows one table.
type Follower struct {
	options Options
	version uint64
	known   bool
	failing bool
	failed  atomic.Int64 // clock reading of the last failure
	done    chan struct{}
}

// New returns a Follower that knows nothing.
func New(o Options) *Follower {
	f := &Follower{options: o, done: make(chan struct{})}
	f.failed.Store(int64(-time.Hour))
	return f
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// FailedAt returns the clock reading at the last failed call.
func (f *Follower) FailedAt() time.Duration { return time.Duration(f.failed.Load()) }

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
		err := f.step()
		switch {
		case err == nil:
			pause = firstPause
			continue
		case errors.Is(err, ErrHistory):
			f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.version).Msg("history-dropped")
			f.known = false
			continue
		}
		f.note(err)
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(longPause, 2*pause)
	}
	return nil
}

func (f *Follower) note(err error) {
	f.failed.Store(int64(f.options.Clock()))
	if !f.failing {
		f.options.Logger.Warn().Err(err).Str("table", f.options.Name).Uint64("version", f.version).Msg("store-lost")
	}
	f.failing = true
}

func (f *Follower) step() error {
	o := &f.options
	began := o.Clock()
	if !f.known {
		b, err := o.Source.Rows(o.Name, o.Timeout)
		if err != nil {
			return err
		}
		o.Table.Reset(b.Rows)
		f.version, f.known = b.Version, true
		f.regained(began)
		return nil
	}
	wait := o.Wait
	if f.failing {
		wait = 0 // learn at once whether the store is back
	}
	b, err := o.Source.Changes(o.Name, f.version, wait, o.Timeout)
	if err != nil {
		return err
	}
	o.Table.Change(b.Rows)
	f.version = max(f.version, b.Version)
	f.regained(began)
	return nil
}

func (f *Follower) regained(began time.Duration) {
	f.options.Table.Proven(began)
	if f.failing {
		f.options.Logger.Info().Str("table", f.options.Name).Uint64("version", f.version).Msg("store-regained")
	}
	f.failing = false
}
