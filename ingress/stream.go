package ingress

// This file defines streams: responses that are forwarded as their events arrive, and
// that may resume at, or migrate to, another backend server.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"bulrushtally/placement"
	"bulrushtally/streamversion"
	"bulrushtally/upstream"
)

// stream is the state of a response that is a series of server-sent events.
type stream struct {
	id           streamversion.Stream
	source       streamversion.Source // of the version that the stream keeps to, if its caller takes it up
	resumable    bool
	begun        bool   // an event was forwarded
	wholeEvents  bool   // only complete events are forwarded, since the stream may continue at another backend server
	lastID       string // ID of the last event that was forwarded
	lastNumber   int64  // lastID as a number, -1 if it is none so far
	partial      []byte // start of an incomplete event
	readBuffer   []byte
	events       int           // whole events that backend servers sent
	afterLF      bool          // the last byte read ends a line
	inEvent      bool          // an event has begun and not ended
	mayBeStopped bool          // the server was told to stop the request, and did not say whether it has
	chunks       int           // writes of the stream to the caller
	lastReadAt   time.Time     // time of the last read that returned data
	maxGap       time.Duration // longest time between two such reads
}

// newStream returns the state of a stream that starts after the event with ID resumeAfter, if any.
func newStream(resumable bool, resumeAfter string) *stream {
	s := &stream{resumable: resumable, wholeEvents: resumable, lastID: resumeAfter, lastNumber: -1}
	if n, err := strconv.ParseInt(resumeAfter, 10, 64); err == nil {
		s.lastNumber = n
	}
	return s
}

// maxEventBytes is the length of the longest event of a stream that is kept until it is complete.
const maxEventBytes = 256 << 10

// maxEventIDBytes is the length of the longest ID of an event after which a stream goes on.
const maxEventIDBytes = 256

// errEventTooLong is the error of a stream with a longer event or ID.
var errEventTooLong = errors.New("an event of the stream, or its ID, is longer than allowed")

// streamReadBytes is the size of the buffer for reads from a stream.
const streamReadBytes = 4 << 10

// forwardStream forwards a stream and returns what attempt returns. If a resumable stream
// breaks, the caller retries and the stream resumes after the last complete event. After
// the first event, the request may migrate to another backend server.
func (x *call) forwardStream(ctx context.Context, g *placement.Grant, ex *upstream.Exchange) (retry bool, v *result) {
	s := x.stream
	if s.readBuffer == nil {
		s.readBuffer = make([]byte, streamReadBytes)
	}
	s.partial, s.inEvent, s.afterLF, s.mayBeStopped = s.partial[:0], false, false, false
	eventsBefore := s.events
	for first := true; ; {
		n, err := x.relay(g, ex, first)
		switch {
		case errors.Is(err, errCallerLeft):
			x.endGrant(g, placement.Abandoned)
			return false, &result{status: 502, cause: causeLeft}
		case s.mayBeStopped && endsAsIfStopped(ex, err):
			return x.streamError(ctx, g, errMayBeStopped)
		case errors.Is(err, io.EOF):
			return x.finishStream(g, ex, s.events > eventsBefore)
		case err != nil:
			return x.streamError(ctx, g, err)
		}
		if first && n > 0 && x.canMigrate() {
			if target, m := x.migrate(ctx, g); target != nil {
				return x.continueMigrated(ctx, g, ex, target, m)
			}
		}
		first = first && n == 0
	}
}

// errCallerLeft is the error of a stream whose events cannot be written to its caller.
var errCallerLeft = errors.New("the caller does not take the events of its stream")

// relay reads from a stream once and forwards the events that are complete; first says that nothing of this answer has come
// before. It returns io.EOF at the end of the answer, errCallerLeft, or why the stream cannot go on.
func (x *call) relay(g *placement.Grant, ex *upstream.Exchange, first bool) (n int, err error) {
	s := x.stream
	n, err = ex.Read(s.readBuffer)
	if n > 0 {
		if first && x.versionChanged(g) {
			return n, errRestarted
		}
		x.recordRead(g, first)
		x.recordEvents(s.readBuffer[:n])
		if first && x.canMigrate() {
			s.wholeEvents = true
		}
		if x.forwardEvents(ex, s.readBuffer[:n]) != nil {
			return n, errCallerLeft
		}
	}
	if len(s.partial) > maxEventBytes || len(s.lastID) > maxEventIDBytes {
		return n, errEventTooLong
	}
	if err != nil {
		return n, err
	}
	return n, ex.HoldBody(x.heldBytes())
}

// heldBytes returns how much memory the stream's events take in this process.
func (x *call) heldBytes() int64 {
	s := x.stream
	return int64(cap(s.partial) + cap(x.response.buffer))
}

// provenEvents is after how many whole events a server has begun to answer without crashing on that.
const provenEvents = 2

// recordEvents counts the whole events in data that was read, and records once that the answer has begun.
func (x *call) recordEvents(b []byte) {
	s := x.stream
	before := s.events
	for _, c := range b {
		if c == '\r' {
			continue // lines may end in CR LF
		}
		endsEvent := c == '\n' && s.afterLF
		if endsEvent {
			s.events++
		}
		s.inEvent = !endsEvent
		s.afterLF = c == '\n' && !endsEvent
	}
	if before < provenEvents && s.events >= provenEvents {
		x.flow.Quarantine.RecordBegun(time.Now(), x.identity)
	}
}

// recordRead records the arrival of data, for the time to the first event and the event gap.
func (x *call) recordRead(g *placement.Grant, first bool) {
	s, now := x.stream, time.Now()
	if first && s.lastReadAt.IsZero() {
		g.RecordFirstEvent(now)
		x.recordAnswered(g, now)
		x.firstEventAfter, x.expectedFirst, x.expectedPrefill = now.Sub(x.arrived), g.ExpectedFirstEvent(), g.PrefillTokens()
		s.lastReadAt = now
		return
	}
	if first {
		g.RecordFirstEvent(now)
		x.recordAnswered(g, now)
	}
	s.maxGap = max(s.maxGap, now.Sub(s.lastReadAt))
	if x.route.GapObjective > 0 && s.maxGap > x.route.GapObjective {
		g.RecordLate()
	}
	s.lastReadAt = now
}

// forwardEvents forwards data from a stream: only complete events if wholeEvents is set,
// all of it otherwise. It returns an error if writing to the caller fails.
func (x *call) forwardEvents(ex *upstream.Exchange, b []byte) error {
	s := x.stream
	if s.wholeEvents {
		searched := max(0, len(s.partial)-1) // no event ends before
		s.partial = append(s.partial, b...)
		end := bytes.LastIndex(s.partial[searched:], []byte("\n\n"))
		if end < 0 {
			return nil
		}
		end += searched
		b = s.unsentEvents(s.partial[:end+2])
		defer func() { s.partial = append(s.partial[:0], s.partial[end+2:]...) }()
	}
	if len(b) == 0 {
		return nil
	}
	if !x.response.started {
		x.response.bufferHead(ex.Status(), x.responseHeader(ex.Header()))
	}
	if !s.begun {
		x.recordBegun()
	}
	s.chunks++
	return x.response.writeChunk(b)
}

// unsentEvents returns the events in b that follow the last forwarded one, and updates
// lastID and lastNumber. b must hold complete events.
func (s *stream) unsentEvents(b []byte) []byte {
	unsent := b
	for rest := b; len(rest) > 0; {
		end := bytes.Index(rest, []byte("\n\n")) + 2
		event := rest[:end]
		rest = rest[end:]
		id, ok := eventID(event)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(id, 10, 64)
		if err != nil {
			s.lastID = id
			continue
		}
		if n <= s.lastNumber {
			unsent = rest // the caller already has this event
			continue
		}
		s.lastID, s.lastNumber = id, n
	}
	return unsent
}

// eventID returns the ID of an event, and false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// finishStream ends the call after the backend server ended the stream; answered says whether its run had events. One
// without is complete only if the answer says by chunks that it is. It returns what attempt returns.
func (x *call) finishStream(g *placement.Grant, ex *upstream.Exchange, answered bool) (retry bool, v *result) {
	s := x.stream
	if s.inEvent || !answered && (ex.EndsWithConnection() || x.response.started && !ex.Chunked()) {
		return x.streamError(context.Background(), g, io.ErrUnexpectedEOF)
	}
	x.endGrant(g, placement.Done)
	x.recordCompleted(s.events > 0)
	defer x.recordStreamEnd(true)
	if !x.response.started {
		x.response.bufferHead(ex.Status(), x.responseHeader(ex.Header()))
	}
	x.response.finish()
	return false, nil
}

// streamError ends an attempt whose stream broke, and returns what attempt returns.
func (x *call) streamError(ctx context.Context, g *placement.Grant, err error) (retry bool, v *result) {
	retry, v = x.attemptError(ctx, g, err)
	x.stream.partial = nil // the next server may take long to answer
	if !retry && x.response.started {
		x.response.keepConn = false
	}
	return retry, v
}
