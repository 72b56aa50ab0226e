package gateway_test

// This file tests streams that end with their connection, without length and chunks, when they migrate: a server that stops one
// as ordered closes its connection too.

import (
	"fmt"
	"strings"
	"testing"

	"bulrushtally/platform/platformtest"
)

// migratedEvents is the number of events of a stream that migrates.
const migratedEvents = 40

// newMigrationTestbed starts a gateway and four servers of a service whose streams migrate.
func newMigrationTestbed(t *testing.T) (*testbed, []*platformtest.Server) {
	t.Helper()
	s := newTestbed(t, migratableService)
	var servers []*platformtest.Server
	for i := range 4 {
		b := s.startServer(fmt.Sprint("i-", i), "models", migratedEvents)
		b.SetDefaultBehaviour(platformtest.EndStreamWithConnection)
		servers = append(servers, b)
	}
	s.waitReady()
	return s, servers
}

// sendLongPrompt sends a request whose prompt is so long that it migrates.
func (s *testbed) sendLongPrompt() response {
	s.t.Helper()
	return s.send("POST", "/models/x", "prompt", "Token-Count", "20000,400")
}

// countMigrations returns how many requests were migrated from the servers.
func countMigrations(servers []*platformtest.Server) (n int) {
	for _, b := range servers {
		n += b.Migrations()
	}
	return n
}

// Guards against a stream that reaches its caller as complete after the events that came before it migrated: its source closed
// the connection because it had stopped the request, and that was taken for the end.
func TestStreamThatEndsWithItsConnectionGoesOnAfterItsMigration(t *testing.T) {
	s, servers := newMigrationTestbed(t)
	a := s.sendLongPrompt()
	if got := countMigrations(servers); got != 1 {
		t.Fatalf("got %d migrations, want 1; log:\n%s", got, s.logs)
	}
	if a.err != nil || a.status != 200 {
		t.Errorf("got status %d and error %v, want a complete response", a.status, a.err)
	}
	for n := 1; n <= migratedEvents; n++ {
		if got := strings.Count(a.body, fmt.Sprintf("id: %d\n", n)); got != 1 {
			t.Errorf("event %d: got it %d times, want once", n, got)
		}
	}
}

// Guards against the same where the answer to the order to stop is lost, so that the router goes on reading from the source.
func TestStreamWhoseMigrationWasNotAnsweredDoesNotLookComplete(t *testing.T) {
	for _, behaviour := range []platformtest.Behaviour{platformtest.EndStreamWithConnection, platformtest.Succeed} {
		s, servers := newMigrationTestbed(t)
		for _, b := range servers {
			b.SetDefaultBehaviour(behaviour)
			b.LoseMigrationAnswers()
		}
		a := s.sendLongPrompt()
		if got := countMigrations(servers); got != 1 {
			t.Fatalf("behaviour %d: got %d migrations, want 1; log:\n%s", behaviour, got, s.logs)
		}
		if events := strings.Count(a.body, "id: "); a.err == nil && a.status == 200 && events != migratedEvents {
			t.Errorf("behaviour %d: got %d events in a stream that looks complete, want %d or an error", behaviour, events, migratedEvents)
		}
		if strings.Contains(s.logs.String(), `"server-broke-off"`) && !strings.Contains(s.logs.String(), "told to stop") {
			t.Errorf("behaviour %d: got the end taken for a crash of the server, want it put down to the order to stop; log:\n%s", behaviour, s.logs)
		}
	}
}

// A stream that does not migrate, since the server refuses, is complete when its connection ends.
func TestStreamThatEndsWithItsConnectionIsCompleteIfItsMigrationWasRefused(t *testing.T) {
	s, servers := newMigrationTestbed(t)
	for _, b := range servers {
		b.RefuseMigrations()
	}
	a := s.sendLongPrompt()
	if !strings.Contains(s.logs.String(), `"migration-failed"`) {
		t.Fatalf("got no order to migrate; log:\n%s", s.logs)
	}
	if events := strings.Count(a.body, "id: "); a.err != nil || a.status != 200 || events != migratedEvents {
		t.Errorf("got status %d, error %v and %d events, want a complete response with %d", a.status, a.err, events, migratedEvents)
	}
}
