package ingress

// This file defines Server, which accepts clients' connections.

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// limits bound what a client may send and how long it may take.
type limits struct {
	headBytes, bodyBytes int
	head, idle           time.Duration
}

// defaultLimits hold until a configuration says better.
var defaultLimits = limits{headBytes: 16 << 10, bodyBytes: 4 << 20, head: 3 * time.Second, idle: 15 * time.Second}

const (
	stopIdle   = 2500 * time.Millisecond // after the stop began, idle connections are closed
	stopListen = 3 * time.Second         // and the listener, when the balancer sends nobody any more
)

// Server accepts connections of clients and serves their requests in a Flow.
type Server struct {
	flow     *Flow
	listener net.Listener
	logger   zerolog.Logger
	done     chan struct{}
	stopping atomic.Bool
	inFlight atomic.Int64
	door     door

	mu    sync.Mutex
	conns map[*conn]bool // whether a request is in flight
}

// NewServer listens for clients, of whose connections so many may be open.
func NewServer(address string, connections int, f *Flow, logger zerolog.Logger) (*Server, error) {
	// Keep-alive is set on a connection when a request on it is first waited for: most
	// connections in a flood carry one request that is refused at once.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Server{flow: f, listener: ln, logger: logger, done: make(chan struct{}), conns: map[*conn]bool{}, door: door{limit: int64(connections)}}, nil
}

// Address returns the address that clients reach.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Run serves until the context ends, then lets requests in flight end: new ones
// are served, with their connections closed after, until no more come.
func (s *Server) Run(ctx context.Context) error {
	go s.accept()
	<-ctx.Done()
	s.stopping.Store(true)
	began := time.Now()
	for {
		time.Sleep(50 * time.Millisecond)
		age := time.Since(began)
		if age > stopIdle {
			s.closeIdle()
		}
		if age > stopListen {
			s.listener.Close()
			if s.idle() {
				close(s.done)
				return nil
			}
		}
	}
}

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, busy := range s.conns {
		if !busy {
			c.SetReadDeadline(past)
		}
	}
}

const acceptPause = 5 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logger.Warn().Err(err).Msg("accept-failed")
			time.Sleep(acceptPause)
			continue
		}
		if !s.door.admits() {
			s.shed(s.door.refuse(nc))
			continue
		}
		s.door.enter()
		go s.serve(nc)
	}
}

func (s *Server) serve(nc net.Conn) {
	c := &conn{Conn: nc, server: s, since: time.Now(), opening: true}
	c.watch = newWatcher(nc)
	s.door.lend(c)
	s.mark(c, false)
	defer func() {
		s.door.leave(c)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for s.serveOne(c) {
	}
	c.finish()
	if c.reader != nil {
		s.door.reclaim(c)
	}
}

// shed takes in that a request was refused unread.
func (s *Server) shed(err error) {
	s.flow.counts.shed.Inc(1)
	if err != nil {
		s.logger.Debug().Err(err).Msg("refusal-lost")
	}
}

func (s *Server) mark(c *conn, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
}

// serveOne serves the next request and reports whether the connection stays open.
func (s *Server) serveOne(c *conn) bool {
	l := s.flow.limits()
	c.SetReadDeadline(time.Now().Add(l.idle))
	if err := s.awaitRequest(c); err != nil {
		c.ended = errors.Is(err, io.EOF)
		return false
	}
	s.mark(c, true)
	defer s.mark(c, false)
	c.SetReadDeadline(time.Now().Add(l.head))
	r, body, err := c.readRequest(l)
	if err != nil {
		var bad *headError
		if errors.As(err, &bad) {
			s.flow.refuseHead(c, bad)
		}
		return false
	}
	c.SetReadDeadline(time.Time{})
	late := c.opening && time.Since(c.since) > stalled
	s.door.read(c)
	if late && c.left() {
		s.shed(errLeftUnread)
		return false
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ok := s.flow.serve(c, r, body)
	return ok && !s.stopping.Load()
}

// errLeftUnread says that a client gave its request up before it was read.
var errLeftUnread = errors.New("the client left before its request was read")

// awaitRequest waits for the first byte of a request.
func (s *Server) awaitRequest(c *conn) error {
	if c.reader != nil {
		if c.opening || c.reader.Buffered() > 0 {
			_, err := c.reader.Peek(1)
			return err
		}
		s.door.reclaim(c)
	}
	if err := c.watch.await(); err != nil {
		return err
	}
	s.door.lend(c)
	return nil
}
