package gateway_test

// This file tests routers that are out of step with the others while servers of a new software version join: streams that
// began there are taken up at such a router.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// joinVersion starts two servers of a version at the first router's side, and waits until streams begin at them there.
func (s *testbed) joinVersion(version string, others ...string) (servers []*platformtest.Server) {
	s.t.Helper()
	for n := range 2 {
		servers = append(servers, s.startVersion(fmt.Sprintf("%s-%d", version, n), "models", version, 12))
	}
	s.listVersions(append(others, version)...)
	return servers
}

// wantTakenUpAtLast checks that a router which is in step again lets nearly all streams go on, and none at another version.
func (s *testbed) wantTakenUpAtLast(began map[string]string, versions ...string) {
	s.t.Helper()
	s.listedServers = 0 // the log lists servers in any order
	s.listVersions(versions...)
	goOn, mixed := 0, 0
	eventually(5*time.Second, func() bool {
		goOn, mixed = s.takeUp(began)
		return goOn >= len(began)*3/4
	})
	if mixed > 0 || goOn < len(began)*3/4 {
		s.t.Errorf("got %d of %d streams going on once the router is in step, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, s.logs)
	}
}

func TestRouterCutOffFromTheStoreTakesNoStreamUpAtAnotherVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	link := newLink(t, s.store.Address())
	second := s.startRouterAt(link.Address())
	second.listVersions("one")
	for _, d := range []platformtest.Direction{platformtest.ToTarget, platformtest.FromTarget} {
		link.SetBlocked(d, true)
		version := fmt.Sprintf("new-%d", d)
		servers = append(servers, s.joinVersion(version, "one")...)
		began := s.beginStreams(10, servers)
		if goOn, mixed := second.takeUp(began); mixed > 0 {
			t.Errorf("got %d streams going on at a router that is cut off, %d of them at another version, want none", goOn, mixed)
		}
		link.SetBlocked(d, false)
		second.wantTakenUpAtLast(began, "one", version)
	}
}

// The second router stands still for a moment: what it has asked the store for was answered before version two came, and
// reaches it afterwards.
func TestRouterThatStoodStillTakesNoStreamUpAtAnotherVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	link := newLink(t, s.store.Address())
	second := s.startRouterAt(link.Address())
	second.listVersions("one")
	old := s.beginStreams(3, servers)
	link.SetBlocked(platformtest.FromTarget, true)
	taken := make(chan int, 2)
	takeUp := func(began map[string]string) {
		_, mixed := second.takeUp(began)
		taken <- mixed
	}
	go takeUp(old) // the answer to its read is held
	servers = append(servers, s.joinVersion("two", "one")...)
	began := s.beginStreams(10, servers)
	go takeUp(began)
	time.Sleep(100 * time.Millisecond)
	link.SetBlocked(platformtest.FromTarget, false)
	for range 2 {
		if mixed := <-taken; mixed > 0 {
			t.Errorf("got %d streams going on at another version after the router stood still, want none; log:\n%s", mixed, second.logs)
		}
	}
	second.wantTakenUpAtLast(began, "one", "two")
}

// The store answers reads with an older state, of before version two came. Who takes that for the newest takes all streams for
// ones of version one.
func TestOldStateOfTheStoreLeadsToNoStreamAtAnotherVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	second := s.startSecondRouter()
	second.listVersions("one")
	read := s.store.Past()
	servers = append(servers, s.joinVersion("two", "one")...)
	began := s.beginStreams(10, servers)
	read(true)
	if goOn, mixed := second.takeUp(began); mixed > 0 {
		t.Errorf("got %d streams going on by an old state of the store, %d of them at another version, want none; log:\n%s", goOn, mixed, second.logs)
	}
	read(false)
	second.wantTakenUpAtLast(began, "one", "two")
}

// Besides, the second router has missed all since, and the store has dropped the changes.
func TestOldStateOfTheStoreAtARouterOutOfStepLeadsToNoStreamAtAnotherVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	link := newLink(t, s.store.Address())
	second := s.startRouterAt(link.Address())
	second.listVersions("one")
	link.SetBlocked(platformtest.FromTarget, true)
	read := s.store.Past()
	servers = append(servers, s.joinVersion("two", "one")...)
	began := s.beginStreams(10, servers)
	s.store.DiscardHistory()
	read(true)
	link.Reset()
	link.SetBlocked(platformtest.FromTarget, false)
	if goOn, mixed := second.takeUp(began); mixed > 0 {
		t.Errorf("got %d streams going on by an old state of the store, %d of them at another version, want none; log:\n%s", goOn, mixed, second.logs)
	}
	read(false)
	second.wantTakenUpAtLast(began, "one", "two")
}

// While reads come from an older state, the store refuses what a router writes by them. It wrote again each 35 ms.
func TestVersionsAreNotWrittenOverAndOverByAnOldState(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	s.startVersions(12, "one")
	read := s.store.Past()
	s.joinVersion("two", "one")
	read(true)
	s.startVersion("three-0", "models", "three", 12)
	refused := func() int { return strings.Count(s.logs.String(), `"swapped":false`) }
	if !eventually(3*time.Second, func() bool { return refused() > 0 }) {
		t.Fatalf("got no change of the row refused; log:\n%s", s.logs)
	}
	time.Sleep(2 * time.Second)
	if got := refused(); got > 6 {
		t.Errorf("got %d refused changes of the row in 2 s, want a few", got)
	}
	read(false)
	if !eventually(4*time.Second, func() bool { return strings.Contains(s.logs.String(), `"three":"in-use"`) }) {
		t.Errorf("got no row with the new version once reads are those of the newest state; log:\n%s", s.logs)
	}
}
