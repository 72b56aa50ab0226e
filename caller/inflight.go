package caller

// This file defines inFlightRequest, the state of one request from Enqueue to its EventEnd.

import (
	"context"
	"errors"
	"time"

	"bulrushtally/config"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// inFlightRequest is a request at an EntryRouter that has not ended. Each time it is sent to
// a leader counts as a submission; only events of the latest one are forwarded to the sink.
//
// entry.mu guards waitTimer, stopContextWatch and the fields below the blank line. Methods
// whose name ends in Locked must be called with entry.mu held.
type inFlightRequest struct {
	entry            *EntryRouter
	request          *request.Request
	sink             request.Sink
	ctx              context.Context
	pending          *schedule.PendingRequest
	enqueuedAt       time.Time
	waitTimer        *time.Timer
	stopContextWatch func() bool

	sentRequest   *request.Request // copy of request with the shard of the latest submission
	submission    int              // number of the latest submission, 0 before the first
	recall        func()           // recalls the latest submission; nil until Submit has returned
	admitted      bool
	headForwarded bool             // the caller has received the head of the response
	cancelReason  *request.Failure // failure with which it ends if it has not been admitted; nil if not canceled
	resubmissions int              // how often leaders returned it and it was queued again
	ended         bool
}

// watchCancellation cancels the request if it is still waiting after maxWait or when its
// caller disconnects.
func (f *inFlightRequest) watchCancellation(maxWait time.Duration) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.ended {
		return
	}
	f.waitTimer = time.AfterFunc(maxWait, func() {
		timeout := request.NewFailure(request.CodeQueueTimeout, "waited %v", maxWait)
		timeout.RetryAfter = time.Second
		f.cancelWaiting(timeout)
	})
	f.stopContextWatch = context.AfterFunc(f.ctx, func() { f.cancelWaiting(request.NewFailure(request.CodeCanceled, "caller left")) })
}

// prepareLocked begins a new submission to a shard.
func (f *inFlightRequest) prepareLocked(id config.ShardID) {
	c := *f.request
	c.Shard = id
	c.MaxWait = max(0, f.entry.options.MaxWait-time.Since(f.enqueuedAt))
	f.sentRequest = &c
	f.submission++
	f.recall = nil
}

// submit sends r, the copy that prepareLocked made for the given submission. It must be
// called once for each submission.
func (f *inFlightRequest) submit(r *request.Request, submission int) {
	e := f.entry
	recall, err := e.leaders.Submit(f.ctx, r, func(ev request.Event) error { return f.handleEvent(submission, r.Shard, ev) })
	if err != nil {
		f.handleEvent(submission, r.Shard, request.NewFailure(request.CodeLeaderChanged, "%v", err).EndEvent(request.OutcomeNotRun))
		return
	}
	e.mu.Lock()
	if f.submission == submission {
		f.recall = recall
	}
	mustRecall := f.cancelReason != nil && !f.admitted
	e.mu.Unlock()
	if mustRecall {
		recall()
	}
}

// cancelWaiting ends the request with a failure if it is queued here, or recalls it if it
// waits at a leader. An admitted request continues.
func (f *inFlightRequest) cancelWaiting(reason *request.Failure) {
	e := f.entry
	e.mu.Lock()
	if f.ended || f.admitted || f.cancelReason != nil {
		e.mu.Unlock()
		return
	}
	f.cancelReason = reason
	if f.pending.Shard() != "" {
		recall := f.recall
		e.mu.Unlock()
		if recall != nil {
			recall()
		}
		return
	}
	f.removeLocked()
	e.mu.Unlock()
	f.sink(reason.EndEvent(request.OutcomeNotRun))
}

// removeLocked removes the request, which has ended, from its EntryRouter.
func (f *inFlightRequest) removeLocked() {
	f.ended = true
	if d := f.entry.dispatchers[f.request.Service]; d != nil {
		d.Remove(f.pending)
	}
	delete(f.entry.inFlight, f.pending)
	if f.waitTimer != nil {
		f.waitTimer.Stop()
		f.stopContextWatch()
	}
}

// errStaleSubmission makes a leader stop sending events of an earlier submission.
var errStaleSubmission = errors.New("the request has gone to another leader since")

// handleEvent processes an event that a shard's leader sends for a submission. It drops the
// event and returns errStaleSubmission if the submission is not the current one. Otherwise
// it returns the sink's error, or nil for EventEnd.
func (f *inFlightRequest) handleEvent(submission int, id config.ShardID, e request.Event) error {
	if !f.acceptEvent(submission, e.Kind) {
		f.entry.metrics.Counter("stale_events").Inc(1)
		return errStaleSubmission
	}
	switch e.Kind {
	case request.EventAdmitted:
		f.handleAdmitted(submission)
	case request.EventEnd:
		f.handleEnd(submission, id, e)
	}
	if e.Hint != nil {
		f.entry.UpdateLoad(id, *e.Hint)
	} else if e.Kind == request.EventAdmitted || e.Kind == request.EventEnd {
		f.entry.dispatch()
	}
	if e.Kind == request.EventEnd {
		return nil
	}
	return f.sink(e)
}

// acceptEvent reports whether a submission is the current one. If it is and the event is
// EventHead, it records that the caller receives the head of the response.
func (f *inFlightRequest) acceptEvent(submission int, k request.EventKind) bool {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	if !f.isCurrentLocked(submission) {
		return false
	}
	f.headForwarded = f.headForwarded || k == request.EventHead
	return true
}

// isCurrentLocked reports whether the request is at a leader by the given submission.
func (f *inFlightRequest) isCurrentLocked(submission int) bool {
	return !f.ended && f.submission == submission && f.pending.Shard() != ""
}

// handleAdmitted records that the leader admitted the request, and the time it waited.
func (f *inFlightRequest) handleAdmitted(submission int) {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if !f.isCurrentLocked(submission) {
		return
	}
	f.admitted = true
	if d := e.dispatchers[f.request.Service]; d != nil {
		d.MarkAdmitted(f.pending)
	}
	e.metrics.Timer("queue_time").Record(time.Since(f.enqueuedAt))
}

// unavailableShardPause is how long no requests are sent to a shard after it returned one
// without a load hint, for example because it has no leader.
const unavailableShardPause = 100 * time.Millisecond

// handleEnd queues the request again if it may be resubmitted. Otherwise it removes the
// request and forwards EventEnd, with the reason for cancellation as the failure if the
// request was canceled and did not run.
func (f *inFlightRequest) handleEnd(submission int, id config.ShardID, ev request.Event) {
	e := f.entry
	e.mu.Lock()
	if !f.isCurrentLocked(submission) {
		e.mu.Unlock()
		return
	}
	if f.shouldResubmitLocked(&ev) {
		f.resubmissions++
		f.admitted = false
		d := e.dispatchers[f.request.Service]
		d.RequeueReturned(f.pending)
		if ev.Failure.Code != request.CodeRecalled && ev.Hint == nil {
			d.PauseShard(id.String(), time.Now().Add(unavailableShardPause))
		}
		e.mu.Unlock()
		return
	}
	if f.cancelReason != nil && ev.Outcome == request.OutcomeNotRun {
		ev.Failure = f.cancelReason
	}
	f.removeLocked()
	e.mu.Unlock()
	f.sink(ev)
}

// shouldResubmitLocked reports whether a request that ended without a response should be
// sent to a leader again: it did not run, or it may run more than once and the caller has
// received no part of a response.
func (f *inFlightRequest) shouldResubmitLocked(ev *request.Event) bool {
	if ev.Failure == nil || f.cancelReason != nil || f.headForwarded || f.ctx.Err() != nil || f.entry.stopping {
		return false
	}
	if f.resubmissions >= maxResubmissions {
		return false
	}
	switch ev.Failure.Code {
	case request.CodeRecalled, request.CodeLeaderChanged, request.CodeNoBackend:
		return ev.Outcome == request.OutcomeNotRun || f.request.Repeatable
	case request.CodeLinkLost:
		return f.request.Repeatable
	}
	return false
}
