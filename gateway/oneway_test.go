package gateway_test

// This file tests requests to a server on a path where packets pass one way only.

import (
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// startServerBehind starts a backend server of the service desk that routers reach through a link.
func (s *testbed) startServerBehind(id string) (*platformtest.Server, *platformtest.Link) {
	s.t.Helper()
	b, err := platformtest.NewServer(id, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	l := newLink(s.t, b.Address())
	entry := b.Entry("desk", "zone-a", "ready")
	entry["addr"] = l.Address()
	s.store.Put("servers", id, entry)
	s.listedServers++
	return b, l
}

// An order whose answer cannot come back, or that may not have got there, has neither run for sure nor not run. It is sent to no
// second server, and the caller is not told that it has not run.
func TestOrderOnAPathThatPassesOneWayIsNotSentTwice(t *testing.T) {
	for _, c := range []struct {
		name      string
		blocked   platformtest.Direction
		mayArrive bool
	}{
		{"answers do not come back", platformtest.FromTarget, true},
		{"requests do not get there", platformtest.ToTarget, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestbed(t, platformtest.Service("desk", "non_idempotent", 3, map[string]any{"public": true, "timeout_ms": 1500}))
			near := s.startServer("i-near", "desk", 0)
			far, link := s.startServerBehind("i-far")
			s.waitReady()
			received := func() int { return len(near.Received()) + len(far.Received()) }
			for n := 0; len(far.Received()) == 0; n++ { // until there is a connection on the path
				if s.send("POST", "/desk/x", "order"); n > 200 {
					t.Fatal("got no order at the server behind the link")
				}
			}
			link.SetBlocked(c.blocked, true)
			ambiguous := 0
			for n := 0; n < 20 && ambiguous < 3; n++ {
				before, beforeFar := received(), len(far.Received())
				a := s.send("POST", "/desk/x", "order")
				got := received() - before
				if got > 1 {
					t.Errorf("got an order at %d servers, want one at the most", got)
				}
				if a.status == 200 && got == 1 && len(far.Received()) == beforeFar {
					continue // it was placed at the other server
				}
				ambiguous++
				if a.status != 502 && a.status != 504 {
					t.Errorf("got status %d for an order that may have run, want 502 or 504", a.status)
				}
			}
			if ambiguous == 0 {
				t.Fatalf("got no order at the server behind the link of 20; log:\n%s", s.logs)
			}
			before := received()
			link.SetBlocked(c.blocked, false)
			time.Sleep(500 * time.Millisecond)
			if late := received() - before; late > 0 && c.mayArrive || late > ambiguous {
				t.Errorf("got %d orders at servers once packets pass again, want none that had arrived before", late)
			}
		})
	}
}
