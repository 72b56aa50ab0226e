package peer

// This file defines Link, one connection between two routers.

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rs/zerolog"

	"bulrushtally/fleet"
	"bulrushtally/request"
)

// Timeouts of links. All but writeTimeout run while nothing, not even a pong, is received.
const (
	writeTimeout   = 5 * time.Second
	pingAfter      = 1 * time.Second         // with open streams, the link is then pinged; also limits the write of the ping
	receiveTimeout = 2500 * time.Millisecond // with open streams, the link is then closed
	idleTimeout    = 2 * time.Minute         // without open streams, the link is then closed
)

// Link is a connection to another router that carries requests and control messages in
// both directions. It is safe for concurrent use.
//
// Invariant: the sink of a request sent over a link gets exactly one EventEnd, either from
// the other router or when the link ends.
type Link struct {
	conn      *websocket.Conn
	peer      fleet.Member
	dialed    bool // by this router, not by the peer
	handler   Handler
	logger    zerolog.Logger
	traffic   *Traffic
	done      chan struct{}
	closeOnce sync.Once

	writeMu sync.Mutex // guards writes of data messages to conn

	mu            sync.Mutex
	outgoing      map[uint64]*outgoingRequest // requests sent by this router, by stream; nil after the link ended
	incoming      map[uint64]*incomingRequest // requests received from the peer, by stream; nil after the link ended
	lastStream    uint64                      // stream number of the last request sent
	lastUsed      time.Time                   // when a stream was last open
	lastReceived  atomic.Int64                // nanoseconds after started, on the monotonic clock
	started       time.Time
	leaveReceived atomic.Bool // the peer sent KindLeave
}

// Traffic counts the traffic over all links of a router. Byte counts include
// packetOverheadBytes for each message.
type Traffic struct {
	ControlBytesOut, ControlBytesIn atomic.Int64 // of control messages
	RequestBytesOut, RequestBytesIn atomic.Int64 // of forwarded requests and their responses
	ControlMessagesOut              atomic.Int64 // number of control messages sent
}

// packetOverheadBytes is what the headers of WebSocket (8), TCP (32) and IPv4 (20) add to a
// small message.
const packetOverheadBytes = 8 + 32 + 20

func (t *Traffic) countSent(k Kind, n int) {
	if k.isRequestTraffic() {
		t.RequestBytesOut.Add(int64(n + packetOverheadBytes))
		return
	}
	t.ControlBytesOut.Add(int64(n + packetOverheadBytes))
	t.ControlMessagesOut.Add(1)
}

func (t *Traffic) countReceived(k Kind, n int) {
	if k.isRequestTraffic() {
		t.RequestBytesIn.Add(int64(n + packetOverheadBytes))
		return
	}
	t.ControlBytesIn.Add(int64(n + packetOverheadBytes))
}

// Handler processes what a router's links receive. Apart from Serve's sink, its methods are
// called from the goroutine that reads the link.
type Handler interface {
	// Serve starts a request received from the router with VM name from, and passes the
	// events of the response to sink. The returned function recalls the request if it is
	// still queued. Serve must not block.
	Serve(ctx context.Context, from string, r *request.Request, sink request.Sink) (recall func())
	// ApplyHeartbeat applies a router's heartbeat.
	ApplyHeartbeat(l *Link, h *Heartbeat)
	// ShardAvailable records that a shard has more free slots than requests in its queue.
	ShardAvailable(from string, r *ShardAvailable)
	// SendChanges sends the configuration changes after a revision over l.
	SendChanges(l *Link, p *Pull)
	// ApplyChanges applies configuration changes.
	ApplyChanges(l *Link, c *Changes)
	// ApplyCrashRecords applies the digests of requests that may crash backend servers.
	ApplyCrashRecords(from string, c *CrashRecords)
	// LinkUp and LinkDown report that a link opened or ended. With leaving, the other router
	// stops; LinkDown is then called when its leave notice arrives and again when the link
	// ends.
	LinkUp(l *Link)
	LinkDown(l *Link, leaving bool)
}

func newLink(c *websocket.Conn, peer fleet.Member, dialed bool, h Handler, t *Traffic, logger zerolog.Logger) *Link {
	now := time.Now()
	return &Link{
		conn: c, peer: peer, dialed: dialed, handler: h, traffic: t,
		logger:   logger.With().Str("peer", peer.VM).Logger(),
		done:     make(chan struct{}),
		outgoing: map[uint64]*outgoingRequest{}, incoming: map[uint64]*incomingRequest{},
		started: now, lastUsed: now,
	}
}

// Peer returns the member record that the other router sent in the handshake.
func (l *Link) Peer() fleet.Member { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the connection, which ends the link.
func (l *Link) Close() { l.closeOnce.Do(func() { l.conn.Close() }) }

// SendControl sends a control message of kind k, whose body may be nil.
func (l *Link) SendControl(k Kind, body any) error { return l.write(k, 0, body) }

// write encodes and sends a message. It closes the link if sending fails.
func (l *Link) write(k Kind, stream uint64, body any) error {
	data, err := encode(k, stream, body)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := l.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		l.Close()
		return err
	}
	l.traffic.countSent(k, len(data))
	return nil
}

// readMessages reads and processes messages until the link ends. A message that breaks the
// protocol ends the link.
func (l *Link) readMessages() {
	defer l.terminate()
	l.conn.SetPongHandler(func(string) error { l.markReceived(); return nil })
	for {
		_, data, err := l.conn.ReadMessage()
		if err != nil {
			l.logger.Debug().Err(err).Msg("link-ended")
			return
		}
		l.markReceived()
		f, err := decode(data)
		if err == nil {
			l.traffic.countReceived(f.Kind, len(data))
			err = l.handle(f)
		}
		if err != nil {
			l.logger.Warn().Err(&ProtocolError{l.peer.VM, err}).Msg("link-protocol-error")
			return
		}
	}
}

func (l *Link) markReceived() { l.lastReceived.Store(int64(time.Since(l.started))) }

// sinceReceived returns the time since anything was last received.
func (l *Link) sinceReceived() time.Duration {
	return time.Since(l.started) - time.Duration(l.lastReceived.Load())
}

// handle processes a message. It returns an error if the body is malformed.
func (l *Link) handle(f frame) error {
	switch f.Kind {
	case KindHeartbeat:
		return handleBody(f, func(h *Heartbeat) { l.handler.ApplyHeartbeat(l, h) })
	case KindRequest:
		return handleBody(f, func(r *request.Request) { l.startIncoming(f.Stream, r) })
	case KindEvent:
		return handleBody(f, func(e *request.Event) { l.receiveEvent(f.Stream, *e) })
	case KindCancel:
		l.cancelIncoming(f.Stream)
	case KindRecall:
		l.recallIncoming(f.Stream)
	case KindCredit:
		return handleBody(f, func(c *Credit) { l.addCredit(f.Stream, c.Bytes) })
	case KindShardAvailable:
		return handleBody(f, func(r *ShardAvailable) { l.handler.ShardAvailable(l.peer.VM, r) })
	case KindPull:
		return handleBody(f, func(p *Pull) { l.handler.SendChanges(l, p) })
	case KindChanges:
		return handleBody(f, func(c *Changes) { l.handler.ApplyChanges(l, c) })
	case KindCrashRecords:
		return handleBody(f, func(c *CrashRecords) { l.handler.ApplyCrashRecords(l.peer.VM, c) })
	case KindLeave:
		l.leaveReceived.Store(true)
		l.handler.LinkDown(l, true)
	}
	return nil
}

// handleBody decodes a message's body and calls a function with it.
func handleBody[T any](f frame, handle func(*T)) error {
	v, err := decodeBody[T](f)
	if err == nil {
		handle(v)
	}
	return err
}

// checkTimeouts pings a link with open streams over which nothing was received lately. It
// closes a link after receiveTimeout with open streams, or after idleTimeout without.
func (l *Link) checkTimeouts(now time.Time) {
	l.mu.Lock()
	streams := len(l.outgoing) + len(l.incoming)
	if streams > 0 {
		l.lastUsed = now
	}
	unused := now.Sub(l.lastUsed)
	l.mu.Unlock()
	sinceReceived := l.sinceReceived()
	switch {
	case streams > 0 && sinceReceived > receiveTimeout:
		l.logger.Info().Dur("since_received_ms", sinceReceived).Msg("link-timed-out")
		l.Close()
	case streams > 0 && sinceReceived > pingAfter:
		go l.ping()
	case unused > idleTimeout && sinceReceived > idleTimeout:
		l.Close()
	}
}

// ping sends a ping frame, and closes the link if that fails.
func (l *Link) ping() {
	if l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(pingAfter)) != nil {
		l.Close()
	}
}

// terminate closes the link, cancels the requests received over it, ends those sent over it
// with request.OutcomeUnknown, and reports the end to the handler.
func (l *Link) terminate() {
	l.Close()
	l.mu.Lock()
	outgoing, incoming := l.outgoing, l.incoming
	l.outgoing, l.incoming = nil, nil
	l.mu.Unlock()
	for _, in := range incoming {
		in.abort()
	}
	for _, out := range outgoing {
		out.enqueue(request.NewFailure(request.CodeLinkLost, "link to router %s ended", l.peer.VM).EndEvent(request.OutcomeUnknown))
	}
	close(l.done)
	l.handler.LinkDown(l, l.leaveReceived.Load())
}
