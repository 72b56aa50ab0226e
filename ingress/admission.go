package ingress

// This file defines admission, which limits the connections of callers.

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// admission counts the connections of callers, decides which to accept, and pools their buffers.
//
// A router that cannot read requests as fast as they arrive would spend all its time on
// requests that callers have abandoned. Connections beyond those that can be read soon
// are therefore rejected unread, and while more than half of the allowed connections are
// open, a connection is closed after an error response.
type admission struct {
	maxOpen       int64        // maximum number of open connections
	open          atomic.Int64 // number of open connections
	awaitingFirst atomic.Int64 // open connections whose first request has not been read
	readers       sync.Pool    // of *bufio.Reader
}

const (
	readBufferBytes  = 17 << 10
	maxAwaitingFirst = 64                     // connections; above it, new ones are rejected unread
	staleAfter       = 250 * time.Millisecond // time from accept to the first request after which the caller may have disconnected
)

// admits reports whether another connection may be accepted.
func (a *admission) admits() bool {
	return a.awaitingFirst.Load() < maxAwaitingFirst && a.open.Load() < a.maxOpen
}

// halfFull reports whether more than half of the allowed connections are open.
func (a *admission) halfFull() bool { return a.open.Load() > a.maxOpen/2 }

func (a *admission) connOpened() {
	a.open.Add(1)
	a.awaitingFirst.Add(1)
}

// firstRequestEnded records that the first request was read or will not arrive.
func (a *admission) firstRequestEnded(c *conn) {
	if c.awaitingFirst {
		c.awaitingFirst = false
		a.awaitingFirst.Add(-1)
	}
}

func (a *admission) connClosed(c *conn) {
	a.firstRequestEnded(c)
	a.open.Add(-1)
}

// attachReader gives a connection a pooled read buffer. Idle connections have none.
func (a *admission) attachReader(c *conn) {
	if b, ok := a.readers.Get().(*bufio.Reader); ok {
		b.Reset(&c.watcher)
		c.reader = b
		return
	}
	c.reader = bufio.NewReaderSize(&c.watcher, readBufferBytes)
}

// detachReader returns the read buffer of a connection to the pool.
func (a *admission) detachReader(c *conn) {
	c.reader.Reset(nil)
	a.readers.Put(c.reader)
	c.reader = nil
}

// overloadedResponse is sent on a connection that is rejected before its request is read.
const overloadedResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"

// rejection is overloadedResponse as bytes, which are not changed.
var rejection = []byte(overloadedResponse)

// reject writes overloadedResponse and closes the connection. It returns the write error.
func (a *admission) reject(nc net.Conn) error {
	_, err := io.WriteString(nc, overloadedResponse)
	nc.Close()
	return err
}

// rejectsPerTurn is how many connections are rejected before the requests that are being served
// get the processor. A flood would otherwise delay them, and the detection of callers that have left.
const rejectsPerTurn = 128

// rejectWaiting rejects connections that wait to be accepted, while none may be accepted, and returns how many. In a flood most of
// a small router's processor time goes into this, so that it makes three system calls for each and registers none with the
// runtime's poller.
func (a *admission) rejectWaiting(l net.Listener) (rejected int) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(listener uintptr) {
		for ; rejected < rejectsPerTurn && !a.admits(); rejected++ {
			fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // none waits any more
			}
			unix.Write(fd, rejection) // fits into the buffer of a new connection
			unix.Close(fd)
		}
	})
	return rejected
}
