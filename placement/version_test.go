package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/placement"
)

// setVersions lists servers of versions, n of each, whose IDs are VERSION-0, VERSION-1 and so on.
func setVersions(p *placement.Placement, n int, versions ...string) {
	for _, v := range versions {
		for i := range n {
			p.SetServer(time.Now(), placement.ServerEntry{
				ID: fmt.Sprintf("%s-%d", v, i), Service: "models", Address: fmt.Sprintf("127.0.0.1:%d", len(v)*100+i), Zone: "zone-a", Slots: 64, Version: v, StartedMs: 1,
			})
		}
	}
}

// newStream returns a request whose response is a stream that has begun at a version, "" if it has not begun.
func newStream(version string, prompt int, segments ...placement.Segment) *placement.Request {
	req := newRequest("a", prompt, segments...)
	req.KeepsVersion, req.Version = true, version
	return req
}

func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 0)
	setVersions(p, 2, "one", "second")
	for range 20 {
		g, r := admitWithoutWaiting(p, newStream("one", 500))
		if g == nil || g.Version() != "one" {
			t.Fatalf("got %v and refusal %v, want a server of version one", g, r)
		}
		g.End(time.Now(), placement.Done)
	}
	p.RemoveServer("one-0")
	p.RemoveServer("one-1")
	if g, r := admitWithoutWaiting(p, newStream("one", 500)); g != nil || r.Reason != placement.NoVersion {
		t.Errorf("got %v and refusal %v, want %q", g, r, placement.NoVersion)
	}
}

func TestStreamsBeginAtAdmittedVersionsOnly(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 0)
	setVersions(p, 2, "one", "second")
	if g, _ := admitWithoutWaiting(p, newStream("", 500)); g != nil {
		t.Errorf("got a stream begun at %q before a version was admitted", g.ID())
	}
	p.AdmitVersions(time.Now(), "models", map[string]bool{"second": true})
	for range 20 {
		g, r := admitWithoutWaiting(p, newStream("", 500))
		if g == nil || g.Version() != "second" {
			t.Fatalf("got %v and refusal %v, want a server of version second", g, r)
		}
		g.End(time.Now(), placement.Done)
	}
	if g, r := admitWithoutWaiting(p, newRequest("a", 500)); g == nil {
		t.Errorf("got refusal %v for a request that may go anywhere", r)
	}
}

// A server starts again under its ID as another version, and the router's entry is of before.
func TestVersionOfAServerThatMayHaveStartedAnewIsUncertain(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 0)
	setVersions(p, 1, "one")
	p.AdmitVersions(time.Now(), "models", map[string]bool{"one": true, "two": true})
	g, r := admitWithoutWaiting(p, newStream("", 500))
	if g == nil {
		t.Fatalf("got %v, want a server", r)
	}
	p.SetServer(time.Now(), placement.ServerEntry{ID: "one-0", Service: "models", Address: "127.0.0.1:300", Zone: "zone-a", Slots: 64, Version: "two", StartedMs: 2})
	if got := g.Version(); got != "" {
		t.Errorf("got version %q of a server that started anew since the request was sent, want it unknown", got)
	}
	g.End(time.Now(), placement.Unreachable)
	time.Sleep(300 * time.Millisecond) // until the server is tried again
	if g, _ := admitWithoutWaiting(p, newStream("two", 500)); g != nil {
		t.Errorf("got a stream going on at %q, which was unreachable and may run another version", g.ID())
	}
	if g, r := admitWithoutWaiting(p, newStream("", 500)); g == nil || g.Version() != "" {
		t.Errorf("got %v and refusal %v, want a new stream there, of unknown version", g, r)
	}
}

func TestKVCacheIsNotFetchedFromAnotherVersion(t *testing.T) {
	p := newPlacement(modelServices(true), 1, 0)
	setVersions(p, 5, "one", "second")
	p.AdmitVersions(time.Now(), "models", map[string]bool{"one": true, "second": true})
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	version := map[string]string{}
	for _, v := range []string{"one", "second"} {
		for i := range 5 {
			version[fmt.Sprintf("127.0.0.1:%d", len(v)*100+i)] = v
		}
	}
	fetches := 0
	for range 100 {
		for _, v := range []string{"", "one", "second"} {
			req := newStream(v, 12000, segments...)
			g, _ := admitWithoutWaiting(p, req)
			if g == nil {
				continue
			}
			if from := g.KVFetchAddress(); from != "" {
				fetches++
				if version[from] != g.Version() {
					t.Errorf("got a KV fetch from version %q to %q", version[from], g.Version())
				}
			}
			g.RecordFirstEvent(time.Now())
			if target := g.Migrate(time.Now()); target != nil {
				if target.Version() != g.Version() {
					t.Errorf("got a migration from version %q to %q", g.Version(), target.Version())
				}
				target.End(time.Now(), placement.Done)
			}
			g.End(time.Now(), placement.Done)
		}
		time.Sleep(time.Millisecond)
	}
	if fetches == 0 {
		t.Error("got no KV fetch, want some within a version")
	}
}

// Roles were cut from all servers, so that a version could have servers of one role only.
func TestEachVersionHasServersOfBothRoles(t *testing.T) {
	p := newPlacement(modelServices(true), 1, 0)
	setVersions(p, 2, "one", "second", "version3")
	p.AdmitVersions(time.Now(), "models", map[string]bool{"one": true, "second": true, "version3": true})
	migrated := map[string]bool{}
	for n := range 300 {
		g, _ := admitWithoutWaiting(p, newStream([]string{"one", "second", "version3"}[n%3], 12000))
		if g == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		g.RecordFirstEvent(time.Now())
		if target := g.Migrate(time.Now()); target != nil {
			migrated[target.Version()] = true
			target.End(time.Now(), placement.Done)
		}
		g.End(time.Now(), placement.Done)
	}
	if len(migrated) != 3 {
		t.Errorf("got migrations in versions %v, want in all three", migrated)
	}
}

func TestStreamTakenUpGoesBeforeRequestsOfItsCustomersShare(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 0)
	setVersions(p, 1, "one")
	p.AdmitVersions(time.Now(), "models", map[string]bool{"one": true})
	refused := 0
	for range 400 { // a flood that uses up what the customer's share leaves
		if g, r := admitWithoutWaiting(p, newRequest("a", 4000)); g == nil && r.Reason == placement.OverShare {
			refused++
		}
	}
	for range 5 {
		p.RecordArrival(time.Now(), newRequest("b", 4000))
	}
	req := newStream("one", 100)
	req.TakenUp = true
	if _, r := admitWithoutWaiting(p, req); r != nil && r.Reason == placement.OverShare {
		t.Errorf("got refusal %v for a stream that is taken up, after %d for new ones", r, refused)
	}
}
