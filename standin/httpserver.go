package standin

// This file defines httpServer, the HTTP server that every stand-in embeds, and
// its connection faults.

import (
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// httpServer serves the requests of one stand-in and keeps track of its open
// connections, so that tests can close or blackhole them.
type httpServer struct {
	listener net.Listener
	address  string
	http     *fasthttp.Server
	done     chan struct{} // closed when the server has stopped
	frozen   atomic.Bool   // see SetFrozen

	mu    sync.Mutex
	conns map[*trackedConn]struct{} // open connections

	onStep atomic.Pointer[func(Step)]
}

// Step is a point in the handling of a request where a test can inject a fault.
type Step string

// The steps of a request at a model server or plain service. Completions that are not
// streamed reach neither StepStreaming nor StepEnding.
const (
	StepReceived   Step = "send"   // the request was received; processing has not started
	StepRunning    Step = "first"  // the request is being processed; no response was sent
	StepStreaming  Step = "stream" // the first token of a stream was sent; more follow
	StepEnding     Step = "end"    // processing is complete; the end of the response was not sent
	StepLoadReport Step = "report" // a load report was requested; no response was sent
)

// OnStep sets the function to call whenever a request reaches a step. The request
// continues when the function returns.
func (s *httpServer) OnStep(f func(Step)) { s.onStep.Store(&f) }

// reachStep calls the function set by OnStep, if any.
func (s *httpServer) reachStep(step Step) {
	if f := s.onStep.Load(); f != nil {
		(*f)(step)
	}
}

// start listens on a TCP address and serves requests with handler. Port 0 selects a
// free port. It fails if it cannot listen.
func (s *httpServer) start(address string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = ln
	s.address = ln.Addr().String()
	s.done = make(chan struct{})
	s.conns = map[*trackedConn]struct{}{}
	s.http = &fasthttp.Server{
		Handler:            func(c *fasthttp.RequestCtx) { s.waitWhileFrozen(); handler(c) },
		MaxRequestBodySize: 64 << 20,
		Logger:             discardLogger{},
	}
	go func() {
		defer close(s.done)
		s.http.Serve(trackingListener{ln, s})
	}()
	return nil
}

// discardLogger discards the log messages of fasthttp.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// trackingListener records the connections that it accepts in its server.
type trackingListener struct {
	net.Listener
	server *httpServer
}

func (l trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// trackedConn is an accepted connection. Once it is blackholed, writes to it are
// discarded but report success, and closing it does not notify the peer.
type trackedConn struct {
	net.Conn
	server     *httpServer
	blackholed atomic.Bool
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	if c.blackholed.Load() {
		return nil // leave the connection open, so that the peer receives no FIN or RST
	}
	return c.Conn.Close()
}

// BlackholeConns permanently blackholes every open connection: what the stand-in sends on
// them is lost without an error. New connections work.
func (s *httpServer) BlackholeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.blackholed.Store(true)
	}
}

// waitWhileFrozen blocks until the stand-in is not frozen.
func (s *httpServer) waitWhileFrozen() {
	for s.frozen.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// dropConns closes every open connection immediately, as a crash of the process would.
func (s *httpServer) dropConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Conn.Close()
	}
}

// Address returns the address that the stand-in listens on.
func (s *httpServer) Address() string { return s.address }

// Done returns a channel that is closed when the stand-in has stopped serving.
func (s *httpServer) Done() <-chan struct{} { return s.done }

// SetFrozen(true) blocks new requests, the generation of tokens and stream events, while
// all connections stay open. SetFrozen(false) lets them continue. POST /faults is blocked
// as well, so only a call of SetFrozen(false) can end this.
func (s *httpServer) SetFrozen(on bool) { s.frozen.Store(on) }

// Close stops listening, closes all connections and waits until the server has stopped.
func (s *httpServer) Close() {
	s.listener.Close()
	s.dropConns()
	<-s.done
}

// writeJSON sends v as JSON with an HTTP status, or status 500 if v cannot be encoded.
func writeJSON(c *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), 500)
		return
	}
	c.SetStatusCode(status)
	c.SetContentType("application/json")
	c.SetBody(data)
}
