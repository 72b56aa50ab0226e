package gateway_test

// This file tests answers without a length that end while the request is still being written.

import (
	"strings"
	"testing"

	"bulrushtally/platform/platformtest"
	"bulrushtally/responsehead/headtest"
)

// uploads is how often each test sends an upload: whether the write or the read meets the reset first is a race.
const uploads = 5

// newUploadTestbed starts a gateway whose configuration allows uploads.
func newUploadTestbed(t *testing.T, service map[string]any) *testbed {
	t.Helper()
	s := newTestbed(t)
	config := platformtest.Config(1, []string{"key-1"}, service)
	config["limits"].(map[string]any)["max_body_bytes"] = len(headtest.Upload)
	s.store.Put("op", "config", config)
	return s
}

// The part of the answer that came before the reset reached the caller as a complete answer.
func TestUploadWhoseAnswerIsResetRunsElsewhereIfItMayBeRepeated(t *testing.T) {
	for range uploads {
		s := newUploadTestbed(t, deskService)
		one := s.startServer("i-1", "desk", 0)
		s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SetDefaultBehaviour(platformtest.ResetUpload)
		if a := s.sendUntilReceived(one, "/desk/x", headtest.Upload); a.status != 200 || a.err != nil || a.body != "done" {
			t.Errorf("got status %d, error %v and body %q, want the answer of the other server", a.status, a.err, a.body)
		}
	}
}

func TestUploadWhoseAnswerIsResetEndsAsFailedIfItMayNotBeRepeated(t *testing.T) {
	for range uploads {
		s := newUploadTestbed(t, ordersService)
		one, two := s.startServer("i-1", "orders", 0), s.startServer("i-2", "orders", 0)
		s.waitReady()
		one.SetDefaultBehaviour(platformtest.ResetUpload)
		two.SetDefaultBehaviour(platformtest.ResetUpload)
		if a := s.send("POST", "/orders/x", headtest.Upload); a.status != 502 || a.header.Get("Retry-After") != "" {
			t.Errorf("got status %d, error %v, body %q and header %v, want 502 without Retry-After", a.status, a.err, a.body, a.header)
		}
		if got := len(one.Received()) + len(two.Received()); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
		if got := strings.Count(s.logs.String(), `"server-broke-off"`); got != 1 {
			t.Errorf("got %d answers recorded as broken off, want 1", got)
		}
	}
}

func TestRepeatedUploadWhoseAnswerIsResetIsNotForwarded(t *testing.T) {
	for range uploads {
		s := newUploadTestbed(t, deskService)
		one, two := s.startServer("i-1", "desk", 0), s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SetDefaultBehaviour(platformtest.ResetUpload)
		two.SetDefaultBehaviour(platformtest.FailWith500)
		if a := s.sendUntilReceived(one, "/desk/x", headtest.Upload); a.status != 500 && a.status != 502 {
			t.Errorf("got status %d, error %v and body %q, want the failure of the other server, or 502", a.status, a.err, a.body)
		}
	}
}

func TestStreamWhoseAnswerIsResetInItsUploadGoesOnElsewhere(t *testing.T) {
	for range uploads {
		s := newUploadTestbed(t, sentOnService)
		one := s.startServer("i-1", "models", 12)
		s.startServer("i-2", "models", 12)
		s.waitReady()
		one.SetDefaultBehaviour(platformtest.ResetUpload)
		a := s.sendUntilReceived(one, "/models/x", headtest.Upload)
		if a.status != 200 || a.err != nil || strings.Count(a.body, "id: ") != 12 {
			t.Errorf("got status %d, error %v and body %q, want 12 events; log:\n%s", a.status, a.err, a.body, s.logs)
		}
	}
}

// The events that came before the reset end neither a stream that resumes nor one that moves.
func TestStreamThatGoesOnWithAnAnswerThatIsResetDoesNotLookComplete(t *testing.T) {
	for _, test := range []struct {
		name    string
		service map[string]any
		first   platformtest.Behaviour
		events  int
	}{
		{"resumed", sentOnService, platformtest.DisconnectMidStream, 12},
		{"moved", migratableService, platformtest.Succeed, migratedEvents},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newUploadTestbed(t, test.service)
			var servers []*platformtest.Server
			for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
				b := s.startServer(id, "models", test.events)
				b.SetFollowing(test.first, platformtest.ResetUpload)
				servers = append(servers, b)
			}
			s.waitReady()
			a := s.send("POST", "/models/x", headtest.Upload, "Token-Count", "20000,400")
			received := 0
			for _, b := range servers {
				received += len(b.Received())
			}
			if received < 2 {
				t.Errorf("got %d requests at the servers, want two or more", received)
			}
			if events := strings.Count(a.body, "id: "); a.status == 200 && a.err == nil && events != test.events {
				t.Errorf("got %d events in a stream that looks complete, want %d; log:\n%s", events, test.events, s.logs)
			}
		})
	}
}

// The server ends its answer, and reads the rest of the request.
func TestWholeAnswerWithoutLengthInAnUploadArrives(t *testing.T) {
	s := newUploadTestbed(t, ordersService)
	s.startServer("i-1", "orders", 0).SetDefaultBehaviour(platformtest.EndInUpload)
	s.waitReady()
	for range uploads {
		if a := s.send("POST", "/orders/x", headtest.Upload); a.status != 200 || a.err != nil || !strings.HasSuffix(a.body, "ended\n\n") {
			t.Errorf("got status %d, error %v and body %q, want the whole answer", a.status, a.err, a.body)
		}
	}
}
