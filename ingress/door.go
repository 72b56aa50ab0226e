package ingress

// This file defines door, which bounds what clients' connections take of a router.

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// door counts clients' connections and says which are taken in.
//
// A router that cannot read requests as fast as they come would spend all its time on
// requests that their clients have given up. So connections beyond those that can soon
// be read are refused unread, and with many open ones a refused client's is closed.
type door struct {
	limit   int64        // connections that may be open
	open    atomic.Int64 // connections
	opening atomic.Int64 // of these, those whose first request is yet to be read
	readers sync.Pool    // of *bufio.Reader
}

const (
	clientBuffer = 17 << 10
	mostOpening  = 64                     // beyond, new connections are refused unread
	stalled      = 250 * time.Millisecond // from a connection to its first request, after which its client may have given up
)

// admits reports whether one more connection may be taken in.
func (d *door) admits() bool {
	return d.opening.Load() < mostOpening && d.open.Load() < d.limit
}

// crowded reports whether so many connections are open that idle ones should not stay.
func (d *door) crowded() bool { return d.open.Load() > d.limit/2 }

func (d *door) enter() {
	d.open.Add(1)
	d.opening.Add(1)
}

// read takes in that a connection's first request was read, or that none comes.
func (d *door) read(c *conn) {
	if c.opening {
		c.opening = false
		d.opening.Add(-1)
	}
}

func (d *door) leave(c *conn) {
	d.read(c)
	d.open.Add(-1)
}

// lend gives a connection a buffer; an idle connection has none.
func (d *door) lend(c *conn) {
	if b, ok := d.readers.Get().(*bufio.Reader); ok {
		b.Reset(&c.watch)
		c.reader = b
		return
	}
	c.reader = bufio.NewReaderSize(&c.watch, clientBuffer)
}

// reclaim takes a connection's buffer back.
func (d *door) reclaim(c *conn) {
	c.reader.Reset(nil)
	d.readers.Put(c.reader)
	c.reader = nil
}

// busyAnswer refuses a request that is not read: it has not run.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"

// refuse answers what comes on a connection, unread.
func (d *door) refuse(nc net.Conn) error {
	_, err := io.WriteString(nc, busyAnswer)
	nc.Close()
	return err
}
