package gateway_test

// This file tests gateways against stand-ins of the platform on loopback.

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
	plain   = platformtest.Service("desk", "read_only", 2, nil)
	orders  = platformtest.Service("orders", "non_idempotent", 2, nil)
	streams = platformtest.Service("models", "stream", 2, map[string]any{"resumable": true})
)

func TestRequestIsPassedOn(t *testing.T) {
	s := newSite(t, plain)
	b := s.server("i-1", "desk", 0)
	s.ready()
	a := s.send("POST", "/desk/x?y=1", "hello", "Tenant", "mallory", "Deadline-Ms", "2000", "Pin-Ms", "4000", "Kv-Fetch", "127.0.0.1:1", "X-Other", "kept")
	if a.status != 200 || a.body != "done" || a.header.Get("Response-Seal") != "seal-i-1" {
		t.Fatalf("got %+v, want the server's answer; log:\n%s", a, s.logs)
	}
	r := b.Received()[0]
	want := map[string]string{"Tenant": "alice", "X-Api-Key": "", "Pin-Ms": "", "Kv-Fetch": "", "Expect-Instance": "i-1", "X-Other": "kept"}
	for name, value := range want {
		if got := r.Header.Get(name); got != value {
			t.Errorf("header %s: got %q, want %q", name, got, value)
		}
	}
	if r.URI != "/desk/x?y=1" || string(r.Body) != "hello" {
		t.Errorf("got %s %q, want the client's path and body", r.URI, r.Body)
	}
}

func TestWhatIsNotKnownIsNotDenied(t *testing.T) {
	s := newSite(t)
	a := s.send("GET", "/desk/x", "")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d, want 503 with a time to come back", a.status)
	}
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, plain))
	s.server("i-1", "desk", 0)
	s.ready()
	if a := s.send("GET", "/nothing/", ""); a.status != 404 {
		t.Errorf("no route: got %d, want 404", a.status)
	}
	if a := s.send("GET", "/desk/x", "", "X-Api-Key", "wrong"); a.status != 401 {
		t.Errorf("no key: got %d, want 401", a.status)
	}
	s.store.Break(platformtest.Unavailable)
	if !within(4*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 503 }) {
		t.Error("a key was accepted for longer than it can be proven")
	}
	s.store.Break(platformtest.Sound)
	if !within(3*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 200 }) {
		t.Errorf("not served after the store's return; log:\n%s", s.logs)
	}
}

func TestRevokedKeyIsRefused(t *testing.T) {
	s := newSite(t, plain)
	s.server("i-1", "desk", 0)
	s.ready()
	s.store.Put("op", "config", platformtest.Config(2, []string{"key-2"}, plain))
	if !within(2*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 401 }) {
		t.Error("a revoked key was accepted")
	}
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, plain))
	time.Sleep(200 * time.Millisecond)
	if a := s.send("GET", "/desk/x", ""); a.status != 401 {
		t.Errorf("an older version came back: got %d, want 401", a.status)
	}
}

func TestHistoryIsDropped(t *testing.T) {
	s := newSite(t, plain)
	s.server("i-1", "desk", 0)
	s.ready()
	s.store.ForgetHistory()
	s.store.Put("op", "config", platformtest.Config(5, []string{"key-5"}, plain))
	if !within(4*time.Second, func() bool { return s.send("GET", "/desk/x", "", "X-Api-Key", "key-5").status == 200 }) {
		t.Errorf("a configuration after a gap is not in force; log:\n%s", s.logs)
	}
}

func TestForeignEntriesNameNoServer(t *testing.T) {
	s := newSite(t, plain)
	s.server("i-1", "desk", 0)
	for i, entry := range []any{
		[]byte("\xff\xfe"), map[string]any{"service": 7, "addr": "x"}, map[string]any{"addr": "127.0.0.1:1", "state": "ready"},
		map[string]any{"service": "desk", "addr": "127.0.0.1:1", "state": "asleep"},
	} {
		s.store.Put("servers", fmt.Sprintf("i-bad-%d", i), entry)
	}
	s.ready()
	for range 10 {
		if a := s.send("GET", "/desk/x", ""); a.status != 200 {
			t.Fatalf("got %d, want 200 from the sound server", a.status)
		}
	}
	if got := strings.Count(s.logs.String(), "server-entry-refused"); got != 4 {
		t.Errorf("got %d refused entries in the log, want 4", got)
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	s := newSite(t, plain)
	one, two := s.server("i-1", "desk", 0), s.server("i-2", "desk", 0)
	s.ready()
	s.store.Put("servers", "i-1", one.Entry("desk", "zone-a", "draining"))
	if !within(2*time.Second, func() bool { return strings.Contains(s.logs.String(), `"draining":true`) }) {
		t.Fatal("the router did not hear that a server leaves")
	}
	before := len(one.Received())
	for range 10 {
		s.send("GET", "/desk/x", "")
	}
	if got := len(one.Received()) - before; got != 0 {
		t.Errorf("got %d requests at a leaving server, want 0", got)
	}
	if got := len(two.Received()); got < 10 {
		t.Errorf("got %d requests at the other server, want 10", got)
	}
	s.store.Put("op", "evacuate/zone-a", map[string]any{})
	if !within(2*time.Second, func() bool { return s.send("GET", "/desk/x", "").status == 503 }) {
		t.Error("a zone out of service is still used")
	}
}

func TestAnswersThatAreNone(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		does    platformtest.Behaviour
		status  int
		body    string
		arrives int // requests at all servers
	}{
		{"declined", "/orders/x", platformtest.Decline, 200, "done", 2},
		{"broken, not to be repeated", "/orders/x", platformtest.Break, 502, "", 1},
		{"broken, to be repeated", "/desk/x", platformtest.Break, 200, "done", 2},
		{"without a seal, not to be repeated", "/orders/x", platformtest.Unsealed, 502, "", 1},
		{"failed, to be repeated", "/desk/x", platformtest.FailedWork, 200, "done", 2},
		{"failed, not to be repeated", "/orders/x", platformtest.FailedWork, 500, "failed", 1},
		{"an answer to another request first", "/orders/x", platformtest.WrongID, 200, "done", 1},
		{"an early answer", "/orders/x", platformtest.Early, 200, "early", 1},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := newSite(t, plain, orders)
			service := strings.Split(x.path, "/")[1]
			one, two := s.server("i-1", service, 0), s.server("i-2", service, 0)
			s.ready()
			one.Always(x.does)
			var a answer
			before := 0
			for range 50 { // until the request goes to the server that misbehaves
				before = len(two.Received())
				if a = s.send("POST", x.path, "body"); len(one.Received()) > 0 {
					break
				}
			}
			if a.status != x.status || x.body != "" && a.body != x.body {
				t.Errorf("got %d %q, want %d %q; log:\n%s", a.status, a.body, x.status, x.body, s.logs)
			}
			if got := len(one.Received()) + len(two.Received()) - before; got != x.arrives {
				t.Errorf("got %d arrivals, want %d", got, x.arrives)
			}
		})
	}
}

func TestRefusalIsTrue(t *testing.T) {
	s := newSite(t, orders)
	b := s.server("i-1", "orders", 0)
	s.ready()
	b.Always(platformtest.Decline)
	a := s.send("POST", "/orders/x", "once")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d, want 503 with a time to come back", a.status)
	}
}

func TestExtraAnswerBelongsToNobody(t *testing.T) {
	s := newSite(t, plain)
	b := s.server("i-1", "desk", 0)
	s.ready()
	b.Then(platformtest.Extra)
	for i := range 3 {
		if a := s.send("POST", "/desk/x", "body"); a.status != 200 || a.body != "done" {
			t.Errorf("request %d: got %d %q, want the server's own answer", i, a.status, a.body)
		}
	}
}

func TestStreamGoesOn(t *testing.T) {
	s := newSite(t, streams)
	one, two := s.server("i-1", "models", 12), s.server("i-2", "models", 12)
	s.ready()
	one.Then(platformtest.BreakMid)
	two.Then(platformtest.BreakMid)
	a := s.send("POST", "/models/x", "prompt")
	ids := strings.Count(a.body, "id: ")
	for n := 1; n <= 12; n++ {
		if got := strings.Count(a.body, fmt.Sprintf("id: %d\n", n)); a.err == nil && got != 1 {
			t.Errorf("event %d: got it %d times, want once", n, got)
		}
	}
	if a.err == nil && ids != 12 {
		t.Errorf("got %d events in a complete answer, want 12", ids)
	}
}

var movable = platformtest.Service("models", "stream", 1, map[string]any{
	"engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
})

func TestLongPromptGoesOnElsewhere(t *testing.T) {
	s := newSite(t, movable)
	var servers []*platformtest.Server
	for i := range 4 {
		servers = append(servers, s.server(fmt.Sprint("i-", i), "models", 40))
	}
	s.ready()
	a := s.send("POST", "/models/x", "prompt", "Token-Count", "20000,400")
	for n := 1; n <= 40; n++ {
		if got := strings.Count(a.body, fmt.Sprintf("id: %d\n", n)); got != 1 {
			t.Errorf("event %d: got it %d times, want once", n, got)
		}
	}
	moves := 0
	for _, b := range servers {
		moves += b.Moves()
	}
	if a.err != nil || moves != 1 {
		t.Errorf("got %v and %d moves, want a complete answer that moved once", a.err, moves)
	}
}

// A request that was handed over and could go on nowhere has run: it must not run again,
// although no connection was had in the end.
func TestRequestThatCannotGoOnDoesNotRunAgain(t *testing.T) {
	s := newSite(t, platformtest.Service("models", "stream", 2, map[string]any{
		"engine": map[string]any{"slots": 8, "kv_capacity": 444000, "moves": true},
	}))
	var servers []*platformtest.Server
	for i := range 4 {
		b := s.server(fmt.Sprint("i-", i), "models", 40)
		b.Always(platformtest.Vanish)
		servers = append(servers, b)
	}
	s.ready()
	for _, b := range servers {
		b.RefuseMoved()
	}
	a := s.send("POST", "/models/x", "prompt", "Token-Count", "20000,400")
	runs := 0
	for _, b := range servers {
		for _, r := range b.Received() {
			if r.Header.Get("Kv-From") == "" {
				runs++
			}
		}
	}
	if a.err == nil || runs != 1 {
		t.Errorf("got a whole answer (%v) and %d runs, want one that breaks off after one run; log:\n%s", a.err == nil, runs, s.logs)
	}
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newSite(t, platformtest.Service("models", "stream", 1, nil))
	b := s.server("i-1", "models", 12)
	s.ready()
	b.Then(platformtest.BreakMid)
	a := s.send("POST", "/models/x", "prompt")
	if a.err == nil {
		t.Errorf("got a complete answer %q, want one that breaks off", a.body)
	}
}

func TestClientLeaves(t *testing.T) {
	s := newSite(t, plain)
	b := s.server("i-1", "desk", 0)
	s.ready()
	b.Then(platformtest.Hang)
	c, err := net.Dial("tcp", s.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /desk/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: gone\r\nX-Api-Key: key-1\r\n\r\n")
	if !within(2*time.Second, func() bool { return len(b.Received()) == 1 }) {
		t.Fatal("the request did not arrive")
	}
	c.Close()
	if !within(500*time.Millisecond, func() bool { return b.Cut() == 1 }) {
		t.Error("the server still works half a second after its client left")
	}
}

func TestTimeoutIsAnswered(t *testing.T) {
	s := newSite(t, platformtest.Service("orders", "non_idempotent", 1, map[string]any{"timeout_ms": 400}))
	b := s.server("i-1", "orders", 0)
	s.ready()
	b.Then(platformtest.Hang)
	began := time.Now()
	a := s.send("POST", "/orders/x", "once")
	if took := time.Since(began); a.status != 504 || took > 900*time.Millisecond {
		t.Errorf("got %d after %v, want 504 within half a second of the route's time", a.status, took)
	}
}

func TestHostileHeads(t *testing.T) {
	s := newSite(t, plain)
	b := s.server("i-1", "desk", 0)
	s.ready()
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
			t.Errorf("%.40q: got %v, want an answer", h, err)
		} else if resp.StatusCode < 400 || resp.StatusCode >= 500 {
			t.Errorf("%.40q: got %d, want 4xx", h, resp.StatusCode)
		}
		c.Close()
	}
	if got := len(b.Received()); got != 0 {
		t.Errorf("got %d requests at the server, want 0", got)
	}
}

func TestStopCutsNothingOff(t *testing.T) {
	s := newSite(t, streams)
	s.server("i-1", "models", 400)
	s.ready()
	done := make(chan answer, 1)
	go func() { done <- s.send("POST", "/models/x", "prompt") }()
	time.Sleep(100 * time.Millisecond)
	s.stop()
	if !within(500*time.Millisecond, func() bool { return !s.gateway.Ready() }) {
		t.Error("still ready after the stop began")
	}
	a := <-done
	if got := strings.Count(a.body, "id: "); a.err != nil || got != 400 {
		t.Errorf("got %d events and %v, want all 400", got, a.err)
	}
	select {
	case <-s.gateway.Done():
	case <-time.After(8 * time.Second):
		t.Error("the gateway did not stop")
	}
}

// A store that does not answer once held the stop up until its time was over.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	s := newSite(t, plain)
	s.server("i-1", "desk", 0)
	s.ready()
	s.stop()
	time.Sleep(2500 * time.Millisecond) // callers may come for 3 s
	s.store.Break(platformtest.Silent)
	select {
	case <-s.gateway.Done():
	case <-time.After(2 * time.Second):
		t.Error("the router did not stop while the store was silent")
	}
}
