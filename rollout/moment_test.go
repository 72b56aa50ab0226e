package rollout_test

// This file tests routers that read a verdict, an order or the state of the fleet at an unusual moment.

import (
	"testing"
	"time"

	"bulrushtally/rollout"
)

// Guards against a router that found the version bad, reads complete, and has the others stop the version as well.
func TestStoppedRouterThatReadsCompleteStopsNobody(t *testing.T) {
	r, now := failingRouter(t, "a")
	r.SetStatus(now, status(rollout.Complete), service)
	if got := r.Report(now)[0].Stopped; got {
		t.Error("report after complete was read: got stopped, want not")
	}
}

// Guards against a router that starts after the deadline and rolls back a fleet that only waits for a last stream.
func TestRouterThatStartsAfterTheDeadlineFollowsTheFleet(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.routers[0].Began(start, service, "v1", "plain")
	f.run(13 * time.Second)
	f.add("router-late", 4)
	f.run(4 * time.Second)
	if f.status.State != rollout.Serving {
		t.Fatalf("while a stream runs on an old server: got %v (%v), want serving", f.status.State, f.reason)
	}
	f.routers[0].Ended(f.now, service, "v1", "plain", rollout.Lost, 0, 0)
	f.run(4 * time.Second)
	if f.status.State != rollout.Complete {
		t.Errorf("after the stream has ended: got %v (%v), want complete", f.status.State, f.reason)
	}
}

// Guards against requests for old servers that have stopped, after the operator has written a completed order again.
func TestOrderThatIsWrittenAgainStaysComplete(t *testing.T) {
	r := newRouter("a", 1, 1)
	r.SetStatus(start, status(rollout.Complete), service)
	again := order
	again.Number, again.Began = order.Number+1, start.Add(time.Minute)
	if !r.SetOrder(again.Began, again) {
		t.Fatal("got the row of the same order refused, want it taken")
	}
	if got := r.Choose(again.Began, service); got != rollout.NewVersion {
		t.Errorf("choice: got %v, want new", got)
	}
	if got, _, due := r.Verdict(again.Began, service); got != rollout.Complete || !due {
		t.Errorf("verdict: got %v, due %v, want complete, due", got, due)
	}
}

// Guards against a good version that is rolled back since only the failures of its cold servers count, on a route that fails 14 of 100
// by design.
func TestAnswersOfColdServersCountAgainstTheirFailures(t *testing.T) {
	r := newRouter("a", 1, 1)
	now := start
	for i := range 1200 {
		now = now.Add(5 * time.Millisecond)
		version, result := "v1", rollout.OK
		if i%7 == 0 {
			result = rollout.Failed
		}
		if r.Choose(now, service) == rollout.NewVersion {
			version = "v2"
			if result == rollout.OK {
				result = rollout.Untimed
			}
		}
		r.Sent(now, service, version)
		r.Began(now, service, version, "flaky")
		r.Ended(now, service, version, "flaky", result, time.Second, time.Second)
		if got, why, due := r.Verdict(now, service); due {
			t.Fatalf("after %v: got %v (%v), want no verdict yet", now.Sub(start), got, why)
		}
	}
}

// Guards against streams that go on at the version and release what requests that wait have reserved of the exposure bound.
func TestRequestsWithoutAChoiceReleaseNone(t *testing.T) {
	r := newRouter("a", 1, 1)
	now := start.Add(5 * time.Second)
	waiting := 0
	for range 1000 {
		if r.Choose(now, service) == rollout.NewVersion {
			waiting++
			r.SentUnchosen(now, service, "v2")
		}
	}
	for range waiting {
		r.Sent(now, service, "v2")
	}
	if p, _ := r.Progress(now, service); float64(p.Sent) > p.Allowed+2 {
		t.Errorf("got %d requests sent, want %.1f at most", p.Sent, p.Allowed)
	}
}
