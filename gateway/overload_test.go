package gateway_test

// This file tests routers with more connections than they may hold, and measures the cost
// of refusing a request.

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

// maxCallerConns is how many callers' connections a test gateway may hold open: 60 % of
// the file descriptors that startGateway sets.
const maxCallerConns = 120

// openConnections opens n connections to the gateway and sends the start of a request on each.
func openConnections(t *testing.T, s *testbed, n int) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp4", s.gateway.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		// With the start of a request, the connection is in use and not idle.
		if _, err := io.WriteString(c, "GET /desk/x HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
	}
}

// Without a limit, callers' connections use up all file descriptors, and the gateway can
// neither accept connections nor connect to backend servers.
func TestConnectionLimit(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	openConnections(t, s, maxCallerConns)
	refused := func() bool {
		a := s.send("GET", "/desk/x", "")
		// The body is empty only if the connection was refused before a request was read on it.
		return a.err == nil && a.status == 503 && a.header.Get("Retry-After") != "" && a.body == ""
	}
	if !eventually(3*time.Second, refused) {
		t.Errorf("with %d connections open, another connection did not get 503 with Retry-After", maxCallerConns)
	}
}

// A gateway that holds more than half of the connections it may closes those on which it
// refuses a request.
func TestLoadedRouterClosesRefusedConnections(t *testing.T) {
	s := newTestbed(t, deskService)
	if got := s.send("GET", "/desk/x", "", "X-Api-Key", "wrong"); got.header.Get("Connection") == "close" {
		t.Fatalf("without load: got %d and a closed connection, want the connection kept open", got.status)
	}
	openConnections(t, s, maxCallerConns/2+1)
	closed := func() bool {
		r, err := http.NewRequest("GET", "http://"+s.gateway.Address()+"/desk/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "site.example"
		resp, err := s.client.Do(r)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode >= 400 && resp.Close
	}
	if !eventually(3*time.Second, closed) {
		t.Errorf("with %d of %d connections open, the connection of a refused request was kept open", maxCallerConns/2+1, maxCallerConns)
	}
}

// BenchmarkRefusal measures the refusal of a long request on a new connection.
func BenchmarkRefusal(b *testing.B) {
	s := newTestbed(b, platformtest.Service("models", "stream", 1, map[string]any{
		"engine": map[string]any{"slots": 4, "kv_capacity": 100, "stride": 1},
	}))
	s.startServer("i-1", "models", 3)
	s.waitReady()
	body := strings.Repeat("x", 24000)
	head := fmt.Sprintf("POST /models/x HTTP/1.1\r\nHost: site.example\r\nX-Api-Key: key-1\r\nToken-Count: 12000,400\r\n"+
		"Prefix-Hash: a:500,b:4900,c:6600\r\nDeadline-Ms: 8000\r\nModel: m\r\nContent-Length: %d\r\nAttempt-Id: ", len(body))
	b.ResetTimer()
	for i := range b.N {
		c, err := net.Dial("tcp4", s.gateway.Address())
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintf(c, "%sid-%d\r\nConnection: close\r\n\r\n%s", head, i, body)
		got, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 503") {
			b.Fatalf("got %.40q %v, want a refusal", got, err)
		}
		c.Close()
	}
}

// Callers took 503 for a service without capacity, when it was their own use that was refused.
func TestCustomerOverItsShareGets429(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 64, "kv_capacity": 4440000}}))
	for i := range 4 {
		s.startServer(fmt.Sprint("i-", i), "models", 2)
	}
	s.waitReady()
	const requests = 20 // at once
	refused := 0
	for range 60 {
		answers := make(chan response, requests)
		for range requests {
			go func() { answers <- s.send("POST", "/models/x", "prompt", "Token-Count", "30000,100") }()
		}
		for range requests {
			a := <-answers
			if !strings.Contains(a.body, `"over-share"`) {
				continue
			}
			refused++
			if a.status != http.StatusTooManyRequests || a.header.Get("Retry-After") == "" {
				t.Errorf("got %d with Retry-After %q, want 429 with one", a.status, a.header.Get("Retry-After"))
			}
		}
		if refused > 0 {
			return
		}
	}
	t.Errorf("got no refusal for want of share; log:\n%s", s.logs)
}
