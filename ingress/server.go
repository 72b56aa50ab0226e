package ingress

// This file defines Server, which accepts the connections of callers.

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/overload"
)

// limits holds the limits on the size of a request and on the time to send it.
type limits struct {
	headBytes, bodyBytes     int
	headTimeout, idleTimeout time.Duration
}

// defaultLimits applies until a configuration is available.
var defaultLimits = limits{headBytes: 16 << 10, bodyBytes: 4 << 20, headTimeout: 3 * time.Second, idleTimeout: 15 * time.Second}

const (
	answerTime         = 200 * time.Millisecond  // left for the answers to requests that are still served when the time to stop ends
	idleCloseDelay     = 2500 * time.Millisecond // from the start of shutdown until idle connections are closed, and requests are refused that may outlast it
	listenerCloseDelay = 3 * time.Second         // and until the listener is closed, by when the load balancer sends no new connections
	firstRequestTime   = time.Second             // in which the first request of a new connection comes, so that it is not idle
)

// Server accepts the connections of callers and serves their requests with a Flow.
type Server struct {
	flow      *Flow
	listener  net.Listener
	logger    zerolog.Logger
	done      chan struct{}
	stopTime  time.Duration // from the start of shutdown until all requests must be answered
	stopping  atomic.Bool
	stopsAt   atomic.Pointer[time.Time] // when requests are ended; nil before the start of shutdown
	requests  context.Context           // of all requests, which ends then
	end       context.CancelCauseFunc   // ends requests
	early     context.Context           // ends idleCloseDelay after the start of shutdown
	endEarly  context.CancelCauseFunc
	inFlight  atomic.Int64
	admission admission
	overload  overload.Detector

	mu        sync.Mutex
	conns     map[*conn]bool // open connections; the value tells whether a request is in flight
	shed      int            // requests dropped before they were served, since shedSince
	shedSince time.Time
}

// NewServer listens on a TCP address and allows the given number of open connections. When it shuts down, it ends what
// requests are left after stopTime. It returns an error if it cannot listen.
func NewServer(address string, connections int, stopTime time.Duration, f *Flow, logger zerolog.Logger) (*Server, error) {
	// TCP keep-alive is configured only when a request first waits for a response: under
	// overload most connections carry a single request that is refused at once.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Server{flow: f, listener: ln, logger: logger, stopTime: stopTime, done: make(chan struct{}), conns: map[*conn]bool{}, admission: admission{maxOpen: int64(connections)}}
	s.requests, s.end = context.WithCancelCause(context.Background())
	s.early, s.endEarly = context.WithCancelCause(s.requests)
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Run serves until ctx is done, then shuts down gracefully: it goes on serving requests
// but closes each connection after its response, then closes idle connections and the
// listener, and refuses requests that may outlast the shutdown. Shortly before stopTime has passed it ends the requests that
// are left. It returns nil when no connection is left.
func (s *Server) Run(ctx context.Context) error {
	go s.accept()
	<-ctx.Done()
	stopStart := time.Now()
	stopsAt := stopStart.Add(s.stopTime - answerTime)
	s.stopsAt.Store(&stopsAt)
	s.stopping.Store(true)
	defer time.AfterFunc(idleCloseDelay, func() { s.endEarly(errStopping) }).Stop()
	defer time.AfterFunc(time.Until(stopsAt), func() { s.end(errStopping) }).Stop()
	for {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		elapsed := now.Sub(stopStart)
		if elapsed > idleCloseDelay {
			s.closeIdle(now)
		}
		if elapsed > listenerCloseDelay {
			s.listener.Close()
			if s.noConnections() {
				close(s.done)
				return nil
			}
		}
	}
}

// errStopping is the cause of the end of requests that are not answered when the time to stop ends.
var errStopping = errors.New("the router stops")

// stopBegan returns when the stop began, or the zero time if it has not.
func (s *Server) stopBegan() time.Time {
	at := s.stopsAt.Load()
	if at == nil {
		return time.Time{}
	}
	return at.Add(answerTime - s.stopTime)
}

// mayCutOff reports whether the shutdown has come so far that a request with this deadline, sent to a backend server now, may
// be cut off. Before that the load balancer still sends callers here, and most requests end in time.
func (s *Server) mayCutOff(deadline time.Time) bool {
	return s.early.Err() != nil && deadline.After(*s.stopsAt.Load())
}

// noConnections reports whether no connection is open.
func (s *Server) noConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// closeIdle interrupts the reads of connections without a request in flight, so that
// their goroutines close them. New ones get the time for their first request.
func (s *Server) closeIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, busy := range s.conns {
		if !busy && now.Sub(c.acceptedAt) >= firstRequestTime {
			c.SetReadDeadline(pastDeadline)
		}
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logger.Warn().Err(err).Msg("accept-failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admission.admits() {
			err := s.admission.reject(nc)
			s.countShed(1+s.admission.rejectWaiting(s.listener), err)
			runtime.Gosched()
			continue
		}
		s.recordConnections(1, 0)
		s.admission.connOpened()
		go s.serve(nc)
	}
}

// serve serves the requests of one connection and closes it.
func (s *Server) serve(nc net.Conn) {
	now := time.Now()
	c := &conn{Conn: nc, server: s, acceptedAt: now, requestBegan: now, awaitingFirst: true}
	c.watcher = newCloseWatcher(nc)
	s.admission.attachReader(c)
	s.setBusy(c, false)
	defer func() {
		s.admission.connClosed(c)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for s.serveOne(c) {
	}
	c.lingeringClose()
	if c.reader != nil {
		s.admission.detachReader(c)
	}
}

// shedLogInterval is the least time between two lines that tell how many requests were shed.
const shedLogInterval = time.Second

// recordConnections counts new connections by whether they were rejected unread, and logs that the router asks the load
// balancer for no more if it begins to.
func (s *Server) recordConnections(accepted, rejected int) {
	if s.overload.Record(time.Now(), accepted, rejected) {
		s.flow.metrics.pauses.Inc(1)
		s.logger.Warn().Int64("waiting_unread", s.admission.awaitingFirst.Load()).Int64("open", s.admission.open.Load()).Msg("overloaded-by-connections")
	}
}

// WantsConnections reports whether the load balancer should send new connections to this router, one of a number of reachable
// routers of its zone.
func (s *Server) WantsConnections(zoneRouters int) bool {
	return s.overload.WantsConnections(time.Now(), zoneRouters)
}

// countShed counts requests that were dropped before they were served, and logs err if a
// caller got no response.
func (s *Server) countShed(requests int, err error) {
	s.flow.metrics.shed.Inc(int64(requests))
	s.recordConnections(0, requests)
	s.mu.Lock()
	s.shed += requests
	shed, since, now := s.shed, s.shedSince, time.Now()
	due := now.Sub(since) >= shedLogInterval
	if due {
		s.shed, s.shedSince = 0, now
	}
	s.mu.Unlock()
	if due {
		s.logger.Warn().Int("requests", shed).Time("since", since).Int64("waiting_unread", s.admission.awaitingFirst.Load()).Int64("open", s.admission.open.Load()).Msg("requests-shed")
	}
	if err != nil {
		s.logger.Debug().Err(err).Msg("shed-without-response")
	}
}

// setBusy records whether a request is in flight on a connection.
func (s *Server) setBusy(c *conn, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = busy
}

// serveOne serves the next request and reports whether the connection stays open.
func (s *Server) serveOne(c *conn) bool {
	l := s.flow.limits()
	c.SetReadDeadline(time.Now().Add(l.idleTimeout))
	err := s.awaitRequest(c)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasInput() { // a request came as the wait for it was interrupted
		c.SetReadDeadline(time.Now().Add(l.headTimeout))
		err = s.awaitRequest(c)
	}
	if err != nil {
		c.endedIdle = errors.Is(err, io.EOF) || s.stopping.Load()
		return false
	}
	if !c.awaitingFirst {
		c.requestBegan = time.Now()
	}
	s.setBusy(c, true)
	defer s.setBusy(c, false)
	c.SetReadDeadline(time.Now().Add(l.headTimeout))
	r, body, err := c.readRequest(l)
	if err != nil {
		var requestErr *requestError
		if errors.As(err, &requestErr) {
			s.flow.rejectRequest(c, requestErr)
		}
		return false
	}
	c.SetReadDeadline(time.Time{})
	stale := c.awaitingFirst && time.Since(c.requestBegan) > staleAfter
	s.admission.firstRequestEnded(c)
	if stale && c.closedByCaller() {
		s.countShed(1, errLeftBeforeServed)
		return false
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	keepConn := s.flow.serve(c, r, body)
	return keepConn
}

// errLeftBeforeServed is logged if a caller had disconnected by the time its request was read.
var errLeftBeforeServed = errors.New("the client left before its request was read")

// awaitRequest waits for the first byte of a request. The read buffer of an idle
// connection is returned to the pool meanwhile.
func (s *Server) awaitRequest(c *conn) error {
	if c.reader != nil {
		if c.awaitingFirst || c.reader.Buffered() > 0 {
			_, err := c.reader.Peek(1)
			return err
		}
		s.admission.detachReader(c)
	}
	if err := c.watcher.awaitByte(); err != nil {
		return err
	}
	s.admission.attachReader(c)
	return nil
}
