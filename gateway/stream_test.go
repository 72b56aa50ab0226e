package gateway_test

// This file tests streams through a gateway.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// Each of two servers breaks off one stream. A response that is complete nevertheless must
// have each event once.
func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	s := newTestbed(t, modelsService)
	one, two := s.startServer("i-1", "models", 12), s.startServer("i-2", "models", 12)
	s.waitReady()
	one.QueueBehaviours(platformtest.DisconnectMidStream)
	two.QueueBehaviours(platformtest.DisconnectMidStream)
	a := s.send("POST", "/models/x", "prompt")
	events := strings.Count(a.body, "id: ")
	for n := 1; n <= 12; n++ {
		if got := strings.Count(a.body, fmt.Sprintf("id: %d\n", n)); a.err == nil && got != 1 {
			t.Errorf("event %d: got it %d times, want once", n, got)
		}
	}
	if a.err == nil && events != 12 {
		t.Errorf("got %d events in a complete response, want 12", events)
	}
}

// exchange sends a request without a body on a connection of its own and returns all bytes that come until the gateway
// closes it.
func (s *testbed) exchange(path string) string {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.gateway.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: id-%d\r\nX-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, time.Now().UnixNano())
	b, err := io.ReadAll(c)
	if err != nil {
		s.t.Errorf("got %v, want the connection closed by the gateway", err)
	}
	return string(b)
}

// The next server's error was written into the stream, with its head, or ended it as if it were complete.
func TestStreamThatHasBegunIsNotEndedByAnotherServersError(t *testing.T) {
	for _, next := range []platformtest.Behaviour{platformtest.FailWith500, platformtest.Decline, platformtest.OmitSeal, platformtest.AnswerEmpty, platformtest.EndBeforeEvents} {
		s := newTestbed(t, modelsService)
		one, two := s.startServer("i-1", "models", 12), s.startServer("i-2", "models", 12)
		s.waitReady()
		one.SetFollowing(platformtest.DisconnectMidStream, next)
		two.SetFollowing(platformtest.DisconnectMidStream, next)
		got := s.exchange("/models/x")
		if n := len(one.Received()) + len(two.Received()); n != 2 {
			t.Fatalf("behaviour %d: got %d requests at the servers, want 2", next, n)
		}
		if strings.Count(got, "HTTP/1.1 ") != 1 || strings.Contains(got, "failed") || strings.Count(got, "id: ") != 1 {
			t.Errorf("behaviour %d: got %q, want one head and the one event that was whole", next, got)
		}
		if strings.HasSuffix(got, "0\r\n\r\n") {
			t.Errorf("behaviour %d: got a stream that looks complete, want it broken off", next)
		}
	}
}

var migratableService = platformtest.Service("models", "stream", 1, map[string]any{
	"engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
})

// A request with a long prompt must migrate from the server that did the prefill to
// another one, and the caller must get each event once.
func TestLongPromptMigratesOnce(t *testing.T) {
	s := newTestbed(t, migratableService)
	var servers []*platformtest.Server
	for i := range 4 {
		servers = append(servers, s.startServer(fmt.Sprint("i-", i), "models", 40))
	}
	s.waitReady()
	a := s.send("POST", "/models/x", "prompt", "Token-Count", "20000,400")
	for n := 1; n <= 40; n++ {
		if got := strings.Count(a.body, fmt.Sprintf("id: %d\n", n)); got != 1 {
			t.Errorf("event %d: got it %d times, want once", n, got)
		}
	}
	migrations := 0
	for _, b := range servers {
		migrations += b.Migrations()
	}
	if a.err != nil || migrations != 1 {
		t.Errorf("got error %v and %d migrations, want a complete response and one migration", a.err, migrations)
	}
}

// A request that was stopped for its migration has run. If no server can continue it, it
// must not run again, although the last attempt failed to connect.
func TestFailedMigrationDoesNotRunRequestAgain(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 2, map[string]any{
		"engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
	}))
	var servers []*platformtest.Server
	for i := range 4 {
		b := s.startServer(fmt.Sprint("i-", i), "models", 40)
		b.SetDefaultBehaviour(platformtest.StopListeningOnMigration)
		servers = append(servers, b)
	}
	s.waitReady()
	for _, b := range servers {
		b.DeclineMigrated()
	}
	a := s.send("POST", "/models/x", "prompt", "Token-Count", "20000,400")
	runs := 0
	for _, b := range servers {
		for _, r := range b.Received() {
			if r.Header.Get("Kv-From") == "" { // not the continuation of a run
				runs++
			}
		}
	}
	if a.err == nil || runs != 1 {
		t.Errorf("got complete response %v and %d runs, want an incomplete response after one run; log:\n%s", a.err == nil, runs, s.logs)
	}
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, nil))
	b := s.startServer("i-1", "models", 12)
	s.waitReady()
	b.QueueBehaviours(platformtest.DisconnectMidStream)
	a := s.send("POST", "/models/x", "prompt")
	if a.err == nil {
		t.Errorf("got a complete response %q, want an error while reading it", a.body)
	}
}

// Such a stream was passed on as complete.
func TestStreamThatEndsWithItsConnectionDoesNotLookCompleteIfBrokenOff(t *testing.T) {
	for _, b := range []platformtest.Behaviour{platformtest.EndInsideEvent, platformtest.EndBeforeEvents} {
		s := newTestbed(t, platformtest.Service("models", "stream", 1, nil))
		server := s.startServer("i-1", "models", 12)
		s.waitReady()
		server.QueueBehaviours(b)
		if a := s.send("POST", "/models/x", "prompt"); a.err == nil && a.status == http.StatusOK {
			t.Errorf("behaviour %d: got a complete response %q, want an error", b, a.body)
		}
	}
}

// An event without end was kept in memory until the request's deadline.
func TestEndlessEventIsCutOff(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{
		"engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
	}))
	b := s.startServer("i-1", "models", 12)
	s.waitReady()
	b.QueueBehaviours(platformtest.EndlessEvent)
	if a := s.send("POST", "/models/x", "prompt"); a.err == nil {
		t.Errorf("got a complete response of %d bytes, want an error while reading it", len(a.body))
	}
	if !eventually(time.Second, func() bool { return b.Interrupted() == 1 }) {
		t.Error("the router did not close the connection of an event without end")
	}
	if got := s.logs.String(); !strings.Contains(got, `"cause":"broken"`) {
		t.Errorf("got no end as a broken response, want one before the deadline; log:\n%s", got)
	}
}

// Pauses of three times what the route calls on time make a stream late, no more.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		s := newTestbed(t, platformtest.Service("models", "stream", 2, map[string]any{
			"public": true, "resumable": resumable, "timeout_ms": 6000, "engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
		}))
		b := s.startServer("i-1", "models", 12)
		s.startServer("i-2", "models", 12).SetDefaultBehaviour(platformtest.SlowEvents)
		s.waitReady()
		b.SetDefaultBehaviour(platformtest.SlowEvents)
		a := s.send("POST", "/models/x", "prompt")
		if a.err != nil || a.status != http.StatusOK || strings.Count(a.body, "id: ") != 12 {
			t.Errorf("resumable %v: got status %d, error %v and %d events of a slow stream, want all 12; log:\n%s", resumable, a.status, a.err, strings.Count(a.body, "id: "), s.logs)
		}
	}
}

// A byte now and then does not keep a stalled stream open beyond its route's time, and its end does not look complete.
func TestStalledStreamThatSendsAByteNowAndThenEnds(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		s := newTestbed(t, platformtest.Service("models", "stream", 2, map[string]any{
			"public": true, "resumable": resumable, "timeout_ms": 1500, "engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
		}))
		b := s.startServer("i-1", "models", 12)
		s.waitReady()
		b.SetDefaultBehaviour(platformtest.Trickle)
		began := time.Now()
		a := s.send("POST", "/models/x", "prompt")
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("resumable %v: got the end of a stalled stream after %v, want it within 0.5 s of the route's 1.5 s", resumable, took)
		}
		if a.err == nil && a.status == http.StatusOK {
			t.Errorf("resumable %v: got a complete response %q, want an error", resumable, a.body)
		}
		if !eventually(time.Second, func() bool { return b.Interrupted() > 0 }) {
			t.Errorf("resumable %v: the router did not close the connection of a stalled stream", resumable)
		}
	}
}
