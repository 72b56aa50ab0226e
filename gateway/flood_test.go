package gateway_test

// This file tests a router that must reject most of its new connections.

import (
	"io"
	"net"
	"testing"
	"time"

	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/route"
)

// newUnreadServer returns a server that accepts no more connections, since it waits for the first request on as many as it may.
func newUnreadServer(t testing.TB) *ingress.Server {
	t.Helper()
	placer := placement.New(placement.Options{Zone: "zone-a", Now: time.Now()})
	s := newFlowServer(t, placer, &beforeSend{do: func() {}}, route.New(1, nil, nil, nil, route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}))
	for range maxUnread {
		c, err := net.Dial("tcp4", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, "GET / HTTP/1.1\r\n")
	}
	return s
}

// maxUnread is how many connections a router accepts that have not sent a whole request yet.
const maxUnread = 64

// rejects opens a connection and reports whether it is rejected unread.
func rejects(t testing.TB, s *ingress.Server) bool {
	t.Helper()
	c, err := net.Dial("tcp4", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	head := make([]byte, 12)
	_, err = io.ReadFull(c, head)
	return err == nil && string(head) == "HTTP/1.1 503"
}

// A router that rejects connections without reading them must give each of them an answer, however it accepts them.
func TestConnectionsOfAFloodAreRejected(t *testing.T) {
	s := newUnreadServer(t)
	if !eventually(5*time.Second, func() bool { return rejects(t, s) }) {
		t.Fatal("got no rejection in 5 s, want one once the router reads as many connections as it may")
	}
	for i := range 300 {
		if !rejects(t, s) {
			t.Fatalf("got no 503 on connection %d of a flood, want it on each", i)
		}
	}
}

// One customer's flood came to one small router, which took no other connections for seconds, while the load balancer went on
// to send it new ones.
func TestFloodedRouterAsksTheLoadBalancerForNoMoreConnections(t *testing.T) {
	s := newUnreadServer(t)
	if !s.WantsConnections(8) {
		t.Fatal("got a router that wants no connections before the flood, want one that does")
	}
	flooded := func() bool {
		rejects(t, s)
		return !s.WantsConnections(8)
	}
	deadline := time.Now().Add(20 * time.Second)
	for !flooded() && time.Now().Before(deadline) {
	}
	if s.WantsConnections(8) {
		t.Error("got a router that wants connections after 20 s of a flood, want one that wants none")
	}
	if !s.WantsConnections(1) {
		t.Error("got a router that wants no connections though it is alone in its zone, want one that does")
	}
}

// BenchmarkRejectedConnection measures connections of many callers at once that are rejected unread, their callers' part included.
func BenchmarkRejectedConnection(b *testing.B) {
	s := newUnreadServer(b)
	for !rejects(b, s) {
	}
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			rejects(b, s)
		}
	})
}
