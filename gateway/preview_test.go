package gateway_test

// This file tests what a router tells of a request that is not sent.

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushtally/gateway"
	"bulrushtally/placement"
	"bulrushtally/platform/platformtest"
	"bulrushtally/testport"
)

// Fails if a preview does not name the server that a request would go to, sends a request, or hides the metrics.
func TestPreviewNamesServerAndSendsNothing(t *testing.T) {
	varied := usualSettings
	varied.metricsListen = testport.Address(t)
	s := newTestbedWith(t, varied, platformtest.Service("models", "stream", 1, map[string]any{"engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	b := s.startServer("i-1", "models", 3)
	s.waitReady()
	var v placement.Preview
	if status, body := s.page(varied.metricsListen, gateway.PreviewPath+"?service=models&customer=alice&prompt=100&output=20&objective_ms=400&segments=1f:60"); status != http.StatusOK {
		t.Fatalf("got %d %s, want a preview", status, body)
	} else if err := json.Unmarshal([]byte(body), &v); err != nil {
		t.Fatal(err)
	}
	if v.Server != "i-1" || v.Owner != "i-1" || len(v.Servers) != 1 || v.Servers[0].Outcome != placement.HasRoom {
		t.Errorf("got %+v, want server i-1, which owns the segments and has room", v)
	}
	if got := len(b.Received()); got != 0 {
		t.Errorf("got %d requests at the server, want none", got)
	}
	if status, body := s.page(varied.metricsListen, "/metrics"); status != http.StatusOK || !strings.Contains(body, "bulrushtally_") {
		t.Errorf("got %d at the path of the metrics, want them", status)
	}
}

// Fails if a malformed query is answered as if it were another request.
func TestPreviewRefusesMalformedQueries(t *testing.T) {
	varied := usualSettings
	varied.metricsListen = testport.Address(t)
	s := newTestbedWith(t, varied, modelsService)
	s.waitReady()
	for query, want := range map[string]int{"service=models&prompt=-1": 400, "service=models&prompt=9&segments=x:1": 400, "service=models&prompt=9&segments=1:10": 400, "service=other": 404} {
		time.Sleep(110 * time.Millisecond) // previews are limited to ten a second
		if status, body := s.page(varied.metricsListen, gateway.PreviewPath+"?"+query); status != want {
			t.Errorf("query %s: got %d %s, want %d", query, status, body, want)
		}
	}
}

// page returns the status and the body of a page of the gateway, which it waits for.
func (s *testbed) page(address, path string) (status int, body string) {
	s.t.Helper()
	eventually(5*time.Second, func() bool {
		r, err := s.client.Get("http://" + address + path)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		data, err := io.ReadAll(r.Body)
		status, body = r.StatusCode, string(data)
		return err == nil && status != http.StatusTooManyRequests
	})
	return status, body
}
