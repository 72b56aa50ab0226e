package ingress

// This file defines streams: answers that are passed on event by event, and
// that may go on at another backend server.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"bulrushtally/placement"
	"bulrushtally/upstream"
)

// stream is the state of an answer that is a series of events.
type stream struct {
	resumable bool
	whole     bool   // only complete events are passed on, since the stream may go on elsewhere
	lastID    string // of the last event that was passed on
	lastNum   int64
	partial   []byte // of an event that is not complete
	buffer    []byte
	events    int
	lastAt    time.Time     // of the last part that was passed on
	gap       time.Duration // longest pause between two parts
}

func newStream(resumable bool, after string) *stream {
	s := &stream{resumable: resumable, whole: resumable, lastID: after, lastNum: -1}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.lastNum = n
	}
	return s
}

// streamBuffer is how much of a stream is read at once, in bytes.
const streamBuffer = 4 << 10

// pass passes a stream on. A stream that breaks off and may be resumed goes on
// at another backend server after the last complete event.
func (x *call) pass(ctx context.Context, g *placement.Grant, ex *upstream.Exchange) (again bool, v *verdict) {
	s := x.stream
	if s.buffer == nil {
		s.buffer = make([]byte, streamBuffer)
	}
	s.partial = s.partial[:0]
	first := true
	for {
		n, err := ex.Read(s.buffer)
		if n > 0 {
			x.timeEvent(g, first)
			if first && x.movable() {
				s.whole = true
			}
			if x.forward(ex, s.buffer[:n]) != nil {
				x.end(g, placement.GivenUp)
				return false, &verdict{status: 502, cause: causeLeft}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finishStream(g, ex)
		case err != nil:
			return x.brokenStream(ctx, g, err)
		}
		if first && n > 0 && x.movable() {
			if to := g.Move(time.Now()); to != nil {
				if moved, ok := x.flow.Mover.Move(ctx, g.Address(), x.meta.id, to.Address()); ok {
					return x.goOn(ctx, g, ex, to, moved)
				}
				to.Unsent(time.Now())
			}
		}
		first = first && n == 0
	}
}

// movable reports whether the stream may go on at another engine. It moves once.
func (x *call) movable() bool {
	return x.flow.Mover != nil && x.service.Moves && x.moves == 0 && x.meta.id != ""
}

// timeEvent takes in that events have come.
func (x *call) timeEvent(g *placement.Grant, first bool) {
	s, now := x.stream, time.Now()
	if first && s.lastAt.IsZero() {
		g.First(now)
		x.firstAfter, x.expected, x.unread = now.Sub(x.arrived), g.Expected(), g.Unread()
		s.lastAt = now
		return
	}
	if first {
		g.First(now)
	}
	s.gap = max(s.gap, now.Sub(s.lastAt))
	if x.route.GapObjective > 0 && s.gap > x.route.GapObjective {
		g.Slow()
	}
	s.lastAt = now
}

// goOn passes on what the first engine still made, and then the stream of the
// engine that the request has moved to, or of the first one if the other cannot go on.
func (x *call) goOn(ctx context.Context, g *placement.Grant, ex *upstream.Exchange, to *placement.Grant, m Moved) (again bool, v *verdict) {
	x.moves++
	if done, v := x.drain(g, ex); done {
		to.Unsent(time.Now())
		return false, v
	}
	x.movedFrom = m.From
	defer func() { x.movedFrom = "" }()
	if m.Copied {
		if next, err := x.flow.Upstream.Send(ctx, to.Address(), x.outgoing(to)); err == nil {
			defer next.Close()
			if x.goesOn(next) {
				x.end(g, placement.Done)
				go x.flow.Mover.Free(m)
				return x.pass(ctx, to, next)
			}
		}
	}
	to.Unsent(time.Now())
	next, err := x.flow.Upstream.Send(ctx, g.Address(), x.outgoing(g))
	if err != nil {
		// The request has run, also if no connection was had to go on with it.
		return x.brokenStream(ctx, g, &upstream.BrokenError{Address: g.Address(), Err: err})
	}
	defer next.Close()
	if !x.goesOn(next) {
		return x.brokenStream(ctx, g, errNotMoved)
	}
	return x.pass(ctx, g, next)
}

// errNotMoved says that a request that was stopped to move could go on nowhere.
var errNotMoved = errors.New("the request was stopped to move and no engine goes on with it")

func (x *call) goesOn(ex *upstream.Exchange) bool {
	return !x.declined(ex) && ex.Status() == 200
}

// drain passes on the events that an engine made before it stopped, and reports
// whether the stream is over with them.
func (x *call) drain(g *placement.Grant, ex *upstream.Exchange) (done bool, v *verdict) {
	s := x.stream
	for {
		n, err := ex.Read(s.buffer)
		if n > 0 {
			x.timeEvent(g, false)
			if x.forward(ex, s.buffer[:n]) != nil {
				x.end(g, placement.GivenUp)
				return true, &verdict{status: 502, cause: causeLeft}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.partial) == 0:
			_, v := x.finishStream(g, ex)
			return true, v
		case err != nil:
			return false, nil
		}
	}
}

// forward passes on what was read: all of it, or, where the stream may be resumed, complete events only.
func (x *call) forward(ex *upstream.Exchange, b []byte) error {
	s := x.stream
	if s.whole {
		s.partial = append(s.partial, b...)
		end := bytes.LastIndex(s.partial, []byte("\n\n"))
		if end < 0 {
			return nil
		}
		b = s.complete(s.partial[:end+2])
		defer func() { s.partial = append(s.partial[:0], s.partial[end+2:]...) }()
	}
	if len(b) == 0 {
		return nil
	}
	if !x.out.begun {
		x.out.begin(ex.Status(), x.passed(ex.Header()))
	}
	s.events++
	return x.out.chunk(b)
}

// complete returns the events that follow the last one that was passed on.
func (s *stream) complete(b []byte) []byte {
	keep := b
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
		if n <= s.lastNum {
			keep = rest // the client has it already
			continue
		}
		s.lastID, s.lastNum = id, n
	}
	return keep
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

func (x *call) finishStream(g *placement.Grant, ex *upstream.Exchange) (again bool, v *verdict) {
	s := x.stream
	if s.whole && len(s.partial) > 0 {
		return x.brokenStream(context.Background(), g, io.ErrUnexpectedEOF)
	}
	x.end(g, placement.Done)
	x.flow.Suspects.Cleared(x.digest)
	if !x.out.begun {
		x.out.begin(ex.Status(), x.passed(ex.Header()))
	}
	x.out.end()
	return false, nil
}

// brokenStream judges a stream that broke off.
func (x *call) brokenStream(ctx context.Context, g *placement.Grant, err error) (again bool, v *verdict) {
	again, v = x.unanswered(ctx, g, err)
	if !again && x.out.begun {
		x.out.keep = false
	}
	return again, v
}
