package upstream_test

// This file tests servers that send without end.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushtally/responsehead/headtest"
	"bulrushtally/upstream"
)

// startAnsweringServer starts a backend server that has answer send what it likes on each connection, after a request on it was
// read, and then closes it.
func startAnsweringServer(t *testing.T, answer func(c net.Conn, r *http.Request)) (address string) {
	t.Helper()
	return headtest.Listen(t, func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, r)
		}
	})
}

// startEndlessServer starts a backend server that answers each request with start and then with line, again and
// again, until the connection is closed or most bytes were sent. The function sent returns how many bytes were.
func startEndlessServer(t *testing.T, start, line string, most int64) (address string, sent func() int64) {
	t.Helper()
	var total atomic.Int64
	block := strings.Repeat(line, 1+(64<<10)/len(line))
	address = startAnsweringServer(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprint(c, start)
		for n, err := 0, error(nil); err == nil && total.Load() < most; {
			n, err = io.WriteString(c, block)
			total.Add(int64(n))
		}
	})
	return address, total.Load
}

// A head without end was read into memory until the request's deadline.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, start := range map[string]string{
		"header lines":   "HTTP/1.1 200 OK\r\n",
		"interim answer": "HTTP/1.1 102 Processing\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndlessServer(t, start, "X-Noise: 0123456789012345678901234567890123456789\r\n", 200<<20)
			p := upstream.NewPool(upstream.DefaultOptions, "")
			defer p.Close()
			_, err := send(p, address, "r")
			var broken *upstream.ResponseError
			if !errors.As(err, &broken) {
				t.Errorf("got %v, want a ResponseError", err)
			}
			const most = 8 << 20 // the limit and what the sockets hold
			if got := sent(); got > most {
				t.Errorf("got %d MiB taken of an endless head, want at most %d MiB", got>>20, most>>20)
			}
		})
	}
}

// A length of 2^63-1 made the first capacity of the buffer negative: making it panicked, which ended the process.
func TestBodyThatIsKnownToBeTooLongIsRefused(t *testing.T) {
	const limit = 16 << 20
	for _, length := range append(headtest.LongLengths, limit+1) {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			address := startAnsweringServer(t, func(c net.Conn, _ *http.Request) {
				fmt.Fprint(c, length.Response("200 OK", "", "part"))
				io.Copy(io.Discard, c) // until the router closes the connection
			})
			p := upstream.NewPool(upstream.DefaultOptions, "")
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			x, err := p.Send(ctx, address, newRequest("r"))
			if err != nil {
				t.Fatal(err)
			}
			defer x.Close()
			body, err := x.ReadAll()
			var broken *upstream.ResponseError
			if !errors.As(err, &broken) || ctx.Err() != nil {
				t.Errorf("got %d bytes and error %v, want a ResponseError before the deadline", len(body), err)
			}
		})
	}
}

// The limit must not refuse a sound body that just reaches it.
func TestBodyOfTheGreatestLengthArrives(t *testing.T) {
	const limit = 16 << 20
	address := startAnsweringServer(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", limit, strings.Repeat("x", limit))
	})
	p := upstream.NewPool(upstream.DefaultOptions, "")
	defer p.Close()
	if body, err := send(p, address, "r"); err != nil || len(body) != limit {
		t.Errorf("got %d bytes and error %v, want %d bytes", len(body), err, limit)
	}
}

// The response to a HEAD request names the length of the body that GET would give, however long that is.
func TestLengthInAResponseWithoutBodyIsNotLimited(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		address := startAnsweringServer(t, func(c net.Conn, _ *http.Request) { fmt.Fprint(c, l.Response("200 OK", "", "")) })
		p := upstream.NewPool(upstream.DefaultOptions, "")
		defer p.Close()
		r := newRequest("r")
		r.Method = http.MethodHead
		r.Head = bytes.Replace(r.Head, []byte("GET"), []byte("HEAD"), 1)
		x, err := p.Send(context.Background(), address, r)
		if err != nil {
			t.Fatal(err)
		}
		defer x.Close()
		if body, err := x.ReadAll(); err != nil || len(body) != 0 {
			t.Errorf("got %d bytes and error %v, want an empty body", len(body), err)
		}
	})
}

// Each of many endless bodies was read up to 16 MiB, more than a small VM has.
func TestEndlessBodiesShareOneBudget(t *testing.T) {
	address, _ := startEndlessServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "no answer ", 1<<40)
	const budget = 8 << 20
	o := upstream.DefaultOptions
	o.MaxBufferedBytes = budget
	p := upstream.NewPool(o, "")
	defer p.Close()
	var running sync.WaitGroup
	var longest atomic.Int64
	for i := range 20 {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			x, err := p.Send(ctx, address, newRequest(fmt.Sprint("r", i)))
			if err != nil {
				t.Errorf("got %v, want the head of a response", err)
				return
			}
			defer x.Close()
			_, err = x.ReadAll()
			var broken *upstream.ResponseError
			if !errors.As(err, &broken) {
				t.Errorf("got %v, want a ResponseError", err)
			}
			for used, seen := p.BufferedBytes(), longest.Load(); used > seen && !longest.CompareAndSwap(seen, used); {
				seen = longest.Load()
			}
		})
	}
	running.Wait()
	if got := longest.Load(); got > budget {
		t.Errorf("got %d bytes of responses held at once, want at most %d", got, budget)
	}
	if got := p.BufferedBytes(); got != 0 {
		t.Errorf("got %d bytes held after all exchanges ended, want 0", got)
	}
}
