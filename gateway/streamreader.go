package gateway

// This file defines streamReader, which reads rows for many callers at once.

import (
	"context"
	"sync"
	"time"

	"bulrushtally/streamversion"
)

// pendingRead is a read that has not begun.
type pendingRead struct {
	done   chan struct{} // closed when the read has ended
	result *streamversion.Snapshot
}

// streamReader reads what the store tells of streams. All that wait for a read share the next one, which begins after they
// asked and at least a period after the one before.
type streamReader struct {
	read   func() (*streamversion.Snapshot, error)
	period func() time.Duration
	asked  chan struct{} // holds one element if pending is set

	mu      sync.Mutex
	pending *pendingRead // nil if nobody waits
	last    *streamversion.Snapshot
}

func newStreamReader(read func() (*streamversion.Snapshot, error), period func() time.Duration) *streamReader {
	return &streamReader{read: read, period: period, asked: make(chan struct{}, 1)}
}

// newest returns the result of the last read that succeeded, or nil.
func (r *streamReader) newest() *streamversion.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// next returns the result of a read that begins after the call, or nil if it fails or the context ends before.
func (r *streamReader) next(ctx context.Context) *streamversion.Snapshot {
	r.mu.Lock()
	p := r.pending
	if p == nil {
		p = &pendingRead{done: make(chan struct{})}
		r.pending = p
		r.asked <- struct{}{}
	}
	r.mu.Unlock()
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
		return nil
	}
}

// run reads whenever somebody asks, until the context ends.
func (r *streamReader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.asked:
		}
		r.serve()
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.period()):
		}
	}
}

// serve reads for all that have asked.
func (r *streamReader) serve() {
	r.mu.Lock()
	p := r.pending
	r.pending = nil
	r.mu.Unlock()
	n, err := r.read()
	if err == nil {
		p.result = n
		r.mu.Lock()
		r.last = n
		r.mu.Unlock()
	}
	close(p.done)
}
