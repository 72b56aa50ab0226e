package serverstatus_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/serverstatus"
)

func TestAllRoutersLearnFromOneThatAServerLeaves(t *testing.T) {
	for _, routers := range []int{2, 6, 90} {
		for seed := range uint64(20) {
			f := newFleet(seed, routers, min(3, routers))
			teller := f.random.IntN(routers)
			f.routers[teller].Of("i").RecordLeaving(f.now, 5)
			f.pass(2*time.Second, 0.3)
			if got := f.staying("i"); got > 0 {
				t.Errorf("%d routers, seed %d: got %d that take the server to stay 2 s after one was told that it leaves, want none", routers, seed, got)
			}
		}
	}
}

func TestReportsOfALeavingServerEndAndAreNotEchoed(t *testing.T) {
	const routers = 90
	f := newFleet(1, routers, 3)
	for i := range f.routers {
		f.routers[i].Of("i").RecordLeaving(f.now, 5) // all read its entry at once
	}
	f.pass(10*time.Second, 0)
	if most := 3 * routers * routers / 3; f.reports > most {
		t.Errorf("got %d reports, want at most %d: most hear it from others before they tell it again", f.reports, most)
	}
	before := f.reports
	f.pass(10*time.Second, 0)
	if f.reports != before {
		t.Errorf("got %d more reports 10 s later, want none", f.reports-before)
	}
}

func TestOrderOfStartsNeverRunsBackwards(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := serverstatus.NewRegister()
	s := r.Of("i")
	s.RecordLeaving(now, 5)
	s.RecordPause(now, 5, 3*time.Second)
	for _, late := range []int64{4, 0} {
		s.SetStart(late)
		s.RecordPause(now, late, time.Minute)
	}
	if want := now.Add(3 * time.Second); !s.Leaving(now) || !s.PausedUntil().Equal(want) {
		t.Errorf("got leaving %v and a pause until %v after entries of an older start, want true and %v", s.Leaving(now), s.PausedUntil(), want)
	}
	s.SetStart(6)
	if s.Leaving(now) || s.PausedUntil().After(now) {
		t.Error("got a server that started anew leaving or pausing, want neither")
	}
	if s.RecordLeaving(now, 5) || s.RecordPause(now, 5, time.Second) || len(r.Merge(now, []serverstatus.Report{{Server: "i", StartedMs: 5}}, true)) > 0 {
		t.Error("got a statement of an older start taken for one of the server that runs now")
	}
	if got := fmt.Sprint(r.Merge(now, []serverstatus.Report{{Server: "i", StartedMs: 7}}, true)); got != "[i]" || !s.Leaving(now) {
		t.Errorf("got %s from a report of a start that is not listed yet, want [i] and the server leaving", got)
	}
	s.SetStart(7)
	if !s.Leaving(now) {
		t.Error("got the server staying after the entry of the start that leaves")
	}
}

func TestStatementsHaveAnAge(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := serverstatus.NewRegister()
	s := r.Of("i")
	s.RecordLeaving(now, 5)
	s.RecordPause(now, 5, 1e6*time.Hour)
	s.RecordPause(now, 5, time.Second)
	if got, want := s.PausedUntil(), now.Add(serverstatus.MaxPause); !got.Equal(want) {
		t.Errorf("got a pause until %v, want %v: the longest one", got, want)
	}
	listed := func(string) bool { return false }
	r.Expire(now.Add(serverstatus.LeavingMemory-time.Second), listed)
	if !r.Of("i").Leaving(now.Add(serverstatus.LeavingMemory - time.Second)) {
		t.Error("got the leaving server forgotten before its time, though it is not listed")
	}
	later := now.Add(serverstatus.LeavingMemory)
	if s.Leaving(later) {
		t.Errorf("got the server leaving %v after the last statement, want it staying", serverstatus.LeavingMemory)
	}
	r.Expire(later, listed)
	if r.Of("i") == s {
		t.Error("got the status of a server that is gone kept for good")
	}
	if s.RecordLeaving(later, 5); !s.Leaving(later) {
		t.Error("got a new statement without effect")
	}
}
