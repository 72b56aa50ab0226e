package main

// This file defines worker, a stand-in for a backend server that answers with a body or with a stream of events. A model server among
// them moves its runs to others, and may crash on a part of a prompt.

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions say how a worker answers.
type workerOptions struct {
	id, service, version string
	slots                int
	work                 time.Duration // before the answer
	events               int           // of a stream; 0 for an answer with a body
	gap                  time.Duration // between two events
	lineEnd              string        // of the lines of a stream

	deadlyPart string        // of prompts, on which the worker crashes when it has written the first event; "" for none
	crashAfter time.Duration // from then on
	away       time.Duration // from a crash until the worker is back
	moveTime   time.Duration // for the copy of a run's memory to another worker
	onBack     func(*worker) // called when the worker is back, with a new start
}

// arrival is a request that reached a worker.
type arrival struct {
	id     string
	at     time.Time
	deadly bool
}

// worker is a backend server.
type worker struct {
	workerOptions
	address string

	mu       sync.Mutex
	listener net.Listener
	born     int64           // Unix milliseconds
	began    map[string]bool // IDs of the requests that it began to run
	arrivals []arrival
	crashes  []time.Time
	moves    int                      // that were ordered
	stops    map[string]chan struct{} // by ID of a run: closing the channel ends it, since it is moved
	conns    map[net.Conn]bool
}

// startWorker starts a worker on a free port.
func startWorker(o workerOptions) (*worker, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		workerOptions: o, address: ln.Addr().String(), listener: ln, born: time.Now().UnixMilli(),
		began: map[string]bool{}, stops: map[string]chan struct{}{}, conns: map[net.Conn]bool{},
	}
	go w.accept(ln)
	return w, nil
}

// entry returns the worker's entry in the store, in a state.
func (w *worker) entry(state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := map[string]any{}
	if err := json.Unmarshal(entryTemplate, &entry); err != nil {
		panic(err) // the file is part of the program
	}
	entry["service"], entry["addr"], entry["version"], entry["slots"], entry["state"], entry["born"] = w.service, w.address, w.version, w.slots, state, w.born
	return entry
}

// entryTemplate is an entry of the store whose values are to be filled in.
//
//go:embed entry.json
var entryTemplate []byte

// ran reports whether the worker began to run a request.
func (w *worker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began[id]
}

// close ends the worker and its connections.
func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listener.Close()
	for c := range w.conns {
		c.Close()
	}
}

// crash ends all connections of the worker by a reset. It is back after a time.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, time.Now())
	w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	time.AfterFunc(w.away, w.comeBack)
}

// comeBack starts the worker anew, at its address and under its ID.
func (w *worker) comeBack() {
	ln, err := net.Listen("tcp4", w.address)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.listener, w.born = ln, time.Now().UnixMilli()
	w.mu.Unlock()
	go w.accept(ln)
	w.onBack(w)
}

func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

// serve answers the requests of one connection.
func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
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
		if strings.HasPrefix(r.URL.Path, "/-/kv-") {
			err = w.move(c, r, body)
		} else {
			err = w.answer(c, r)
		}
		if err != nil {
			return
		}
	}
}

// move stops a run and copies its memory to another worker, or frees the memory of one that was moved.
func (w *worker) move(c net.Conn, r *http.Request, body []byte) error {
	if r.Method == http.MethodDelete {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	var order struct{ ID, To string }
	if err := json.Unmarshal(body, &order); err != nil {
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	w.mu.Lock()
	stop := w.stops[order.ID]
	delete(w.stops, order.ID)
	if stop != nil {
		w.moves++
	}
	w.mu.Unlock()
	if stop == nil {
		_, err := io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	close(stop) // the run stops first, and is copied then
	time.Sleep(w.moveTime)
	answer := fmt.Sprintf(`{"handle":"h-%s","create_rev":1}`, order.ID)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	return err
}

// begin records a request that the worker begins to run, and returns whether it crashes the worker and what ends it.
func (w *worker) begin(r *http.Request) (deadly bool, stop chan struct{}) {
	id := r.Header.Get(names.RequestID)
	w.mu.Lock()
	defer w.mu.Unlock()
	deadly = w.deadlyPart != "" && strings.Contains(","+r.Header.Get(names.Segments), ","+w.deadlyPart+":")
	w.began[id] = true
	w.arrivals = append(w.arrivals, arrival{id, time.Now(), deadly})
	stop = make(chan struct{})
	w.stops[id] = stop
	return deadly, stop
}

// answer runs a request and answers it, unless the request is for another worker.
func (w *worker) answer(c net.Conn, r *http.Request) error {
	id := r.Header.Get(names.RequestID)
	head := fmt.Sprintf("%s: %s\r\nInstance-Id: %s\r\n", names.RequestID, id, w.id)
	if want := r.Header.Get(names.ExpectedServer); want != "" && want != w.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err
	}
	deadly, stop := w.begin(r)
	defer func() {
		w.mu.Lock()
		delete(w.stops, id)
		w.mu.Unlock()
	}()
	time.Sleep(w.work)
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: seal-%s\r\n", head, names.ResponseSeal, w.id)
	if w.events == 0 {
		_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\ndone", head)
		return err
	}
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	return w.stream(c, r, deadly, stop)
}

// stream sends the events after the one that the request names, or all.
func (w *worker) stream(c net.Conn, r *http.Request, deadly bool, stop chan struct{}) error {
	after, err := strconv.Atoi(r.Header.Get(names.LastEventID))
	if err != nil {
		after = 0
	}
	for n := after + 1; n <= w.events; n++ {
		event := strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get(names.RequestID)), "\n", w.lineEnd)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		if deadly {
			time.Sleep(w.crashAfter)
			w.crash()
			return io.ErrUnexpectedEOF
		}
		select {
		case <-stop:
			return io.EOF // the run goes on elsewhere, and its stream is closed without its end
		case <-time.After(w.gap):
		}
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err
}
