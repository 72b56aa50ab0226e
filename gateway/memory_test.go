package gateway_test

// This file tests how much memory faulty model servers can make a router hold.

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// smallVM has the memory of the smallest VMs, and lets many streams begin and go on.
var smallVM = gatewaySettings{graceSeconds: 8, descriptors: 1500, memoryMB: 134, retrySlack: 2000}

// heapMB returns the live heap of the process, in MB.
func heapMB() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc >> 20)
}

// stalledStreams is how many streams a faulty server begins at the same time.
const stalledStreams = 500

// newStallingTestbed starts a gateway of a small VM, a sound server of the service desk, and two faulty ones of a service of
// streams.
func newStallingTestbed(t *testing.T) (s *testbed, faulty []*platformtest.Server) {
	t.Helper()
	s = newTestbedWith(t, smallVM, platformtest.Service("models", "stream", 2, map[string]any{
		"public": true, "resumable": true, "timeout_ms": 8000, "max_conns": 2000, "engine": map[string]any{"slots": 1000, "kv_capacity": 4440000},
	}), publicDesk)
	s.startServer("i-1", "desk", 0)
	for _, id := range []string{"i-2", "i-3"} {
		b, err := platformtest.NewServer(id, 12)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		entry := b.Entry("models", "zone-a", "ready")
		entry["slots"] = 1000
		s.store.Put("servers", id, entry)
		s.listedServers++
		faulty = append(faulty, b)
	}
	s.waitReady()
	return s, faulty
}

// checkStalledStreams sends many streams and checks what they hold while the faulty server keeps them waiting.
func checkStalledStreams(t *testing.T, s *testbed, faulty []*platformtest.Server) {
	t.Helper()
	before := heapMB()
	var running sync.WaitGroup
	for range stalledStreams {
		running.Go(func() { s.send("POST", "/models/x", "") })
		time.Sleep(2 * time.Millisecond)
	}
	const (
		budgetMB = 134 / 5
		perConn  = 96 << 10 // of the caller, the router and the server, all in this process
	)
	got, want := heapMB()-before, budgetMB+stalledStreams*perConn>>20
	t.Logf("got %d MB held", got)
	if got > want {
		t.Errorf("got %d MB held for %d streams, want at most %d MB", got, stalledStreams, want)
	}
	if got := len(faulty[0].Received()) + len(faulty[1].Received()); got < stalledStreams*9/10 {
		t.Errorf("got %d requests at the faulty servers, want most of %d", got, stalledStreams)
	}
	if a := s.send("GET", "/desk/x", ""); a.status != 200 {
		t.Errorf("got status %d and error %v for a sound request beside them, want 200", a.status, a.err)
	}
	running.Wait()
}

// Guards against a router that runs out of memory since servers stall in the middle of long events on many connections: each
// stream held an event of up to 256 KiB, and nothing counted them together.
func TestStalledEventsShareOneBudget(t *testing.T) {
	s, faulty := newStallingTestbed(t)
	for _, b := range faulty {
		b.SetDefaultBehaviour(platformtest.StallInsideEvent)
	}
	checkStalledStreams(t, s, faulty)
	if !strings.Contains(s.logs.String(), "more memory than allowed") {
		t.Error("got no line that names the memory as the reason why streams were broken off")
	}
}

// Guards against the same where the stream goes on elsewhere: the start of the event was kept while the next server did not answer.
func TestStreamThatGoesOnKeepsNothingOfTheEventBefore(t *testing.T) {
	s, faulty := newStallingTestbed(t)
	for _, b := range faulty {
		b.SetFollowing(platformtest.CutInsideLongEvent, platformtest.Hang)
	}
	checkStalledStreams(t, s, faulty)
	wentOn := 0
	for _, b := range faulty {
		for _, r := range b.Received() {
			if r.Header.Get("Last-Event-Id") != "" {
				wentOn++
			}
		}
	}
	if wentOn < stalledStreams/2 {
		t.Errorf("got %d streams that went on, want most of %d", wentOn, stalledStreams)
	}
}
