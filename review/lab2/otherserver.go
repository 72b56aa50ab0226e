package main

// This file defines otherServer, a sound HTTP server that is no worker: it knows the path /metrics alone, and closes each connection
// after its answer.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

type otherServer struct {
	listener net.Listener
	got      atomic.Int64 // requests for what it does not have
}

func startOtherServer(r *record) (*otherServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetUp, err)
	}
	s := &otherServer{listener: ln}
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "up 1\n") })
	m.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		s.got.Add(1)
		r.say("the server that is no worker gets %s, %s %s, customer %q, for worker %q", q.Header.Get(headers.RequestID), q.Method, q.RequestURI, q.Header.Get(headers.Customer), q.Header.Get(headers.ExpectedServer))
		http.NotFound(w, q)
	})
	server := &http.Server{Handler: m}
	server.SetKeepAlivesEnabled(false)
	go server.Serve(ln)
	return s, nil
}

func (s *otherServer) address() string { return s.listener.Addr().String() }

// requests returns how many requests for what it does not have the server got.
func (s *otherServer) requests() int64 { return s.got.Load() }

func (s *otherServer) close() { s.listener.Close() }
