package upstream

// This file defines Pool and conn, connections to backend servers.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the times of connections.
type Options struct {
	DialTimeout time.Duration
	Silence     time.Duration // unacknowledged data for this long ends a connection
	YoungAge    time.Duration // idle time up to which a connection carries what may not be repeated
	IdleAge     time.Duration // longest idle time of a kept connection
	MaxIdle     int           // kept connections for each address
}

// DefaultOptions fit backend servers within a region.
var DefaultOptions = Options{
	DialTimeout: 400 * time.Millisecond,
	Silence:     2 * time.Second,
	YoungAge:    700 * time.Millisecond,
	IdleAge:     8 * time.Second,
	MaxIdle:     32,
}

const (
	readBuffer      = 4 << 10
	keepAliveIdle   = 2 * time.Second
	keepAliveProbes = 2
	keepAliveMargin = 400 * time.Millisecond // a connection is not used that close to the server's own time-out
)

// Pool keeps idle connections; it may be used from many goroutines.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn
	dials  int
	reuses int
}

// NewPool returns an empty Pool that dials from an IP number, or from any if it is empty.
func NewPool(o Options, from string) *Pool {
	p := &Pool{options: o, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveProbes},
		Control:         p.control,
	}
	if ip := net.ParseIP(from); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

// control lets a connection end whose peer acknowledges nothing.
func (p *Pool) control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.Silence/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// conn is one connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	idleSince time.Time
	usableFor time.Duration // idle, by what the server said
	served    int
	closed    sync.Once
}

// abort closes the connection at once, which ends reads and writes that wait.
func (c *conn) abort() { c.closed.Do(func() { c.Conn.Close() }) }

// take returns a kept connection that is fit for use, or nil.
func (p *Pool) take(address string, now time.Time, young bool) *conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		age := now.Sub(c.idleSince)
		if young && age > p.options.YoungAge {
			p.put(c) // fit for others
			return nil
		}
		if age < c.usableFor && c.quiet() {
			return c
		}
		c.abort()
	}
}

// quiet reports whether the connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// get returns a connection for one request: a kept one, or a new one.
func (p *Pool) get(ctx context.Context, address string, young bool) (*conn, error) {
	if c := p.take(address, time.Now(), young); c != nil {
		p.mu.Lock()
		p.reuses++
		p.mu.Unlock()
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &conn{Conn: nc, address: address, reader: bufio.NewReaderSize(nc, readBuffer), usableFor: p.options.IdleAge}, nil
}

// put keeps a connection for a later request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < p.options.MaxIdle {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.abort()
	}
}

// Trim closes connections that were idle too long.
func (p *Pool) Trim(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.usableFor {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		c.abort()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.abort()
		}
	}
}

// Counts returns how many connections were opened, and how often one was used again.
func (p *Pool) Counts() (dials, reuses int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.reuses
}
