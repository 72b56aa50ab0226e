package upstream

// This file defines Pool, which dials and reuses connections to backend servers, and conn.

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

// Options are the timeouts of connections and the size of a Pool.
type Options struct {
	DialTimeout            time.Duration
	AckTimeout             time.Duration // a connection ends if sent data is not acknowledged within this time
	NonRepeatableMaxIdle   time.Duration // longest idle time of a connection that is reused for a non-repeatable request
	IdleTimeout            time.Duration // a connection is closed after this idle time
	MaxIdleConnsPerAddress int
	MaxBufferedBytes       int64 // of heads, bodies and incomplete events that are held at the same time; 0 if there is no limit
}

// DefaultOptions suit backend servers in the same region.
var DefaultOptions = Options{
	DialTimeout:            400 * time.Millisecond,
	AckTimeout:             2 * time.Second,
	NonRepeatableMaxIdle:   700 * time.Millisecond,
	IdleTimeout:            8 * time.Second,
	MaxIdleConnsPerAddress: 32,
}

const (
	readBufferBytes     = 4 << 10
	tcpKeepAliveIdle    = 2 * time.Second
	tcpKeepAliveProbes  = 2
	serverTimeoutMargin = 400 * time.Millisecond // a connection is not used this close to the idle timeout that the server announced
)

// Pool dials connections and keeps idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer
	memory  memory

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the last one returned to the pool at the end
	closed bool               // no idle connections are kept any more
	dialed int                // number of connections
	reused int                // how often an idle connection was used again
}

// NewPool returns an empty Pool. Connections are made from the local IP address
// localIP, or from any if it is empty.
func NewPool(o Options, localIP string) *Pool {
	p := &Pool{options: o, memory: memory{limit: o.MaxBufferedBytes}, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: tcpKeepAliveIdle, Interval: time.Second, Count: tcpKeepAliveProbes},
		Control:         p.setAckTimeout,
	}
	if ip := net.ParseIP(localIP); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

// setAckTimeout sets TCP_USER_TIMEOUT, so that the kernel closes the connection if the
// peer does not acknowledge sent data within Options.AckTimeout.
func (p *Pool) setAckTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.AckTimeout/time.Millisecond))
	})
	return errors.Join(err, sockoptErr)
}

// conn is one connection to a backend server, used by one request at a time.
type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	idleSince   time.Time     // when it was made, or last carried a request
	idleTimeout time.Duration // of the pool, or shorter if the server announced that
	exchanges   int           // number of completed exchanges
	headOf      *Exchange     // whose head is being read; nil at other times
	headErr     error         // of a head that was read
	closeOnce   sync.Once
}

// Read reads from the connection for the buffer. Once Exchange.checkHead has returned an error, it returns that and reads no
// more: a parser that looks ahead may drop the error, and must not go on behind the bytes that were refused.
func (c *conn) Read(b []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.Conn.Read(b)
	if c.headOf == nil {
		return n, err
	}
	if c.headErr = c.headOf.checkHead(b[:n]); c.headErr != nil {
		return 0, c.headErr
	}
	return n, err
}

// abort closes the connection, which ends blocked reads and writes.
func (c *conn) abort() { c.closeOnce.Do(func() { c.Conn.Close() }) }

// takeIdle removes a usable connection from the idle ones and returns it, or nil if
// there is none. It closes the unusable ones that it meets.
func (p *Pool) takeIdle(address string, now time.Time, nonRepeatable bool) *conn {
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
		idleTime := now.Sub(c.idleSince)
		if nonRepeatable && idleTime > p.options.NonRepeatableMaxIdle {
			p.putIdle(c) // a repeatable request may still use it
			return nil
		}
		if idleTime < c.idleTimeout && c.usable() {
			return c
		}
		c.abort()
	}
}

// usable reports whether the connection is open and no unread bytes have arrived on it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, unix.EAGAIN) // a closed connection returns 0 bytes or another error
		return true
	})
	return err == nil && openAndEmpty
}

// get returns a connection for a request: an idle one if there is a usable one and the request allows it, or
// else a new one. It fails if the address cannot be dialed.
func (p *Pool) get(ctx context.Context, address string, r *Request) (*conn, error) {
	if !r.NewConnection {
		if c := p.takeIdle(address, time.Now(), r.NonRepeatable); c != nil {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c, nil
		}
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	c := &conn{Conn: netConn, address: address, idleSince: time.Now(), idleTimeout: p.options.IdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// putIdle keeps a connection for a later request, or closes it if enough are kept or the pool is closed.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	list := p.idle[c.address]
	if !p.closed && len(list) < p.options.MaxIdleConnsPerAddress {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.abort()
	}
}

// CloseExpired closes the connections that have reached their idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
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
	for _, c := range expired {
		c.abort()
	}
}

// Close closes all idle connections. Those of requests that have not ended are closed as they end.
func (p *Pool) Close() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*conn{}
	p.closed = true
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.abort()
		}
	}
}

// BufferedBytes returns the memory that the responses of backend servers hold now, in bytes.
func (p *Pool) BufferedBytes() int64 {
	used, _ := p.memory.counts()
	return used
}

// EndedForMemory returns how many exchanges were ended so far because of the memory that responses held.
func (p *Pool) EndedForMemory() int {
	_, ended := p.memory.counts()
	return ended
}

// Counts returns how many connections were dialed and how often an idle one was reused.
func (p *Pool) Counts() (dials, reuses int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}
