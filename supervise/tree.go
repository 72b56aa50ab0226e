package supervise

// This file defines Tree, a node of the supervisor tree, and Task, the handle of one of
// its tasks.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Backoff between two starts of a failing task. It doubles from minBackoff to maxBackoff;
// a random time of up to the same length is added to each.
const (
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 5 * time.Second
	backoffResetAfter = 30 * time.Second // a task that ran for longer restarts after minBackoff
)

// Tree runs tasks and has subtrees. The zero value is not usable; use New or Subtree.
type Tree struct {
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	logger zerolog.Logger
	tasks  conc.WaitGroup
	done   chan struct{}

	mu       sync.Mutex
	subtrees []*Tree
	restarts int
}

// New returns the root of a tree. Its name is logged under "tree".
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

// Subtree returns a new tree that Stop stops before this tree's own tasks.
func (t *Tree) Subtree(name string) *Tree {
	subtree := newTree(t.ctx, name, t.logger)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subtrees = append(t.subtrees, subtree)
	return subtree
}

// Task is the handle of a task that a Tree runs.
type Task struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Stop cancels the task's context. It does not wait for the task; see Done.
func (t *Task) Stop() { t.cancel() }

// Done returns a channel that is closed when the task has ended and will not be restarted.
func (t *Task) Done() <-chan struct{} { return t.done }

// Go starts a task and returns its handle. The task calls run, and calls it again after a
// panic or an error, until run returns nil or the task or the tree is stopped. The name is
// logged with each failure under "part".
func (t *Tree) Go(name string, run func(ctx context.Context) error) *Task {
	ctx, cancel := context.WithCancel(t.ctx)
	task := &Task{cancel: cancel, done: make(chan struct{})}
	t.tasks.Go(func() {
		defer close(task.done)
		defer cancel()
		t.runWithRestarts(ctx, name, run)
	})
	return task
}

func (t *Tree) runWithRestarts(ctx context.Context, name string, run func(ctx context.Context) error) {
	backoff := minBackoff
	for {
		started := time.Now()
		var err error
		if recovered := panics.Try(func() { err = run(ctx) }); recovered != nil {
			t.logger.Error().Str("part", name).Str("panic", recovered.String()).Msg("task-panicked")
		} else if err != nil {
			t.logger.Error().Str("part", name).Err(err).Msg("task-failed")
		} else {
			return
		}
		t.mu.Lock()
		t.restarts++
		t.mu.Unlock()
		if time.Since(started) > backoffResetAfter {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff + rand.N(backoff)):
		}
		backoff = min(maxBackoff, backoff*2)
	}
}

// Restarts returns how often this tree's own tasks panicked or returned an error, and so
// were restarted unless they had been stopped.
func (t *Tree) Restarts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restarts
}

// Done returns a channel that is closed when Stop has stopped everything in the tree.
func (t *Tree) Done() <-chan struct{} { return t.done }

// Stop stops the subtrees one after another, the newest first, then the tree's own tasks
// all at once. It returns when all have ended.
func (t *Tree) Stop() {
	t.mu.Lock()
	subtrees := t.subtrees
	t.mu.Unlock()
	for i := len(subtrees) - 1; i >= 0; i-- {
		subtrees[i].Stop()
	}
	t.cancel()
	t.tasks.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
