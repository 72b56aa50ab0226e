package gateway_test

// This file tests a gateway against stand-ins of the platform's store and backend servers.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

var (
	deskService   = platformtest.Service("desk", "read_only", 2, nil)
	ordersService = platformtest.Service("orders", "non_idempotent", 2, nil)
	modelsService = platformtest.Service("models", "stream", 2, map[string]any{"resumable": true})
)

func TestRequestForwarding(t *testing.T) {
	s := newTestbed(t, deskService)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	a := s.send("POST", "/desk/x?y=1", "hello", "Tenant", "mallory", "Deadline-Ms", "2000", "Pin-Ms", "4000", "Kv-Fetch", "127.0.0.1:1", "X-Other", "kept")
	if a.status != 200 || a.body != "done" || a.header.Get("Response-Seal") != "seal-i-1" {
		t.Fatalf("got %+v, want the server's response; log:\n%s", a, s.logs)
	}
	r := b.Received()[0]
	want := map[string]string{"Tenant": "alice", "X-Api-Key": "", "Pin-Ms": "", "Kv-Fetch": "", "Expect-Instance": "i-1", "X-Other": "kept"}
	for name, value := range want {
		if got := r.Header.Get(name); got != value {
			t.Errorf("header %s: got %q, want %q", name, got, value)
		}
	}
	if r.URI != "/desk/x?y=1" || string(r.Body) != "hello" {
		t.Errorf("got %s %q, want the caller's path and body", r.URI, r.Body)
	}
}

// A router that cannot tell whether a route or a key is valid must respond with 503, not
// with 404 or 401.
func TestUnconfirmedConfigurationGives503(t *testing.T) {
	s := newTestbed(t)
	a := s.send("GET", "/desk/x", "")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d, want 503 with Retry-After", a.status)
	}
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, deskService))
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	if a := s.send("GET", "/nothing/", ""); a.status != 404 {
		t.Errorf("no route: got %d, want 404", a.status)
	}
	if a := s.send("GET", "/desk/x", "", "X-Api-Key", "wrong"); a.status != 401 {
		t.Errorf("wrong key: got %d, want 401", a.status)
	}
	s.store.SetFault(platformtest.Unavailable)
	if !eventually(4*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 503 }) {
		t.Error("a key is still accepted 4 s after the store failed")
	}
	s.store.SetFault(platformtest.NoFault)
	if !eventually(3*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 200 }) {
		t.Errorf("no request is served 3 s after the store recovered; log:\n%s", s.logs)
	}
}

func TestRevokedKeyIsRefused(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.store.Put("op", "config", platformtest.Config(2, []string{"key-2"}, deskService))
	if !eventually(2*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 401 }) {
		t.Error("a revoked key is still accepted after 2 s")
	}
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, deskService))
	time.Sleep(200 * time.Millisecond)
	if a := s.send("GET", "/desk/x", ""); a.status != 401 {
		t.Errorf("after an older configuration was written: got %d, want 401", a.status)
	}
}

// If the store has dropped the changes that a router lacks, the router must read the whole
// table again.
func TestConfigurationAfterDroppedHistory(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.store.DiscardHistory()
	s.store.Put("op", "config", platformtest.Config(5, []string{"key-5"}, deskService))
	if !eventually(4*time.Second, func() bool { return s.send("GET", "/desk/x", "", "X-Api-Key", "key-5").status == 200 }) {
		t.Errorf("the configuration after dropped history is not in force after 4 s; log:\n%s", s.logs)
	}
}

func TestInvalidServerEntriesAreRefused(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	for i, entry := range []any{
		[]byte("\xff\xfe"), map[string]any{"service": 7, "addr": "x"}, map[string]any{"addr": "127.0.0.1:1", "state": "ready"},
		map[string]any{"service": "desk", "addr": "127.0.0.1:1", "state": "asleep"},
	} {
		s.store.Put("servers", fmt.Sprintf("i-bad-%d", i), entry)
	}
	s.waitReady()
	for range 10 {
		if a := s.send("GET", "/desk/x", ""); a.status != 200 {
			t.Fatalf("got %d, want 200 from the server with a valid entry", a.status)
		}
	}
	if got := strings.Count(s.logs.String(), "server-entry-refused"); got != 4 {
		t.Errorf("got %d refused entries in the log, want 4", got)
	}
}

// Something else wrote under the name of a server, which served on and wrote its entry again soon.
func TestServerServesOnBesideAnOddEntryUnderItsName(t *testing.T) {
	s := newTestbed(t, publicDesk)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.store.Put("servers", "i-1", []byte(`{"service":"desk","addr":"127.0.0.1:70000","state":"ready"}`))
	s.waitLogged("server-entry-refused")
	for range 20 {
		if a := s.send("GET", "/desk/x", ""); a.status != 200 {
			t.Fatalf("got %d right after an odd entry under the name of the server, want 200", a.status)
		}
	}
	s.putEntry(b, "ready")
	time.Sleep(2500 * time.Millisecond)
	if a := s.send("GET", "/desk/x", ""); a.status != 200 {
		t.Errorf("got %d from the server that has written its entry again, want 200", a.status)
	}
	s.store.Put("servers", "i-1", []byte("odd"))
	if !eventually(4*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 503 }) {
		t.Error("got a server used 4 s after its entry was spoiled for good, want it removed")
	}
}

func TestServersDrainingOrInZoneOutOfServiceGetNoRequests(t *testing.T) {
	s := newTestbed(t, deskService)
	one, two := s.startServer("i-1", "desk", 0), s.startServer("i-2", "desk", 0)
	s.waitReady()
	s.store.Put("servers", "i-1", one.Entry("desk", "zone-a", "draining"))
	if !eventually(2*time.Second, func() bool { return strings.Contains(s.logs.String(), `"draining":true`) }) {
		t.Fatal("the router did not list the server as draining within 2 s")
	}
	before := len(one.Received())
	for range 10 {
		s.send("GET", "/desk/x", "")
	}
	if got := len(one.Received()) - before; got != 0 {
		t.Errorf("got %d requests at the draining server, want 0", got)
	}
	if got := len(two.Received()); got < 10 {
		t.Errorf("got %d requests at the other server, want 10 or more", got)
	}
	s.store.Put("op", "evacuate/zone-a", map[string]any{})
	if !eventually(2*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 503 }) {
		t.Error("a zone out of service is still used after 2 s")
	}
}

func TestFaultyResponses(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		behaviour platformtest.Behaviour // of one of two servers
		status    int
		body      string
		attempts  int // requests that the two servers receive
	}{
		{"declined", "/orders/x", platformtest.Decline, 200, "done", 2},
		{"connection closed without a response, non-repeatable request", "/orders/x", platformtest.Disconnect, 502, "", 1},
		{"connection closed without a response, repeatable request", "/desk/x", platformtest.Disconnect, 200, "done", 2},
		{"response without a seal, non-repeatable request", "/orders/x", platformtest.OmitSeal, 502, "", 1},
		{"status 500, repeatable request", "/desk/x", platformtest.FailWith500, 200, "done", 2},
		{"status 500, non-repeatable request", "/orders/x", platformtest.FailWith500, 500, "failed", 1},
		{"response to another request first", "/orders/x", platformtest.SendWrongIDFirst, 200, "done", 1},
		{"response before the request body is read", "/orders/x", platformtest.RespondEarly, 200, "early", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestbed(t, deskService, ordersService)
			service := strings.Split(test.path, "/")[1]
			one, two := s.startServer("i-1", service, 0), s.startServer("i-2", service, 0)
			s.waitReady()
			one.SetDefaultBehaviour(test.behaviour)
			var a response
			before := 0
			for range 50 { // until the request goes to the server that misbehaves
				before = len(two.Received())
				if a = s.send("POST", test.path, "body"); len(one.Received()) > 0 {
					break
				}
			}
			if a.status != test.status || test.body != "" && a.body != test.body {
				t.Errorf("got %d %q, want %d %q; log:\n%s", a.status, a.body, test.status, test.body, s.logs)
			}
			if got := len(one.Received()) + len(two.Received()) - before; got != test.attempts {
				t.Errorf("got %d attempts, want %d", got, test.attempts)
			}
		})
	}
}

func TestDeclinedRequestGives503(t *testing.T) {
	s := newTestbed(t, ordersService)
	b := s.startServer("i-1", "orders", 0)
	s.waitReady()
	b.SetDefaultBehaviour(platformtest.Decline)
	a := s.send("POST", "/orders/x", "once")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d, want 503 with Retry-After", a.status)
	}
}

// A faulty server wrote an earlier refusal once more, before its answer to a request that it ran.
func TestRefusalOfAnEarlierRequestIsNotBelieved(t *testing.T) {
	s := newTestbed(t, platformtest.Service("orders", "non_idempotent", 2, map[string]any{"public": true}))
	one, two := s.startServer("i-1", "orders", 0), s.startServer("i-2", "orders", 0)
	s.waitReady()
	for range 20 { // until a kept connection to each server carried one
		s.send("POST", "/orders/x", "order")
	}
	for n := range 4 {
		one.SetDefaultBehaviour(platformtest.RepeatRefusal)
		two.SetDefaultBehaviour(platformtest.RepeatRefusal)
		before := len(one.Received()) + len(two.Received())
		if a := s.send("POST", "/orders/x", "order"); a.status == 503 {
			t.Errorf("request %d: got 503, which says that it has not run, want no such promise", n)
		}
		if got := len(one.Received()) + len(two.Received()) - before; got != 1 {
			t.Errorf("request %d: got it at servers %d times, want once", n, got)
		}
		one.SetDefaultBehaviour(platformtest.Succeed)
		two.SetDefaultBehaviour(platformtest.Succeed)
		for range 10 {
			s.send("POST", "/orders/x", "order")
		}
	}
}

func TestExtraResponseIsDiscarded(t *testing.T) {
	s := newTestbed(t, deskService)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	b.QueueBehaviours(platformtest.SendExtraResponse)
	for i := range 3 {
		if a := s.send("POST", "/desk/x", "body"); a.status != 200 || a.body != "done" {
			t.Errorf("request %d: got %d %q, want the response to this request", i, a.status, a.body)
		}
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	s := newTestbed(t, deskService)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	b.QueueBehaviours(platformtest.Hang)
	c, err := net.Dial("tcp", s.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /desk/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: gone\r\nX-Api-Key: key-1\r\n\r\n")
	if !eventually(2*time.Second, func() bool { return len(b.Received()) == 1 }) {
		t.Fatal("the request did not reach the server within 2 s")
	}
	c.Close()
	if !eventually(500*time.Millisecond, func() bool { return b.Interrupted() == 1 }) {
		t.Error("the server's connection is still open 500 ms after the caller disconnected")
	}
}

func TestTimeoutGives504(t *testing.T) {
	s := newTestbed(t, platformtest.Service("orders", "non_idempotent", 1, map[string]any{"timeout_ms": 400}))
	b := s.startServer("i-1", "orders", 0)
	s.waitReady()
	b.QueueBehaviours(platformtest.Hang)
	began := time.Now()
	a := s.send("POST", "/orders/x", "once")
	if took := time.Since(began); a.status != 504 || took > 900*time.Millisecond {
		t.Errorf("got %d after %v, want 504 within 900 ms, for a route with a timeout of 400 ms", a.status, took)
	}
}

// Requests with an ambiguous length (request smuggling), a malformed head or one that is
// too long must be rejected and must not reach a server.
func TestMalformedRequestsAreRejected(t *testing.T) {
	s := newTestbed(t, deskService)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	heads := []string{
		"POST /desk/x HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /desk/smuggled HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\n\r\n",
		"POST /desk/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 4\r\nContent-Length: 40\r\n\r\nbody",
		"POST /desk/x HTTP/1.1\r\nHost: site.example\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"GET /desk/x HTTP/1.1\r\nHost: site.example\r\nX-A: b\rX-C: d\r\n\r\n",
		"no request\r\n\r\n",
		"GET /desk/x HTTP/1.1\r\nHost: site.example\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n",
	}
	for _, h := range heads {
		c, err := net.Dial("tcp", s.gateway.Address())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, h)
		c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%.40q: got %v, want a response", h, err)
		} else if resp.StatusCode < 400 || resp.StatusCode >= 500 {
			t.Errorf("%.40q: got %d, want 4xx", h, resp.StatusCode)
		}
		c.Close()
	}
	if got := len(b.Received()); got != 0 {
		t.Errorf("got %d requests at the server, want 0", got)
	}
}

func TestStopWaitsForStreams(t *testing.T) {
	s := newTestbed(t, modelsService)
	s.startServer("i-1", "models", 400)
	s.waitReady()
	done := make(chan response, 1)
	go func() { done <- s.send("POST", "/models/x", "prompt") }()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	if !eventually(500*time.Millisecond, func() bool { return !s.gateway.Ready() }) {
		t.Error("still ready 500 ms after the stop began")
	}
	a := <-done
	if got := strings.Count(a.body, "id: "); a.err != nil || got != 400 {
		t.Errorf("got %d events and error %v, want all 400 events", got, a.err)
	}
	select {
	case <-s.gateway.Done():
	case <-time.After(8 * time.Second):
		t.Error("the gateway did not stop within 8 s")
	}
}

// A call to a store that does not answer must not delay the stop until the time to stop is
// over.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.stop()
	time.Sleep(2500 * time.Millisecond) // the gateway accepts connections for 3 s after the stop began
	s.store.SetFault(platformtest.Unresponsive)
	select {
	case <-s.gateway.Done():
	case <-time.After(2 * time.Second):
		t.Error("the gateway did not stop within 2 s while the store did not answer")
	}
}
