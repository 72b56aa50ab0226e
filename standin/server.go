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
	conns map[net.Conn]struct{}
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
	s.conns = map[net.Conn]struct{}{}
	s.http = &fasthttp.Server{
		Handler:            func(c *fasthttp.RequestCtx) { s.wait(); h(c) },
		ConnState:          s.track,
		MaxRequestBodySize: 64 << 20,
		Logger:             quiet{},
	}
	go func() {
		defer close(s.done)
		s.http.Serve(ln)
	}()
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (s *server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
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
		c.Close()
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
