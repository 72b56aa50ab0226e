package ingress

// This file defines Dialect, the names of headers on a deployment.

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/placement"
)

// Dialect names the headers in which callers and backend servers say what a
// router has to know. Names are in canonical form.
type Dialect struct {
	RequestID  string   // of one attempt of a client, echoed by backend servers
	Deadline   string   // milliseconds that the client, or the router, will wait
	Key        string   // of a customer, never passed on
	Customer   string   // name of the customer, set by the router alone
	Tokens     string   // of the prompt, and the most to be generated
	Parts      string   // of the prompt, in order
	OutputHint string   // tokens likely generated
	LastEvent  string   // a stream goes on after this event
	Fetch      string   // engine to take shared parts of the prompt from
	MoveFrom   string   // where a moved request's memory is: address and handle
	Expect     string   // instance that alone may run the request
	NotRun     string   // the backend server did not run the request
	Seal       string   // of a backend server on its answer
	Reserved   []string // headers of a client that are not passed on
}

// meta is what a request's header says to the router.
type meta struct {
	id       string
	deadline time.Duration // 0 if it says none
	prompt   int
	output   int
	parts    []placement.Part
}

// read returns what a header says; what cannot be read counts as not said.
func (d *Dialect) read(h http.Header) meta {
	m := meta{id: h.Get(d.RequestID)}
	if ms, err := strconv.ParseFloat(h.Get(d.Deadline), 64); err == nil && ms > 0 {
		m.deadline = time.Duration(ms * float64(time.Millisecond))
	}
	prompt, output, _ := strings.Cut(h.Get(d.Tokens), ",")
	m.prompt = count(prompt)
	m.output = count(output)
	if n := count(h.Get(d.OutputHint)); n > 0 && (m.output == 0 || n < m.output) {
		m.output = n
	}
	m.parts = readParts(h.Get(d.Parts))
	return m
}

func count(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// maxParts bounds what is kept of a prompt's parts.
const maxParts = 16

// readParts returns the parts that other requests may bring too: all but the last,
// which is the request's own. Each ID stands for the part and all before it.
func readParts(s string) []placement.Part {
	if s == "" {
		return nil
	}
	fields := strings.Split(s, ",")
	parts := make([]placement.Part, 0, len(fields))
	chain := uint64(0)
	for _, f := range fields[:min(len(fields)-1, maxParts)] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(f), ":")
		if !ok {
			break
		}
		chain = chain*31 + xxhash.Sum64String(id)
		parts = append(parts, placement.Part{ID: chain, Tokens: count(tokens)})
	}
	return parts
}
