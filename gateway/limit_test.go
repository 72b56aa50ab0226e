package gateway_test

import (
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

func TestServerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	limited, free := s.startServer("i-1", "models", 3), s.startServer("i-2", "models", 3)
	limited.NameLimit("2.0")
	s.waitReady()
	send := func(d time.Duration) (answered int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if a := s.send("POST", "/models/x", "prompt", "Token-Count", "400,20"); a.status == 200 {
				answered++
			}
		}
		return answered
	}
	for range 200 { // until the server has named its limit
		if send(0); len(limited.Received()) > 0 {
			break
		}
		send(10 * time.Millisecond)
	}
	before := len(limited.Received())
	answered := send(4 * time.Second)
	if got := len(limited.Received()) - before; got > 4*2+1 {
		t.Errorf("got %d requests in 4 s at a server that takes 2 a second, want at most 9", got)
	}
	if answered < 100 {
		t.Errorf("got %d requests answered in 4 s beside a limited server, want 100 or more", answered)
	}
	if !strings.Contains(s.logs.String(), `"server":"i-1","limit_per_s":2,`) {
		t.Error("got no log line that names the limited server and its limit")
	}
	limited.NameLimit("")
	if !eventually(5*time.Second, func() bool { send(50 * time.Millisecond); return strings.Contains(s.logs.String(), `"limit_per_s":0,`) }) {
		t.Error("the limit holds on 5 s after the server named it last")
	}
	if before = len(free.Received()); send(time.Second) == 0 || before == 0 {
		t.Error("got no request answered after the limit")
	}
}

// Each of the 150 requests that could be queued waited for half of its objective, though its only server took 1 in 100 s.
func TestRequestsThatNoLimitedServerCanTakeAreRefusedAtOnce(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	limited := s.startServer("i-1", "models", 3)
	limited.NameLimit("0.01")
	s.waitReady()
	if a := s.send("POST", "/models/x", "prompt", "Token-Count", "400,20"); a.status != 200 {
		t.Fatalf("got %d for the first request, want 200", a.status)
	}
	began := time.Now()
	if a := s.send("POST", "/models/x", "prompt", "Token-Count", "400,20"); a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d, want 503 with Retry-After", a.status)
	}
	if waited, most := time.Since(began), 200*time.Millisecond; waited > most { // a queued request waits for 250 ms
		t.Errorf("got the refusal after %v, want it at once (%v)", waited, most)
	}
}
