package placement_test

// This file tests that a preview says what would be done, and changes nothing.

import (
	"testing"
	"time"

	"bulrushtally/placement"
)

// Fails if a preview reserves a server, takes capacity, or counts as a request.
func TestPreviewChangesNothing(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 1)
	held, r := admitWithoutWaiting(p, newRequest("a", 15000))
	if held == nil {
		t.Fatalf("got %v, want a server", r)
	}
	v, ok := p.Preview(time.Now(), newRequest("b", 15000))
	if !ok || v.Server != "" || v.Servers[0].Outcome != placement.IsBusy {
		t.Fatalf("got %+v, want a busy server", v)
	}
	held.RecordFirstEvent(time.Now())
	held.End(time.Now(), placement.Done)
	before := p.SpilloverStatus()
	for range 100 {
		if v, _ := p.Preview(time.Now(), newRequest("b", 100)); v.Servers[0].Running != 0 || v.Waiting != 0 {
			t.Fatalf("got %+v, want no request at the server or waiting", v)
		}
	}
	if got, want := p.SpilloverStatus()[0], before[0]; got.Stayed != want.Stayed || got.Left != want.Left || got.Held != want.Held {
		t.Errorf("got %+v after previews, want the counts of %+v", got, want)
	}
	if g, r := admitWithoutWaiting(p, newRequest("c", 10)); g == nil {
		t.Errorf("got %v after previews, want a server", r)
	}
}

// Fails if a preview names another zone than that of the requests, or hides that a bound or a limit is why.
func TestPreviewAgreesWithAdmit(t *testing.T) {
	f := newZoneFleet(3, 4, 1)
	f.tick(120)
	v, _ := f.routers[0].Preview(time.Now(), newRequest("a", 10))
	if got, want := f.server[v.Server], "zone-a"; got != want {
		t.Errorf("got a server of %s while home has room, want %s", got, want)
	}
	f.fill("zone-a", 16)
	f.tick(1)
	for f.send(0, newRequest("a", 10)) != nil {
	}
	v, _ = f.routers[0].Preview(time.Now(), newRequest("a", 10))
	outcomes := map[placement.PreviewOutcome]int{}
	for _, s := range v.Servers {
		outcomes[s.Outcome]++
	}
	if v.Server != "" || outcomes[placement.IsBounded] != 8 || outcomes[placement.IsFull] != 4 {
		t.Errorf("got server %q and outcomes %v, want none, 8 bounded and 4 full", v.Server, outcomes)
	}
	if _, ok := f.routers[0].Preview(time.Now(), &placement.Request{Service: "other"}); ok {
		t.Error("got a preview for an unknown service, want none")
	}
}
