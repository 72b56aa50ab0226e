package peer

// This file defines the two ends of a forwarded request: outgoingRequest at the router
// that sends it and incomingRequest at the leader that runs it, with the flow control
// between them.

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushtally/request"
)

// Flow control of a response.
const (
	flowWindowBytes    = 256 << 10           // initial and maximum credit
	creditStepBytes    = flowWindowBytes / 4 // delivered bytes after which credit is granted
	eventOverheadBytes = 64                  // added for each event, so that the window also limits the number of small events
)

// eventBytes returns the bytes of credit that an event uses.
func eventBytes(e *request.Event) int { return len(e.Data) + eventOverheadBytes }

// outgoingRequest is a request sent over a link. It queues the events received for the
// request and passes them to its sink in a separate goroutine.
type outgoingRequest struct {
	link   *Link
	stream uint64
	sink   request.Sink

	mu          sync.Mutex
	queue       []request.Event
	wake        chan struct{} // signals queued events; capacity 1
	ended       bool          // an EventEnd was queued; later events are dropped
	queuedBytes int           // sum of eventBytes over queue
}

// ErrLinkEnded is returned by Link.SendRequest if the link has ended, and by Peers.Connect,
// wrapped in a *ConnectError, if Peers has closed its links.
var ErrLinkEnded = errors.New("link to the other router has ended; the request was not sent, use another link")

// SendRequest sends a request and passes the events of its response to sink, the last of which
// is an EventEnd. It returns ErrLinkEnded if the link has ended; sink is then not called.
// When ctx ends, KindCancel is sent, and the other router still sends the EventEnd. The
// recall function asks the other router to return the request if it is still queued there.
func (l *Link) SendRequest(ctx context.Context, r *request.Request, sink request.Sink) (recall func(), err error) {
	out := &outgoingRequest{link: l, sink: sink, wake: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.outgoing == nil {
		l.mu.Unlock()
		return nil, ErrLinkEnded
	}
	l.lastStream++
	out.stream = l.lastStream
	l.outgoing[out.stream] = out
	l.lastUsed = time.Now()
	if len(l.outgoing) == 1 {
		l.markReceived() // starts receiveTimeout, which does not run while no stream is open
	}
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.write(KindCancel, out.stream, nil) })
	go func() {
		defer stop()
		out.deliver()
	}()
	if err := l.write(KindRequest, out.stream, r); err != nil {
		l.Close() // part of the request may have been sent, so it ends with request.OutcomeUnknown when the link closes
	}
	return func() { l.write(KindRecall, out.stream, nil) }, nil
}

// receiveEvent queues an event for the outgoing request of a stream. Events of unknown
// streams are dropped.
func (l *Link) receiveEvent(stream uint64, e request.Event) {
	l.mu.Lock()
	out := l.outgoing[stream]
	if e.Kind == request.EventEnd && l.outgoing != nil {
		delete(l.outgoing, stream)
	}
	l.mu.Unlock()
	if out != nil {
		out.enqueue(e)
	}
}

// enqueue adds an event to the queue. It closes the link if more than twice flowWindowBytes
// are queued, since the other router then does not keep to its credit.
func (out *outgoingRequest) enqueue(e request.Event) {
	out.mu.Lock()
	if out.ended {
		out.mu.Unlock()
		return
	}
	out.ended = e.Kind == request.EventEnd
	out.queue = append(out.queue, e)
	out.queuedBytes += eventBytes(&e)
	overLimit := out.queuedBytes > 2*flowWindowBytes
	out.mu.Unlock()
	select {
	case out.wake <- struct{}{}:
	default:
	}
	if overLimit {
		out.link.logger.Warn().Uint64("stream", out.stream).Msg("flow-control-violated")
		out.link.Close()
	}
}

// deliver passes queued events to the sink until EventEnd and grants credit for them. After
// the sink returned an error, it sends KindCancel and passes on only EventEnd.
func (out *outgoingRequest) deliver() {
	uncredited := 0
	var rejected bool
	for range out.wake {
		for {
			out.mu.Lock()
			if len(out.queue) == 0 {
				out.queue = nil
				out.mu.Unlock()
				break
			}
			e := out.queue[0]
			out.queue = out.queue[1:]
			out.queuedBytes -= eventBytes(&e)
			out.mu.Unlock()
			if !rejected || e.Kind == request.EventEnd {
				rejected = out.sink(e) != nil
			}
			if e.Kind == request.EventEnd {
				return
			}
			if rejected {
				out.link.write(KindCancel, out.stream, nil)
			}
			if uncredited += eventBytes(&e); uncredited >= creditStepBytes {
				out.link.write(KindCredit, out.stream, Credit{uncredited})
				uncredited = 0
			}
		}
	}
}

// incomingRequest is a request received from the other router.
type incomingRequest struct {
	cancel context.CancelFunc
	ctx    context.Context

	mu          sync.Mutex
	creditBytes int           // bytes that may be sent; negative after an event larger than the remaining credit
	creditAdded chan struct{} // signals new credit; capacity 1
	recall      func()        // from Handler.Serve
}

func (in *incomingRequest) abort() { in.cancel() }

// startIncoming passes a received request to the handler. It ignores a request whose stream
// is in use.
func (l *Link) startIncoming(stream uint64, r *request.Request) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &incomingRequest{ctx: ctx, cancel: cancel, creditBytes: flowWindowBytes, creditAdded: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.incoming == nil || l.incoming[stream] != nil {
		l.mu.Unlock()
		cancel()
		return
	}
	l.incoming[stream] = in
	l.mu.Unlock()
	in.recall = l.handler.Serve(ctx, l.peer.VM, r, func(e request.Event) error {
		if e.Kind == request.EventEnd {
			l.removeIncoming(stream)
			defer cancel()
		} else if err := in.consumeCredit(eventBytes(&e)); err != nil {
			return err
		}
		return l.write(KindEvent, stream, e)
	})
}

// consumeCredit waits until any credit is left and takes n bytes from it. It returns the
// context's error if the request is canceled first.
func (in *incomingRequest) consumeCredit(n int) error {
	for {
		in.mu.Lock()
		if in.creditBytes > 0 {
			in.creditBytes -= n
			in.mu.Unlock()
			return nil
		}
		in.mu.Unlock()
		select {
		case <-in.ctx.Done():
			return in.ctx.Err()
		case <-in.creditAdded:
		}
	}
}

func (l *Link) removeIncoming(stream uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incoming != nil {
		delete(l.incoming, stream)
	}
}

func (l *Link) cancelIncoming(stream uint64) {
	l.mu.Lock()
	in := l.incoming[stream]
	l.mu.Unlock()
	if in != nil {
		in.cancel()
	}
}

func (l *Link) recallIncoming(stream uint64) {
	l.mu.Lock()
	in := l.incoming[stream]
	l.mu.Unlock()
	if in != nil && in.recall != nil {
		in.recall()
	}
}

// addCredit applies a Credit message, up to flowWindowBytes of credit in total.
func (l *Link) addCredit(stream uint64, n int) {
	l.mu.Lock()
	in := l.incoming[stream]
	l.mu.Unlock()
	if in == nil || n < 0 {
		return
	}
	in.mu.Lock()
	in.creditBytes = min(flowWindowBytes, in.creditBytes+n)
	in.mu.Unlock()
	select {
	case in.creditAdded <- struct{}{}:
	default:
	}
}
