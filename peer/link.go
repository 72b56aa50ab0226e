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

// Timing of links.
const (
	writeTimeout = 5 * time.Second
	pingAfter    = 1 * time.Second         // without news while answers are awaited
	silentAfter  = 2500 * time.Millisecond // without news although pinged
	idleAfter    = 2 * time.Minute         // an unused link is closed
)

// Link carries requests and control messages to one other router; it may be
// used from many goroutines.
//
// Invariant: a request sent over a link gets exactly one EventEnd, from the other
// router or from the end of the link.
type Link struct {
	conn   *websocket.Conn
	peer   fleet.Member
	dialed bool // by this side
	server Handler
	logger zerolog.Logger
	bytes  *Traffic
	done   chan struct{}
	once   sync.Once

	writing sync.Mutex

	mu       sync.Mutex
	sent     map[uint64]*answer  // requests of this side
	served   map[uint64]*serving // requests of the other side
	nextID   uint64
	usedAt   time.Time
	heardAt  atomic.Int64 // monotonic, since started
	started  time.Time
	goodbyes atomic.Bool
}

// Traffic counts bytes over all links of a router.
type Traffic struct {
	ControlOut, ControlIn   atomic.Int64 // framing and TCP/IP headers included
	RequestsOut, RequestsIn atomic.Int64
	ControlMessages         atomic.Int64
}

// packetOverhead is what WebSocket, TCP and IPv4 add to a small message, in bytes.
const packetOverhead = 8 + 32 + 20

func (t *Traffic) out(k Kind, n int) {
	if k.carriesRequests() {
		t.RequestsOut.Add(int64(n + packetOverhead))
		return
	}
	t.ControlOut.Add(int64(n + packetOverhead))
	t.ControlMessages.Add(1)
}

func (t *Traffic) in(k Kind, n int) {
	if k.carriesRequests() {
		t.RequestsIn.Add(int64(n + packetOverhead))
		return
	}
	t.ControlIn.Add(int64(n + packetOverhead))
}

// Handler is the router's side of all links.
type Handler interface {
	// Serve runs a request of another router and returns how to recall it while
	// it waits. It must not block.
	Serve(ctx context.Context, from string, r *request.Request, sink request.Sink) (recall func())
	// Heartbeat takes in a router's heartbeat.
	Heartbeat(l *Link, h *Heartbeat)
	// Room takes in that a shard has room.
	Room(from string, r *Room)
	// Pull asks for the configuration after a revision.
	Pull(l *Link, p *Pull)
	// Changes takes in changes of the configuration.
	Changes(l *Link, c *Changes)
	// CrashRecords takes in the digests of requests that may crash backend servers.
	CrashRecords(from string, c *CrashRecords)
	// Up and Down take in that a link opened or ended; goodbye says that the other router stops.
	Up(l *Link)
	Down(l *Link, goodbye bool)
}

func newLink(c *websocket.Conn, peer fleet.Member, dialed bool, h Handler, t *Traffic, logger zerolog.Logger) *Link {
	now := time.Now()
	return &Link{
		conn: c, peer: peer, dialed: dialed, server: h, bytes: t,
		logger: logger.With().Str("peer", peer.VM).Logger(),
		done:   make(chan struct{}),
		sent:   map[uint64]*answer{}, served: map[uint64]*serving{},
		started: now, usedAt: now,
	}
}

// Peer returns what the other router said of itself when the link opened.
func (l *Link) Peer() fleet.Member { return l.peer }

// Done returns a channel that is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link.
func (l *Link) Close() { l.once.Do(func() { l.conn.Close() }) }

// Send sends a control message.
func (l *Link) Send(k Kind, body any) error { return l.write(k, 0, body) }

func (l *Link) write(k Kind, stream uint64, body any) error {
	data, err := encode(k, stream, body)
	if err != nil {
		return err
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := l.conn.WriteMessage(websocket.BinaryMessage, data); err != nil {
		l.Close()
		return err
	}
	l.bytes.out(k, len(data))
	return nil
}

// run reads messages until the link ends.
func (l *Link) run() {
	defer l.end()
	l.conn.SetPongHandler(func(string) error { l.heard(); return nil })
	for {
		_, data, err := l.conn.ReadMessage()
		if err != nil {
			l.logger.Debug().Err(err).Msg("link-ended")
			return
		}
		l.heard()
		f, err := decode(data)
		if err == nil {
			l.bytes.in(f.Kind, len(data))
			err = l.handle(f)
		}
		if err != nil {
			l.logger.Warn().Err(&FrameError{l.peer.VM, err}).Msg("link-closed-for-bad-message")
			return
		}
	}
}

func (l *Link) heard() { l.heardAt.Store(int64(time.Since(l.started))) }

// silence returns for how long nothing was heard.
func (l *Link) silence() time.Duration {
	return time.Since(l.started) - time.Duration(l.heardAt.Load())
}

func (l *Link) handle(f frame) error {
	switch f.Kind {
	case KindHeartbeat:
		return dispatch(f, func(h *Heartbeat) { l.server.Heartbeat(l, h) })
	case KindRequest:
		return dispatch(f, func(r *request.Request) { l.serve(f.Stream, r) })
	case KindEvent:
		return dispatch(f, func(e *request.Event) { l.event(f.Stream, *e) })
	case KindCancel:
		l.cancel(f.Stream)
	case KindRecall:
		l.recall(f.Stream)
	case KindCredit:
		return dispatch(f, func(c *Credit) { l.credit(f.Stream, c.Bytes) })
	case KindRoom:
		return dispatch(f, func(r *Room) { l.server.Room(l.peer.VM, r) })
	case KindPull:
		return dispatch(f, func(p *Pull) { l.server.Pull(l, p) })
	case KindChanges:
		return dispatch(f, func(c *Changes) { l.server.Changes(l, c) })
	case KindCrashRecords:
		return dispatch(f, func(c *CrashRecords) { l.server.CrashRecords(l.peer.VM, c) })
	case KindGoodbye:
		l.goodbyes.Store(true)
		l.server.Down(l, true)
	}
	return nil
}

func dispatch[T any](f frame, to func(*T)) error {
	v, err := body[T](f)
	if err == nil {
		to(v)
	}
	return err
}

// check pings a link from which answers are awaited and closes it when it went
// silent or has long been unused.
func (l *Link) check(now time.Time) {
	l.mu.Lock()
	streams := len(l.sent) + len(l.served)
	if streams > 0 {
		l.usedAt = now
	}
	unused := now.Sub(l.usedAt)
	l.mu.Unlock()
	silence := l.silence()
	switch {
	case streams > 0 && silence > silentAfter:
		l.logger.Info().Dur("silence", silence).Msg("link-silent")
		l.Close()
	case streams > 0 && silence > pingAfter:
		go l.ping()
	case unused > idleAfter && silence > idleAfter:
		l.Close()
	}
}

func (l *Link) ping() {
	if l.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(pingAfter)) != nil {
		l.Close()
	}
}

// end gives up everything that the link carried.
func (l *Link) end() {
	l.Close()
	l.mu.Lock()
	sent, served := l.sent, l.served
	l.sent, l.served = nil, nil
	l.mu.Unlock()
	for _, s := range served {
		s.abandon()
	}
	for _, a := range sent {
		a.push(request.Fail(request.CodeLinkLost, "link to router %s ended", l.peer.VM).End(request.Unknown))
	}
	close(l.done)
	l.server.Down(l, l.goodbyes.Load())
}
