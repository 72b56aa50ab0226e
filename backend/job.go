package backend

// This file defines job, which processes one request at a Leader: it makes attempts,
// decides whether a failed one may be repeated, and reports the outcome.

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

// Limits of a job.
const (
	maxAttempts       = 3                     // of a request
	maxResumes        = 3                     // of the stream of one attempt, after its first connection
	retryBackoff      = 50 * time.Millisecond // doubled for each attempt made: 100 ms before the second
	suspectRetryDelay = 2 * time.Second       // before retrying a request that may have crashed a backend server
	copyBufferBytes   = 32 << 10
)

// job is one request at a Leader. Its fields are not locked: the Leader uses them while the
// job is queued, and the goroutine of its current attempt does while that runs.
type job struct {
	leader           *Leader
	request          *request.Request
	sink             request.Sink
	ctx              context.Context
	ticket           *schedule.Ticket
	stopContextWatch func() bool // stops waiting for the end of ctx
	queueTimer       *time.Timer // ends the wait in the queue

	attempts        int  // made so far, including those before Submit
	possiblySent    bool // a backend server may have received an attempt
	headForwarded   bool // status and headers were passed to sink
	cost            cost // of all attempts
	forwardedEvents int  // server-sent events with data passed to sink
	attemptStarted  time.Time
}

// stopQueueWatch undoes Leader.watchQueued.
func (j *job) stopQueueWatch() {
	j.stopContextWatch()
	j.queueTimer.Stop()
}

// failureOutcome returns the outcome to report if the job ends with a failure now.
func (j *job) failureOutcome() request.Outcome {
	switch {
	case j.headForwarded:
		return request.OutcomeRan
	case j.possiblySent:
		return request.OutcomeUnknown
	}
	return request.OutcomeNotRun
}

// runAttempt makes one attempt at a backend server. It then completes the job or schedules
// a retry. The load hint goes to the sink with EventAdmitted.
func (j *job) runAttempt(backend string, load request.LoadHint) {
	l := j.leader
	j.attempts++
	j.attemptStarted = time.Now()
	err := j.sink(request.Event{Kind: request.EventAdmitted, Backend: backend, Hint: &load})
	if err != nil || j.ctx.Err() != nil {
		j.finishTicket(schedule.AttemptCanceled)
		j.complete(request.NewFailure(request.CodeCanceled, "caller left before the request was sent"))
		return
	}
	l.mu.Lock()
	if j.attempts == 1 {
		l.retryBudget.RecordFirstAttempt()
	}
	address, bootID := l.addresses[backend], l.bootIDs[backend]
	l.mu.Unlock()
	a := j.newAttempt(address)
	failure, result := j.performAttempt(a)
	if failure != nil && result != schedule.AttemptCanceled && result != schedule.AttemptDeclined {
		result = j.checkServerAfterFailure(backend, address, bootID, result)
	}
	if result == schedule.AttemptCanceled {
		j.complete(failure)
		j.cancelOnServer(a)
		j.finishTicket(result)
		return
	}
	if failure != nil && result != schedule.AttemptDeclined && result != schedule.AttemptUnreachable {
		j.cancelOnServer(a)
	}
	j.finishTicket(result)
	l.logger.Debug().Str("request", j.request.ID).Str("customer", j.request.Customer).
		Str("backend", backend).Int("attempt", j.attempts).Bool("ok", failure == nil).Msg("attempt-ended")
	if failure != nil && j.scheduleRetry(failure, backend, result) {
		return
	}
	j.complete(failure)
}

// cancelOnServer tells a model server to stop generating for a failed or abandoned attempt.
// It is called before the attempt's slot is released: a server that got a new request
// while it still works on the old one would be overloaded.
func (j *job) cancelOnServer(a Attempt) {
	l := j.leader
	if !l.model || !j.possiblySent {
		return
	}
	if err := l.client.Cancel(a.Address, a.ID, l.newAttemptID()); err != nil {
		l.logger.Debug().Err(err).Str("request", j.request.ID).Msg("attempt-cancel-failed")
	}
}

// newAttempt returns the next attempt, with a new ID, for the backend server at an address.
func (j *job) newAttempt(address string) Attempt {
	l := j.leader
	return Attempt{
		ID: l.newAttemptID(), Address: address,
		Method: j.request.Method, Path: j.request.Path, Headers: j.request.Headers, Body: j.request.Body,
	}
}

// finishTicket reports the attempt's end and cost to the scheduler, which releases its slot,
// and admits queued requests. A request that was declined or never sent costs nothing.
func (j *job) finishTicket(result schedule.AttemptResult) {
	l := j.leader
	now := time.Now()
	if !l.model {
		j.cost.elapsedMS += float64(now.Sub(j.attemptStarted).Milliseconds())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	total := j.cost.total(l.model)
	if result == schedule.AttemptDeclined || !j.possiblySent {
		total = 0
	}
	l.scheduler.RecordFinish(now, j.ticket, total, result)
	l.admitLocked(now)
}

// complete removes the job from the leader and passes EventEnd to the sink. The failure is
// nil for a complete response.
func (j *job) complete(failure *request.Failure) {
	l := j.leader
	now := time.Now()
	l.mu.Lock()
	delete(l.jobs, j.ticket)
	load := l.loadHintLocked(now)
	l.mu.Unlock()
	end := request.Event{Kind: request.EventEnd, Outcome: request.OutcomeRan, Hint: &load}
	if failure != nil {
		end.Outcome, end.Failure = j.failureOutcome(), failure
	} else if j.ticket.Suspect {
		l.tracker.RecordCompletion(j.ticket.Digest)
	}
	l.metrics.Counter("requests_ended").Inc(1)
	j.sink(end)
}

// scheduleRetry queues the job again after a delay and reports whether it did. It does not
// if the request could then run twice without being repeatable, if part of the response was
// forwarded, if the caller left, or if the attempts, the retry budget or the quarantine
// forbid it. backend is the server of the failed attempt; the next one avoids it.
func (j *job) scheduleRetry(failure *request.Failure, backend string, result schedule.AttemptResult) bool {
	safe := !j.headForwarded && (!j.possiblySent || j.request.Repeatable)
	if !safe || result == schedule.AttemptCanceled || j.attempts >= maxAttempts || j.ctx.Err() != nil {
		return false
	}
	l := j.leader
	l.mu.Lock()
	allowed := l.retryBudget.TakeRetry()
	l.mu.Unlock()
	if !allowed {
		l.metrics.Counter("retries_denied").Inc(1)
		return false
	}
	delay := retryBackoff << j.attempts
	switch l.tracker.Verdict(j.ticket.Digest) {
	case schedule.VerdictRefused:
		return false
	case schedule.VerdictSuspect:
		j.ticket.Suspect = true
		delay = suspectRetryDelay
	}
	l.metrics.Counter("retries").Inc(1)
	l.logger.Info().Str("request", j.request.ID).Str("customer", j.request.Customer).
		Str("backend", backend).Err(failure).Dur("delay_ms", delay).Msg("retry-scheduled")
	j.ticket.AvoidBackend = backend
	time.AfterFunc(delay, j.requeue)
	return true
}

// requeue queues the job again, or ends it if the leader is stopping.
func (j *job) requeue() {
	l := j.leader
	l.mu.Lock()
	if l.stopping {
		delete(l.jobs, j.ticket)
		l.mu.Unlock()
		l.failQueued(j, request.NewFailure(request.CodeLeaderChanged, "shard %s has a new leader", l.id), request.LoadHint{})
		return
	}
	now := time.Now()
	l.scheduler.Requeue(now, j.ticket)
	l.watchQueued(j)
	l.admitLocked(now)
	l.mu.Unlock()
}

// performAttempt sends an attempt and forwards its response to the sink. The failure is nil
// if the response was complete; the result is for the scheduler. Status 429 or 503 of a model
// server means that it did not run the request.
func (j *job) performAttempt(a Attempt) (*request.Failure, schedule.AttemptResult) {
	l := j.leader
	r, err := l.client.Do(j.ctx, a)
	if err != nil {
		var attemptErr *AttemptError
		if !errors.As(err, &attemptErr) || attemptErr.Fault != FaultNotSent {
			j.possiblySent = true
		}
		if r = j.resumeAfterError(a, err); r == nil {
			return j.attemptFailure(a, err)
		}
	}
	defer r.Close()
	if l.model && (r.Status == 429 || r.Status == 503) {
		return request.NewFailure(request.CodeBackendRefused, "status %d from %s", r.Status, a.Address), schedule.AttemptDeclined
	}
	j.possiblySent = true
	if j.request.Stream && r.Status == 200 {
		return j.forwardStream(a, r)
	}
	return j.forwardBody(a, r)
}

// resumeAfterError opens the stream of an attempt that failed before its response, while the
// model server may be processing it. The request is not run again, so this takes nothing
// from the retry budget. It returns nil if the stream cannot be opened or cannot exist.
func (j *job) resumeAfterError(a Attempt, err error) *Response {
	var attemptErr *AttemptError
	if !j.leader.model || !j.request.Stream || !errors.As(err, &attemptErr) || attemptErr.Fault == FaultNotSent || j.ctx.Err() != nil {
		return nil
	}
	r, err := j.resumeStream(a)
	if err != nil {
		return nil
	}
	j.leader.metrics.Counter("streams_resumed").Inc(1)
	return r
}

// attemptFailure converts an attempt's error into the failure for the caller and the result
// for the scheduler.
func (j *job) attemptFailure(a Attempt, err error) (*request.Failure, schedule.AttemptResult) {
	l := j.leader
	if j.ctx.Err() != nil {
		return request.NewFailure(request.CodeCanceled, "caller left"), schedule.AttemptCanceled
	}
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return request.NewFailure(request.CodeBackendFailed, "%v", err), schedule.AttemptFailed
	}
	switch attemptErr.Fault {
	case FaultNotSent:
		return request.NewFailure(request.CodeNoBackend, "%v", err), schedule.AttemptUnreachable
	case FaultTimeout:
		return request.NewFailure(request.CodeBackendTimeout, "%v", err), schedule.AttemptFailed
	case FaultAttemptMismatch:
		l.metrics.Counter("crossed_answers").Inc(1)
		return request.NewFailure(request.CodeAttemptMismatch, "%v", err), schedule.AttemptFailed
	}
	return request.NewFailure(request.CodeBackendFailed, "%v", err), schedule.AttemptFailed
}

// checkServerAfterFailure polls the backend server of a failed attempt. If it is down, or
// has another boot ID than before the attempt, it crashed during the request, which is then
// recorded as a suspect. It returns the attempt's result for the scheduler.
func (j *job) checkServerAfterFailure(backend, address, bootID string, result schedule.AttemptResult) schedule.AttemptResult {
	l := j.leader
	if result == schedule.AttemptUnreachable {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	up := l.pollServer(ctx, backend, address)
	l.mu.Lock()
	crashed := !up || l.bootIDs[backend] != bootID
	l.mu.Unlock()
	if !crashed {
		return result
	}
	l.tracker.RecordCrash(j.ticket.Digest, j.request.Customer, j.request.ID)
	if up {
		return schedule.AttemptFailed
	}
	return schedule.AttemptUnreachable
}

// forwardBody forwards a response that is not a stream of events.
func (j *job) forwardBody(a Attempt, r *Response) (*request.Failure, schedule.AttemptResult) {
	usage := &usageBuffer{}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if j.leader.model {
				usage.write(buf[:n])
			}
			if f := j.forward(r, bytes.Clone(buf[:n])); f != nil {
				return f, schedule.AttemptCanceled
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return j.attemptFailure(a, WrapBodyError(a.Address, err))
		}
	}
	j.applyUsage(usage.data)
	if f := j.forward(r, nil); f != nil {
		return f, schedule.AttemptCanceled
	}
	return nil, schedule.AttemptSucceeded
}

// forward passes a piece of the response body to the sink, preceded by status and headers if
// they have not been passed yet. It fails with request.CodeCanceled if the sink does.
func (j *job) forward(r *Response, data []byte) *request.Failure {
	if !j.headForwarded {
		j.headForwarded = true
		if err := j.sink(request.Event{Kind: request.EventHead, Status: r.Status, Headers: r.Headers}); err != nil {
			return request.NewFailure(request.CodeCanceled, "%v", err)
		}
	}
	if len(data) == 0 {
		return nil
	}
	if err := j.sink(request.Event{Kind: request.EventData, Data: data}); err != nil {
		return request.NewFailure(request.CodeCanceled, "%v", err)
	}
	return nil
}

// forwardStream forwards server-sent events. When the connection fails or times out, it
// resumes the stream at the next event over a new connection, up to maxResumes times.
func (j *job) forwardStream(a Attempt, r *Response) (*request.Failure, schedule.AttemptResult) {
	l := j.leader
	for resumes := 0; ; resumes++ {
		err := j.forwardEvents(r)
		if err == nil {
			return nil, schedule.AttemptSucceeded
		}
		var callerLeft *request.Failure
		if errors.As(err, &callerLeft) {
			return callerLeft, schedule.AttemptCanceled
		}
		failure, result := j.attemptFailure(a, WrapBodyError(a.Address, err))
		if result == schedule.AttemptCanceled || resumes >= maxResumes {
			return failure, result
		}
		l.metrics.Counter("streams_resumed").Inc(1)
		next, resumeErr := j.resumeStream(a)
		if resumeErr != nil {
			return failure, result
		}
		defer next.Close()
		r = next
	}
}

// resumeStream requests an attempt's stream again, starting after the events already
// forwarded. It fails if the backend server does not answer with status 200.
func (j *job) resumeStream(a Attempt) (*Response, error) {
	l := j.leader
	r, err := l.client.Do(j.ctx, Attempt{
		ID: l.newAttemptID(), Address: a.Address, Method: "GET",
		Path: "/v1/streams/" + a.ID + "?from=" + strconv.Itoa(j.forwardedEvents),
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

// forwardEvents forwards complete events until streamEndEvent, and reports each one's cost to
// the scheduler. A *request.Failure means that the caller left, any other error that the
// connection failed.
func (j *job) forwardEvents(r *Response) error {
	l := j.leader
	for {
		event, err := readEvent(r.Body)
		if err == io.EOF {
			return io.ErrUnexpectedEOF // a complete stream ends with streamEndEvent
		}
		if err != nil {
			return err
		}
		if bytes.HasPrefix(event, []byte("data:")) {
			j.forwardedEvents++
			j.addEventCost(event)
		}
		if f := j.forward(r, event); f != nil {
			return f
		}
		l.mu.Lock()
		l.scheduler.RecordProgress(time.Now(), j.ticket, j.cost.total(l.model))
		l.mu.Unlock()
		if bytes.Equal(event, streamEndEvent) {
			return nil
		}
	}
}
