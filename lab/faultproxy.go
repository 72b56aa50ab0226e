package lab

// This file defines FaultProxy, a TCP proxy in front of one router or of the platform. It
// simulates network partitions: depending on the source address, it breaks connections or
// stops forwarding on them.

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkState is the state of the link between two sides, which are zones or the platform.
type LinkState int

// The states of a link.
const (
	LinkUp     LinkState = iota // traffic passes
	LinkBroken                  // connections are closed, new ones right after they are accepted
	LinkSilent                  // connections stay open and new ones are accepted, but no data passes
)

// FaultProxy is a TCP proxy that forwards connections to one target address.
type FaultProxy struct {
	listener net.Listener
	target   string
	state    func(sourceIP string) LinkState

	mu    sync.Mutex
	conns map[*proxiedConn]struct{}
}

// proxiedConn is a connection from a client with its connection to the target.
type proxiedConn struct {
	sourceIP          string // IP address of the dialing side
	inbound, outbound net.Conn
	closeOnce         sync.Once
}

// close closes both connections. Only the first call has an effect.
func (p *proxiedConn) close() {
	p.closeOnce.Do(func() {
		p.inbound.Close()
		if p.outbound != nil {
			p.outbound.Close()
		}
	})
}

// NewFaultProxy starts a proxy that listens on one address and forwards to another. It
// calls state with the IP address of the client for each new connection and each chunk of
// data.
func NewFaultProxy(listen, target string, state func(sourceIP string) LinkState) (*FaultProxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &FaultProxy{listener: ln, target: target, state: state, conns: map[*proxiedConn]struct{}{}}
	go f.acceptLoop()
	return f, nil
}

// Address returns the address that the proxy listens on.
func (f *FaultProxy) Address() string { return f.listener.Addr().String() }

// Close stops the proxy and closes its connections.
func (f *FaultProxy) Close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.conns {
		p.close()
	}
}

// CloseBroken closes the connections whose state is now LinkBroken. Call it after a change of
// what the state function returns.
func (f *FaultProxy) CloseBroken() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.conns {
		if f.state(p.sourceIP) == LinkBroken {
			p.close()
		}
	}
}

// acceptLoop forwards new connections until the listener is closed.
func (f *FaultProxy) acceptLoop() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(conn)
	}
}

// forward dials the target and copies data both ways until either connection ends.
func (f *FaultProxy) forward(inbound net.Conn) {
	sourceIP, _, _ := net.SplitHostPort(inbound.RemoteAddr().String())
	p := &proxiedConn{sourceIP: sourceIP, inbound: inbound}
	f.mu.Lock()
	f.conns[p] = struct{}{}
	f.mu.Unlock()
	defer func() {
		p.close()
		f.mu.Lock()
		delete(f.conns, p)
		f.mu.Unlock()
	}()
	if f.state(sourceIP) == LinkBroken {
		return
	}
	outbound, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		return
	}
	p.outbound = outbound
	done := make(chan struct{})
	go func() { f.copy(outbound, inbound, p); close(done) }()
	f.copy(inbound, outbound, p)
	<-done
}

// copy copies data in one direction until a read or write fails, then closes both
// connections. It holds back data that arrives while the state is LinkSilent until the state
// changes.
func (f *FaultProxy) copy(to, from net.Conn, p *proxiedConn) {
	defer p.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for f.state(p.sourceIP) == LinkSilent {
			time.Sleep(5 * time.Millisecond)
			if n > 0 && f.isClosed(p) {
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

// isClosed reports whether a connection has been removed from conns.
func (f *FaultProxy) isClosed(p *proxiedConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.conns[p]
	return !ok
}
