package placement_test

// This file tests where the shared segments of prompts are.

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/placement"
)

func TestSharedSegmentsHaveOneOwner(t *testing.T) {
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	owners := map[string]bool{}
	for range 8 { // routers that exchange no summaries
		g, r := admitWithoutWaiting(newPlacement(modelServices(true), 8, 9), newRequest("a", 12000, segments...))
		if g == nil {
			t.Fatalf("got %v, want a server", r)
		}
		owners[g.ID()] = true
		if got, want := g.PrefillTokens(), 12000-5500; got != want {
			t.Errorf("got %d tokens to prefill at the owner, want %d", got, want)
		}
	}
	if len(owners) != 1 {
		t.Errorf("got owners %v, want one", owners)
	}
}

// newPlacementWithAddresses returns a Placement whose servers have different addresses
// and can migrate running requests.
func newPlacementWithAddresses(servers int) *placement.Placement {
	p := newPlacement(modelServices(true), 1, 0)
	for i := range servers {
		p.SetServer(time.Now(), placement.ServerEntry{
			ID: fmt.Sprintf("i-%d", i), Service: "models", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: "zone-a", Slots: 64, Version: "v1",
		})
	}
	return p
}

// Servers that do not own a prompt's shared segments computed them again instead of
// fetching the KV cache from the owner.
func TestSharedSegmentsAreFetchedFromOwner(t *testing.T) {
	p := newPlacementWithAddresses(9)
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	owner, r := admitWithoutWaiting(p, newRequest("a", 12000, segments...))
	if owner == nil {
		t.Fatalf("got %v, want a server", r)
	}
	req := newRequest("a", 12000, segments...)
	req.Tried = []string{owner.ID()}
	other, r := admitWithoutWaiting(p, req)
	if other == nil {
		t.Fatalf("got %v, want another server", r)
	}
	if got, want := other.KVFetchAddress(), owner.Address(); got != want || other.PrefillTokens() != 12000-5500 {
		t.Errorf("got a KV fetch from %q and %d tokens to prefill, want %q and %d", got, other.PrefillTokens(), want, 12000-5500)
	}
}

// An owner that had evicted shared segments for other prompts computed them again, although
// the server that their last request had migrated to still held them.
func TestOwnerFetchesFromMigrationTarget(t *testing.T) {
	p := newPlacementWithAddresses(9)
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	owner, r := admitWithoutWaiting(p, newRequest("a", 12000, segments...))
	if owner == nil {
		t.Fatalf("got %v, want a server", r)
	}
	owner.RecordFirstEvent(time.Now())
	target := owner.Migrate(time.Now())
	if target == nil {
		t.Fatal("the request did not migrate")
	}
	again, r := admitWithoutWaiting(p, newRequest("a", 12000, segments...))
	if again == nil || again.ID() != owner.ID() {
		t.Fatalf("got grant %v and refusal %v, want the owner %q", again, r, owner.ID())
	}
	if got, want := again.KVFetchAddress(), target.Address(); got != want {
		t.Errorf("got a KV fetch from %q, want %q", got, want)
	}
	// Another router, which has seen none of these requests, names the same server.
	fresh, r := admitWithoutWaiting(newPlacementWithAddresses(9), newRequest("a", 12000, segments...))
	if fresh == nil || fresh.KVFetchAddress() != target.Address() {
		t.Errorf("got grant %v and refusal %v from another router, want a KV fetch from %q", fresh, r, target.Address())
	}
}

// Before the first requests, each owner was taken to have its segments in the KV cache.
// It then got more prompts than it could prefill in time.
func TestEmptyServerHasNoCachedSegments(t *testing.T) {
	p := placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: 1, Now: time.Now().Add(-time.Minute)})
	p.Configure(modelServices(true))
	for i := range 9 {
		p.SetServer(time.Now(), placement.ServerEntry{ID: fmt.Sprintf("i-%d", i), Service: "models", Address: "127.0.0.1:1", Zone: "zone-a", Slots: 64, Version: "v1"})
	}
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	for _, want := range []int{12000, 12000 - 5500} { // the second request finds the segments of the first
		g, r := admitWithoutWaiting(p, newRequest("a", 12000, segments...))
		if g == nil {
			t.Fatalf("got %v, want a server", r)
		}
		if got := g.PrefillTokens(); got != want {
			t.Errorf("got %d tokens to prefill, want %d", got, want)
		}
		g.RecordFirstEvent(time.Now())
		g.End(time.Now(), placement.Done)
	}
}
