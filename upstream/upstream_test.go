package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bulrushtally/responsehead/headtest"
	"bulrushtally/upstream"
)

// startServer starts a backend server that answers requests, on whatever connection,
// with the given responses in turn. "ID" in a response becomes the request's Id header.
// An empty response stands for a closed connection: after a request if it is the first,
// otherwise directly after the response before it. The function accepted returns the
// number of connections so far.
func startServer(t *testing.T, responses ...string) (address string, accepted func() int) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan int, 100)
	go func() {
		next := 0
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- 1
			in := bufio.NewReader(c)
			for next < len(responses) {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				response := responses[next]
				next++
				if response == "" {
					break
				}
				fmt.Fprint(c, strings.ReplaceAll(response, "ID", r.Header.Get("Id")))
				if next < len(responses) && responses[next] == "" {
					next++
					break
				}
			}
			c.Close()
		}
	}()
	return ln.Addr().String(), func() int { return len(conns) }
}

func newRequest(id string) *upstream.Request {
	return &upstream.Request{Method: "GET", Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"), IDHeader: "Id", ID: id}
}

// send sends a request with the given ID and returns the response body.
func send(p *upstream.Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	x, err := p.Send(ctx, address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := x.ReadAll()
	return string(b), err
}

// validResponse has the request's ID in the header and as the body.
const validResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nID"

func TestExchanges(t *testing.T) {
	tests := []struct {
		name      string
		responses []string
		want      []string // response bodies; "broken" for a ResponseError
		conns     int      // number of connections that the server accepts
	}{
		{"connection reuse", []string{validResponse, validResponse}, []string{"r0", "r1"}, 1},
		{"second response to one request", []string{validResponse + validResponse, validResponse}, []string{"r0", "r1"}, 2},
		{"late response to an earlier request", []string{validResponse, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nno" + validResponse}, []string{"r0", "r1"}, 1},
		{"earlier refusal once more, without an ID", []string{validResponse, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno" + validResponse, validResponse}, []string{"r0", "broken", "r2"}, 2},
		{"refusal without an ID on a new connection", []string{"HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno"}, []string{"no"}, 1},
		{"only responses to other requests", []string{strings.Repeat("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n", 4)}, []string{"broken"}, 1},
		{"truncated body", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nID", ""}, []string{"broken"}, 1},
		{"truncated chunk", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", ""}, []string{"broken"}, 1},
		{"no response", []string{""}, []string{"broken"}, 1},
		{"response is not HTTP", []string{"\x00\x01\x02\r\n\r\n"}, []string{"broken"}, 1},
		{"interim response", []string{"HTTP/1.1 102 Processing\r\n\r\n" + validResponse}, []string{"r0"}, 1},
		{"several interim responses and a late response", []string{validResponse, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nno" + validResponse}, []string{"r0", "r1"}, 1},
		{"interim responses without end", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + validResponse}, []string{"broken"}, 1},
		{"Connection: close", []string{strings.Replace(validResponse, "Id:", "Connection: close\r\nId:", 1), validResponse}, []string{"r0", "r1"}, 2},
		{"Keep-Alive with a zero timeout", []string{strings.Replace(validResponse, "Id:", "Keep-Alive: timeout=0\r\nId:", 1), validResponse}, []string{"r0", "r1"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, accepted := startServer(t, test.responses...)
			p := upstream.NewPool(upstream.DefaultOptions, "")
			defer p.Close()
			for i, want := range test.want {
				got, err := send(p, address, fmt.Sprint("r", i))
				var broken *upstream.ResponseError
				if errors.As(err, &broken) {
					got = "broken"
				}
				if got != want {
					t.Errorf("request %d: got %q and %v, want %q", i, got, err, want)
				}
			}
			if got := accepted(); got != test.conns {
				t.Errorf("got %d connections, want %d", got, test.conns)
			}
		})
	}
}

// A request that ends after its router closed the pool put its connection back, and nobody closed it.
func TestConnectionOfARequestThatEndsAfterCloseIsClosed(t *testing.T) {
	closed := make(chan struct{})
	address := headtest.Listen(t, func(c *net.TCPConn) {
		defer close(closed)
		fmt.Fprint(c, strings.ReplaceAll(validResponse, "ID", "r0"))
		io.Copy(io.Discard, c) // until the router closes the connection
	})
	p := upstream.NewPool(upstream.DefaultOptions, "")
	x, err := p.Send(context.Background(), address, newRequest("r0"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.ReadAll(); err != nil {
		t.Fatal(err)
	}
	p.Close()
	x.Close()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("got the connection open 2 s after both were closed, want it closed")
	}
}

func TestUnreachableServerGivesDialError(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	_, err = send(upstream.NewPool(upstream.DefaultOptions, ""), address, "r")
	var dial *upstream.DialError
	if !errors.As(err, &dial) {
		t.Errorf("got %v, want a DialError", err)
	}
}

// A request was sent on an idle connection although its context had ended, or its caller had left meanwhile.
func TestDialIsLateOnlyIfItsTimeoutCameLate(t *testing.T) {
	const timeout = 400 * time.Millisecond
	tests := []struct {
		err  error
		took time.Duration
		want bool
	}{
		{os.ErrDeadlineExceeded, timeout + time.Millisecond, false},
		{os.ErrDeadlineExceeded, timeout + 100*time.Millisecond, true},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, timeout + 100*time.Millisecond, true},
		{syscall.ECONNREFUSED, timeout + 100*time.Millisecond, false},
	}
	for _, x := range tests {
		dial := &upstream.DialError{Err: x.err, Took: x.took, Timeout: timeout}
		if got := dial.IsLate(); got != x.want {
			t.Errorf("%v after %v: got late %v, want %v", x.err, x.took, got, x.want)
		}
	}
}

func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name      string
		ctx       context.Context
		abandoned func() bool
	}{
		{"context has ended", ended, nil},
		{"caller has left", context.Background(), func() bool { return true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, accepted := startServer(t, validResponse, validResponse)
			p := upstream.NewPool(upstream.DefaultOptions, "")
			defer p.Close()
			if got, err := send(p, address, "r0"); got != "r0" {
				t.Fatalf("got %q and %v, want r0", got, err)
			}
			r := newRequest("left")
			r.Abandoned = test.abandoned
			if x, err := p.Send(test.ctx, address, r); !errors.Is(err, upstream.ErrAbandoned) {
				t.Errorf("got exchange %v and error %v, want ErrAbandoned", x, err)
			}
			if got, err := send(p, address, "r1"); got != "r1" {
				t.Errorf("got %q and %v for the next request, want r1: the server answers one more", got, err)
			}
			if got := accepted(); got != 1 {
				t.Errorf("got %d connections, want 1: a connection whose request was not sent is kept", got)
			}
		})
	}
}

// The server wrote its answer to the first of two requests with one ID again, as the answer to the second.
func TestSecondRequestWithTheSameIDGetsAConnectionOfItsOwn(t *testing.T) {
	address, _ := startServer(t, validResponse, validResponse)
	options := upstream.DefaultOptions
	options.DialTimeout = 100 * time.Millisecond
	p := upstream.NewPool(options, "")
	defer p.Close()
	if _, err := send(p, address, "r0"); err != nil {
		t.Fatal(err)
	}
	r := newRequest("r0")
	r.NewConnection = true
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	p.Send(ctx, address, r) // the server answers on one connection at a time
	if dials, reuses := p.Counts(); dials != 2 || reuses != 0 {
		t.Errorf("got %d connections and %d reuses for two requests with one ID, want 2 and none", dials, reuses)
	}
}

// The parser looks for what comes next without asking for an error. The next read then went on behind the bytes that were refused.
func TestBrokenHeadThatComesInPartsIsBroken(t *testing.T) {
	parts := []string{"HTTP/1.1 200 OK\r\n", " Bad: x\r\n", "Id: r\r\nContent-Length: 4\r\n\r\nevil"}
	address := startAnsweringServer(t, func(c net.Conn, _ *http.Request) {
		for _, part := range parts {
			fmt.Fprint(c, part)
			time.Sleep(50 * time.Millisecond)
		}
	})
	p := upstream.NewPool(upstream.DefaultOptions, "")
	defer p.Close()
	got, err := send(p, address, "r")
	var broken *upstream.ResponseError
	if !errors.As(err, &broken) {
		t.Errorf("got body %q and error %v, want a ResponseError", got, err)
	}
}
