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
	lastID    string // of the last event that was passed on
	lastNum   int64
	partial   []byte // of an event that is not complete
	buffer    []byte
	events    int
	lastAt    time.Time     // of the last part that was passed on
	gap       time.Duration // longest pause between two parts
}

func newStream(resumable bool, after string) *stream {
	s := &stream{resumable: resumable, lastID: after, lastNum: -1}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil {
		s.lastNum = n
	}
	return s
}

// streamBuffer is how much of a stream is read at once, in bytes.
const streamBuffer = 4 << 10

// errGap says that a stream does not go on where it broke off.
var errGap = errors.New("events are missing after the stream was resumed")

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
			now := time.Now()
			if first {
				g.First(now)
				x.firstAfter, x.expected, x.unread = now.Sub(x.arrived), g.Expected(), g.Unread()
				first = false
			} else {
				s.gap = max(s.gap, now.Sub(s.lastAt))
				if x.route.GapObjective > 0 && s.gap > x.route.GapObjective {
					g.Slow()
				}
			}
			s.lastAt = now
			if failed := x.forward(ex, s.buffer[:n]); failed != nil {
				x.end(g, placement.GivenUp)
				return false, &verdict{502, causeLeft, 0}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finishStream(g, ex)
		case err != nil:
			return x.brokenStream(ctx, g, err)
		}
	}
}

// forward passes on what was read: all of it, or, where the stream may be resumed, complete events only.
func (x *call) forward(ex *upstream.Exchange, b []byte) error {
	s := x.stream
	if s.resumable {
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
	if s.resumable && len(s.partial) > 0 {
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
