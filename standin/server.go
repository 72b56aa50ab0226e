package standin

// This file defines server, the HTTP listener that every stand-in embeds.

import (
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// server serves one stand-in on a loopback address and can drop all its connections.
type server struct {
	listener net.Listener
	address  string
	http     *fasthttp.Server
	done     chan struct{}
	frozen   atomic.Bool // connections stay open and nothing moves

	mu    sync.Mutex
	conns map[*conn]struct{}

	onStep atomic.Pointer[func(Step)]
}

// Step is a point in the handling of a request where a test can make things go wrong.
type Step string

// The steps of a request at a backend server.
const (
	StepSend   Step = "send"   // the request arrived, nothing is run
	StepFirst  Step = "first"  // it runs, nothing is answered
	StepStream Step = "stream" // part of a stream is answered
	StepEnd    Step = "end"    // all but the end is answered
	StepReport Step = "report" // the load is asked for
)

// OnStep has a function called at each step.
func (s *server) OnStep(f func(Step)) { s.onStep.Store(&f) }

func (s *server) step(x Step) {
	if f := s.onStep.Load(); f != nil {
		(*f)(x)
	}
}

// start listens on an address, which may have port 0.
func (s *server) start(address string, h fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = ln
	s.address = ln.Addr().String()
	s.done = make(chan struct{})
	s.conns = map[*conn]struct{}{}
	s.http = &fasthttp.Server{
		Handler:            func(c *fasthttp.RequestCtx) { s.wait(); h(c) },
		MaxRequestBodySize: 64 << 20,
		Logger:             quiet{},
	}
	go func() {
		defer close(s.done)
		s.http.Serve(listener{ln, s})
	}()
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// listener keeps account of the connections that it accepts.
type listener struct {
	net.Listener
	server *server
}

func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// conn is an accepted connection, which can go silent: what is written to it
// vanishes and nothing more is read from it.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	if c.silent.Load() {
		return nil // the other side hears nothing of it
	}
	return c.Conn.Close()
}

// Silence makes every open connection silent for good; new ones work.
func (s *server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// wait blocks while the stand-in is frozen.
func (s *server) wait() {
	for s.frozen.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// dropConns closes every open connection at once, as a crash does.
func (s *server) dropConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Conn.Close()
	}
}

// Address returns the address that the stand-in listens on.
func (s *server) Address() string { return s.address }

// Done returns a channel that is closed when the stand-in has stopped.
func (s *server) Done() <-chan struct{} { return s.done }

// SetFrozen makes the stand-in hold all its connections open without answering.
func (s *server) SetFrozen(on bool) { s.frozen.Store(on) }

// Close stops the stand-in and drops its connections.
func (s *server) Close() {
	s.listener.Close()
	s.dropConns()
	<-s.done
}

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
