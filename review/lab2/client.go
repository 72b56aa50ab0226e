package main

// This file defines client, a stand-in for a client that keeps its connection and sends one request after the other.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how one client attempt ended.
type outcome struct {
	id        string
	router    *router
	kept      bool // the connection had carried a request before
	sentAt    time.Time
	status    int // 0 if no answer came
	sealed    bool
	seal      string
	body      string
	err       error // of reading the answer
	noAnswer  bool  // the connection ended before any byte of an answer
	inTouch   bool  // the router's process had run for the time of contact when the request was sent
	connected bool
}

// client sends requests to one router at a time, as the platform's balancer would have it.
type client struct {
	d       *deployment
	name    string
	prefer  int // index of its router
	conn    net.Conn
	reader  *bufio.Reader
	router  *router
	used    int // requests on the connection
	timeout time.Duration
}

var attempts atomic.Int64

// contactTime is contact_ms of the deployment.
const contactTime = 3 * time.Second

// connect connects to the client's router, or to the next one if that refuses.
func (c *client) connect() error {
	var err error
	for i := range c.d.routers {
		r := c.d.routers[(c.prefer+i)%len(c.d.routers)]
		var conn net.Conn
		if conn, err = net.DialTimeout("tcp4", r.front, time.Second); err == nil {
			c.conn, c.reader, c.router, c.used = conn, bufio.NewReader(conn), r, 0
			return nil
		}
	}
	return err
}

// send sends a request and reads its answer. Body may be written in pieces, with a pause between them.
func (c *client) send(method, host, path, key string, body []byte, piece int, pause time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("%s-%d-%08x", c.name, attempts.Add(1), rand.Uint32()), sentAt: time.Now()}
	if c.conn == nil {
		if o.err = c.connect(); o.err != nil {
			return o
		}
	}
	o.router, o.kept, o.connected = c.router, c.used > 0, true
	age, _ := c.router.runningFor()
	o.inTouch = age >= contactTime
	c.used++
	c.conn.SetDeadline(time.Now().Add(c.timeout))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headers.RequestID, o.id, headers.Deadline, c.timeout.Milliseconds())
	if key != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", headers.APIKey, key)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	_, o.err = c.conn.Write(head.Bytes())
	for o.err == nil && len(body) > 0 {
		n := min(len(body), piece)
		_, o.err = c.conn.Write(body[:n])
		if body = body[n:]; len(body) > 0 {
			time.Sleep(pause)
		}
	}
	if o.err == nil {
		c.readAnswer(&o, method)
	}
	if o.err != nil {
		c.close()
	}
	return o
}

// readAnswer reads the answer to a request.
func (c *client) readAnswer(o *outcome, method string) {
	if _, o.err = c.reader.Peek(1); o.err != nil {
		timeout, ok := o.err.(net.Error)
		o.noAnswer = !ok || !timeout.Timeout()
		return
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return
	}
	b, err := io.ReadAll(resp.Body)
	o.status, o.seal, o.body, o.err = resp.StatusCode, resp.Header.Get(headers.ResponseSeal), string(b), err
	o.sealed = o.seal != ""
	if resp.Close {
		c.close()
	}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// String describes the outcome for the record.
func (o outcome) String() string {
	to := "no router"
	if o.router != nil {
		to = o.router.name
	}
	return fmt.Sprintf("%s to %s, kept connection %v: status %d, sealed %v, %d bytes %.60q, closed without an answer %v, error %v", o.id, to, o.kept, o.status, o.sealed, len(o.body), o.body, o.noAnswer, o.err)
}

// crowd runs clients until the end and collects their outcomes.
type crowd struct {
	mu       sync.Mutex
	outcomes []outcome
	clients  sync.WaitGroup
}

// add runs a client that calls send again and again, with a pause between.
func (w *crowd) add(c *client, end time.Time, pause time.Duration, send func(c *client) outcome) {
	w.clients.Go(func() {
		defer c.close()
		time.Sleep(time.Duration(rand.Int64N(int64(pause) + 1)))
		for time.Now().Before(end) {
			o := send(c)
			c.d.record.say("client: %v", o)
			w.mu.Lock()
			w.outcomes = append(w.outcomes, o)
			w.mu.Unlock()
			time.Sleep(pause)
		}
	})
}
