package gateway_test

// This file tests that a stream keeps to the software version of the backend server that began it.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// brokenOffService has streams that the router does not send on after they broke, but callers may take up.
var brokenOffService = platformtest.Service("models", "stream", 1, map[string]any{"resumable": true, "public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}})

// sentOnService has streams that the router sends on after they broke.
var sentOnService = platformtest.Service("models", "stream", 2, map[string]any{"resumable": true, "public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}})

// listVersions waits until the router has read that the servers have versions, and lets streams begin at all of them.
func (s *testbed) listVersions(versions ...string) {
	s.t.Helper()
	s.waitReady()
	began := map[string]bool{}
	isWhole := func() bool {
		a := s.send("POST", fmt.Sprintf("/models/%d", time.Now().UnixNano()), "prompt")
		for _, v := range versions {
			began[v] = began[v] || strings.Contains(a.body, "data: "+v+"-")
		}
		return len(began) == len(versions) && !strings.Contains(fmt.Sprint(began), "false")
	}
	if !eventually(5*time.Second, isWhole) {
		s.t.Fatalf("got streams begun by version %v, want all; log:\n%s", began, s.logs)
	}
}

// startVersions starts two servers of each version, whose IDs begin with it.
func (s *testbed) startVersions(events int, versions ...string) (servers []*platformtest.Server) {
	s.t.Helper()
	for _, v := range versions {
		for n := range 2 {
			servers = append(servers, s.startVersion(fmt.Sprintf("%s-%d", v, n), "models", v, events))
		}
	}
	s.listVersions(versions...)
	return servers
}

// writers returns the versions of the servers that wrote the events of a stream.
func writers(body string) (versions []string) {
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(line, "data: ")
		version, _, _ := strings.Cut(data, "-")
		if ok && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return versions
}

func TestBrokenStreamIsNotSentOnToAnotherVersion(t *testing.T) {
	s := newTestbed(t, sentOnService)
	servers := s.startVersions(12, "one", "two")
	for _, b := range servers {
		b.SetFollowing(platformtest.DisconnectMidStream, platformtest.Succeed)
	}
	whole := 0
	for n := range 20 {
		a := s.send("POST", fmt.Sprintf("/models/%d", n), "prompt")
		if got := writers(a.body); len(got) > 1 {
			t.Errorf("stream %d: got events of versions %v, want one", n, got)
		}
		if a.err == nil && strings.Count(a.body, "id: ") == 12 {
			whole++
		}
	}
	if whole < 10 { // the budget for sending again allows not all
		t.Errorf("got %d of 20 streams whole, want most, since each version has another server; log:\n%s", whole, s.logs)
	}
}

// beginStreams begins n streams through the router that break off after their first event, and returns by attempt ID
// the version that began each.
func (s *testbed) beginStreams(n int, servers []*platformtest.Server) map[string]string {
	s.t.Helper()
	for _, b := range servers {
		b.SetFollowing(platformtest.DisconnectMidStream, platformtest.Succeed)
	}
	began := map[string]string{}
	for k := range n {
		id := fmt.Sprintf("first-%s-%d-%d", s.t.Name(), k, time.Now().UnixNano())
		a := s.send("POST", "/models/"+id, "prompt", "Attempt-Id", id)
		if versions := writers(a.body); len(versions) == 1 {
			began[id] = versions[0]
		}
	}
	if len(began) < n*3/4 {
		s.t.Fatalf("got %d of %d streams begun; log:\n%s", len(began), n, s.logs)
	}
	return began
}

// takeUp takes streams up at the router after their first event and returns how many go on, and how many of them at
// another version.
func (s *testbed) takeUp(began map[string]string) (goOn, mixed int) {
	s.t.Helper()
	for id, version := range began {
		a := s.send("POST", "/models/"+id, "prompt", "Resumes", id, "Last-Event-Id", "1")
		for _, got := range writers(a.body) {
			goOn++
			if got != version {
				mixed++
			}
		}
		if a.status != 200 && a.status != 503 {
			s.t.Errorf("got status %d for a stream taken up, want 200 or 503", a.status)
		}
	}
	return goOn, mixed
}

func TestStreamTakenUpAtAnotherRouterKeepsToItsVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two")
	second := s.startSecondRouter()
	second.listVersions("one", "two")
	began := s.beginStreams(30, servers)
	time.Sleep(time.Second) // until what the first router has begun is known elsewhere
	if goOn, mixed := second.takeUp(began); mixed > 0 || goOn < len(began)*3/4 {
		t.Errorf("got %d of %d streams going on at another router, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, second.logs)
	}
}

func TestStreamTakenUpAfterAllRoutersWereKilledKeepsToItsVersion(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two")
	began := s.beginStreams(30, servers)
	time.Sleep(time.Second)
	s.stop()
	second := s.startSecondRouter()
	second.listVersions("one", "two")
	if goOn, mixed := second.takeUp(began); mixed > 0 || goOn < len(began)*3/4 {
		t.Errorf("got %d of %d streams going on after the restart, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, second.logs)
	}
}

func TestMigrationKeepsToTheVersion(t *testing.T) {
	s := newTestbed(t, migratableService)
	var servers []*platformtest.Server
	for _, v := range []string{"one", "two"} {
		for n := range 4 {
			servers = append(servers, s.startVersion(fmt.Sprintf("%s-%d", v, n), "models", v, 40))
		}
	}
	s.waitReady()
	for n := range 20 {
		a := s.send("POST", fmt.Sprintf("/models/%d", n), "prompt", "Token-Count", "20000,400")
		if got := writers(a.body); len(got) > 1 {
			t.Errorf("stream %d: got events of versions %v, want one", n, got)
		}
	}
	migrations := 0
	for _, b := range servers {
		migrations += b.Migrations()
	}
	if migrations < 5 {
		t.Errorf("got %d migrations of 20 streams, want some within a version; log:\n%s", migrations, s.logs)
	}
}

func TestStreamsOfThreeVersionsAreKeptApart(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two", "three")
	began := s.beginStreams(30, servers)
	time.Sleep(time.Second)
	s.stop()
	second := s.startSecondRouter()
	second.listVersions("one", "two", "three")
	if goOn, mixed := second.takeUp(began); mixed > 0 || goOn < len(began)*3/4 {
		t.Errorf("got %d of %d streams going on, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, second.logs)
	}
}

func TestStreamOfAServiceOfOneVersionIsTakenUpAtAnyRouter(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	began := s.beginStreams(10, servers)
	s.stop()
	second := s.startSecondRouter()
	second.listVersions("one")
	if goOn, _ := second.takeUp(began); goOn != len(began) {
		t.Errorf("got %d of %d streams going on, want all; log:\n%s", goOn, len(began), second.logs)
	}
}

// A caller may name anything in Resumes. No server gets such a request, and the answer says so at once.
func TestTakeUpOfAnUnknownStreamIsRefusedAsNotRun(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two")
	received := func() (n int) {
		for _, b := range servers {
			n += len(b.Received())
		}
		return n
	}
	before := received()
	for _, resumes := range []string{"", "nothing", strings.Repeat("x", 4000), "\"\\,;%00"} {
		began := time.Now()
		a := s.send("POST", "/models/x", "prompt", "Resumes", resumes, "Last-Event-Id", "1")
		if a.status != 503 || a.header.Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("Resumes %.20q: got status %d and Retry-After %q after %v, want 503 with one at once", resumes, a.status, a.header.Get("Retry-After"), time.Since(began))
		}
	}
	if got := received(); got != before {
		t.Errorf("got %d requests at servers, want none", got-before)
	}
}

func TestTakeUpOfAnotherCustomersStreamIsRefused(t *testing.T) {
	keyed := platformtest.Service("models", "stream", 1, map[string]any{"resumable": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}})
	s := newTestbed(t)
	config := platformtest.Config(1, []string{"key-1"}, keyed)
	config["tenants"] = []map[string]any{{"name": "alice", "api_keys": []string{"key-1"}}, {"name": "bob", "api_keys": []string{"key-2"}}}
	s.store.Put("op", "config", config)
	servers := s.startVersions(12, "one", "two")
	for id := range s.beginStreams(5, servers) {
		if a := s.send("POST", "/models/"+id, "prompt", "Resumes", id, "Last-Event-Id", "1", "X-Api-Key", "key-2"); a.status != 503 {
			t.Errorf("got status %d for a stream of another customer, want 503", a.status)
		}
		if a := s.send("POST", "/models/"+id, "prompt", "Resumes", id, "Last-Event-Id", "1"); a.status != 200 {
			t.Errorf("got status %d for the customer's own stream, want 200", a.status)
		}
	}
}

func TestTakeUpBeforeTheFirstEventIsANewRequest(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	s.startVersions(12, "one", "two")
	a := s.send("POST", "/models/x", "prompt", "Resumes", "first", "Last-Event-Id", "")
	if a.status != 200 || strings.Count(a.body, "id: ") != 12 {
		t.Errorf("got status %d and %q, want a whole stream", a.status, a.body)
	}
}

func TestTakeUpOfAVersionWithoutServersIsRefusedAtOnce(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two")
	began := s.beginStreams(10, servers)
	for n := range 2 {
		s.store.Delete("servers", fmt.Sprintf("one-%d", n))
	}
	s.waitLogged("server-unlisted", "one-0")
	s.waitLogged("server-unlisted", "one-1")
	for id, version := range began {
		at := time.Now()
		a := s.send("POST", "/models/"+id, "prompt", "Resumes", id, "Last-Event-Id", "1")
		if want := map[string]int{"one": 503, "two": 200}[version]; a.status != want || time.Since(at) > 200*time.Millisecond {
			t.Errorf("got status %d after %v for a stream of version %s, want %d at once", a.status, time.Since(at), version, want)
		}
	}
}

func TestTakeUpWhileTheStoreIsSilentIsNotGuessed(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one", "two")
	second := s.startSecondRouter()
	second.listVersions("one", "two")
	began := s.beginStreams(10, servers)
	s.store.SetFault(platformtest.Unresponsive)
	for id := range began {
		at := time.Now()
		a := second.send("POST", "/models/"+id, "prompt", "Resumes", id, "Last-Event-Id", "1")
		if a.status != 503 || time.Since(at) > 2*time.Second {
			t.Errorf("got status %d after %v at a router that cannot know, want 503 soon", a.status, time.Since(at))
		}
		break
	}
	if goOn, mixed := s.takeUp(began); goOn != len(began) || mixed > 0 {
		t.Errorf("got %d of %d streams going on at their own router, %d mixed, want all, none", goOn, len(began), mixed)
	}
	s.store.SetFault(platformtest.NoFault)
}

// The store comes back from a copy of before the second version, and all routers are killed.
func TestCopyThatLacksAVersionLeadsToNoMixedStream(t *testing.T) {
	s := newTestbed(t, brokenOffService)
	servers := s.startVersions(12, "one")
	restore := s.store.Copy()
	for n := range 2 {
		servers = append(servers, s.startVersion(fmt.Sprintf("two-%d", n), "models", "two", 12))
	}
	s.listVersions("one", "two")
	began := s.beginStreams(20, servers)
	time.Sleep(time.Second)
	s.stop()
	restore()
	second := s.startSecondRouter()
	second.listedServers = 2
	second.listVersions("one")
	if goOn, mixed := second.takeUp(began); mixed > 0 {
		t.Errorf("got %d streams going on, %d of them at another version, want none; log:\n%s", goOn, mixed, second.logs)
	}
}

// Nobody takes up what the service answers.
func TestServiceWithoutStreamsCostsNoReadsOfVersions(t *testing.T) {
	s := newTestbed(t, publicDesk)
	s.startVersion("i-1", "desk", "one", 0)
	s.startVersion("i-2", "desk", "two", 0)
	s.waitReady()
	time.Sleep(time.Second)
	if s.store.Row("streams", "versions") {
		t.Errorf("got a row of versions for a service without streams, want none; log:\n%s", s.logs)
	}
}

func TestServiceThatGetsStreamsKeepsVersions(t *testing.T) {
	without := platformtest.Service("models", "stream", 1, map[string]any{"public": true, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}})
	s := newTestbed(t, without)
	var servers []*platformtest.Server
	for _, v := range []string{"one", "one", "two", "two"} {
		servers = append(servers, s.startVersion(fmt.Sprintf("%s-%d", v, len(servers)), "models", v, 12))
	}
	s.waitReady()
	s.store.Put("op", "config", platformtest.Config(2, []string{"key-1"}, brokenOffService))
	s.listVersions("one", "two")
	began := s.beginStreams(20, servers)
	second := s.startSecondRouter()
	second.listVersions("one", "two")
	time.Sleep(time.Second)
	if goOn, mixed := second.takeUp(began); mixed > 0 || goOn < len(began)*3/4 {
		t.Errorf("got %d of %d streams going on, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, second.logs)
	}
}

// On a public route a key that cannot be proven any more is ignored. The caller is the same.
func TestStreamIsTakenUpWhileItsCallersKeyCannotBeProven(t *testing.T) {
	s := newTestbed(t, platformtest.Service("models", "stream", 1, map[string]any{"resumable": true, "public": true, "timeout_ms": 9000, "engine": map[string]any{"slots": 8, "kv_capacity": 444000}}))
	servers := s.startVersions(12, "one", "two")
	began := s.beginStreams(20, servers)
	s.store.SetFault(platformtest.Unresponsive)
	time.Sleep(3 * time.Second) // until keys are accepted no more
	if goOn, mixed := s.takeUp(began); mixed > 0 || goOn < len(began)*3/4 {
		t.Errorf("got %d of %d streams going on, %d of them at another version, want nearly all, none; log:\n%s", goOn, len(began), mixed, s.logs)
	}
}
