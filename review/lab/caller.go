package main

// This file defines caller, which sends requests on a connection that it keeps.

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Host and key of the callers, as in the configuration of platformtest.
const (
	host = "site.example"
	key  = "key-1"
)

// caller is a client on one connection.
type caller struct {
	record  *record
	address string
	conn    net.Conn
	reader  *bufio.Reader
	key     string // if another one than the usual
}

// outcome is how a request ended at its caller.
type outcome struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 if no answer came
	events   int
	complete bool  // the answer came to its end
	err      error // why it did not
	closes   bool  // the answer says that the connection closes
}

// String returns what the record tells of the outcome.
func (o *outcome) String() string {
	return fmt.Sprintf("%s: status %d, %d events, complete %t, connection closes %t, after %v, error %v", o.id, o.status, o.events, o.complete, o.closes, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.err)
}

// connect opens a connection unless one is open.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err == nil {
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	return err
}

// leave closes the connection.
func (c *caller) leave() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// prompt is the body of a request that needs none in particular.
var prompt = []byte("prompt")

// send sends a request with header lines and reads the whole answer.
func (c *caller) send(id, path string, timeout time.Duration, header ...string) *outcome {
	o := &outcome{id: id, sentAt: time.Now()}
	defer func() {
		o.endedAt = time.Now()
		c.record.printf("caller of %s got %v", c.address, o)
	}()
	if o.err = c.connect(); o.err != nil {
		return o
	}
	c.record.printf("caller sends %s %s to %s", id, path, c.address)
	lines := append([]string{
		"POST " + path + " HTTP/1.1", "Host: " + host, names.RequestID + ": " + id, names.APIKey + ": " + cmp.Or(c.key, key),
		fmt.Sprintf("%s: %d", names.Deadline, timeout.Milliseconds()), fmt.Sprintf("Content-Length: %d", len(prompt)),
	}, header...)
	c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	sent := net.Buffers{[]byte(strings.Join(lines, "\r\n") + "\r\n\r\n"), prompt}
	if _, o.err = sent.WriteTo(c.conn); o.err != nil {
		c.leave()
		return o
	}
	var resp *http.Response
	if resp, o.err = http.ReadResponse(c.reader, nil); o.err != nil {
		c.leave()
		return o
	}
	o.status, o.closes = resp.StatusCode, resp.Close
	answer, err := io.ReadAll(resp.Body)
	o.err, o.complete, o.events = err, err == nil, strings.Count(string(answer), "id: ")
	if err != nil || resp.Close {
		c.leave()
	}
	return o
}

// errNoTraffic is returned by a case in which nothing went as it must for the case to mean something.
var errNoTraffic = errors.New("the requests that the case needs were not served")
