package gateway_test

// This file tests answers of backend servers whose heads are not valid HTTP, on each path on which a gateway reads answers.

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bulrushtally/platform/platformtest"
	"bulrushtally/responsehead/headtest"
)

// wrongEvent is the body of broken answers, which no caller may get: a whole event with a higher ID than those that came before.
const wrongEvent = "id: 9\ndata: wrong\n\n"

// brokenAnswers returns a function for Server.SendAnswers: the requests that to names get an answer with a fault and a body.
func brokenAnswers(f headtest.Fault, b *platformtest.Server, body string, to func(*http.Request) bool) func(*http.Request) string {
	return func(r *http.Request) string {
		if !to(r) {
			return ""
		}
		return f.Response(b.AnswerHead(r), body)
	}
}

// sendUntilReceived sends requests with a path and a body until a server has received one, and returns the last response.
func (s *testbed) sendUntilReceived(b *platformtest.Server, path, body string) response {
	s.t.Helper()
	for range 50 {
		if a := s.send("POST", path, body); len(b.Received()) > 0 {
			return a
		}
	}
	s.t.Fatalf("server %s got none of 50 requests; log:\n%s", b.ID, s.logs)
	return response{}
}

// Broken answers reached callers as they were.
func TestCallWithBrokenAnswerRunsElsewhereIfItMayBeRepeated(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, deskService)
		one := s.startServer("i-1", "desk", 0)
		s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SendAnswers(brokenAnswers(f, one, wrongEvent, anyRequest))
		if a := s.sendUntilReceived(one, "/desk/x", "body"); a.status != 200 || a.body != "done" {
			t.Errorf("got status %d, error %v and body %q, want the answer of the other server; log:\n%s", a.status, a.err, a.body, s.logs)
		}
	})
}

// The request has run, whatever the broken answer says, and must run no second time.
func TestCallWithBrokenAnswerThatMayNotBeRepeatedEndsAsFailed(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, ordersService)
		one, two := s.startServer("i-1", "orders", 0), s.startServer("i-2", "orders", 0)
		s.waitReady()
		one.SendAnswers(brokenAnswers(f, one, wrongEvent, anyRequest))
		two.SendAnswers(brokenAnswers(f, two, wrongEvent, anyRequest))
		if a := s.send("POST", "/orders/x", "body"); a.status != 502 || a.header.Get("Retry-After") != "" {
			t.Errorf("got status %d, error %v, body %q and header %v, want 502 without Retry-After", a.status, a.err, a.body, a.header)
		}
		if got := len(one.Received()) + len(two.Received()); got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// Nothing that a broken answer says can be relied on, not even that the request has not run.
func TestBrokenAnswerThatSaysNotRunIsNotPassedOn(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, ordersService)
		b := s.startServer("i-1", "orders", 0)
		s.waitReady()
		b.SendAnswers(func(r *http.Request) string { return f.Response(b.AnswerHead(r)+"Not-Executed: 1\r\n", "") })
		if a := s.send("POST", "/orders/x", "body"); a.status != 502 || a.header.Get("Retry-After") != "" {
			t.Errorf("got status %d, error %v and header %v, want 502 without Retry-After", a.status, a.err, a.header)
		}
	})
}

// An answer with a status of 500 is not final on a route that allows repeats, but a broken one is no better.
func TestBrokenAnswerToARepeatIsNotForwarded(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, deskService)
		one, two := s.startServer("i-1", "desk", 0), s.startServer("i-2", "desk", 0)
		s.waitReady()
		one.SendAnswers(brokenAnswers(f, one, wrongEvent, anyRequest))
		two.SetDefaultBehaviour(platformtest.FailWith500)
		a := s.sendUntilReceived(one, "/desk/x", "body")
		if a.status != 500 && a.status != 502 || strings.Contains(a.body, "wrong") {
			t.Errorf("got status %d, error %v and body %q, want the failure of the sound server, or 502; log:\n%s", a.status, a.err, a.body, s.logs)
		}
	})
}

func TestStreamWithBrokenAnswerBeginsElsewhere(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, sentOnService)
		one := s.startServer("i-1", "models", 12)
		s.startServer("i-2", "models", 12)
		s.waitReady()
		one.SendAnswers(brokenAnswers(f, one, wrongEvent, anyRequest))
		a := s.sendUntilReceived(one, "/models/x", "body")
		if a.err != nil || a.status != 200 || strings.Contains(a.body, "wrong") || strings.Count(a.body, "id: ") != 12 {
			t.Errorf("got status %d, error %v and body %q, want the 12 events of the other server; log:\n%s", a.status, a.err, a.body, s.logs)
		}
	})
}

func TestStreamThatResumesWithBrokenAnswerDoesNotLookComplete(t *testing.T) {
	resumes := func(r *http.Request) bool { return r.Header.Get("Last-Event-Id") != "" }
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s := newTestbed(t, sentOnService)
		for _, id := range []string{"i-1", "i-2"} {
			b := s.startServer(id, "models", 12)
			b.SetDefaultBehaviour(platformtest.DisconnectMidStream)
			b.SendAnswers(brokenAnswers(f, b, wrongEvent, resumes))
		}
		s.waitReady()
		got := s.exchange("/models/x")
		if strings.Count(got, "HTTP/1.1 ") != 1 || strings.Count(got, "id: ") != 1 || strings.Contains(got, "wrong") {
			t.Errorf("got %q, want one head and the one event that was whole", got)
		}
		if strings.HasSuffix(got, "0\r\n\r\n") {
			t.Errorf("got a stream that looks complete: %q", got)
		}
	})
}

func TestMovedStreamWithBrokenAnswerGoesOnOrDoesNotLookComplete(t *testing.T) {
	moved := func(r *http.Request) bool { return r.Header.Get("Kv-From") != "" }
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s, servers := newMigrationTestbed(t)
		for _, b := range servers {
			b.SetDefaultBehaviour(platformtest.Succeed)
			b.SendAnswers(brokenAnswers(f, b, wrongEvent, moved))
		}
		a := s.sendLongPrompt()
		if got := countMigrations(servers); got != 1 {
			t.Fatalf("got %d migrations, want 1; log:\n%s", got, s.logs)
		}
		if events := strings.Count(a.body, "id: "); strings.Contains(a.body, "wrong") || a.err == nil && a.status == 200 && events != migratedEvents {
			t.Errorf("got error %v and body %q, want %d events or an error", a.err, a.body, migratedEvents)
		}
	})
}

// The source has stopped, or not: a broken answer to the order does not say.
func TestStreamIsNotTakenForMovedAfterABrokenAnswerToTheOrder(t *testing.T) {
	order := func(r *http.Request) bool { return r.URL.Path == "/-/kv-move" }
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		s, servers := newMigrationTestbed(t)
		for _, b := range servers {
			b.SetDefaultBehaviour(platformtest.Succeed)
			b.SendAnswers(brokenAnswers(f, b, `{"handle": "h1"}`, order))
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

// A broken answer counts against its server as a broken connection does.
func TestBrokenAnswersCountAsBrokenOff(t *testing.T) {
	s := newTestbed(t, deskService)
	one := s.startServer("i-1", "desk", 0)
	s.startServer("i-2", "desk", 0)
	s.waitReady()
	one.SendAnswers(brokenAnswers(headtest.Faults[0], one, wrongEvent, anyRequest))
	for i := range 60 {
		if a := s.send("POST", fmt.Sprintf("/desk/%d", i), "body"); a.status != 200 || a.body != "done" {
			t.Errorf("request %d: got status %d and body %q, want the answer of the sound server", i, a.status, a.body)
		}
	}
	if got, want := strings.Count(s.logs.String(), `"server-broke-off"`), len(one.Received()); got != want || want == 0 {
		t.Errorf("got %d answers recorded as broken off, want one for each of the %d requests that the server got", got, want)
	}
}
