package gateway_test

import (
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// publicDesk needs no key, so that its requests do not depend on when the configuration was confirmed last.
var publicDesk = platformtest.Service("desk", "read_only", 2, map[string]any{"public": true})

// gets returns how many of n requests to the service desk a server gets.
func (s *testbed) gets(b *platformtest.Server, n int) int {
	s.t.Helper()
	before := len(b.Received())
	for range n {
		s.send("GET", "/desk/x", "")
	}
	return len(b.Received()) - before
}

// waitForRequest waits until a server gets a request.
func (s *testbed) waitForRequest(b *platformtest.Server) {
	s.t.Helper()
	if !eventually(5*time.Second, func() bool { return s.gets(b, 1) > 0 }) {
		s.t.Fatalf("got no request at server %q in 5 s, want some; log:\n%s", b.ID, s.logs)
	}
}

func TestServerThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	s := newTestbed(t, publicDesk)
	leaving := s.startServer("i-1", "desk", 0)
	s.startServer("i-2", "desk", 0)
	s.waitReady()
	second := s.startSecondRouter()
	second.waitReady()
	time.Sleep(300 * time.Millisecond) // until the routers have heard of each other
	leaving.SayLeaving()
	s.waitForRequest(leaving)
	if got := s.gets(leaving, 20); got != 0 {
		t.Errorf("got %d of 20 requests at a server after it had said that it leaves, want 0", got)
	}
	time.Sleep(500 * time.Millisecond)
	if got := second.gets(leaving, 20); got != 0 {
		t.Errorf("got %d of 20 requests through a router that the server had not told, want 0", got)
	}
	leaving.StartAnew()
	s.store.Put("servers", "i-1", leaving.Entry("desk", "zone-a", "ready"))
	s.waitForRequest(leaving)
}

// putEntry writes the entry of a server and waits until the router has read it.
func (s *testbed) putEntry(b *platformtest.Server, state string) {
	s.t.Helper()
	listed := func() int { return strings.Count(s.logs.String(), `"server-listed"`) }
	before := listed()
	s.store.Put("servers", b.ID, b.Entry("desk", "zone-a", state))
	if !eventually(5*time.Second, func() bool { return listed() > before }) {
		s.t.Fatalf("got no log line of the entry of %q that is %s", b.ID, state)
	}
}

// An entry may arrive late, or come from a copy of the store.
func TestEntryOfTheSameStartDoesNotMakeALeavingServerReadyAgain(t *testing.T) {
	s := newTestbed(t, publicDesk)
	leaving := s.startServer("i-1", "desk", 0)
	s.startServer("i-2", "desk", 0)
	s.waitReady()
	s.putEntry(leaving, "draining")
	s.putEntry(leaving, "ready")
	if got := s.gets(leaving, 20); got != 0 {
		t.Errorf("got %d of 20 requests at a server that leaves, want 0", got)
	}
	s.store.Delete("servers", "i-1")
	if !eventually(5*time.Second, func() bool { return strings.Contains(s.logs.String(), `"server-unlisted"`) }) {
		t.Fatal("got no log line that the server is not listed any more")
	}
	s.putEntry(leaving, "ready")
	if got := s.gets(leaving, 20); got != 0 {
		t.Errorf("got %d of 20 requests at a server that leaves and was listed once more, want 0", got)
	}
}

func TestServerThatWantsAPauseGetsNoRequestUntilItEnds(t *testing.T) {
	s := newTestbed(t, publicDesk)
	paused := s.startServer("i-1", "desk", 0)
	s.waitReady()
	paused.AskForPause("1.5")
	paused.QueueBehaviours(platformtest.Decline)
	asked := time.Now()
	s.waitForRequest(paused)
	for time.Since(asked) < 1500*time.Millisecond {
		if got, after := s.gets(paused, 1), time.Since(asked); got > 0 && after < 1500*time.Millisecond {
			t.Fatalf("got a request %v after the server had asked for 1.5 s without any", after)
		}
	}
	s.waitForRequest(paused)
}

func TestPauseThatIsNoNumberIsNone(t *testing.T) {
	s := newTestbed(t, publicDesk)
	odd := s.startServer("i-1", "desk", 0)
	s.waitReady()
	for _, pause := range []string{"soon", "NaN", "-1", ""} {
		odd.AskForPause(pause)
		odd.QueueBehaviours(platformtest.Decline)
		if a := s.send("GET", "/desk/x", ""); a.status != 503 {
			t.Errorf("pause %q: got %d from a server that declines, want 503", pause, a.status)
		}
		s.waitForRequest(odd)
	}
}

func TestRequestsAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	s := newTestbed(t, publicDesk)
	paused := s.startServer("i-1", "desk", 0)
	s.waitReady()
	paused.AskForPause("3")
	paused.QueueBehaviours(platformtest.Decline)
	s.send("GET", "/desk/x", "")
	began := time.Now()
	if a := s.send("GET", "/desk/x", ""); a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d, want 503 with Retry-After", a.status)
	}
	if waited, most := time.Since(began), 200*time.Millisecond; waited > most { // a queued request waits for 250 ms
		t.Errorf("got the refusal after %v, want it at once (%v)", waited, most)
	}
	if got := len(paused.Received()); got != 1 {
		t.Errorf("got %d requests at the server that pauses, want the one that it declined", got)
	}
}
