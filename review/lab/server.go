package main

// This file defines server, a sound backend server as the pages describe it.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
)

// names holds the names of the platform's headers.
var names = platform.HeaderNames()

// ownPathPrefix starts the paths of the calls that servers serve beside requests.
const ownPathPrefix = "/-/"

// run is a request that a server runs.
type run struct {
	id   string
	stop chan struct{} // closed when the run stops to go on elsewhere
	made int           // events so far
}

// server is a backend server that answers with a stream of events.
type server struct {
	id, service, zone string
	record            *record
	listener          net.Listener
	events            int           // of a stream
	gap               time.Duration // between two events
	framed            func() bool   // whether the next stream is sent in chunks; nil if all are
	lineEnd           string        // of the lines of events; "" is LF

	mu      sync.Mutex
	runs    map[string]*run   // by ID
	begun   map[string]string // paths of the requests that it has begun to run, by ID
	beatEnd chan struct{}
}

// startServer starts a backend server that writes its entry to the store.
func (f *fleet) startServer(s *server) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.record, s.listener, s.runs, s.begun, s.beatEnd = f.record, ln, map[string]*run{}, map[string]string{}, make(chan struct{})
	f.servers = append(f.servers, s)
	entry, err := s.newEntry()
	if err != nil {
		return err
	}
	go s.accept()
	go func() {
		for seq := 1; ; seq++ {
			entry["seq"] = seq
			f.store.Put("servers", s.id, entry)
			select {
			case <-s.beatEnd:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// newEntry returns the server's entry in the store. The fields are those of the project's own stand-in.
func (s *server) newEntry() (map[string]any, error) {
	other, err := platformtest.NewServer(s.id, 0)
	if err != nil {
		return nil, err
	}
	defer other.Close()
	entry := other.Entry(s.service, s.zone, "ready")
	entry["addr"], entry["slots"], entry["born"] = s.address(), 64, time.Now().UnixMilli()
	return entry, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() {
	close(s.beatEnd)
	s.listener.Close()
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves the requests of a connection.
func (s *server) serve(c net.Conn) {
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
		switch {
		case strings.HasPrefix(r.URL.Path, ownPathPrefix) && r.Method == http.MethodPost:
			s.move(c, body)
		case strings.HasPrefix(r.URL.Path, ownPathPrefix):
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get(names.ExpectedServer) != "" && r.Header.Get(names.ExpectedServer) != s.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.RequestID, r.Header.Get(names.RequestID))
		default:
			if !s.answer(c, r) {
				return
			}
		}
	}
}

// move stops a run, so that it goes on elsewhere, and closes its stream without its end.
func (s *server) move(c net.Conn, body []byte) {
	var order struct{ ID, To string }
	if err := json.Unmarshal(body, &order); err != nil {
		fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s.mu.Lock()
	r := s.runs[order.ID]
	if r == nil {
		s.mu.Unlock()
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	delete(s.runs, order.ID)
	close(r.stop)
	answer := fmt.Sprintf(`{"handle":%q,"create_rev":%d}`, "h-"+order.ID, r.made)
	s.mu.Unlock()
	s.record.printf("server %s stops %s after event %d, to go on at %s", s.id, order.ID, r.made, order.To)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
}

// answer runs a request and sends its stream. It reports whether the connection stays open.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(names.RequestID)
	after, err := strconv.Atoi(r.Header.Get(names.LastEventID))
	if err != nil {
		after = 0
	}
	ms, err := strconv.Atoi(r.Header.Get(names.Deadline))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	x := &run{id: id, stop: make(chan struct{}), made: after}
	framed := true
	s.mu.Lock()
	s.runs[id] = x
	s.begun[id] = r.URL.Path
	if s.framed != nil {
		framed = s.framed()
	}
	s.mu.Unlock()
	s.record.printf("server %s (%s) runs %s %s after event %d, for at most %d ms, in chunks: %t", s.id, s.service, id, r.URL.Path, after, ms, framed)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\n", names.RequestID, id, names.ResponseSeal, s.id)
	if framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := after + 1; n <= s.events; n++ {
		if err == nil && time.Now().After(deadline) {
			s.record.printf("server %s ends %s at the deadline that it was given, after event %d", s.id, id, n-1)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		if s.lineEnd != "" {
			event = strings.ReplaceAll(event, "\n", s.lineEnd)
		}
		if framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		s.mu.Lock()
		if s.runs[id] != x {
			s.mu.Unlock()
			return false
		}
		x.made = n
		_, writeErr := io.WriteString(c, event)
		s.mu.Unlock()
		if writeErr != nil {
			s.record.printf("server %s finds the connection of %s closed, after event %d", s.id, id, n-1)
			return false
		}
		select {
		case <-x.stop:
			return false
		case <-time.After(s.gap):
		}
	}
	s.mu.Lock()
	ended := s.runs[id] == x
	delete(s.runs, id)
	s.mu.Unlock()
	if !ended {
		return false
	}
	s.record.printf("server %s has sent %s to its end, event %d", s.id, id, s.events)
	if framed {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return false
}
