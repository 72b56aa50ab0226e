package upstream_test

// This file tests how much memory servers can make the process hold with many connections, also by sending slowly.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushtally/upstream"
)

// startStallingServer starts a backend server that answers the request for a path with its text and then sends nothing more
// until the connection is closed.
func startStallingServer(t *testing.T, texts map[string]string) (address string) {
	t.Helper()
	return startAnsweringServer(t, func(c net.Conn, r *http.Request) {
		io.WriteString(c, texts[r.URL.Path])
		io.Copy(io.Discard, c)
	})
}

// requestPath returns a request for a path.
func requestPath(path, id string) *upstream.Request {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\n\r\n", path, id)
	return &upstream.Request{Method: "GET", Head: []byte(head), IDHeader: "Id", ID: id}
}

// manyHeaderLines returns header lines of about n bytes, each with another name, as they take most memory.
func manyHeaderLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// heapBytes returns the live heap of the process.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a router that runs out of memory since faulty servers send bytes that are no answer, or answer without end, on many
// connections, fast or slowly: only long bodies were counted together.
func TestStalledResponsesShareOneBudget(t *testing.T) {
	const (
		budget       = 26 << 20 // as on a VM of 134 MB, the smallest
		perPath      = 300
		perConn      = 48 << 10 // of both ends of a connection, in this process, and what each may hold
		okHead       = "HTTP/1.1 200 OK\r\n"
		stalledAfter = 2 * time.Second
	)
	texts := map[string]string{
		"/head":   okHead + manyHeaderLines(60<<10),
		"/noise":  strings.Repeat("x", 63<<10),
		"/body":   okHead + "\r\n" + strings.Repeat("no answer ", 6<<10),
		"/length": okHead + "Content-Length: 16000000\r\n\r\nno",
	}
	address := startStallingServer(t, texts)
	sound, _ := startServer(t, okHead+"Id: sound\r\nContent-Length: 2\r\n\r\nok")
	o := upstream.DefaultOptions
	o.MaxBufferedBytes = budget
	p := upstream.NewPool(o, "")
	defer p.Close()
	before := heapBytes()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for path := range texts {
		for i := range perPath {
			running.Go(func() {
				x, err := p.Send(ctx, address, requestPath(path, fmt.Sprint(path, i)))
				if err != nil {
					return
				}
				defer x.Close()
				x.ReadAll()
			})
		}
	}
	time.Sleep(stalledAfter)
	got, want := heapBytes()-before, int64(budget+len(texts)*perPath*perConn)
	t.Logf("got %d MiB held, %d bytes counted", got>>20, p.BufferedBytes())
	if got > want {
		t.Errorf("got %d MiB held for %d stalled responses, want at most %d MiB", got>>20, len(texts)*perPath, want>>20)
	}
	if got := p.BufferedBytes(); got > budget {
		t.Errorf("got %d bytes counted, want at most %d", got, budget)
	}
	x, err := p.Send(ctx, sound, requestPath("/", "sound"))
	if err != nil {
		t.Fatalf("got %v for a sound response beside the stalled ones, want it", err)
	}
	if body, err := x.ReadAll(); err != nil || string(body) != "ok" {
		t.Errorf("got body %q and error %v for a sound response beside the stalled ones, want ok", body, err)
	}
	x.Close()
	cancel()
	running.Wait()
	if got := p.BufferedBytes(); got != 0 {
		t.Errorf("got %d bytes held after all exchanges ended, want 0", got)
	}
}

// The response that holds most ends first, so that one which is long but sound is not ended for one that is longer.
func TestLargestResponseEndsFirst(t *testing.T) {
	const budget = 1 << 20
	address := startStallingServer(t, map[string]string{
		"/long":    "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 200<<10),
		"/longest": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 900<<10),
	})
	o := upstream.DefaultOptions
	o.MaxBufferedBytes = budget
	p := upstream.NewPool(o, "")
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	read := func(path string) <-chan error {
		ended := make(chan error, 1)
		x, err := p.Send(ctx, address, requestPath(path, path))
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer x.Close()
			_, err := x.ReadAll()
			ended <- err
		}()
		return ended
	}
	long := read("/long")
	longest := read("/longest")
	var broken *upstream.ResponseError
	if err := <-longest; !errors.As(err, &broken) {
		t.Errorf("got %v for the longest response, want a ResponseError", err)
	}
	if upstream.ClosedByServer(broken) {
		t.Error("got the end of the longest response taken for a crash of its server")
	}
	select {
	case err := <-long:
		t.Errorf("got %v for the other response, want it to go on", err)
	case <-time.After(100 * time.Millisecond):
	}
	if got := p.EndedForMemory(); got != 1 {
		t.Errorf("got %d exchanges ended, want 1", got)
	}
}

// The error of a response that is none quotes it; a log line must not take on its length.
func TestErrorOfALongMalformedHeadIsShort(t *testing.T) {
	address := startStallingServer(t, map[string]string{"/noise": strings.Repeat("x", 32<<10) + "\r\n"})
	p := upstream.NewPool(upstream.DefaultOptions, "")
	defer p.Close()
	_, err := p.Send(context.Background(), address, requestPath("/noise", "id"))
	if err == nil || len(err.Error()) > 1000 {
		t.Errorf("got error %.50q of %d bytes, want a short one", fmt.Sprint(err), len(fmt.Sprint(err)))
	}
}
