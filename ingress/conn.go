package ingress

// This file defines conn, one connection of a client, and how it notices that the client left.

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection of a client. Requests on it are served one after another.
type conn struct {
	net.Conn
	server *Server
	watch  watcher
	reader *bufio.Reader
	since  time.Time // the connection was accepted

	opening bool // its first request is yet to be read
	alive   bool // keep-alive is set
	ended   bool // the client closed it with no request waiting
}

// clientKeepAlive finds clients that are gone without a word while their answer is awaited.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// heed calls left when the client closes the connection while its answer is awaited.
func (c *conn) heed(left func()) {
	if t, ok := c.Conn.(*net.TCPConn); ok && !c.alive {
		c.alive = t.SetKeepAliveConfig(clientKeepAlive) == nil
	}
	c.watch.start(left)
}

// watcher reads from a connection and, while an answer is awaited, notices its end.
type watcher struct {
	conn net.Conn

	mu      sync.Mutex
	ended   *sync.Cond
	running bool
	byte    [1]byte
	held    bool // byte holds what was read while watching
	err     error
}

func newWatcher(c net.Conn) watcher { return watcher{conn: c} }

// Read reads from the connection, first what came while it was watched.
func (w *watcher) Read(b []byte) (int, error) {
	w.mu.Lock()
	if w.held && len(b) > 0 {
		w.held = false
		b[0] = w.byte[0]
		w.mu.Unlock()
		return 1, nil
	}
	err := w.err
	w.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return w.conn.Read(b)
}

// await waits for a byte, which is then read first.
func (w *watcher) await() error {
	w.mu.Lock()
	held, err := w.held, w.err
	w.mu.Unlock()
	if held || err != nil {
		return err
	}
	n, err := w.conn.Read(w.byte[:])
	if n == 0 {
		return cmp.Or(err, io.ErrNoProgress)
	}
	w.mu.Lock()
	w.held = true
	w.mu.Unlock()
	return nil
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// start calls left when the client closes the connection before stop is called.
func (w *watcher) start(left func()) {
	w.mu.Lock()
	if w.ended == nil {
		w.ended = sync.NewCond(&w.mu)
	}
	if w.held || w.running || w.err != nil {
		w.mu.Unlock()
		return
	}
	w.running = true
	w.mu.Unlock()
	w.conn.SetReadDeadline(time.Time{})
	go func() {
		n, err := w.conn.Read(w.byte[:])
		w.mu.Lock()
		w.running = false
		w.held = n == 1
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			w.err = err
		}
		gone := w.err != nil
		w.ended.Broadcast()
		w.mu.Unlock()
		if gone {
			left()
		}
	}()
}

// stop ends the watch, so that the connection can be read again.
func (w *watcher) stop() {
	w.mu.Lock()
	if w.running {
		w.conn.SetReadDeadline(past)
		for w.running {
			w.ended.Wait()
		}
	}
	w.mu.Unlock()
	w.conn.SetReadDeadline(time.Time{})
}

// left reports whether the client has closed the connection. It asks the kernel, since
// on a busy VM the watcher may learn of it late. Bytes of a next request are no end.
func (c *conn) left() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) { // Read would wait for the watcher
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return left || err != nil
}

// headError says that a request's head is not one and how to answer.
type headError struct {
	status int
	text   string
}

// Error describes the fault and its remedy.
func (e *headError) Error() string { return e.text }

var (
	errHeadTooLong = &headError{431, "request head is longer than allowed; send fewer or shorter headers"}
	errTwoLengths  = &headError{400, "request says its length in two ways; send either Content-Length or Transfer-Encoding, once"}
	errBadHead     = &headError{400, "request head cannot be read; send HTTP/1.1"}
	errBodyTooLong = &headError{413, "request body is longer than allowed; send less"}
)

// peekHead waits until the whole head is buffered and checks it for what two
// readers could understand differently.
func (c *conn) peekHead(most int) error {
	for want := 1; ; {
		if _, err := c.reader.Peek(want); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return errHeadTooLong
			}
			return err
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		if end := headEnd(b); end > 0 {
			if end > most {
				return errHeadTooLong
			}
			return checkHead(b[:end])
		}
		if len(b) > most {
			return errHeadTooLong
		}
		want = len(b) + 1
	}
}

func headEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// checkHead refuses a head that says the length of its body more than once, and
// bytes in it that readers treat differently.
func checkHead(b []byte) error {
	lengths := 0
	for line := range bytes.Lines(b) {
		line = bytes.TrimRight(line, "\r\n")
		if bytes.ContainsAny(line, "\r\x00") {
			return errBadHead
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("content-length")) || bytes.EqualFold(name, []byte("transfer-encoding")) {
			lengths++
		}
	}
	if lengths > 1 {
		return errTwoLengths
	}
	return nil
}

// readRequest reads the next request with its whole body.
func (c *conn) readRequest(l limits) (*http.Request, []byte, error) {
	if err := c.peekHead(l.headBytes); err != nil {
		return nil, nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, nil, errBadHead
	}
	if r.ContentLength > int64(l.bodyBytes) {
		return nil, nil, errBodyTooLong
	}
	if r.ContentLength == 0 {
		return r, nil, nil
	}
	if r.Header.Get("Expect") != "" && c.reader.Buffered() == 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, err
		}
	}
	body, err := readBody(r, l.bodyBytes)
	return r, body, err
}

func readBody(r *http.Request, most int) ([]byte, error) {
	if n := r.ContentLength; n > 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(most)+1))
	if err == nil && len(b) > most {
		return nil, errBodyTooLong
	}
	return b, err
}

// lingerTime is how long a closing connection takes in what the client still sends.
const lingerTime = 300 * time.Millisecond

// finish closes the connection so that the client still gets the last answer.
func (c *conn) finish() {
	if c.ended {
		c.Close()
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyN(io.Discard, c.Conn, 1<<20)
	}
	c.Close()
}
