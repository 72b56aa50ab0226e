package overload_test

// This file tests when a Detector asks for no new connections.

import (
	"testing"
	"time"

	"bulrushtally/overload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// play records so many connections a second from one moment to another, and returns for how long the router wanted none.
func play(d *overload.Detector, from, to time.Duration, accepted, rejected, zoneRouters int) (paused time.Duration) {
	const step = 100 * time.Millisecond
	for at := from; at < to; at += step {
		now := start.Add(at)
		d.Record(now, accepted/10, rejected/10)
		if !d.WantsConnections(now, zoneRouters) {
			paused += step
		}
	}
	return paused
}

// A flood of one customer came to one small router for 20 s, which took none of 9,393 connections in 7.2 s.
func TestFloodedRouterAsksForNoConnectionsWhileTheFloodLasts(t *testing.T) {
	var d overload.Detector
	if got := play(&d, 0, 4*time.Second, 100, 900, 20); got < time.Second {
		t.Errorf("got %v without new connections in the first 4 s of a flood, want 1 s or more", got)
	}
	if got := play(&d, 4*time.Second, 20*time.Second, 100, 900, 20); got < 8*time.Second {
		t.Errorf("got %v without new connections in the next 16 s, want 8 s or more", got)
	}
}

// Routers of a zone that take the flood in turn would all be out of rotation at once.
func TestRouterIsInRotationAsLongAsOutOfIt(t *testing.T) {
	var d overload.Detector
	if got := play(&d, 0, 120*time.Second, 100, 900, 20); got > 65*time.Second {
		t.Errorf("got %v without new connections in 120 s of a flood, want about half of the time at most", got)
	}
}

// A router that stayed out of rotation after a flood would leave its capacity unused.
func TestRouterReturnsAfterTheFlood(t *testing.T) {
	var d overload.Detector
	play(&d, 0, 4*time.Second, 100, 900, 20)
	if got := play(&d, 10*time.Second, 60*time.Second, 100, 0, 20); got > 0 {
		t.Errorf("got %v without new connections once 5 s without a flood have passed, want none", got)
	}
}

// A router that paused for every rejected connection would leave its zone fewer routers than its callers need.
func TestLoadThatIsServedOrShortKeepsTheRouterInRotation(t *testing.T) {
	tests := []struct {
		name               string
		seconds            int
		accepted, rejected int
		zoneRouters        int
	}{
		{"few are rejected", 30, 900, 300, 20},
		{"a burst of a second", 1, 100, 900, 20},
		{"rejecting takes little time", 30, 10, 80, 20},
		{"a zone without other routers to take over", 30, 100, 900, 3},
	}
	for _, test := range tests {
		var d overload.Detector
		paused := play(&d, 0, time.Duration(test.seconds)*time.Second, test.accepted, test.rejected, test.zoneRouters)
		paused += play(&d, time.Duration(test.seconds)*time.Second, 60*time.Second, 100, 0, test.zoneRouters)
		if paused > 0 {
			t.Errorf("%s: got %v without new connections, want none", test.name, paused)
		}
	}
}
