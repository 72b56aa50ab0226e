package main

// This file defines client, a caller that keeps one connection.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushtally/platform"
)

// names are the names of the platform's headers.
var names = platform.HeaderNames()

// client is a caller with one connection, which it makes when it needs one.
type client struct {
	router string // address
	key    string
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what came back for a request.
type answer struct {
	status   int    // 0 if no answer came
	worker   string // that says it answered
	body     string
	complete bool
	err      error
}

// request is what a client sends.
type request struct {
	method, path, id string
	headers          map[string]string
	body             []byte
	deadline         time.Duration
}

// send sends a request and reads the whole answer.
func (c *client) send(r *request) answer {
	var a answer
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.router, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, names.RequestID, r.id, names.APIKey, c.key, names.Deadline, r.deadline.Milliseconds())
	for name, value := range r.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %s\r\n", strconv.Itoa(len(r.body)))
	}
	head.WriteString("\r\n")
	if _, a.err = io.WriteString(c.conn, head.String()); a.err != nil {
		c.drop()
		return a
	}
	if _, a.err = c.conn.Write(r.body); a.err != nil {
		c.drop()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		c.drop()
		return a
	}
	a.status, a.worker = resp.StatusCode, resp.Header.Get("Instance-Id")
	body, err := io.ReadAll(resp.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	if err != nil || resp.Close {
		c.drop()
	}
	return a
}

// drop closes the connection.
func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}
