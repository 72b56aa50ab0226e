package placement_test

// This file tests that a roll-out decides which versions a request may go to.

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bulrushtally/placement"
)

// newRollout returns a Placement with three servers each of versions "old" and "new", whose IDs begin with the version, and
// with a roll-out to version "new".
func newRollout(migrates bool, r placement.Rollout) *placement.Placement {
	p := newPlacement(modelServices(migrates), 1, 0)
	setVersions(p, 3, "old", "newer")
	p.AdmitVersions(time.Now(), "models", map[string]bool{"old": true, "newer": true})
	r.To = "newer"
	p.SetRollout(time.Now(), "models", r)
	return p
}

// serversOf returns how many of n requests with a rule go to each server. They end at once.
func serversOf(p *placement.Placement, n int, rule placement.VersionRule) map[string]int {
	counts := map[string]int{}
	for range n {
		req := newRequest("a", 100)
		req.Rule = rule
		g, r := admitWithoutWaiting(p, req)
		if g == nil {
			counts[string(r.Reason)]++
			continue
		}
		counts[g.ID()]++
		g.RecordFirstEvent(time.Now())
		g.End(time.Now(), placement.Done)
	}
	return counts
}

// ofVersion returns the sum of the counts of servers of a version.
func ofVersion(counts map[string]int, version string) (n int) {
	for id, count := range counts {
		if strings.HasPrefix(id, version+"-") {
			n += count
		}
	}
	return n
}

func TestOnlyRequestsOfTheTrialGoToTheNewVersion(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 1})
	for _, rule := range []placement.VersionRule{placement.AnyVersion, placement.OldVersion} {
		if got := serversOf(p, 50, rule); ofVersion(got, "old") != 50 {
			t.Errorf("rule %d: got %v, want all at the old version", rule, got)
		}
	}
	got := serversOf(p, 50, placement.NewVersion)
	if ofVersion(got, "newer") != 50 || len(got) != 1 {
		t.Errorf("got %v, want all at one server of the new version", got)
	}
}

// Without a roll-out, what a request was given while there was one must not count.
func TestRulesCountOnlyDuringARollout(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 1})
	p.SetRollout(time.Now(), "models", placement.Rollout{})
	for _, rule := range []placement.VersionRule{placement.AnyVersion, placement.OldVersion, placement.NewVersion} {
		if got := serversOf(p, 60, rule); ofVersion(got, "old") == 0 || ofVersion(got, "newer") == 0 {
			t.Errorf("rule %d: got %v, want both versions", rule, got)
		}
	}
}

// A trial server without room must not make callers wait.
func TestRequestOfTheTrialGoesToTheOldVersionIfTheNewOneIsFull(t *testing.T) {
	p := newRollout(false, placement.Rollout{})
	for i := range 3 {
		p.RemoveServer([]string{"newer-0", "newer-1", "newer-2"}[i])
	}
	if got := serversOf(p, 20, placement.NewVersion); ofVersion(got, "old") != 20 {
		t.Errorf("got %v, want all at the old version", got)
	}
	p.SetRollout(time.Now(), "models", placement.Rollout{To: "newer", StopOld: true})
	if got := serversOf(p, 20, placement.NewVersion); ofVersion(got, "old") != 0 {
		t.Errorf("got %v, want none at an old version that gets no new requests", got)
	}
}

// A request that waits must not go to a version that was stopped since it was chosen, nor be sent there if it was placed before.
func TestStoppedVersionGetsNothing(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 2})
	req := newRequest("a", 100)
	req.Rule = placement.NewVersion
	g, r := admitWithoutWaiting(p, req)
	if g == nil || !g.IsNewVersion() || !g.MaySend(time.Now()) {
		t.Fatalf("got %v and refusal %v, want a server of the new version", g, r)
	}
	p.SetRollout(time.Now(), "models", placement.Rollout{To: "newer", StopNew: true})
	if g.MaySend(time.Now()) {
		t.Error("got a request sent to a version that was stopped since it was placed")
	}
	g.EndUnsent(time.Now())
	if got := serversOf(p, 50, placement.NewVersion); ofVersion(got, "old") != 50 {
		t.Errorf("got %v, want all at the old version", got)
	}
	if g, r := admitWithoutWaiting(p, newStream("newer", 100)); g != nil || r.Reason != placement.NoVersion {
		t.Errorf("got %v and refusal %v for a stream of the stopped version, want %q", g, r, placement.NoVersion)
	}
}

// Once the old servers are to end, a new request there would be cut off with them. A stream that they have begun goes on.
func TestOldVersionsGetOnlyTheirStreamsOnceTheyAreStopped(t *testing.T) {
	p := newRollout(false, placement.Rollout{StopOld: true})
	for _, rule := range []placement.VersionRule{placement.AnyVersion, placement.OldVersion, placement.NewVersion} {
		if got := serversOf(p, 50, rule); ofVersion(got, "newer") != 50 {
			t.Errorf("rule %d: got %v, want all at the new version", rule, got)
		}
	}
	g, r := admitWithoutWaiting(p, newStream("old", 100))
	if g == nil || g.Version() != "old" {
		t.Errorf("got %v and refusal %v, want the stream to go on at its version", g, r)
	}
	p.SetRollout(time.Now(), "models", placement.Rollout{To: "newer", StopOld: true, EndOld: true})
	if g, r := admitWithoutWaiting(p, newStream("old", 100)); g != nil || r.Reason != placement.NoVersion {
		t.Errorf("got %v and refusal %v for a stream of a version that has ended, want %q", g, r, placement.NoVersion)
	}
}

// A request waits for the old version, which then is stopped: it would have waited until its deadline.
func TestWaitingRequestFollowsTheRollout(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 1})
	for _, id := range []string{"old-0", "old-1", "old-2"} {
		p.RemoveServer(id)
	}
	placed := make(chan *placement.Grant)
	waits := make(chan struct{})
	req := newRequest("a", 100)
	req.Rule, req.OnWait = placement.OldVersion, func() { close(waits) }
	go func() {
		g, _ := p.Admit(context.Background(), req)
		placed <- g
	}()
	<-waits
	p.SetRollout(time.Now(), "models", placement.Rollout{To: "newer", StopOld: true})
	if g := <-placed; g == nil || !g.IsNewVersion() {
		t.Errorf("got %v, want the new version", g)
	}
}

// A server that may have started anew as the new version must not get a request for the old one.
func TestServerOfUncertainVersionGetsNothingDuringARollout(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 1})
	for _, id := range []string{"old-1", "old-2"} {
		p.RemoveServer(id)
	}
	g, r := admitWithoutWaiting(p, newRequest("a", 100))
	if g == nil {
		t.Fatalf("got refusal %v, want old-0", r)
	}
	g.End(time.Now(), placement.Unreachable)
	time.Sleep(300 * time.Millisecond) // until the server is tried again
	if got := serversOf(p, 10, placement.OldVersion); ofVersion(got, "old")+ofVersion(got, "newer") != 0 {
		t.Errorf("got %v, want none at a server that may have another version", got)
	}
}

// Shared segments, fetches of KV cache and migrations must stay within what the roll-out leaves a request.
func TestKVCacheAndMigrationsKeepToTheRollout(t *testing.T) {
	p := newRollout(true, placement.Rollout{TrialServers: 2})
	segments := []placement.Segment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	trial, placed, migrations := map[string]bool{}, 0, 0
	for n := range 200 {
		req := newRequest("a", 12000, segments...)
		req.Rule = []placement.VersionRule{placement.OldVersion, placement.NewVersion}[n%2]
		g, _ := admitWithoutWaiting(p, req)
		if g == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		placed++
		if g.IsNewVersion() {
			trial[g.ID()] = true
			if req.Rule != placement.NewVersion {
				t.Errorf("got a request with rule %d at %s", req.Rule, g.ID())
			}
		}
		if from := g.KVFetchAddress(); from != "" && strings.HasPrefix(from, "127.0.0.1:3") == g.IsNewVersion() {
			t.Errorf("got a KV fetch from %s to %s", from, g.ID())
		}
		g.RecordFirstEvent(time.Now())
		if target := g.Migrate(time.Now()); target != nil {
			migrations++
			if target.IsNewVersion() != g.IsNewVersion() {
				t.Errorf("got a migration from %s to %s", g.ID(), target.ID())
			}
			if target.IsNewVersion() {
				trial[target.ID()] = true
			}
			target.End(time.Now(), placement.Done)
		}
		g.End(time.Now(), placement.Done)
		time.Sleep(time.Millisecond)
	}
	if len(trial) == 0 || len(trial) > 2 || migrations == 0 {
		t.Errorf("got %d requests placed, servers %v of the new version and %d migrations, want one or two servers and some migrations", placed, trial, migrations)
	}
}

// A slow version taught the router to expect slow answers of its servers, which then did not look slow.
func TestExpectedTimeLeavesTheServersOwnSlownessOut(t *testing.T) {
	p := newRollout(false, placement.Rollout{TrialServers: 1})
	usual := time.Duration(0)
	var last placement.Ending
	for n := range 100 {
		req := newRequest("a", 1000)
		req.Rule, req.Late = []placement.VersionRule{placement.OldVersion, placement.NewVersion}[n%2], true
		g, _ := admitWithoutWaiting(p, req)
		if g == nil { // no server can take it in time by the model of this router
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if usual == 0 {
			usual = g.ExpectedFirstEvent()
		}
		now := g.SentAt().Add(usual)
		if g.IsNewVersion() {
			now = g.SentAt().Add(5 * usual)
			g.OnEnd(func(e placement.Ending) { last = e })
		}
		g.RecordFirstEvent(now)
		g.End(now, placement.Done)
	}
	if last.Expected == 0 || last.First < 2*last.Expected {
		t.Errorf("got an answer after %v with %v expected, want at least twice that", last.First, last.Expected)
	}
}

// BenchmarkAdmitDuringRollout measures what the version rule adds to a decision, beside one without a roll-out, at 30 customers
// and 140 servers.
func BenchmarkAdmitDuringRollout(b *testing.B) {
	for name, r := range map[string]placement.Rollout{"none": {}, "trial": {To: "newer", TrialServers: 4}, "shift": {To: "newer"}} {
		b.Run(name, func(b *testing.B) {
			p := newPlacement(modelServices(false), 6, 0)
			setVersions(p, 70, "old", "newer")
			p.SetRollout(time.Now(), "models", r)
			req := newRequest("a", 1)
			customers := make([]string, 30)
			for i := range customers {
				customers[i] = fmt.Sprint("c", i)
			}
			b.ReportAllocs()
			for i := range b.N {
				req.Customer, req.Rule = customers[i%len(customers)], placement.OldVersion
				req.Objective, req.Deadline = time.Now().Add(time.Hour), time.Now().Add(time.Hour)
				if g, _ := p.Admit(context.Background(), req); g != nil {
					g.RecordFirstEvent(time.Now())
					g.End(time.Now(), placement.Done)
				}
			}
		})
	}
}

// Fails if a request that may use idle servers of the new version waits behind one of its customer for the old versions.
func TestRequestOfTheTrialDoesNotWaitBehindOnesForOldVersions(t *testing.T) {
	p := newRollout(false, placement.Rollout{})
	for _, id := range []string{"old-0", "old-1", "old-2"} {
		p.RemoveServer(id)
	}
	waits := make(chan struct{})
	waiting := newRequest("a", 100)
	waiting.Rule, waiting.OnWait = placement.OldVersion, func() { close(waits) }
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go p.Admit(ctx, waiting)
	<-waits
	req := newRequest("a", 100)
	req.Rule = placement.NewVersion
	if g, refusal := p.Admit(ctx, req); g == nil {
		t.Errorf("got %v, want a server of the new version", refusal)
	}
}
