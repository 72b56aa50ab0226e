package supervise

// This file defines Tree, one node of the supervisor tree, and Part, a leaf.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Backoff between two starts of a failing part.
const (
	firstPause = 50 * time.Millisecond
	longPause  = 5 * time.Second
	healthy    = 30 * time.Second // a part that ran for so long starts again at the first pause
)

// Tree runs parts and subtrees; its zero value is not usable, see New.
type Tree struct {
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	logger zerolog.Logger
	parts  conc.WaitGroup
	done   chan struct{}

	mu       sync.Mutex
	children []*Tree
	restarts int
}

// New returns the root of a tree.
func New(name string, logger zerolog.Logger) *Tree {
	return newTree(context.Background(), name, logger)
}

func newTree(parent context.Context, name string, logger zerolog.Logger) *Tree {
	ctx, cancel := context.WithCancel(parent)
	return &Tree{
		name: name, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		logger: logger.With().Str("tree", name).Logger(),
	}
}

// Subtree returns a new child that is stopped before this tree's own parts.
func (t *Tree) Subtree(name string) *Tree {
	c := newTree(t.ctx, name, t.logger)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.children = append(t.children, c)
	return c
}

// Part is a running function of a Tree.
type Part struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Stop ends the part's context.
func (p *Part) Stop() { p.cancel() }

// Done returns a channel that is closed when the part has ended for good.
func (p *Part) Done() <-chan struct{} { return p.done }

// Go runs a function until it returns nil or the tree stops.
func (t *Tree) Go(name string, run func(ctx context.Context) error) *Part {
	ctx, cancel := context.WithCancel(t.ctx)
	p := &Part{cancel: cancel, done: make(chan struct{})}
	t.parts.Go(func() {
		defer close(p.done)
		defer cancel()
		t.keep(ctx, name, run)
	})
	return p
}

func (t *Tree) keep(ctx context.Context, name string, run func(ctx context.Context) error) {
	pause := firstPause
	for {
		began := time.Now()
		var err error
		if r := panics.Try(func() { err = run(ctx) }); r != nil {
			t.logger.Error().Str("part", name).Str("panic", r.String()).Msg("part-panicked")
		} else if err != nil {
			t.logger.Error().Str("part", name).Err(err).Msg("part-failed")
		} else {
			return
		}
		t.mu.Lock()
		t.restarts++
		t.mu.Unlock()
		if time.Since(began) > healthy {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause + rand.N(pause)):
		}
		pause = min(longPause, pause*2)
	}
}

// Restarts returns how often a part of this tree was started again.
func (t *Tree) Restarts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restarts
}

// Done returns a channel that is closed when Stop has returned.
func (t *Tree) Done() <-chan struct{} { return t.done }

// Stop stops the subtrees in the reverse order of their making, then the parts,
// and returns when all have ended.
func (t *Tree) Stop() {
	t.mu.Lock()
	children := t.children
	t.mu.Unlock()
	for i := len(children) - 1; i >= 0; i-- {
		children[i].Stop()
	}
	t.cancel()
	t.parts.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
