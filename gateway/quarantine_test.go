package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// crashingPart is the part of prompts that crashes the servers of startCrashingServers.
const crashingPart = "bad"

// startCrashingServers starts model servers that crash on crashingPart, and returns them with the count of crashes.
func startCrashingServers(s *testbed, count int) ([]*platformtest.Server, *atomic.Int64) {
	var servers []*platformtest.Server
	crashes := &atomic.Int64{}
	for i := range count {
		id := fmt.Sprint("i-", i)
		b := s.startServer(id, "models", 4)
		b.CrashOn(platformtest.HasPart(crashingPart), func() {
			crashes.Add(1)
			s.store.Put("servers", id, b.Entry("models", "zone-a", "ready"))
		})
		servers = append(servers, b)
	}
	return servers, crashes
}

// sendPrompt sends a request of its own for a prompt with the given parts.
func (s *testbed) sendPrompt(n int, parts string) response {
	return s.send("POST", "/models/x", fmt.Sprint("prompt ", n), "Token-Count", "400,20", "Prefix-Hash", fmt.Sprintf("%s,own%d:100", parts, n))
}

func TestRequestsWithAPartThatCrashesServersStopReachingServers(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	_, crashes := startCrashingServers(s, 6)
	s.waitReady()
	for n := 0; n < 40 && crashes.Load() < 5; n++ {
		s.sendPrompt(n, "customer:100,subject:100,"+crashingPart+":100")
		s.sendPrompt(100+n, "customer:100,subject:100")
		time.Sleep(120 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	before := crashes.Load()
	refused := 0
	for n := range 10 {
		if a := s.sendPrompt(200+n, fmt.Sprintf("customer:100,other%d:50,%s:100", n, crashingPart)); a.status == 503 && a.header.Get("Retry-After") != "" {
			refused++
		}
		if a := s.sendPrompt(300+n, "customer:100,subject:100"); a.status != 200 || a.err != nil {
			t.Errorf("got %d (%v) for a sound request beside them, want 200; log:\n%s", a.status, a.err, s.logs)
		}
	}
	if got := crashes.Load() - before; got != 0 || refused != 10 {
		t.Errorf("got %d servers crashed by, and %d refusals of, 10 requests with a part that crashed %d servers before; want 0 and 10", got, refused, before)
	}
}

func TestRouterThatStartsAnewHoldsWhatTheStoreListsUntilItsRowIsDeleted(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	_, crashes := startCrashingServers(s, 2)
	s.store.Put("quarantine", "part/"+crashingPart, []byte("written by an operator"))
	s.store.Put("quarantine", "no suspect", []byte("{}"))
	s.waitReady()
	held := func(n int) bool { return s.sendPrompt(n, "customer:100,"+crashingPart+":100").status == 503 }
	if !eventually(5*time.Second, func() bool { return strings.Contains(s.logs.String(), `"quarantined"`) }) || !held(1) || crashes.Load() > 0 {
		t.Fatalf("got %d crashes by a part that the store lists, want its requests refused; log:\n%s", crashes.Load(), s.logs)
	}
	if !strings.Contains(s.logs.String(), `"quarantine-row-refused"`) {
		t.Error("got no log line about a row that names no suspect")
	}
	s.store.Delete("quarantine", "part/"+crashingPart)
	if !eventually(5*time.Second, func() bool { return !held(2) }) {
		t.Error("the part is held 5 s after its row was deleted")
	}
}

func TestRepeatedRequestWithoutABodyThatCrashesServersStopsReachingThem(t *testing.T) {
	s := newTestbed(t, platformtest.Service("plain", "read_only", 2, map[string]any{"public": true}))
	var crashes atomic.Int64
	for i := range 3 {
		id := fmt.Sprint("i-", i)
		b := s.startServer(id, "plain", 0)
		b.SetWorkTime(20 * time.Millisecond)
		b.CrashOn(func(r *http.Request) bool { return r.RequestURI == "/plain/x?page=7" }, func() {
			crashes.Add(1)
			s.store.Put("servers", id, b.Entry("plain", "zone-a", "ready"))
		})
	}
	s.waitReady()
	sound := func(n int) response { return s.send("GET", fmt.Sprint("/plain/x?page=", 100+n%4), "") }
	for n := range 12 {
		var beside sync.WaitGroup
		for i := range 4 { // of which each crash breaks off those that run
			beside.Go(func() { sound(n + i) })
		}
		time.Sleep(5 * time.Millisecond)
		s.send("GET", "/plain/x?page=7", "")
		beside.Wait()
		time.Sleep(110 * time.Millisecond)
	}
	if got := crashes.Load(); got < 2 || got > 3 {
		t.Errorf("got %d servers ended by 12 repetitions of a request, want 2, or 3 if one was on its way; log:\n%s", got, s.logs)
	}
	for n := range 4 {
		if got := sound(n); got.status != 200 {
			t.Errorf("got %d for a sound request that broke off beside it, want 200", got.status)
		}
	}
}

// A server that fails answers 500 before it runs the request.
func TestAnswerOf500DoesNotClearARequestThatCrashesServers(t *testing.T) {
	s := newTestbed(t, platformtest.Service("plain", "non_idempotent", 1, map[string]any{"public": true}))
	var crashes atomic.Int64
	b := s.startServer("i-1", "plain", 0)
	deadly := func(*http.Request) bool { return true }
	crash := func() {
		crashes.Add(1)
		s.store.Put("servers", "i-1", b.Entry("plain", "zone-a", "ready"))
	}
	s.waitReady()
	for range 6 {
		b.CrashOn(deadly, crash)
		s.send("POST", "/plain/x", "deadly")
		time.Sleep(110 * time.Millisecond)
		b.CrashOn(nil, nil)
		b.QueueBehaviours(platformtest.FailWith500)
		s.send("POST", "/plain/x", "deadly")
	}
	if got := crashes.Load(); got != 2 {
		t.Errorf("got %d crashes by a request that is answered 500 in between, want 2; log:\n%s", got, s.logs)
	}
}

// On a public route a key that cannot be proven any more is ignored. The request is the same.
func TestRequestThatCrashesServersIsHeldWhileItsCallersKeyCannotBeProven(t *testing.T) {
	s := newTestbed(t, platformtest.Service("plain", "read_only", 1, map[string]any{"public": true}))
	var crashes atomic.Int64
	for i := range 6 {
		b := s.startServer(fmt.Sprint("i-", i), "plain", 0)
		b.CrashOn(func(r *http.Request) bool { return r.RequestURI == "/plain/x?page=7" }, func() { crashes.Add(1) })
	}
	s.waitReady()
	repeat := func(times int) {
		for range times {
			s.send("GET", "/plain/x?page=7", "")
			time.Sleep(110 * time.Millisecond)
		}
	}
	repeat(4)
	before := crashes.Load()
	s.store.SetFault(platformtest.Unresponsive)
	time.Sleep(3 * time.Second) // until keys are accepted no more
	repeat(4)
	if got := crashes.Load(); before != 2 || got != before {
		t.Errorf("got %d and then %d servers ended by repetitions of a request, want 2 and no more; log:\n%s", before, got, s.logs)
	}
}
