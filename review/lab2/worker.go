package main

// This file defines worker, a stand-in for a backend server. It runs a request only if the request names it, echoes the request's
// ID, seals its answers and works on a bounded number of requests at once.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
)

var headers = platform.HeaderNames()

// job is a request that a worker runs.
type job struct {
	worker *worker
	conn   net.Conn
	http   *http.Request
	id     string
	body   []byte
}

// worker is a backend server.
type worker struct {
	id, service, version string
	record               *record
	listener             net.Listener
	slots                chan struct{}
	work                 time.Duration
	answer               func(j *job) (stays bool) // writes the answer
	born                 int64                     // Unix milliseconds

	mu   sync.Mutex
	runs map[string]int // by request ID
}

const workerSlots = 6

// startWorker starts a worker and lists it in the store.
func (d *deployment) startWorker(id, service, version string, work time.Duration, answer func(*job) bool) (*worker, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetUp, err)
	}
	w := &worker{id: id, service: service, version: version, record: d.record, listener: ln, slots: make(chan struct{}, workerSlots), work: work, answer: answer, born: time.Now().UnixMilli(), runs: map[string]int{}}
	go w.accept()
	if err := d.list(w, "ready"); err != nil {
		return nil, err
	}
	return w, nil
}

// list writes the entry of a worker to the store, in the form of the project's own stand-in.
func (d *deployment) list(w *worker, state string) error {
	form, err := platformtest.NewServer(w.id, 0)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetUp, err)
	}
	defer form.Close()
	entry := form.Entry(w.service, zoneName, state)
	entry["addr"], entry["version"], entry["slots"], entry["born"] = w.listener.Addr().String(), w.version, workerSlots, w.born
	d.store.Put(platform.ServerTable, w.id, entry)
	d.record.say("worker %s of %s, version %s, is listed as %s", w.id, w.service, w.version, state)
	return nil
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// serve runs the requests of a connection, one at a time.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(headers.RequestID)
		if r.Header.Get(headers.ExpectedServer) != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.RequestID, id, headers.NotExecuted)
			continue
		}
		w.slots <- struct{}{}
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		w.record.say("worker %s runs %s, %s %s, %d bytes, customer %q", w.id, id, r.Method, r.RequestURI, len(body), r.Header.Get(headers.Customer))
		time.Sleep(w.work)
		stays := w.answer(&job{w, c, r, id, body})
		<-w.slots
		if !stays {
			return
		}
	}
}

// ran reports whether the worker has run a request.
func (w *worker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

// head returns the beginning of a success, up to the headers that tell the length.
func (j *job) head() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\n", headers.RequestID, j.id, headers.ResponseSeal, j.worker.id, j.id)
}

// answerWhole answers a request with a short body that names it.
func answerWhole(j *job) bool {
	body := "done " + j.id
	_, err := fmt.Fprintf(j.conn, "%sContent-Length: %d\r\n\r\n%s", j.head(), len(body), body)
	return err == nil
}

// eventOf returns one event of the stream that answers a request.
func eventOf(id string, n int, lineEnd string) string {
	return fmt.Sprintf("id: %d%sdata: %s-%d%s%s", n, lineEnd, id, n, lineEnd, lineEnd)
}

// eventText returns the whole body of a stream of n events.
func eventText(id string, n int, lineEnd string) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventOf(id, i, lineEnd))
	}
	return b.String()
}

// streamEvents answers with a stream of n events in chunks whose lines end with lineEnd.
func streamEvents(n int, lineEnd string) func(*job) bool {
	return func(j *job) bool {
		var b bytes.Buffer
		fmt.Fprintf(&b, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", j.head())
		for i := 1; i <= n; i++ {
			event := eventOf(j.id, i, lineEnd)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
			if _, err := j.conn.Write(b.Bytes()); err != nil {
				return false
			}
			b.Reset()
			time.Sleep(10 * time.Millisecond)
		}
		_, err := io.WriteString(j.conn, "0\r\n\r\n")
		return err == nil
	}
}
