package gateway_test

// This file tests answers whose heads give a length that no router can hold, on each path on which a gateway reads whole answers.
// With a length of 2^63-1 the router's process ended, with all requests that it served.

import (
	"net/http"
	"strings"
	"testing"

	"bulrushtally/platform/platformtest"
	"bulrushtally/responsehead/headtest"
)

// longAnswer returns a function for Server.SendAnswers: each request gets an answer with a length and a cut-off body.
func longAnswer(l headtest.LongLength, b *platformtest.Server, status string) func(*http.Request) string {
	return func(r *http.Request) string { return l.Response(status, b.AnswerHead(r), "part") }
}

func TestCallWithLongAnswerRunsElsewhereIfItMayBeRepeated(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		s := newTestbed(t, deskService)
		one := s.startServer("i-1", "desk", 0)
		s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SendAnswers(longAnswer(l, one, "200 OK"))
		if a := s.sendUntilReceived(one, "/desk/x", "body"); a.status != 200 || a.body != "done" {
			t.Errorf("got status %d, error %v and body %q, want the answer of the other server; log:\n%s", a.status, a.err, a.body, s.logs)
		}
		if !strings.Contains(s.logs.String(), `"server-broke-off"`) {
			t.Errorf("got no server that broke off; log:\n%s", s.logs)
		}
	})
}

// The request has run and must run no second time.
func TestCallWithLongAnswerThatMayNotBeRepeatedEndsAsFailed(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		s := newTestbed(t, ordersService)
		one, two := s.startServer("i-1", "orders", 0), s.startServer("i-2", "orders", 0)
		s.waitReady()
		one.SendAnswers(longAnswer(l, one, "200 OK"))
		two.SendAnswers(longAnswer(l, two, "200 OK"))
		if a := s.send("POST", "/orders/x", "body"); a.status != 502 || a.header.Get("Retry-After") != "" {
			t.Errorf("got status %d, error %v, body %q and header %v, want 502 without Retry-After", a.status, a.err, a.body, a.header)
		}
		if got := len(one.Received()) + len(two.Received()); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// An answer with a status of 500 is not final on a route that allows repeats, but a cut-off one is no better.
func TestLongAnswerToARepeatIsNotForwarded(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		s := newTestbed(t, deskService)
		one, two := s.startServer("i-1", "desk", 0), s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SendAnswers(longAnswer(l, one, "200 OK"))
		two.SetDefaultBehaviour(platformtest.FailWith500)
		a := s.sendUntilReceived(one, "/desk/x", "body")
		if a.status != 500 && a.status != 502 || strings.Contains(a.body, "part") {
			t.Errorf("got status %d, error %v and body %q, want the failure of the sound server, or 502; log:\n%s", a.status, a.err, a.body, s.logs)
		}
	})
}

// Of an answer with status 200 nothing but whole events goes on, and one with another status is read as a whole.
func TestStreamWithLongAnswerBeginsElsewhere(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
				s := newTestbed(t, sentOnService)
				one := s.startServer("i-1", "models", 12)
				s.startServer("i-2", "models", 12)
				s.waitReady()
				one.SendAnswers(longAnswer(l, one, status))
				a := s.sendUntilReceived(one, "/models/x", "body")
				if a.err != nil || a.status != 200 || strings.Contains(a.body, "part") || strings.Count(a.body, "id: ") != 12 {
					t.Errorf("got status %d, error %v and body %q, want the 12 events of the other server; log:\n%s", a.status, a.err, a.body, s.logs)
				}
			})
		})
	}
}

// The source has stopped, or not: an answer to the order that is not read to its end does not say.
func TestStreamIsNotTakenForMovedAfterALongAnswerToTheOrder(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		s, servers := newMigrationTestbed(t)
		for _, b := range servers {
			b.SetDefaultBehaviour(platformtest.Succeed)
			b.SendAnswers(func(r *http.Request) string {
				if r.URL.Path != "/-/kv-move" {
					return ""
				}
				return l.Response("200 OK", b.AnswerHead(r), "part")
			})
		}
		a := s.sendLongPrompt()
		if !strings.Contains(s.logs.String(), `"migration-failed"`) {
			t.Errorf("got no migration that failed; log:\n%s", s.logs)
		}
		if events := strings.Count(a.body, "id: "); a.err != nil || a.status != 200 || events != migratedEvents {
			t.Errorf("got status %d, error %v and %d events, want %d: the source goes on", a.status, a.err, events, migratedEvents)
		}
	})
}
