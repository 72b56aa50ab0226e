package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushtally/upstream"
)

// server answers each request with the next text; an empty one closes the connection, after a text at once.
func server(t *testing.T, texts ...string) (address string, accepted func() int) {
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
			for next < len(texts) {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				text := texts[next]
				next++
				if text == "" {
					break
				}
				fmt.Fprint(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
				if next < len(texts) && texts[next] == "" {
					next++
					break
				}
			}
			c.Close()
		}
	}()
	return ln.Addr().String(), func() int { return len(conns) }
}

func request(id string) *upstream.Request {
	return &upstream.Request{Method: "GET", Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"), IDHeader: "Id", ID: id}
}

// send returns the answer's body.
func send(p *upstream.Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	x, err := p.Send(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := x.ReadAll()
	return string(b), err
}

const good = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nID"

func TestExchanges(t *testing.T) {
	tests := []struct {
		name  string
		texts []string
		want  []string // bodies; "broken" for a BrokenError
		conns int
	}{
		{"a kept connection", []string{good, good}, []string{"r0", "r1"}, 1},
		{"an extra answer", []string{good + good, good}, []string{"r0", "r1"}, 2},
		{"a late answer to an earlier request", []string{good, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nno" + good}, []string{"r0", "r1"}, 1},
		{"answers to others only", []string{strings.Repeat("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n", 4)}, []string{"broken"}, 1},
		{"a cut body", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nID", ""}, []string{"broken"}, 1},
		{"a cut chunk", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab", ""}, []string{"broken"}, 1},
		{"no answer", []string{""}, []string{"broken"}, 1},
		{"bytes that are none", []string{"\x00\x01\x02\r\n\r\n"}, []string{"broken"}, 1},
		{"an interim answer", []string{"HTTP/1.1 102 Processing\r\n\r\n" + good}, []string{"r0"}, 1},
		{"close after the answer", []string{strings.Replace(good, "Id:", "Connection: close\r\nId:", 1), good}, []string{"r0", "r1"}, 2},
		{"a short keep-alive", []string{strings.Replace(good, "Id:", "Keep-Alive: timeout=0\r\nId:", 1), good}, []string{"r0", "r1"}, 2},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			address, accepted := server(t, x.texts...)
			p := upstream.NewPool(upstream.DefaultOptions, "")
			defer p.Close()
			for i, want := range x.want {
				got, err := send(p, address, fmt.Sprint("r", i))
				var broken *upstream.BrokenError
				if errors.As(err, &broken) {
					got = "broken"
				}
				if got != want {
					t.Errorf("request %d: got %q and %v, want %q", i, got, err, want)
				}
			}
			if got := accepted(); got != x.conns {
				t.Errorf("got %d connections, want %d", got, x.conns)
			}
		})
	}
}

func TestUnreachableHasNotRun(t *testing.T) {
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
