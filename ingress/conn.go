package ingress

// This file defines conn, the connection of a caller, with request parsing and the detection
// of callers that disconnect while they wait for a response.

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

// conn is the connection of a caller. Its requests are served sequentially.
type conn struct {
	net.Conn
	server       *Server
	watcher      closeWatcher
	reader       *bufio.Reader
	requestBegan time.Time // of the first request: when the connection was accepted; of a later one: when its first byte was read

	acceptedAt    time.Time
	awaitingFirst bool // the first request has not been read yet
	keepAliveSet  bool // TCP keep-alive is configured
	endedIdle     bool // the connection ended between requests: no response may be on its way
}

// callerKeepAlive detects callers that vanish without closing the connection while they
// wait for a response.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// watchClose calls onClose if the caller closes the connection while it waits for a response.
func (c *conn) watchClose(onClose func()) {
	if t, ok := c.Conn.(*net.TCPConn); ok && !c.keepAliveSet {
		c.keepAliveSet = t.SetKeepAliveConfig(callerKeepAlive) == nil
	}
	c.watcher.start(onClose)
}

// closeWatcher reads from a connection. Between start and stop, a goroutine reads one byte
// ahead to detect that the caller closed the connection.
type closeWatcher struct {
	conn net.Conn

	mu       sync.Mutex
	readDone *sync.Cond
	reading  bool
	buffer   [1]byte
	buffered bool // buffer holds a byte that Read has not returned yet
	err      error
}

func newCloseWatcher(c net.Conn) closeWatcher { return closeWatcher{conn: c} }

// Read reads from the connection. A byte that was read ahead is returned first.
func (w *closeWatcher) Read(b []byte) (int, error) {
	w.mu.Lock()
	if w.buffered && len(b) > 0 {
		w.buffered = false
		b[0] = w.buffer[0]
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

// awaitByte waits until a byte has arrived, and keeps it for the next Read.
func (w *closeWatcher) awaitByte() error {
	w.mu.Lock()
	buffered, err := w.buffered, w.err
	w.mu.Unlock()
	if buffered || err != nil {
		return err
	}
	n, err := w.conn.Read(w.buffer[:])
	if n == 0 {
		return cmp.Or(err, io.ErrNoProgress)
	}
	w.mu.Lock()
	w.buffered = true
	w.mu.Unlock()
	return nil
}

// pastDeadline is a read deadline that has passed, to interrupt a pending read.
var pastDeadline = time.Unix(1, 0)

// start watches the connection in the background until stop is called, and calls onClose
// if the caller closes it. It does nothing if a byte is buffered or a read has failed.
func (w *closeWatcher) start(onClose func()) {
	w.mu.Lock()
	if w.readDone == nil {
		w.readDone = sync.NewCond(&w.mu)
	}
	if w.buffered || w.reading || w.err != nil {
		w.mu.Unlock()
		return
	}
	w.reading = true
	w.mu.Unlock()
	w.conn.SetReadDeadline(time.Time{})
	go func() {
		n, err := w.conn.Read(w.buffer[:])
		w.mu.Lock()
		w.reading = false
		w.buffered = n == 1
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			w.err = err
		}
		closed := w.err != nil
		w.readDone.Broadcast()
		w.mu.Unlock()
		if closed {
			onClose()
		}
	}()
}

// stop ends the watch and waits for its read to return, so that Read can be used again.
func (w *closeWatcher) stop() {
	w.mu.Lock()
	if w.reading {
		w.conn.SetReadDeadline(pastDeadline)
		for w.reading {
			w.readDone.Wait()
		}
	}
	w.mu.Unlock()
	w.conn.SetReadDeadline(time.Time{})
}

// closedByCaller reports whether the caller has closed or reset the connection. It peeks
// at the socket, since on a busy VM the watcher's goroutine may run late. Unread bytes of
// a pipelined request mean that the connection is open.
func (c *conn) closedByCaller() bool {
	n, err := c.peek()
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// hasInput reports whether bytes of the caller have arrived and not been read.
func (c *conn) hasInput() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for a byte that has arrived, without reading it or waiting for one. It returns net.ErrClosed if the router itself has
// closed the connection, and otherwise what recvfrom does.
func (c *conn) peek() (n int, err error) {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var buf [1]byte
	controlErr := raw.Control(func(fd uintptr) { // raw.Read would block on the read that the watcher holds
		n, _, err = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// requestError says why the head or body of a request is rejected, with the response status.
type requestError struct {
	status int
	text   string
}

// Error returns what is wrong with the request and what to send instead.
func (e *requestError) Error() string { return e.text }

var (
	errHeadTooLong    = &requestError{431, "request head is longer than allowed; send fewer or shorter headers"}
	errRepeatedLength = &requestError{400, "request says its length in two ways; send either Content-Length or Transfer-Encoding, once"}
	errBadHead        = &requestError{400, "request head cannot be read; send HTTP/1.1"}
	errBodyTooLong    = &requestError{413, "request body is longer than allowed; send less"}
)

// peekHead waits until the whole request head is buffered and checks it with checkHead.
// It returns errHeadTooLong if the head is longer than maxBytes.
func (c *conn) peekHead(maxBytes int) error {
	for want := 1; ; {
		if _, err := c.reader.Peek(want); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return errHeadTooLong
			}
			return err
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		if end := headEnd(b); end > 0 {
			if end > maxBytes {
				return errHeadTooLong
			}
			return checkHead(b[:end])
		}
		if len(b) > maxBytes {
			return errHeadTooLong
		}
		want = len(b) + 1
	}
}

// headEnd returns the length of the head with its empty line, or 0 if it is incomplete.
func headEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

// checkHead guards against request smuggling. It rejects a head that gives the length of
// its body more than once, or that has a NUL or a bare CR, since parsers differ on these.
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
		return errRepeatedLength
	}
	return nil
}

// readRequest reads the next request with its whole body. It returns a *requestError for a
// request that is malformed or exceeds a limit, and other errors if reading fails.
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

// readBody reads a body of at most maxBytes; a given Content-Length was checked before.
func readBody(r *http.Request, maxBytes int) ([]byte, error) {
	if n := r.ContentLength; n > 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(r.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		return nil, errBodyTooLong
	}
	return b, err
}

// lingerTimeout is how long a closing connection discards what the caller still sends.
const lingerTimeout = 300 * time.Millisecond

// lingeringClose closes the connection. It discards pending input first, since closing
// with unread input resets the connection and the caller could lose the last response. Between requests there is none to
// lose, and the reset tells the caller of a request that crosses the close that it was not read.
func (c *conn) lingeringClose() {
	if c.endedIdle {
		c.Close()
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.Conn, 1<<20)
	}
	c.Close()
}
