package gateway_test

// This file tests routers under more connections than they can serve, and measures what a refusal costs.

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

// callers is how many connections of callers the gateways of these tests hold open.
const callers = 120

func dialIdle(t *testing.T, s *site, n int) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp4", s.gateway.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		// A request that has begun to come is one that the connection is open for.
		if _, err := io.WriteString(c, "GET /desk/x HTTP/1.1\r\n"); err != nil {
			t.Fatal(err)
		}
	}
}

// A flood of connections once took all descriptors, so that nothing was accepted or sent any more.
func TestConnectionsAreBounded(t *testing.T) {
	s := newSite(t, plain)
	s.server("i-1", "desk", 0)
	s.ready()
	dialIdle(t, s, callers)
	refused := func() bool {
		a := s.send("GET", "/desk/x", "")
		return a.err == nil && a.status == 503 && a.header.Get("Retry-After") != "" && a.body == "" // a request that was read gets the cause
	}
	if !within(3*time.Second, refused) {
		t.Errorf("with %d connections open, one more was not refused with a time to come back", callers)
	}
}

func TestCrowdedRouterClosesRefusedClients(t *testing.T) {
	s := newSite(t, plain)
	if got := s.send("GET", "/desk/x", "", "X-Api-Key", "wrong"); got.header.Get("Connection") == "close" {
		t.Fatalf("got %d with the connection closed from a router without load, want it kept", got.status)
	}
	dialIdle(t, s, callers/2+1)
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
	if !within(3*time.Second, closed) {
		t.Errorf("with %d of %d connections open, a refused client kept its connection", callers/2+1, callers)
	}
}

// BenchmarkRefusal floods a router with long requests on new connections that it refuses.
func BenchmarkRefusal(b *testing.B) {
	s := newSite(b, platformtest.Service("models", "stream", 1, map[string]any{
		"engine": map[string]any{"slots": 4, "kv_capacity": 100, "stride": 1},
	}))
	s.server("i-1", "models", 3)
	s.ready()
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
