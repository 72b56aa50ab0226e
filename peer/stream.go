package peer

// This file defines the two sides of a forwarded request: answer at the router
// that sent it, serving at the leader that runs it, and the credit between them.

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushtally/request"
)

// Flow control of an answer, in bytes.
const (
	answerWindow  = 256 << 10
	creditStep    = answerWindow / 4
	eventOverhead = 64 // counted for each event, so that tiny ones are bounded too
)

func weight(e *request.Event) int { return len(e.Data) + eventOverhead }

// answer collects the events of a request sent over a link and hands them to
// its sink from a goroutine of its own.
type answer struct {
	link   *Link
	stream uint64
	sink   request.Sink

	mu     sync.Mutex
	queue  []request.Event
	wake   chan struct{} // has room for one
	ended  bool
	unread int // bytes in queue
}

// ErrLinkEnded says that a link ended before a request could be sent over it.
var ErrLinkEnded = errors.New("link to the other router has ended; the request was not sent, use another link")

// Request sends a request; its sink gets the events. When the context ends, the
// other router is told, and still sends the last event. The recall function
// asks for the request back if it still waits there.
func (l *Link) Request(ctx context.Context, r *request.Request, sink request.Sink) (recall func(), err error) {
	a := &answer{link: l, sink: sink, wake: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.sent == nil {
		l.mu.Unlock()
		return nil, ErrLinkEnded
	}
	l.nextID++
	a.stream = l.nextID
	l.sent[a.stream] = a
	l.usedAt = time.Now()
	if len(l.sent) == 1 {
		l.heard() // silence counts from here
	}
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.write(KindCancel, a.stream, nil) })
	go func() {
		defer stop()
		a.deliver()
	}()
	if err := l.write(KindRequest, a.stream, r); err != nil {
		l.Close() // part of it may have been sent, so the link's end decides
	}
	return func() { l.write(KindRecall, a.stream, nil) }, nil
}

func (l *Link) event(stream uint64, e request.Event) {
	l.mu.Lock()
	a := l.sent[stream]
	if e.Kind == request.EventEnd && l.sent != nil {
		delete(l.sent, stream)
	}
	l.mu.Unlock()
	if a != nil {
		a.push(e)
	}
}

func (a *answer) push(e request.Event) {
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	a.ended = e.Kind == request.EventEnd
	a.queue = append(a.queue, e)
	a.unread += weight(&e)
	over := a.unread > 2*answerWindow
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	if over {
		a.link.logger.Warn().Uint64("stream", a.stream).Msg("link-closed-for-unpaid-bytes")
		a.link.Close()
	}
}

// deliver hands events to the sink and grants credit for those it took.
func (a *answer) deliver() {
	owed := 0
	var refused bool
	for range a.wake {
		for {
			a.mu.Lock()
			if len(a.queue) == 0 {
				a.queue = nil
				a.mu.Unlock()
				break
			}
			e := a.queue[0]
			a.queue = a.queue[1:]
			a.unread -= weight(&e)
			a.mu.Unlock()
			if !refused || e.Kind == request.EventEnd {
				refused = a.sink(e) != nil
			}
			if e.Kind == request.EventEnd {
				return
			}
			if refused {
				a.link.write(KindCancel, a.stream, nil)
			}
			if owed += weight(&e); owed >= creditStep {
				a.link.write(KindCredit, a.stream, Credit{owed})
				owed = 0
			}
		}
	}
}

// serving is a request of the other router at this one.
type serving struct {
	cancel context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	credit int
	paid   chan struct{} // has room for one
	recall func()
}

func (s *serving) abandon() { s.cancel() }

func (l *Link) serve(stream uint64, r *request.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &serving{ctx: ctx, cancel: cancel, credit: answerWindow, paid: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.served == nil || l.served[stream] != nil {
		l.mu.Unlock()
		cancel()
		return
	}
	l.served[stream] = s
	l.mu.Unlock()
	s.recall = l.server.Serve(ctx, l.peer.VM, r, func(e request.Event) error {
		if e.Kind == request.EventEnd {
			l.finish(stream)
			defer cancel()
		} else if err := s.take(weight(&e)); err != nil {
			return err
		}
		return l.write(KindEvent, stream, e)
	})
}

// take waits until the other side grants credit for a number of bytes.
func (s *serving) take(n int) error {
	for {
		s.mu.Lock()
		if s.credit > 0 {
			s.credit -= n
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-s.paid:
		}
	}
}

func (l *Link) finish(stream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served != nil {
		delete(l.served, stream)
	}
}

func (l *Link) cancel(stream uint64) {
	l.mu.Lock()
	s := l.served[stream]
	l.mu.Unlock()
	if s != nil {
		s.cancel()
	}
}

func (l *Link) recall(stream uint64) {
	l.mu.Lock()
	s := l.served[stream]
	l.mu.Unlock()
	if s != nil && s.recall != nil {
		s.recall()
	}
}

func (l *Link) credit(stream uint64, n int) {
	l.mu.Lock()
	s := l.served[stream]
	l.mu.Unlock()
	if s == nil || n < 0 {
		return
	}
	s.mu.Lock()
	s.credit = min(answerWindow, s.credit+n)
	s.mu.Unlock()
	select {
	case s.paid <- struct{}{}:
	default:
	}
}
