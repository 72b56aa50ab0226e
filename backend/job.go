package backend

// This file defines job, one request's way through a Leader: its attempts,
// when one may follow another, and the outcome that the caller is told.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"bulrushtally/request"
	"bulrushtally/schedule"
)

// Bounds of a job.
const (
	maxAttempts  = 3
	maxResumes   = 3
	retryPause   = 50 * time.Millisecond // doubles with each attempt
	suspectPause = 2 * time.Second       // before a request is tried again that may have killed a server
	copyBuffer   = 32 << 10
)

// job is one request at a Leader; after Submit only its running goroutine uses it.
type job struct {
	leader  *Leader
	request *request.Request
	sink    request.Sink
	ctx     context.Context
	ticket  *schedule.Ticket
	unwatch func() bool
	timer   *time.Timer

	attempts int
	sent     bool // some attempt may have reached a backend server
	headSent bool // the caller has the answer's head
	cost     cost
	events   int // server-sent events passed on
	started  time.Time
}

func (j *job) stopWatching() {
	j.unwatch()
	j.timer.Stop()
}

// outcomeSoFar returns the truth about a job that will not be tried again.
func (j *job) outcomeSoFar() request.Outcome {
	switch {
	case j.headSent:
		return request.Ran
	case j.sent:
		return request.Unknown
	}
	return request.NotRun
}

// run makes one attempt at a backend server and then ends the job or queues it again.
func (j *job) run(backend string, h request.Hint) {
	l := j.leader
	j.attempts++
	j.started = time.Now()
	err := j.sink(request.Event{Kind: request.EventAdmitted, Backend: backend, Hint: &h})
	if err != nil || j.ctx.Err() != nil {
		j.finish(schedule.EndedCanceled)
		j.end(request.Fail(request.CodeCanceled, "caller left before the request was sent"))
		return
	}
	l.mu.Lock()
	if j.attempts == 1 {
		l.retries.First()
	}
	address, boot := l.addresses[backend], l.boots[backend]
	l.mu.Unlock()
	a := j.attempt(address)
	f, ending := j.try(a)
	if f != nil && ending != schedule.EndedCanceled && ending != schedule.EndedRefused {
		ending = j.examine(backend, address, boot, ending)
	}
	if ending == schedule.EndedCanceled {
		j.end(f)
		j.abandon(a)
		j.finish(ending)
		return
	}
	if f != nil && ending != schedule.EndedRefused && ending != schedule.EndedDead {
		j.abandon(a)
	}
	j.finish(ending)
	l.logger.Debug().Str("request", j.request.Number).Str("customer", j.request.Customer).
		Str("backend", backend).Int("attempt", j.attempts).Bool("ok", f == nil).Msg("attempt-ended")
	if f != nil && j.retry(f, backend, ending) {
		return
	}
	j.end(f)
}

// abandon orders the engine to stop working on an attempt that nobody waits for.
// The slot is freed after its answer: an engine that still works on requests that
// were given up, and gets new ones, has more than it bears.
func (j *job) abandon(a Attempt) {
	l := j.leader
	if !l.model || !j.sent {
		return
	}
	if err := l.client.Cancel(a.Address, a.Number, l.attemptNumber()); err != nil {
		l.logger.Debug().Err(err).Str("request", j.request.Number).Msg("cancel-failed")
	}
}

func (j *job) attempt(address string) Attempt {
	l := j.leader
	return Attempt{
		Number: l.attemptNumber(), Address: address,
		Method: j.request.Method, Path: j.request.Path, Headers: j.request.Headers, Body: j.request.Body,
	}
}

// finish tells the scheduler that the attempt is over.
func (j *job) finish(e schedule.Ending) {
	l := j.leader
	now := time.Now()
	if !l.model {
		j.cost.millis += float64(now.Sub(j.started).Milliseconds())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	total := j.cost.total(l.model)
	if e == schedule.EndedRefused || !j.sent {
		total = 0
	}
	l.scheduler.Finish(now, j.ticket, total, e)
	l.pump(now)
}

// end tells the caller the outcome.
func (j *job) end(f *request.Failure) {
	l := j.leader
	now := time.Now()
	l.mu.Lock()
	delete(l.jobs, j.ticket)
	h := l.hint(now)
	l.mu.Unlock()
	e := request.Event{Kind: request.EventEnd, Outcome: request.Ran, Hint: &h}
	if f != nil {
		e.Outcome, e.Failure = j.outcomeSoFar(), f
	} else if j.ticket.Suspect {
		l.tracker.Cleared(j.ticket.Digest)
	}
	l.metrics.Counter("requests_ended").Inc(1)
	j.sink(e)
}

// retry queues the job again if that is safe and the budget allows it.
func (j *job) retry(f *request.Failure, backend string, e schedule.Ending) bool {
	safe := !j.headSent && (!j.sent || j.request.Repeatable)
	if !safe || e == schedule.EndedCanceled || j.attempts >= maxAttempts || j.ctx.Err() != nil {
		return false
	}
	l := j.leader
	l.mu.Lock()
	allowed := l.retries.Take()
	l.mu.Unlock()
	if !allowed {
		l.metrics.Counter("retries_denied").Inc(1)
		return false
	}
	pause := retryPause << j.attempts
	switch l.tracker.Verdict(j.ticket.Digest) {
	case schedule.Refused:
		return false
	case schedule.Suspect:
		j.ticket.Suspect = true
		pause = suspectPause
	}
	l.metrics.Counter("retries").Inc(1)
	l.logger.Info().Str("request", j.request.Number).Str("customer", j.request.Customer).
		Str("backend", backend).Err(f).Dur("pause", pause).Msg("retry")
	j.ticket.Avoid = backend
	time.AfterFunc(pause, j.requeue)
	return true
}

func (j *job) requeue() {
	l := j.leader
	l.mu.Lock()
	if l.stopping {
		delete(l.jobs, j.ticket)
		l.mu.Unlock()
		l.endWaiting(j, request.Fail(request.CodeMoved, "shard %s has a new leader", l.id), request.Hint{})
		return
	}
	now := time.Now()
	l.scheduler.Requeue(now, j.ticket)
	l.watchQueue(j)
	l.pump(now)
	l.mu.Unlock()
}

// try makes one attempt and passes its answer on.
func (j *job) try(a Attempt) (*request.Failure, schedule.Ending) {
	l := j.leader
	r, err := l.client.Do(j.ctx, a)
	if err != nil {
		var ae *AttemptError
		if !errors.As(err, &ae) || ae.Fault != FaultNotSent {
			j.sent = true
		}
		if r = j.rescue(a, err); r == nil {
			return j.attemptFailed(a, err)
		}
	}
	defer r.Close()
	if l.model && (r.Status == 429 || r.Status == 503) {
		return request.Fail(request.CodeRefused, "status %d from %s", r.Status, a.Address), schedule.EndedRefused
	}
	j.sent = true
	if j.request.Stream && r.Status == 200 {
		return j.passStream(a, r)
	}
	return j.passBody(a, r)
}

// rescue opens the stream of an attempt whose answer did not arrive although the
// engine may work on it. It costs no second run, so it needs no retry budget.
func (j *job) rescue(a Attempt, err error) *Response {
	var ae *AttemptError
	if !j.leader.model || !j.request.Stream || !errors.As(err, &ae) || ae.Fault == FaultNotSent || j.ctx.Err() != nil {
		return nil
	}
	r, err := j.resume(a)
	if err != nil {
		return nil
	}
	j.leader.metrics.Counter("streams_resumed").Inc(1)
	return r
}

// attemptFailed turns an error into what the caller and the scheduler are told.
func (j *job) attemptFailed(a Attempt, err error) (*request.Failure, schedule.Ending) {
	l := j.leader
	if j.ctx.Err() != nil {
		return request.Fail(request.CodeCanceled, "caller left"), schedule.EndedCanceled
	}
	var ae *AttemptError
	if !errors.As(err, &ae) {
		return request.Fail(request.CodeBroken, "%v", err), schedule.EndedFailed
	}
	switch ae.Fault {
	case FaultNotSent:
		return request.Fail(request.CodeNoBackend, "%v", err), schedule.EndedDead
	case FaultSilent:
		return request.Fail(request.CodeSilent, "%v", err), schedule.EndedFailed
	case FaultCrossed:
		l.metrics.Counter("crossed_answers").Inc(1)
		return request.Fail(request.CodeCrossed, "%v", err), schedule.EndedFailed
	}
	return request.Fail(request.CodeBroken, "%v", err), schedule.EndedFailed
}

// examine finds out whether a failed attempt's backend server died, which makes the request a suspect.
func (j *job) examine(backend, address, boot string, e schedule.Ending) schedule.Ending {
	l := j.leader
	if e == schedule.EndedDead {
		return e
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	up := l.check(ctx, backend, address)
	l.mu.Lock()
	died := !up || l.boots[backend] != boot
	l.mu.Unlock()
	if !died {
		return e
	}
	l.tracker.Died(j.ticket.Digest, j.request.Customer, j.request.Number)
	if up {
		return schedule.EndedFailed
	}
	return schedule.EndedDead
}

// passBody copies an answer that is not a stream of events.
func (j *job) passBody(a Attempt, r *Response) (*request.Failure, schedule.Ending) {
	tail := &tailBuffer{}
	buf := make([]byte, copyBuffer)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if j.leader.model {
				tail.write(buf[:n])
			}
			if f := j.pass(r, bytes.Clone(buf[:n])); f != nil {
				return f, schedule.EndedCanceled
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return j.attemptFailed(a, BodyError(a.Address, err))
		}
	}
	j.countUsage(tail.data)
	if f := j.pass(r, nil); f != nil {
		return f, schedule.EndedCanceled
	}
	return nil, schedule.EndedWell
}

// pass sends a part of the answer to the caller, the head first.
func (j *job) pass(r *Response, data []byte) *request.Failure {
	if !j.headSent {
		j.headSent = true
		if err := j.sink(request.Event{Kind: request.EventHead, Status: r.Status, Headers: r.Headers}); err != nil {
			return request.Fail(request.CodeCanceled, "%v", err)
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := j.sink(request.Event{Kind: request.EventData, Data: data}); err != nil {
		return request.Fail(request.CodeCanceled, "%v", err)
	}
	return nil
}

// passStream passes on server-sent events, and resumes the stream at the next
// event over a new connection when the first one breaks or goes silent.
func (j *job) passStream(a Attempt, r *Response) (*request.Failure, schedule.Ending) {
	l := j.leader
	for resumes := 0; ; resumes++ {
		err := j.passEvents(r)
		if err == nil {
			return nil, schedule.EndedWell
		}
		var f *request.Failure
		if errors.As(err, &f) {
			return f, schedule.EndedCanceled
		}
		failure, ending := j.attemptFailed(a, BodyError(a.Address, err))
		if ending == schedule.EndedCanceled || resumes >= maxResumes {
			return failure, ending
		}
		l.metrics.Counter("streams_resumed").Inc(1)
		next, rerr := j.resume(a)
		if rerr != nil {
			return failure, ending
		}
		defer next.Close()
		r = next
	}
}

// resume opens the rest of a stream, after the events already passed on.
func (j *job) resume(a Attempt) (*Response, error) {
	l := j.leader
	r, err := l.client.Do(j.ctx, Attempt{
		Number: l.attemptNumber(), Address: a.Address, Method: "GET",
		Path: "/v1/streams/" + a.Number + "?from=" + strconv.Itoa(j.events),
	})
	if err != nil {
		return nil, err
	}
	if r.Status != 200 {
		r.Close()
		return nil, fmt.Errorf("status %d", r.Status)
	}
	return r, nil
}

// passEvents passes on whole events until the end of the stream. A *request.Failure
// means that the caller left, any other error that the connection failed.
func (j *job) passEvents(r *Response) error {
	l := j.leader
	for {
		event, err := readEvent(r.Body)
		if err == io.EOF {
			return io.ErrUnexpectedEOF // a whole stream says so itself
		}
		if err != nil {
			return err
		}
		if bytes.HasPrefix(event, []byte("data:")) {
			j.events++
			j.countEvent(event)
		}
		if f := j.pass(r, event); f != nil {
			return f
		}
		l.mu.Lock()
		l.scheduler.Progress(time.Now(), j.ticket, j.cost.total(l.model))
		l.mu.Unlock()
		if bytes.Equal(event, streamEnd) {
			return nil
		}
	}
}
