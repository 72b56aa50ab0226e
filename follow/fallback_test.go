package follow_test

import (
	"testing"
	"time"

	"bulrushtally/follow"
)

// exchange calls tell again and again for some time.
func exchange(d time.Duration, tell func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		tell()
	}
}

// One of two pollers is turned away by the store. The other one told that failure on as if it were its own, so that all that rely on
// them polled the store themselves, each second.
func TestOneFailingPollerOfTwoDoesNotMakeOthersPoll(t *testing.T) {
	s, refusing := &fakeStore{rows: map[string]uint64{}}, &fakeStore{rows: map[string]uint64{}}
	failing, failingTable := start(t, refusing)
	sound, soundTable := start(t, s)
	if !eventually(func() bool {
		return failing.CurrentAt() > 0 && sound.CurrentAt() > 0 && failingTable.loaded() && soundTable.loaded()
	}) {
		t.Fatal("the pollers did not read the table")
	}
	f, x, c := startPassive(t, s)
	refusing.setDown(true)
	exchange(2500*time.Millisecond, func() {
		sound.ApplyDelta(failing.Delta())
		f.ApplyDelta(failing.Delta())
		f.ApplyDelta(sound.Delta())
	})
	if got := c.count(); got > 0 {
		t.Errorf("got %d calls of the store from a passive follower while one of two pollers reaches it, want none", got)
	}
	v := s.put("a")
	if !eventually(func() bool { f.ApplyDelta(failing.Delta()); f.ApplyDelta(sound.Delta()); return x.holds("a", v) }) {
		t.Error("the passive follower did not get a change from the sound poller within 3 s")
	}
}

// Nobody polls the store for twenty followers. Each polled it by itself each second; now one tells the others what it read.
func TestFollowersThatGetNoDeltasTellEachOtherWhatTheyRead(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	const followers = 20
	var all []*follow.Follower
	var tables []*recordingTable
	var sources []*countingSource
	for range followers {
		f, x, c := startPassive(t, s)
		all, tables, sources = append(all, f), append(tables, x), append(sources, c)
	}
	tell := func() {
		for i, f := range all {
			if !f.FallsBack() {
				continue
			}
			d := f.Delta()
			for j, other := range all {
				if j != i {
					other.ApplyDelta(d)
				}
			}
		}
	}
	exchange(2*time.Second, tell)
	v := s.put("a")
	exchange(3*time.Second, tell)
	calls := 0
	for i, c := range sources {
		calls += c.count()
		if !tables[i].holds("a", v) {
			t.Errorf("follower %d did not get a change within 3 s", i)
		}
	}
	if most := followers; calls > most {
		t.Errorf("got %d calls of the store in 5 s from %d followers, want at most %d", calls, followers, most)
	}
}
