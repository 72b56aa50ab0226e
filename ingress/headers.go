package ingress

// This file defines the header names of a deployment and parses request headers.

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtally/placement"
	"bulrushtally/serverload"
	"bulrushtally/serverstatus"
)

// HeaderNames holds the names of the headers that the router exchanges with callers and
// backend servers. Names are in canonical form.
type HeaderNames struct {
	RequestID        string   // ID of one attempt of a caller, echoed by backend servers; a retry by the caller has a new one
	Deadline         string   // milliseconds that the sender, the caller or the router, will wait for the response
	APIKey           string   // API key of a customer, never forwarded
	Customer         string   // name of the customer, set by the router only
	TokenCount       string   // prompt tokens and maximum output tokens, separated by a comma
	Segments         string   // segments of the prompt in order, as id:tokens separated by commas
	OutputTokensHint string   // expected output tokens
	LastEventID      string   // ID of the event after which a stream resumes
	Resumes          string   // ID of the attempt that brought the first event of the stream that a caller takes up
	KVFetch          string   // address of the backend server to fetch the KV cache of shared segments from
	KVSource         string   // location of a migrated request's KV cache: address and handle
	ExpectedServer   string   // the only backend server that may run the request
	NotExecuted      string   // set if the backend server did not run the request
	ResponseSeal     string   // set by a backend server on each of its successful responses
	ServerLimit      string   // set by a backend server in need: requests per second that it takes from all routers together
	ServerLeaving    string   // set to 1 by a backend server that leaves
	ServerLoad       string   // set by a backend server: requests running and waiting, slots, and possibly how long work takes in percent, separated by commas
	RetryAfter       string   // set by a backend server on a 503 response: seconds for which it wants no request from this router
	NotForwarded     []string // further headers of callers that are not forwarded
}

// requestMeta is what the router reads from a request header.
type requestMeta struct {
	id           string
	deadline     time.Duration // 0 if not given
	promptTokens int
	outputTokens int
	segments     []placement.Segment
	parts        []string // IDs of the parts of the prompt, all but the last
	resumes      string   // ID of the attempt that brought the first event of the stream
	lastEventID  string   // of the stream that the caller takes up, "" if it takes up none
}

// parse reads a request header. Values that cannot be parsed count as absent.
func (names *HeaderNames) parse(h http.Header) requestMeta {
	m := requestMeta{id: h.Get(names.RequestID), resumes: h.Get(names.Resumes), lastEventID: h.Get(names.LastEventID)}
	if ms, err := strconv.ParseFloat(h.Get(names.Deadline), 64); err == nil && ms > 0 {
		m.deadline = time.Duration(ms * float64(time.Millisecond))
	}
	prompt, output, _ := strings.Cut(h.Get(names.TokenCount), ",")
	m.promptTokens = parseCount(prompt)
	m.outputTokens = parseCount(output)
	if n := parseCount(h.Get(names.OutputTokensHint)); n > 0 && (m.outputTokens == 0 || n < m.outputTokens) {
		m.outputTokens = n
	}
	m.segments, m.parts = sharedSegments(h.Get(names.Segments))
	return m
}

// statementOf returns what a response says of the backend server that sent it.
func (names *HeaderNames) statementOf(status int, h http.Header) placement.Statement {
	st := placement.Statement{LimitPerSecond: names.limitOf(h), Leaving: strings.TrimSpace(h.Get(names.ServerLeaving)) == "1"}
	if load := h.Get(names.ServerLoad); load != "" {
		var ok bool
		if st.Load, ok = serverload.Parse(load); !ok {
			st.RejectedLoad = load
		}
	}
	if status == http.StatusServiceUnavailable {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get(names.RetryAfter)), 64)
		if err == nil && seconds > 0 { // false for NaN
			st.Pause = time.Duration(min(seconds, serverstatus.MaxPause.Seconds()) * float64(time.Second))
		}
	}
	return st
}

// limitOf returns the limit that a response names in requests per second, or 0 if it names none.
func (names *HeaderNames) limitOf(h http.Header) float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(h.Get(names.ServerLimit)), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond <= 0 {
		return 0
	}
	return max(leastLimit, perSecond)
}

// leastLimit replaces lower limits, in requests per second.
const leastLimit = 0.01

// maxTokenCount replaces higher numbers of tokens. It is more than any backend server holds, and sums of several do not overflow.
const maxTokenCount = 1 << 30

// parseCount returns a number of tokens of at most maxTokenCount, or 0 if s is not one.
func parseCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s)) // with ErrRange, n is the int nearest to the number
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return min(n, maxTokenCount)
}

// maxSegments is the number of leading segments of a prompt that are considered.
const maxSegments = 16

// sharedSegments returns the prompt segments that other requests may share, and the IDs of the
// parts that they end with: all but the last, which is specific to the request. The ID of a
// segment is a hash of its part and all before it, that of a part is the same after any other.
func sharedSegments(s string) (segments []placement.Segment, parts []string) {
	if s == "" {
		return nil, nil
	}
	fields := strings.Split(s, ",")
	segments = make([]placement.Segment, 0, len(fields))
	prefixHash := uint64(0)
	for _, f := range fields[:min(len(fields)-1, maxSegments)] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(f), ":")
		if !ok {
			break
		}
		prefixHash = prefixHash*31 + xxhash.Sum64String(id)
		segments = append(segments, placement.Segment{ID: prefixHash, Tokens: parseCount(tokens)})
		parts = append(parts, id)
	}
	return segments, parts
}
