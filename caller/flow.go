package caller

// This file defines flow, one request on its way from the caller to its outcome.

import (
	"context"
	"errors"
	"time"

	"bulrushtally/config"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// flow is one request at an Entry; entry.mu guards the fields below the blank line.
type flow struct {
	entry   *Entry
	request *request.Request
	sink    request.Sink
	ctx     context.Context
	held    *schedule.Held
	began   time.Time
	timer   *time.Timer
	unwatch func() bool

	sent     *request.Request // the copy for the present shard
	attempt  int              // counts the copies
	recall   func()
	admitted bool
	headSent bool             // the caller has part of the answer
	expired  *request.Failure // why it must not be sent again
	returns  int
	ended    bool
}

// watch makes a waiting request end when its time is over or its caller leaves.
func (f *flow) watch(wait time.Duration) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.ended {
		return
	}
	f.timer = time.AfterFunc(wait, func() {
		late := request.Fail(request.CodeQueueTimeout, "waited %v", wait)
		late.RetryAfter = time.Second
		f.expire(late)
	})
	f.unwatch = context.AfterFunc(f.ctx, func() { f.expire(request.Fail(request.CodeCanceled, "caller left")) })
}

// prepare makes the copy that goes to a shard; entry.mu is held.
func (f *flow) prepare(id config.ShardID) {
	c := *f.request
	c.Shard = id
	c.Wait = max(0, f.entry.options.Wait-time.Since(f.began))
	f.sent = &c
	f.attempt++
	f.recall = nil
}

// submit sends the prepared copy, which nobody else does or changes.
func (f *flow) submit(r *request.Request, attempt int) {
	e := f.entry
	recall, err := e.leaders.Submit(f.ctx, r, func(ev request.Event) error { return f.event(attempt, r.Shard, ev) })
	if err != nil {
		f.event(attempt, r.Shard, request.Fail(request.CodeMoved, "%v", err).End(request.NotRun))
		return
	}
	e.mu.Lock()
	if f.attempt == attempt {
		f.recall = recall
	}
	expired := f.expired != nil && !f.admitted
	e.mu.Unlock()
	if expired {
		recall()
	}
}

// expire ends a request that is held here, or asks for it back from a leader.
// One that was admitted goes on.
func (f *flow) expire(why *request.Failure) {
	e := f.entry
	e.mu.Lock()
	if f.ended || f.admitted || f.expired != nil {
		e.mu.Unlock()
		return
	}
	f.expired = why
	if f.held.Shard() != "" {
		recall := f.recall
		e.mu.Unlock()
		if recall != nil {
			recall()
		}
		return
	}
	f.close()
	e.mu.Unlock()
	f.sink(why.End(request.NotRun))
}

// close takes the request out of the entry; entry.mu is held.
func (f *flow) close() {
	f.ended = true
	if d := f.entry.dispatchers[f.request.Service]; d != nil {
		d.Remove(f.held)
	}
	delete(f.entry.flows, f.held)
	if f.timer != nil {
		f.timer.Stop()
		f.unwatch()
	}
}

// errStale ends what a leader still sends of a copy that was given up.
var errStale = errors.New("the request has gone to another leader since")

// event takes in what the leader of a shard says of one copy of the request. What
// comes late, after the copy was given up, is dropped.
func (f *flow) event(attempt int, id config.ShardID, e request.Event) error {
	if !f.current(attempt, e.Kind) {
		f.entry.metrics.Counter("stale_events").Inc(1)
		return errStale
	}
	switch e.Kind {
	case request.EventAdmitted:
		f.onAdmitted(attempt)
	case request.EventEnd:
		f.onEnd(attempt, id, e)
	}
	if e.Hint != nil {
		f.entry.Hint(id, *e.Hint)
	} else if e.Kind == request.EventAdmitted || e.Kind == request.EventEnd {
		f.entry.pump()
	}
	if e.Kind == request.EventEnd {
		return nil
	}
	return f.sink(e)
}

// current reports whether a copy is the one that counts, and notes that the
// caller gets the head of its answer.
func (f *flow) current(attempt int, k request.EventKind) bool {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	if !f.isCurrent(attempt) {
		return false
	}
	f.headSent = f.headSent || k == request.EventHead
	return true
}

// isCurrent is current with entry.mu held.
func (f *flow) isCurrent(attempt int) bool {
	return !f.ended && f.attempt == attempt && f.held.Shard() != ""
}

func (f *flow) onAdmitted(attempt int) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if !f.isCurrent(attempt) {
		return
	}
	f.admitted = true
	if d := e.dispatchers[f.request.Service]; d != nil {
		d.Admitted(f.held)
	}
	e.metrics.Timer("queue_time").Record(time.Since(f.began))
}

// returnPause is how long a shard is passed over that gave a request back for
// want of a leader.
const returnPause = 100 * time.Millisecond

func (f *flow) onEnd(attempt int, id config.ShardID, ev request.Event) {
	e := f.entry
	e.mu.Lock()
	if !f.isCurrent(attempt) {
		e.mu.Unlock()
		return
	}
	if f.sendAgain(&ev) {
		f.returns++
		f.admitted = false
		d := e.dispatchers[f.request.Service]
		d.Returned(f.held)
		if ev.Failure.Code != request.CodeRecalled && ev.Hint == nil {
			d.Pause(id.String(), time.Now().Add(returnPause))
		}
		e.mu.Unlock()
		return
	}
	if f.expired != nil && ev.Outcome == request.NotRun {
		ev.Failure = f.expired
	}
	f.close()
	e.mu.Unlock()
	f.sink(ev)
}

// sendAgain reports whether a request that came back without its answer should
// go to a leader again: it did not run, or may run twice and the caller has
// nothing of the answer yet.
func (f *flow) sendAgain(ev *request.Event) bool {
	if ev.Failure == nil || f.expired != nil || f.headSent || f.ctx.Err() != nil || f.entry.stopping {
		return false
	}
	if f.returns >= maxReturns {
		return false
	}
	switch ev.Failure.Code {
	case request.CodeRecalled, request.CodeMoved, request.CodeNoBackend:
		return ev.Outcome == request.NotRun || f.request.Repeatable
	case request.CodeLinkLost:
		return f.request.Repeatable
	}
	return false
}
