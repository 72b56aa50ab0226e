package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/quarantine"
)

// work is how long servers have the requests that break off.
const work = 50 * time.Millisecond

const contact = 3 * time.Second // within which what is known must bind all routers

// deadlyRequests sends n requests with the deadly part, with sound ones around them, gap apart, and returns how many were held.
func (f *fleet) deadlyRequests(n int, gap time.Duration) (held int) {
	for range n {
		if f.send(f.random.Uint64(), 6, "customer", "rare", deadly) {
			held++
		}
		f.soundRequests(8)
		f.pass(gap, 100*time.Millisecond, 0.2)
	}
	return held
}

// soundRequests sends n sound requests that share the deadly ones' first part, and returns how many were held.
func (f *fleet) soundRequests(n int) (held int) {
	for range n {
		if f.send(f.random.Uint64(), 0, "customer", fmt.Sprint("subject-", f.random.IntN(40))) {
			held++
		}
	}
	return held
}

func TestPartThatCrashesServersIsHeldByAllRoutersAfterFiveCrashes(t *testing.T) {
	tests := []struct {
		name    string
		routers int
		prepare func(f *fleet)
	}{
		{"6 routers", 6, func(*fleet) {}},
		{"90 routers", 90, func(*fleet) {}},
		{"one zone cut off", 90, func(f *fleet) { f.cut = 2 }},
		{"store down", 90, func(f *fleet) { f.storeUp = false }},
		{"routers that hear no other", 90, func(f *fleet) { f.deaf[3], f.deaf[50] = true, true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(max(4, 120/test.routers)) {
				f := newFleet(seed, test.routers, 3)
				test.prepare(f)
				f.soundRequests(300)
				for f.crashes < 5 && f.deadlyRequests(1, 700*time.Millisecond) == 0 {
				}
				f.pass(contact, 100*time.Millisecond, 0.2)
				before := f.passed
				f.deadlyRequests(30, 200*time.Millisecond)
				if got := f.passed - before; got > 3 {
					t.Errorf("seed %d: got %d requests with the part that reached servers after %d crashes, want at most 3", seed, got, before)
				}
				if got := f.soundRequests(200); got > 0 {
					t.Errorf("seed %d: got %d of 200 sound requests held, want none", seed, got)
				}
			}
		})
	}
}

func TestRestartedRoutersHoldWhatTheStoreLists(t *testing.T) {
	f := newFleet(1, 12, 3)
	f.deadlyRequests(8, 500*time.Millisecond)
	for i := range f.routers {
		f.restart(i)
	}
	f.pass(time.Second, 100*time.Millisecond, 0)
	if got := f.deadlyRequests(20, 100*time.Millisecond); got != 20 {
		t.Errorf("got %d of 20 requests held after all routers restarted, want all", got)
	}
}

func TestRowDeletedByAnOperatorReleasesThePart(t *testing.T) {
	f := newFleet(1, 12, 3)
	f.deadlyRequests(8, 500*time.Millisecond)
	clear(f.table)
	f.pass(4*time.Second, 100*time.Millisecond, 0)
	if f.send(1, 0, "customer", "rare", deadly) {
		t.Error("got a request held after its part's row was deleted, want it sent")
	}
	if len(f.table) > 0 {
		t.Errorf("got %d rows written again without a new crash, want none", len(f.table))
	}
}

// Cleared by the row of a part that was found not to be the cause, the crashes no longer held the part that was.
func TestRowOfAPartThatIsNotTheCauseReleasesThatPartAlone(t *testing.T) {
	q := quarantine.New()
	now := time.Unix(1e9, 0)
	for n := range 3 {
		now = now.Add(time.Second)
		parts := []string{"customer", deadly}
		q.RecordCrash(now, quarantine.Crash{Server: "i", StartedMs: int64(n)}, work, quarantine.Identity{Digest: uint64(n + 1), Parts: parts[n/2:]})
	}
	customer := quarantine.Suspect{Part: "customer"}
	q.List(now, customer, 0)
	q.Unlist(now, customer)
	if q.Held(quarantine.Identity{Digest: 9, Parts: []string{deadly}}) == nil {
		t.Error("got the cause released with another part, want it held")
	}
	if h := q.Held(quarantine.Identity{Digest: 9, Parts: []string{"customer"}}); h != nil {
		t.Errorf("got %v held, want it released", h.Suspect)
	}
}

// All servers end at once, twice: no part is to blame, though all prompts share one and nothing runs in between.
func TestOutageOfAllServersHoldsNoPart(t *testing.T) {
	f := newFleet(2, 30, 3)
	for outage := range 2 {
		for server := range 40 {
			c := quarantine.Crash{Server: fmt.Sprint("i-", server), StartedMs: int64(outage + 1)}
			r := quarantine.Identity{Digest: f.random.Uint64(), Parts: []string{"customer", fmt.Sprint("subject-", server%5)}}
			f.routers[f.random.IntN(30)].RecordCrash(f.now, c, work, r)
		}
		f.pass(2*time.Second, 100*time.Millisecond, 0.2)
	}
	if got := f.soundRequests(100); got > 0 {
		t.Errorf("got %d of 100 requests held after two outages, want none", got)
	}
}

func TestFirstPartIsHeldIfItCrashesServersWhateverFollows(t *testing.T) {
	q := quarantine.New()
	now := time.Unix(1e9, 0)
	for n := range 3 {
		now = now.Add(time.Second)
		q.RecordCrash(now, quarantine.Crash{Server: "i", StartedMs: int64(n)}, work, quarantine.Identity{Digest: uint64(n + 1), Parts: []string{"first", fmt.Sprint("other-", n)}})
	}
	if q.Held(quarantine.Identity{Digest: 9, Parts: []string{"first", "new"}}) == nil {
		t.Error("got a request with the part of three crashes not held, want it held")
	}
	if q.Held(quarantine.Identity{Digest: 9, Parts: []string{"other-1"}}) != nil {
		t.Error("got a part of one crash held, want it sent")
	}
}

func TestRequestThatCrashesServersAgainIsHeldWhicheverRoutersSawIt(t *testing.T) {
	one, two, three := quarantine.New(), quarantine.New(), quarantine.New()
	now := time.Unix(1e9, 0)
	r := quarantine.Identity{Digest: 7}
	one.RecordCrash(now, quarantine.Crash{Server: "a", StartedMs: 1}, work, r)
	three.RecordCrash(now.Add(-time.Second), quarantine.Crash{Server: "b", StartedMs: 0}, work, r)
	two.RecordCrash(now.Add(time.Second), quarantine.Crash{Server: "b", StartedMs: 1}, work, r)
	three.Merge(now.Add(2*time.Second), one.OwnReports(now.Add(2*time.Second)), true)
	three.Merge(now.Add(2*time.Second), two.OwnReports(now.Add(2*time.Second)), false)
	if three.Held(r) == nil {
		t.Error("got a request of three crashes, each seen by another router, not held")
	}
	if one.Held(r) != nil {
		t.Error("got a request of one crash held, want it sent")
	}
}

// A sound request that is sent again after a crash may meet another one: the part that explains both is held.
func TestRequestThatRanBesideTheCauseOfItsCrashesIsNotHeld(t *testing.T) {
	q := quarantine.New()
	now := time.Unix(1e9, 0)
	beside := quarantine.Identity{Digest: 100, Parts: []string{"customer"}}
	for n := range 4 {
		now = now.Add(time.Second)
		c := quarantine.Crash{Server: "i", StartedMs: int64(n)}
		q.RecordCrash(now, c, work, quarantine.Identity{Digest: uint64(n + 1), Parts: []string{"customer", deadly}})
		if n > 1 {
			q.RecordCrash(now, c, work, beside)
		}
	}
	if h := q.Held(beside); h != nil {
		t.Errorf("got %v held, want the request sent", h.Suspect)
	}
	if q.Held(quarantine.Identity{Digest: 200, Parts: []string{deadly}}) == nil {
		t.Error("got the part of four crashes not held, want it held")
	}
}

// On a service of few servers, what breaks off beside a request that crashes them does so again and again.
func TestSoundRequestsThatBreakOffBesideADeadlyOneAreNotHeld(t *testing.T) {
	tests := []struct {
		name    string
		crashes int  // of the deadly request
		shared  int  // of these, the last ones, which broke off the sound request too
		ranOnce bool // the sound request had completed before
	}{
		{"completed before, three crashes shared", 3, 3, true},
		{"new, three of four crashes shared", 4, 3, false},
		{"new, two of three crashes shared", 3, 2, false},
	}
	for _, test := range tests {
		q := quarantine.New()
		now := time.Unix(1e9, 0)
		deadlyOne, sound := quarantine.Identity{Digest: 300}, quarantine.Identity{Digest: 200}
		if test.ranOnce {
			q.RecordCompleted(now, sound)
		}
		for n := range test.crashes {
			now = now.Add(time.Second)
			c := quarantine.Crash{Server: "i", StartedMs: int64(n)}
			if n >= test.crashes-test.shared {
				q.RecordCrash(now, c, work, sound)
			}
			q.RecordCrash(now, c, work, deadlyOne)
		}
		if q.Held(deadlyOne) == nil {
			t.Errorf("%s: got the request of %d crashes not held", test.name, test.crashes)
		}
		if h := q.Held(sound); h != nil {
			t.Errorf("%s: got the sound request held after %d crashes", test.name, h.Crashes)
		}
	}
}

func TestRequestThatNeverCompletedIsSuspendedAfterTwoCrashes(t *testing.T) {
	q := quarantine.New()
	now := time.Unix(1e9, 0)
	r, known := quarantine.Identity{Digest: 7}, quarantine.Identity{Digest: 8}
	q.RecordCompleted(now, known)
	for n := range 2 {
		now = now.Add(time.Second)
		c := quarantine.Crash{Server: fmt.Sprint("i-", n)}
		q.RecordCrash(now, c, work, r)
		q.RecordCrash(now, c, work, known)
	}
	if h := q.Held(r); h == nil || !h.Suspended {
		t.Errorf("got %+v for a request of two crashes, want it suspended", h)
	}
	if h := q.Held(known); h != nil {
		t.Errorf("got %+v for one that completed before, want it sent", h)
	}
	if got := q.Unwritten(now.Add(20*time.Second), time.Second); len(got) > 0 {
		t.Errorf("got %v to be written to the store, want nothing of a suspended one", got)
	}
	if q.Tick(now.Add(30 * time.Second)); q.Held(r) != nil {
		t.Error("got the request suspended 30 s after its last crash, want it sent once more")
	}
	now = now.Add(31 * time.Second)
	q.RecordCrash(now, quarantine.Crash{Server: "i-2"}, work, r)
	if h := q.Held(r); h == nil || h.Suspended {
		t.Errorf("got %+v for a request of three crashes, want it held", h)
	}
}

// Several callers send the request at once, so that it ends servers one shortly after the other.
func TestRequestThatSeveralServersHadAtOnceIsHeldUnlessItRanBefore(t *testing.T) {
	for _, ranBefore := range []bool{false, true} {
		one, two := quarantine.New(), quarantine.New()
		now := time.Unix(1e9, 0)
		r := quarantine.Identity{Digest: 7}
		if ranBefore {
			two.RecordCompleted(now, r)
		}
		for n := range 3 {
			now = now.Add(20 * time.Millisecond)
			one.RecordCrash(now, quarantine.Crash{Server: fmt.Sprint("i-", n)}, 100*time.Millisecond, r)
		}
		two.Merge(now, one.OwnReports(now), true)
		one.Merge(now, two.OwnReports(now), true)
		for _, q := range []*quarantine.Quarantine{one, two} {
			if got, want := q.Held(r) != nil, !ranBefore; got != want {
				t.Errorf("completed before: %v: got the request held: %v after three crashes 20 ms apart, want %v", ranBefore, got, want)
			}
		}
	}
}

// Each of them took the shared crash off the other in turn, and so released it.
func TestTwoRequestsThatCrashServersAndShareACrashAreBothHeld(t *testing.T) {
	for _, digests := range [][2]uint64{{300, 200}, {200, 300}} {
		q := quarantine.New()
		now := time.Unix(1e9, 0)
		first, second := quarantine.Identity{Digest: digests[0]}, quarantine.Identity{Digest: digests[1]}
		for n, running := range [][]quarantine.Identity{{first}, {first}, {first, second}, {second}, {second}} {
			now = now.Add(time.Second)
			for _, r := range running {
				q.RecordCrash(now, quarantine.Crash{Server: "i", StartedMs: int64(n)}, work, r)
			}
			if n >= 2 && q.Held(first) == nil {
				t.Errorf("digests %v: got the first request not held after %d crashes in all", digests, n+1)
			}
		}
		if q.Held(second) == nil {
			t.Errorf("digests %v: got the second request not held after three crashes, of which it shares one", digests)
		}
	}
}

// A request that is sent on at once crashes three servers within the time of one outage.
func TestRequestThatCrashesServersOneRightAfterTheOtherIsHeldAfterThree(t *testing.T) {
	one, two := quarantine.New(), quarantine.New()
	now := time.Unix(1e9, 0)
	r := quarantine.Identity{Digest: 7}
	for n := range 3 {
		now = now.Add(40 * time.Millisecond)
		one.RecordCrash(now, quarantine.Crash{Server: fmt.Sprint("i-", n)}, 40*time.Millisecond, r)
	}
	two.Merge(now, one.OwnReports(now), true)
	if one.Held(r) == nil || two.Held(r) == nil {
		t.Error("got a request not held that was sent on twice and crashed three servers")
	}
	outage := quarantine.Identity{Digest: 8}
	for n := range 3 {
		one.RecordCrash(now.Add(time.Duration(n)*time.Millisecond), quarantine.Crash{Server: fmt.Sprint("j-", n)}, 40*time.Millisecond, outage)
	}
	if one.Held(outage) != nil {
		t.Error("got a request held that three servers had when they ended at once")
	}
}

func TestCrashReportedBySeveralRoutersCountsOnce(t *testing.T) {
	q := quarantine.New()
	now := time.Unix(1e9, 0)
	r := quarantine.Identity{Digest: 7, Parts: []string{"part"}}
	for range 5 {
		q.RecordCrash(now, quarantine.Crash{Server: "a", StartedMs: 1}, work, r)
		other := quarantine.New()
		other.RecordCrash(now, quarantine.Crash{Server: "a", StartedMs: 1}, work, r)
		q.Merge(now.Add(time.Second), other.OwnReports(now.Add(time.Second)), true)
	}
	if h := q.Held(r); h != nil {
		t.Errorf("got %q held after one crash, want nothing held", h.Suspect)
	}
}

func TestSuspectKeysAreParsed(t *testing.T) {
	for _, s := range []quarantine.Suspect{{Part: "a05928d8452a"}, {Request: 0xfeed}} {
		if got, err := quarantine.ParseSuspect(s.String()); err != nil || got != s {
			t.Errorf("got %v, %v for %q, want %v", got, err, s, s)
		}
	}
	for _, key := range []string{"", "part/", "request/0", "request/x", "other/1"} {
		if got, err := quarantine.ParseSuspect(key); err == nil {
			t.Errorf("got %v for %q, want an error", got, key)
		}
	}
}

func TestSuspectReleasedBeforeTheStoreCameBackIsNotHeldAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	q := quarantine.New()
	released, lost, kept := quarantine.Suspect{Part: "released"}, quarantine.Suspect{Part: "lost"}, quarantine.Suspect{Part: "kept"}
	for _, s := range []quarantine.Suspect{released, lost, kept} {
		q.List(now, s, 0)
	}
	q.Release(now, released)
	now = now.Add(2 * time.Second)
	q.Restored(now, map[quarantine.Suspect]time.Duration{released: 3 * time.Second, kept: 3 * time.Second})
	for _, s := range []quarantine.Suspect{released, lost, kept} {
		if got, want := q.Held(quarantine.Identity{Parts: []string{s.Part}}) != nil, s != released; got != want {
			t.Errorf("got %q held: %v, want %v", s.Part, got, want)
		}
	}
	if got := q.Outdated(now); len(got) != 1 || got[0] != released {
		t.Errorf("got %v to be marked in the store, want the released one", got)
	}
	if got := q.Unwritten(now.Add(time.Second), 2*time.Second); len(got) > 0 {
		t.Errorf("got %v to be written within the patience, want none", got)
	}
	if got := q.Unwritten(now.Add(3*time.Second), 2*time.Second); len(got) != 1 || got[0].Suspect != lost {
		t.Errorf("got %v to be written again, want the lost one", got)
	}
	q.List(now, lost, 0)
	if got := q.Unwritten(now.Add(3*time.Second), 2*time.Second); len(got) > 0 {
		t.Errorf("got %v to be written though another router did, want none", got)
	}
}
