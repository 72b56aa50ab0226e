package gateway_test

import (
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// logged reports whether the gateway's log has a line with all of the texts.
func (s *testbed) logged(texts ...string) bool {
	for line := range strings.Lines(s.logs.String()) {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

// waitLogged waits until the gateway has logged a line with all of the texts.
func (s *testbed) waitLogged(texts ...string) {
	s.t.Helper()
	if !eventually(5*time.Second, func() bool { return s.logged(texts...) }) {
		s.t.Fatalf("got no log line with %q in 5 s; log:\n%s", texts, s.logs)
	}
}

// callsIn returns how many calls the store gets in a time.
func (s *testbed) callsIn(d time.Duration) int {
	before := s.store.Calls()
	time.Sleep(d)
	return s.store.Calls() - before
}

func TestReturnOfTheStoreFromACopyCostsFewCalls(t *testing.T) {
	s := newTestbed(t, publicDesk)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	second := s.startSecondRouter()
	second.waitReady()
	time.Sleep(300 * time.Millisecond) // until the routers have heard of each other
	restore := s.store.Copy()
	for n := range 50 {
		s.store.Put("op", "evacuate/other", map[string]any{"n": n})
	}
	s.waitLogged("zone-service-changed")
	usual := s.callsIn(6 * time.Second)
	restore()
	if got := s.callsIn(6 * time.Second); got > 2*usual {
		t.Errorf("got %d calls of the store in 6 s after it came back from a copy, want at most twice the usual %d", got, usual)
	}
	if !s.logged("store-restored", `"table":"op"`) || !second.logged("store-restored", `"table":"servers"`) {
		t.Errorf("got no log line that the store came back; log:\n%s", s.logs)
	}
	if !s.store.Row("routers", "router-1") || !s.store.Row("routers", "router-2") {
		t.Error("got a store without the rows of routers")
	}
}

func TestRowOfARouterThatTheStoreLostIsWrittenAgain(t *testing.T) {
	s := newTestbed(t, publicDesk)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	restore := s.store.Copy()
	second := s.startSecondRouter()
	second.waitReady()
	restore()
	if !eventually(5*time.Second, func() bool { return s.store.Row("routers", "router-2") }) {
		t.Error("got no row of a router 5 s after the store had come back without it")
	}
}

// A key is taken away, and the store forgets that. A router that starts meanwhile knows the older configuration only.
func TestKeyTakenAwayStaysAwayWhenTheStoreForgetsIt(t *testing.T) {
	s := newTestbed(t, deskService)
	desk := s.startServer("i-1", "desk", 0)
	s.waitReady()
	restore := s.store.Copy()
	newer := platformtest.Config(2, []string{"key-2"}, deskService)
	s.store.Put("op", "config", newer)
	s.waitLogged("configuration-adopted", `"version":2`)
	restore()
	s.waitLogged("store-restored", `"table":"op"`)
	second := s.startSecondRouter()
	second.waitLogged("configuration-adopted", `"version":1`)
	time.Sleep(2 * time.Second) // until what was confirmed before counts no more
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, router := range []*testbed{s, second} {
			for _, key := range []string{"key-1", "key-2"} {
				if a := router.send("GET", "/desk/x", "", "X-Api-Key", key); a.status != 503 {
					t.Fatalf("got %d for %q while the store holds an older configuration, want 503; log:\n%s", a.status, key, router.logs)
				}
			}
		}
	}
	if got := len(desk.Received()); got > 0 {
		t.Errorf("got %d requests at the server, want none", got)
	}
	s.store.Put("op", "config", newer)
	for _, router := range []*testbed{s, second} {
		if !eventually(5*time.Second, func() bool { return router.send("GET", "/desk/x", "", "X-Api-Key", "key-2").status == 200 }) {
			t.Error("got no answer of 200 in 5 s after the configuration was written again")
		}
		if a := router.send("GET", "/desk/x", "", "X-Api-Key", "key-1"); a.status != 401 {
			t.Errorf("got %d for the key that was taken away, want 401", a.status)
		}
	}
}

func TestZoneOutOfServiceStaysSoWhenTheStoreForgetsIt(t *testing.T) {
	s := newTestbed(t, publicDesk)
	desk := s.startServer("i-1", "desk", 0)
	s.waitReady()
	restore := s.store.Copy()
	s.store.Put("op", "evacuate/zone-a", map[string]any{})
	s.waitLogged("zone-service-changed", `"out_of_service":true`)
	restore()
	s.waitLogged("zone-service-doubted")
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := s.gets(desk, 1); got != 0 {
			t.Fatal("got a request in a zone that was taken out of service, want none until the store is known to be right")
		}
	}
	s.waitForRequest(desk) // nobody wrote it again
	s.store.Put("op", "evacuate/zone-a", map[string]any{})
	if !eventually(2*time.Second, func() bool { return s.gets(desk, 1) == 0 }) {
		t.Error("got requests in a zone 2 s after it was taken out of service in the new era")
	}
}

// What the copy held was applied after the table had been read again.
func TestDoubtOfAZoneEndsWhenTheTableIsReadAnew(t *testing.T) {
	s := newTestbed(t, publicDesk)
	desk := s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.store.Put("op", "evacuate/zone-a", map[string]any{})
	s.waitLogged("zone-service-changed", `"out_of_service":true`)
	restore := s.store.Copy()
	s.store.Delete("op", "evacuate/zone-a")
	s.waitLogged("zone-service-changed", `"out_of_service":false`)
	restore()
	s.waitLogged("zone-service-doubted", `"out_of_service":false`)
	s.store.SetFault(platformtest.Unavailable)
	s.store.Delete("op", "evacuate/zone-a")
	s.store.DiscardHistory()
	s.store.SetFault(platformtest.NoFault)
	time.Sleep(4 * time.Second)
	if got := s.gets(desk, 20); got != 20 {
		t.Errorf("got %d of 20 requests in a zone that is in service, want all; log:\n%s", got, s.logs)
	}
}

func TestServersAreListedRightWhenTheStoreForgetsTheirEntries(t *testing.T) {
	s := newTestbed(t, publicDesk)
	left, stays := s.startServer("i-1", "desk", 0), s.startServer("i-2", "desk", 0)
	s.waitReady()
	restore := s.store.Copy()
	s.store.Delete("servers", "i-1")
	s.waitLogged("server-unlisted", "i-1")
	fresh := s.startServer("i-3", "desk", 0)
	s.waitReady()
	s.putEntry(stays, "draining")
	restore()
	s.waitLogged("store-restored", `"table":"servers"`)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := s.send("GET", "/desk/x", ""); a.status != 200 {
			t.Fatalf("got %d within 2 s of a return that lost the entry of a server, want 200 from that server", a.status)
		}
	}
	if got := len(left.Received()) + len(stays.Received()); got > 0 {
		t.Errorf("got %d requests at servers that had been removed or said to leave before the return, want none", got)
	}
	s.putEntry(fresh, "ready")
	s.store.Delete("servers", "i-1")
	time.Sleep(3 * time.Second)
	if got := s.gets(fresh, 20); got != 20 {
		t.Errorf("got %d of 20 requests at the server that wrote its entry again, want all; log:\n%s", got, s.logs)
	}
}

func TestHeldSuspectIsWrittenAgainWhenTheStoreForgetsIt(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	_, crashes := startCrashingServers(s, 2)
	s.waitReady()
	restore := s.store.Copy()
	s.store.Put("quarantine", "part/"+crashingPart, []byte("written by an operator"))
	s.waitLogged(`"quarantined"`)
	restore()
	s.waitLogged("store-restored", `"table":"quarantine"`)
	if !eventually(8*time.Second, func() bool { return s.store.Row("quarantine", "part/"+crashingPart) }) {
		t.Error("got no row of a held suspect 8 s after the store came back without it")
	}
	if a := s.sendPrompt(1, "customer:100,"+crashingPart+":100"); a.status != 503 || crashes.Load() > 0 {
		t.Errorf("got %d and %d crashes, want the suspect held on", a.status, crashes.Load())
	}
}
