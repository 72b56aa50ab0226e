package gateway_test

// This file tests answers of backend servers that are cut off in their head, or right after it.

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bulrushtally/platform/platformtest"
)

// anyRequest names all requests to Server.CutAnswers.
func anyRequest(*http.Request) bool { return true }

// headBytes is about how long the head of a stand-in's answer is.
const headBytes = 120

// headWithoutLength is the head of the answer of server i-1 to an attempt if the answer has neither a length nor chunks.
func headWithoutLength(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nInstance-Id: i-1\r\nResponse-Seal: seal-i-1\r\n\r\n", attempt)
}

func TestAnswerCutInItsHeadIsNotTakenForAnAnswer(t *testing.T) {
	s := newTestbed(t, publicDesk)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	const id = "id-of-a-length"
	for _, behaviour := range []platformtest.Behaviour{platformtest.Succeed, platformtest.EndWithConnection} {
		b.SetDefaultBehaviour(behaviour)
		for cut := 1; cut < len(headWithoutLength(id)); cut += 6 {
			b.CutAnswers(cut, anyRequest)
			if a := s.send("GET", fmt.Sprintf("/desk/%d-%d", behaviour, cut), "", "Attempt-Id", id); a.status == 200 {
				t.Errorf("behaviour %d, cut after %d bytes: got status 200 with body %q", behaviour, cut, a.body)
			}
		}
	}
}

// The answer to GET /desk/x has neither a length nor chunks, and the server closes right after its head.
func TestAnswerWithoutLengthThatEndsWithItsHeadIsNotComplete(t *testing.T) {
	s := newTestbed(t, publicDesk)
	b := s.startServer("i-1", "desk", 0)
	s.waitReady()
	b.SetDefaultBehaviour(platformtest.EndWithConnection)
	whole := s.send("GET", "/desk/x", "")
	if whole.status != 200 || whole.body != "done" {
		t.Fatalf("got status %d and body %q of an answer without a length, want 200 and %q", whole.status, whole.body, "done")
	}
	const id = "id-of-a-length"
	b.CutAnswers(len(headWithoutLength(id)), anyRequest)
	if a := s.send("GET", "/desk/y", "", "Attempt-Id", id); a.status == 200 {
		t.Errorf("got status 200 with body %q, want no success", a.body)
	}
}

func TestStreamCutInTheHeadOfItsNextAnswerDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t, sentOnService)
	one, two := s.startServer("i-1", "models", 12), s.startServer("i-2", "models", 12)
	s.waitReady()
	resumes := func(r *http.Request) bool { return r.Header.Get("Last-Event-Id") != "" }
	for _, b := range []*platformtest.Server{one, two} {
		b.SetFollowing(platformtest.DisconnectMidStream, platformtest.Succeed)
	}
	for cut := 1; cut < headBytes+60; cut += 20 {
		one.CutAnswers(cut, resumes)
		two.CutAnswers(cut, resumes)
		got := s.exchange(fmt.Sprintf("/models/%d", cut))
		if strings.Count(got, "HTTP/1.1 ") > 1 || strings.Count(got, "id: 1\n") > 1 {
			t.Errorf("cut after %d bytes: got %q, want one head and the first event once", cut, got)
		}
		if strings.HasSuffix(got, "0\r\n\r\n") {
			t.Errorf("cut after %d bytes: got a stream that looks complete: %q", cut, got)
		}
	}
}

func TestMigratedRequestCutInTheHeadOfItsNextAnswerDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t, migratableService)
	var servers []*platformtest.Server
	for i := range 4 {
		servers = append(servers, s.startServer(fmt.Sprint("i-", i), "models", 40))
	}
	s.waitReady()
	moved := func(r *http.Request) bool { return r.Header.Get("Kv-From") != "" }
	migrations := 0
	for cut := 1; cut < headBytes+60; cut += 30 {
		for _, b := range servers {
			b.CutAnswers(cut, moved)
		}
		a := s.send("POST", fmt.Sprintf("/models/%d", cut), "prompt", "Token-Count", "20000,400")
		if events := strings.Count(a.body, "id: "); a.status == 200 && a.err == nil && events != 40 {
			t.Errorf("cut after %d bytes: got %d events in a stream that looks complete, want 40", cut, events)
		}
	}
	for _, b := range servers {
		migrations += b.Migrations()
	}
	if migrations == 0 {
		t.Error("got no migration")
	}
}
