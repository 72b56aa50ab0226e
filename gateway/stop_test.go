package gateway_test

// This file tests what callers get whose requests are not answered by the end of a planned stop.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// shortGrace has a time from SIGTERM to SIGKILL in which a test can wait.
var shortGrace = gatewaySettings{graceSeconds: 2, descriptors: 200, memoryMB: 256, retrySlack: 50}

// newStoppingTestbed starts a gateway with a short time to stop and one server, whose requests hang, of a service for
// requests that run at most once.
func newStoppingTestbed(t *testing.T, slots int) (*testbed, *platformtest.Server) {
	s := newTestbedWith(t, shortGrace, platformtest.Service("desk", "non_idempotent", 1, map[string]any{"public": true, "timeout_ms": 6000}))
	b, err := platformtest.NewServer("i-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.SetDefaultBehaviour(platformtest.Hang)
	entry := b.Entry("desk", "zone-a", "ready")
	entry["slots"] = slots
	s.store.Put("servers", "i-1", entry)
	s.listedServers++
	s.waitReady()
	return s, b
}

// stopAndWait stops the gateway and returns a function that checks that the time to stop is not over, when the process ends.
func (s *testbed) stopAndWait() (checkInTime func()) {
	at := time.Now()
	s.stop()
	return func() {
		s.t.Helper()
		if d := time.Since(at); d > 2*time.Second {
			s.t.Errorf("got an answer %v after the stop had begun, want it before the 2 s to stop are over", d)
		}
	}
}

// sendMany sends requests at the same time and returns their responses in the order in which they end.
func (s *testbed) sendMany(n int) <-chan response {
	responses := make(chan response, n)
	for range n {
		go func() { responses <- s.send("POST", "/desk/x", "order") }()
	}
	return responses
}

func TestRequestsAreAnsweredWhenTheTimeToStopEnds(t *testing.T) {
	s, b := newStoppingTestbed(t, 1)
	time.Sleep(200 * time.Millisecond)
	responses := s.sendMany(1)
	if !eventually(time.Second, func() bool { return len(b.Received()) == 1 }) {
		t.Fatal("got no request at the server")
	}
	checkInTime := s.stopAndWait()
	a := <-responses
	checkInTime()
	if a.err != nil || a.status != 504 {
		t.Errorf("got status %d and error %v for a request that ran when the time to stop ended, want 504", a.status, a.err)
	}
}

func TestWaitingRequestIsToldThatItHasNotRunWhenTheTimeToStopEnds(t *testing.T) {
	s, b := newStoppingTestbed(t, 1)
	checkInTime := s.stopAndWait()
	responses := s.sendMany(2) // one runs, and the other waits for its slot
	notRun := 0
	for range 2 {
		a := <-responses
		checkInTime()
		if a.err != nil {
			t.Errorf("got error %v, want an answer", a.err)
		}
		if a.status == 503 {
			notRun++
			if a.header.Get("Retry-After") == "" {
				t.Error("got no Retry-After for a request that has not run")
			}
		}
	}
	if got := len(b.Received()); got != 1 || notRun != 1 {
		t.Errorf("got %d requests at the server and %d told that they have not run, want one each", got, notRun)
	}
}

func TestLateRequestGetsNoMoreTimeThanIsLeftToStop(t *testing.T) {
	s, b := newStoppingTestbed(t, 8)
	checkInTime := s.stopAndWait()
	time.Sleep(200 * time.Millisecond)
	a := <-s.sendMany(1)
	checkInTime()
	if a.err != nil || a.status != 504 {
		t.Errorf("got status %d and error %v, want 504", a.status, a.err)
	}
	received := b.Received()
	if len(received) != 1 {
		t.Fatalf("got %d requests at the server, want 1", len(received))
	}
	if ms, err := strconv.Atoi(received[0].Header.Get("Deadline-Ms")); err != nil || ms > 2000 {
		t.Errorf("got a deadline of %q ms at the server, want less than the 2 s that were left to stop", received[0].Header.Get("Deadline-Ms"))
	}
}

// idleCloseTime is how long after the start of a stop a router closes idle connections.
const idleCloseTime = 2500 * time.Millisecond

// A connection that had just been accepted was closed with the idle ones before its request was read.
func TestConnectionAcceptedLateInAStopIsServed(t *testing.T) {
	s := newTestbed(t, publicDesk)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.stop()
	time.Sleep(idleCloseTime - 200*time.Millisecond)
	c, err := net.Dial("tcp4", s.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(450 * time.Millisecond) // a caller some way off, or a router that is slow to read, beyond the close of idle connections
	if _, err := io.WriteString(c, "GET /desk/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: late\r\n\r\n"); err != nil {
		t.Fatalf("got %v while sending, want the connection open", err)
	}
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	if a.StatusCode != 200 {
		t.Errorf("got status %d, want 200", a.StatusCode)
	}
}

// A request that arrives just after its idle connection was closed was read and dropped, so that its caller could not know that
// it may send it again.
func TestRequestThatCrossesTheCloseOfAnIdleConnectionIsNotRead(t *testing.T) {
	s := newTestbed(t, publicDesk)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	c, err := net.Dial("tcp4", s.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	io.WriteString(c, "GET /desk/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: first\r\n\r\n")
	if a, err := http.ReadResponse(reader, nil); err != nil || a.StatusCode != 200 {
		t.Fatalf("got %v and error %v for the first request, want 200", a, err)
	} else if _, err := io.Copy(io.Discard, a.Body); err != nil {
		t.Fatal(err)
	}
	s.stop()
	c.SetReadDeadline(time.Now().Add(2 * idleCloseTime))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want the idle connection closed", err)
	}
	io.WriteString(c, "POST /desk/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: crossing\r\nContent-Length: 0\r\n\r\n")
	refused := func() bool { // a closed socket answers with a reset, an open one takes what comes
		_, err := io.WriteString(c, "x")
		return err != nil
	}
	if !eventually(20*time.Millisecond, refused) {
		t.Error("got a request taken on a connection that is closed, want a reset")
	}
	if got := len(b.Received()); got != 1 {
		t.Errorf("got %d requests at the server, want 1", got)
	}
}

// A response that began before the stop says that its connection stays open. It was closed all the same, and the request that its
// caller sent next was read and dropped.
func TestConnectionThatIsToStayOpenServesItsNextRequestDuringAStop(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	s.startServer("i-1", "models", 200)
	s.waitReady()
	c := s.keepConn(t)
	first := c.send("/models/x", "first", "")
	if first.Close {
		t.Fatal("got a response that closes its connection before the stop")
	}
	s.stop()
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	next := c.send("/models/x", "next", "")
	if next.StatusCode != 200 || !next.Close {
		t.Errorf("got status %d, and the connection to be closed: %v, want 200, and closed after it", next.StatusCode, next.Close)
	}
}

// slowModels is a service of streams that take seconds, longer than is left late in a stop.
var slowModels = platformtest.Service("models", "stream", 1, map[string]any{
	"public": true, "timeout_ms": 8000, "engine": map[string]any{"slots": 8, "kv_capacity": 444000},
})

// keptConn is a connection of a caller that sends one request after another on it.
type keptConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// keepConn opens a connection to the gateway that lasts until the end of the test.
func (s *testbed) keepConn(t *testing.T) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp4", s.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &keptConn{t, c, bufio.NewReader(c)}
}

// send sends a request with an ID and further header lines, and returns the head of the response.
func (c *keptConn) send(path, id, header string) *http.Response {
	c.t.Helper()
	io.WriteString(c.conn, "POST "+path+" HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\nAttempt-Id: "+id+"\r\n"+header+"\r\n")
	c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("request %s: got %v, want an answer", id, err)
	}
	return a
}

// Guards against requests that are cut off at the end of a stop: they came late in it, on a connection that was to stay open
// since its answer had begun before the stop, and were passed on with the time that was left.
func TestLateRequestOnAKeptConnectionIsToldThatItHasNotRun(t *testing.T) {
	s := newTestbed(t, slowModels)
	b := s.startServer("i-1", "models", 11)
	b.SetDefaultBehaviour(platformtest.SlowEvents) // about 3 s a stream
	s.waitReady()
	c := s.keepConn(t)
	first := c.send("/models/x", "first", "")
	s.stop()
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	next := c.send("/models/x", "next", "")
	if next.StatusCode != 503 || !next.Close || next.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q and the connection to be closed: %v, want 503, a time, and closed", next.StatusCode, next.Header.Get("Retry-After"), next.Close)
	}
	if got := len(b.Received()); got != 1 {
		t.Errorf("got %d requests at the server, want the first alone", got)
	}
}

// A request whose caller waits no longer than the stop lasts is served until the end.
func TestLateRequestThatEndsBeforeTheStopIsServed(t *testing.T) {
	s := newTestbed(t, slowModels)
	b := s.startServer("i-1", "models", 11)
	b.QueueBehaviours(platformtest.SlowEvents)
	s.waitReady()
	c := s.keepConn(t)
	first := c.send("/models/x", "first", "")
	s.stop()
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	if next := c.send("/models/x", "next", "Deadline-Ms: 2000\r\n"); next.StatusCode != 200 {
		t.Errorf("got status %d, want 200", next.StatusCode)
	}
}

// Guards against the same for a request that was accepted before the stop and still waits for a server late in it.
func TestRequestThatWaitsLateInAStopIsToldThatItHasNotRun(t *testing.T) {
	s := newTestbed(t, platformtest.Service("desk", "non_idempotent", 1, map[string]any{"public": true, "timeout_ms": 9000, "slo_ms": 9000}))
	b, err := platformtest.NewServer("i-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	b.SetWorkTime(4 * time.Second)
	entry := b.Entry("desk", "zone-a", "ready")
	entry["slots"] = 1
	s.store.Put("servers", "i-1", entry)
	s.listedServers++
	s.waitReady()
	responses := s.sendMany(2) // one runs, and the other waits for its slot
	if !eventually(time.Second, func() bool { return len(b.Received()) == 1 }) {
		t.Fatal("got no request at the server")
	}
	s.stop()
	if a := <-responses; a.err != nil || a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, error %v and Retry-After %q for the request that waits, want 503 before the slot is free", a.status, a.err, a.header.Get("Retry-After"))
	}
	if a := <-responses; a.err != nil || a.status != 200 {
		t.Errorf("got status %d and error %v for the request that ran, want 200", a.status, a.err)
	}
	if got := len(b.Received()); got != 1 {
		t.Errorf("got %d requests at the server, want 1", got)
	}
}
