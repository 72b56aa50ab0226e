package lab

// This file defines Wire, a TCP forwarder in front of one router or the platform,
// which can be cut or made silent for callers from chosen addresses.

import (
	"io"
	"net"
	"sync"
	"time"
)

// Cut says what a wire does to traffic between two sides.
type Cut int

// The states of a wire.
const (
	Whole  Cut = iota
	Broken     // connections end and new ones are refused
	Silent     // open connections carry nothing, new ones get no answer
)

// Wire forwards TCP connections to an address.
type Wire struct {
	listener net.Listener
	target   string
	state    func(from string) Cut

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is one forwarded connection.
type pair struct {
	from     string // IP number of the dialing side
	in, out  net.Conn
	stranded sync.Once
}

func (p *pair) close() {
	p.stranded.Do(func() {
		p.in.Close()
		if p.out != nil {
			p.out.Close()
		}
	})
}

// NewWire returns a wire to an address; the state is asked for each part of
// traffic, with the IP number that dialed.
func NewWire(listen, target string, state func(from string) Cut) (*Wire, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	w := &Wire{listener: ln, target: target, state: state, pairs: map[*pair]struct{}{}}
	go w.accept()
	return w, nil
}

// Address returns the address to dial.
func (w *Wire) Address() string { return w.listener.Addr().String() }

// Close ends the wire and its connections.
func (w *Wire) Close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pairs {
		p.close()
	}
}

// Apply ends the connections that a new state breaks.
func (w *Wire) Apply() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pairs {
		if w.state(p.from) == Broken {
			p.close()
		}
	}
}

func (w *Wire) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.carry(c)
	}
}

func (w *Wire) carry(in net.Conn) {
	from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	p := &pair{from: from, in: in}
	w.mu.Lock()
	w.pairs[p] = struct{}{}
	w.mu.Unlock()
	defer func() {
		p.close()
		w.mu.Lock()
		delete(w.pairs, p)
		w.mu.Unlock()
	}()
	if w.state(from) == Broken {
		return
	}
	out, err := net.DialTimeout("tcp", w.target, time.Second)
	if err != nil {
		return
	}
	p.out = out
	done := make(chan struct{})
	go func() { w.copy(out, in, p); close(done) }()
	w.copy(in, out, p)
	<-done
}

func (w *Wire) copy(to, from net.Conn, p *pair) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for w.state(p.from) == Silent {
			time.Sleep(5 * time.Millisecond)
			if n > 0 && w.gone(p) {
				return
			}
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// gone reports whether the wire no longer knows a connection.
func (w *Wire) gone(p *pair) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.pairs[p]
	return !ok
}
