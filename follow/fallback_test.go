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

// Other tables move the store's version on. A follower that had read its table before took the next delta for one with a gap before
// it, so each change of the configuration was read from the store by each router.
func TestDeltaServesAFollowerThatIsBehindBySomethingElse(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	s.put("a")
	poller, polled := start(t, s)
	if !eventually(polled.loaded) {
		t.Fatal("the poller did not read the table")
	}
	f, x, c := startPassive(t, s)
	for range 3 {
		s.advance()
		to := s.advance()
		if !eventually(func() bool { return poller.Position().Version >= to }) {
			t.Fatal("the poller did not follow the store's version within 3 s")
		}
		exchange(2500*time.Millisecond, func() { f.ApplyDelta(poller.Delta()) }) // until the poller's recent changes are dropped
		v := s.put("b")
		if !eventually(func() bool { f.ApplyDelta(poller.Delta()); return x.holds("b", v) }) {
			t.Fatal("the passive follower did not get the change within 3 s")
		}
	}
	if got := c.count(); got > 0 {
		t.Errorf("got %d calls of the store from a passive follower that gets all deltas, want none", got)
	}
}

// The poller read its table after a row was removed, and cannot tell a follower that read it before.
func TestRemovalBeforeThePollerReadItsTableReachesPassiveFollowers(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	s.put("a")
	v := s.put("leaving")
	f, x, _ := startPassive(t, s)
	if !x.holds("leaving", v) {
		t.Fatal("the table does not hold the row")
	}
	s.remove("leaving")
	s.advance()
	poller, polled := start(t, s)
	if !eventually(polled.loaded) {
		t.Fatal("the poller did not read the table")
	}
	b := s.put("b")
	if !eventually(func() bool {
		f.ApplyDelta(poller.Delta())
		return x.holds("b", b) && x.holds("leaving", 0)
	}) {
		t.Error("a passive follower kept a row for 3 s that was removed before the poller read the table")
	}
}

// Three versions of a long row in two seconds made a delta too long to be sent, and each router read the store.
func TestDeltaHoldsTheNewestVersionOfEachRowAlone(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	poller, polled := start(t, s)
	if !eventually(polled.loaded) {
		t.Fatal("the poller did not read the table")
	}
	f, x, c := startPassive(t, s)
	other := s.put("other")
	newest := uint64(0)
	for range 3 {
		newest = s.put("config")
		if !eventually(func() bool { return polled.holds("config", newest) }) {
			t.Fatal("the poller did not get a change within 3 s")
		}
	}
	d := poller.Delta()
	if len(d.Rows) != 2 || d.Rows[0].Version != other || d.Rows[1].Version != newest {
		t.Errorf("got rows %v, want the newest versions, %d and %d", d.Rows, other, newest)
	}
	f.ApplyDelta(d)
	if !x.holds("config", newest) || !x.holds("other", other) || c.count() > 0 {
		t.Errorf("got a table without the newest rows, or %d calls of the store, want none", c.count())
	}
}
