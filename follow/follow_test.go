package follow_test

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"bulrushtally/follow"
)

// fakeStore is a Source whose rows and failures the test sets.
type fakeStore struct {
	mu             sync.Mutex
	era            uint64
	version        uint64
	rows           map[string]uint64 // newest version by key
	droppedThrough uint64            // changes up to this version are dropped
	stale          *follow.Batch     // if not nil, reads of the table return this older state
	hold           chan struct{}     // if not nil, calls that may not be held have read their answer, but do not return until it is closed
	pollDelay      time.Duration     // of the followers that start starts
	down           bool              // all calls fail
	deaf           bool              // calls that may be held return no changes
	holding        atomic.Bool       // such a call waits
	staleReads     atomic.Int64      // number of reads that returned stale
	release        chan struct{}     // if not nil, calls that may be held do not return until it is closed
	now            func() time.Duration
}

// startClock sets the store's clock, an hour ahead of a follower's, unless it has one.
func (s *fakeStore) startClock(clock func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now == nil {
		s.now = func() time.Duration { return clock() + time.Hour }
	}
}

// put writes a row and returns its version.
func (s *fakeStore) put(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = s.version
	return s.version
}

// advance moves the store's version on without a change of the table, and returns it.
func (s *fakeStore) advance() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 10
	return s.version
}

// position returns the position of the store; s.mu is held.
func (s *fakeStore) position() follow.Position {
	return follow.Position{Era: s.era, Version: s.version}
}

// copyRows returns a copy of the store, and a function that makes the store come back from it in a new era.
func (s *fakeStore) copyRows() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, version := maps.Clone(s.rows), s.version
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		s.rows, s.version = rows, version
	}
}

// setDown makes all calls fail, or ends that.
func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) batch(after uint64) follow.Batch {
	b := follow.Batch{Position: s.position(), StoreTime: s.now()}
	for key, v := range s.rows {
		if v > after {
			b.Rows = append(b.Rows, follow.Row{Key: key, Value: []byte(strconv.FormatUint(v, 10)), Version: v})
		}
	}
	return b
}

func (s *fakeStore) Rows(string, time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return follow.Batch{}, errStoreDown
	}
	if s.stale != nil {
		s.staleReads.Add(1)
		return *s.stale, nil
	}
	return s.batch(0), nil
}

// remove removes a row, and with it all history.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key)
	s.version++
	s.droppedThrough = s.version
}

var errStoreDown = errors.New("store is down")

func (s *fakeStore) Changes(_ string, after uint64, wait, _ time.Duration) (follow.Batch, error) {
	if wait > 0 && s.release != nil {
		<-s.release
		return follow.Batch{}, errStoreDown
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	b, dropped, hold, deaf := s.batch(after), after < s.droppedThrough || after > s.version, s.hold, s.deaf
	down := s.down
	s.mu.Unlock()
	if down {
		return follow.Batch{}, errStoreDown
	}
	if dropped {
		return follow.Batch{}, follow.ErrHistoryDropped
	}
	if wait > 0 && deaf {
		return follow.Batch{Position: follow.Position{Era: s.era, Version: after}}, nil
	}
	if wait == 0 && hold != nil {
		s.holding.Store(true)
		<-hold
	}
	return b, nil
}

// recordingTable records the rows and confirmations that it receives.
type recordingTable struct {
	mu        sync.Mutex
	values    map[string]uint64
	resets    int
	restores  int
	wentBack  bool // a row was replaced by an older version
	confirmed []time.Duration
}

func (x *recordingTable) Reset(rows []follow.Row) {
	x.mu.Lock()
	x.values = map[string]uint64{}
	x.resets++
	x.mu.Unlock()
	x.Apply(rows)
}

func (x *recordingTable) Apply(rows []follow.Row) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range rows {
		if r.Version < x.values[r.Key] {
			x.wentBack = true
		}
		x.values[r.Key] = r.Version
	}
}

func (x *recordingTable) Confirm(c follow.Confirmation) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.confirmed = append(x.confirmed, c.At)
}

func (x *recordingTable) Restore(rows []follow.Row) {
	x.mu.Lock()
	x.values = map[string]uint64{}
	x.restores++
	x.mu.Unlock()
	x.Apply(rows)
}

// loaded reports whether the table was read.
func (x *recordingTable) loaded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.resets > 0
}

func (x *recordingTable) holds(key string, version uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.values[key] == version
}

// start runs a follower of s until the test ends.
func start(t *testing.T, s *fakeStore) (*follow.Follower, *recordingTable) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	s.startClock(clock)
	x := &recordingTable{values: map[string]uint64{}}
	f := follow.New(follow.Options{
		Name: "t", Source: s, Table: x, PollWait: func() time.Duration { return 10 * time.Millisecond }, Timeout: time.Second,
		PollDelay: func() time.Duration { return s.pollDelay }, Clock: clock, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		if s.release != nil {
			close(s.release)
		}
		<-f.Done()
	})
	go f.Run(ctx)
	return f, x
}

// eventually reports whether a condition holds within 3 s.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func TestChangesArriveAfterDroppedHistory(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	_, x := start(t, s)
	v := s.put("a")
	if !eventually(func() bool { return x.holds("a", v) }) {
		t.Fatal("the table did not receive a change within 3 s")
	}
	s.remove("none")
	v = s.put("b")
	if !eventually(func() bool { return x.holds("b", v) }) {
		t.Fatal("the table did not receive a change that followed dropped history within 3 s")
	}
	if x.wentBack {
		t.Error("a row was replaced by an older version")
	}
}

// The store forgets its history and answers reads with a state of some seconds ago, while a second call is on its way.
func TestChangeBetweenAnOldReadAndALateAnswerIsNotLost(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}, pollDelay: 150 * time.Millisecond}
	f, x := start(t, s)
	old := s.put("a")
	leaving := s.put("leaving")
	if !eventually(func() bool { return x.holds("leaving", leaving) }) {
		t.Fatal("the table did not receive a change within 3 s")
	}
	hold := make(chan struct{})
	s.mu.Lock()
	s.hold, s.deaf = hold, true
	s.mu.Unlock()
	newest := s.put("c")
	if !eventually(func() bool { f.CatchUpTo(follow.Position{Version: newest}); return s.holding.Load() }) {
		t.Fatal("the follower did not make a second call within 3 s")
	}
	s.mu.Lock()
	s.droppedThrough, s.deaf = newest, false
	s.stale = &follow.Batch{Rows: []follow.Row{{Key: "a", Version: old}}, Position: follow.Position{Version: old}, StoreTime: s.now()}
	s.mu.Unlock()
	if !eventually(func() bool { return s.staleReads.Load() > 0 }) {
		t.Fatal("the follower did not read the table anew within 3 s")
	}
	time.Sleep(20 * time.Millisecond) // until it is applied
	close(hold)
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.stale = nil
	s.mu.Unlock()
	v := s.put("b")
	if !eventually(func() bool { return x.holds("b", v) }) {
		t.Fatal("the table did not receive a change after the store had read old states within 3 s")
	}
	if !x.holds("leaving", leaving) {
		t.Error("got a table without a row that was there before, want it kept")
	}
}

func TestCatchUpWhileOpenCallHangs(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}, release: make(chan struct{})}
	f, x := start(t, s)
	if !eventually(func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	v := s.put("a")
	if !eventually(func() bool { f.CatchUpTo(follow.Position{Version: v}); return x.holds("a", v) }) {
		t.Error("a follower whose open call does not return did not catch up with another one within 3 s")
	}
}

// A confirmed time must not be later than the moment at which the store read its answer.
// The test fails if the arrival of an answer is taken as the confirmed time, or if a
// reading of the store's clock is taken as one of the follower's clock.
func TestConfirmedTimeIsNeverAfterAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, ahead := time.Duration(0), time.Duration(rapid.IntRange(1, 1e6).Draw(t, "ahead"))*time.Millisecond
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		answeredAt := time.Duration(0)
		s := &scriptedSource{call: func() follow.Batch {
			now += ms("request", 400)
			answeredAt = now // the store reads the table at this moment
			b := follow.Batch{Position: follow.Position{Version: 1}, StoreTime: now + ahead}
			now += ms("response", 2000)
			return b
		}}
		x := &recordingTable{values: map[string]uint64{}}
		steps, ctx := rapid.IntRange(1, 8).Draw(t, "steps"), context.Background()
		ctx, stop := context.WithCancel(ctx)
		s.after = func() {
			if n := len(x.confirmed); n > 0 && x.confirmed[n-1] > answeredAt {
				t.Fatalf("got confirmed time %v, want at most %v", x.confirmed[n-1], answeredAt)
			}
			if steps--; steps <= 0 {
				stop()
			}
		}
		follow.New(follow.Options{
			Name: "t", Source: s, Table: x, PollWait: func() time.Duration { return 0 }, Timeout: time.Second,
			PollDelay: func() time.Duration { s.after(); return 0 }, Clock: func() time.Duration { return now }, Logger: zerolog.Nop(),
		}).Run(ctx)
	})
}

// scriptedSource is a Source that answers each call with the result of a function.
type scriptedSource struct {
	call  func() follow.Batch
	after func() // called by the test after each applied answer
}

func (s *scriptedSource) Rows(string, time.Duration) (follow.Batch, error) { return s.call(), nil }

func (s *scriptedSource) Changes(string, uint64, time.Duration, time.Duration) (follow.Batch, error) {
	b := s.call()
	b.Rows = []follow.Row{{Key: "k", Version: b.Version}}
	return b, nil
}

// countingSource counts the calls for changes that a fakeStore receives.
type countingSource struct {
	*fakeStore
	mu    sync.Mutex
	calls int
}

func (c *countingSource) Changes(table string, after uint64, wait, timeout time.Duration) (follow.Batch, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	return c.fakeStore.Changes(table, after, wait, timeout)
}

func (c *countingSource) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// startPassive starts a passive follower and waits until it has read the table.
func startPassive(t *testing.T, s *fakeStore) (*follow.Follower, *recordingTable, *countingSource) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	s.startClock(clock)
	c, x := &countingSource{fakeStore: s}, &recordingTable{values: map[string]uint64{}}
	f := follow.New(follow.Options{
		Name: "t", Source: c, Table: x, PollWait: func() time.Duration { return 10 * time.Millisecond }, Timeout: time.Second,
		PollDelay: func() time.Duration { return 0 }, Passive: func() bool { return true }, FallbackSpread: func() time.Duration { return time.Second }, Clock: clock, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		<-f.Done()
	})
	go f.Run(ctx)
	if !eventually(func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	return f, x, c
}

func TestPassiveFollowerAppliesDeltasWithoutPolling(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	f, x, c := startPassive(t, s)
	poller, polled := start(t, s)
	if !eventually(func() bool { polled.mu.Lock(); defer polled.mu.Unlock(); return polled.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	for _, key := range []string{"a", "b", "a"} {
		v := s.put(key)
		if !eventually(func() bool { f.ApplyDelta(poller.Delta()); return x.holds(key, v) }) {
			t.Fatalf("the passive follower did not receive the change of %q by a delta within 3 s", key)
		}
	}
	if got := c.count(); got != 0 {
		t.Errorf("got %d calls of the store from a passive follower that receives all deltas, want none", got)
	}
}

func TestGapBetweenDeltasIsReadFromStore(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	f, x, c := startPassive(t, s)
	v := s.put("a")
	gap := follow.Delta{Table: "t", From: v, To: v, NewestRow: v}
	otherPeers := func() { f.CatchUpTo(follow.Position{}) } // most other followers lack the change too
	if !eventually(func() bool { f.ApplyDelta(gap); otherPeers(); return x.holds("a", v) }) {
		t.Fatal("the passive follower did not read the changes that were missing before a delta within 3 s")
	}
	if got := c.count(); got == 0 {
		t.Error("got no call of the store, want at least one for the missing changes")
	}
}

// A row that was removed has no version to be told by.
func TestRemovalThatWentWithTheHistoryReachesPassiveFollowers(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	v := s.put("leaving")
	f, x, _ := startPassive(t, s)
	poller, polled := start(t, s)
	if !x.holds("leaving", v) || !eventually(func() bool { return polled.holds("leaving", v) }) {
		t.Fatal("the tables do not hold the row")
	}
	s.remove("leaving")
	if !eventually(func() bool { f.ApplyDelta(poller.Delta()); return x.holds("leaving", 0) }) {
		t.Error("a passive follower kept a row for 3 s after it was removed, want the table read anew")
	}
}

func TestPassiveFollowerPollsWhenSenderLosesStore(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	f, x, _ := startPassive(t, s)
	v := s.put("a")
	failed := follow.Delta{Table: "t", FailureAge: time.Millisecond} // its sender cannot reach the store
	if !eventually(func() bool { f.ApplyDelta(failed); return x.holds("a", v) }) {
		t.Error("a passive follower whose sender cannot reach the store did not poll it within 3 s")
	}
}

func (x *recordingTable) restoreCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.restores
}

// Versions go back, so what other followers had before is ahead of all that comes after.
func TestFollowersDoNotCallAgainAndAgainAfterTheStoreCameBack(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	s.put("a")
	restore := s.copyRows()
	v := s.put("lost")
	f, x, c := startPassive(t, s)
	if !eventually(func() bool { return x.holds("lost", v) }) {
		t.Fatal("the table was not read")
	}
	f.CatchUpTo(follow.Position{Version: v + 40})
	restore()
	f.CatchUpTo(follow.Position{Era: 1, Version: v - 1})
	if !eventually(func() bool { return x.restoreCount() == 1 }) {
		t.Fatal("the table was not read in the new era within 3 s")
	}
	time.Sleep(100 * time.Millisecond)
	before := c.count()
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.CatchUpTo(f.NewestRow())
	}
	if got := c.count() - before; got > 1 {
		t.Errorf("got %d calls in 1.2 s after the store came back, want at most 1", got)
	}
	before = c.count()
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.CatchUpTo(follow.Position{Era: 1, Version: 1e6})
	}
	if got := c.count() - before; got > 5 {
		t.Errorf("got %d calls in 1.2 s for a row that the store does not have, want at most 5", got)
	}
}

func TestRowsOfANewEraAreReadThoughItsVersionsHavePassedTheKnownOne(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	s.put("a")
	restore := s.copyRows()
	lost := s.put("lost")
	_, x := start(t, s)
	if !eventually(func() bool { return x.holds("lost", lost) }) {
		t.Fatal("the table was not read")
	}
	s.setDown(true)
	restore()
	first, _ := s.put("first"), s.put("second")
	s.setDown(false)
	if !eventually(func() bool { return x.holds("first", first) }) {
		t.Error("got a table without a row that was written at a version which was given out again, want it read")
	}
	if x.restoreCount() != 1 || x.holds("lost", lost) {
		t.Errorf("got %d returns told to the table, want 1", x.restoreCount())
	}
}

func TestChangesOfAnotherEraAreNotMixedIn(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	v := s.put("a")
	restore := s.copyRows()
	f, x, _ := startPassive(t, s)
	restore()
	s.put("b")
	f.ApplyDelta(follow.Delta{Table: "t", Era: 1, From: v, To: v + 9, NewestRow: v + 9, Rows: []follow.Row{{Key: "mixed", Version: v + 9}}})
	if x.holds("mixed", v+9) {
		t.Error("got a change of a new era in a table of the old one, want the table read anew")
	}
	if !eventually(func() bool { return x.restoreCount() == 1 && x.holds("b", v+1) }) {
		t.Error("the table was not read in the new era within 3 s")
	}
	f.ApplyDelta(follow.Delta{Table: "t", From: v, To: v + 20, NewestRow: v + 20, Rows: []follow.Row{{Key: "late", Version: v + 20}}})
	if got := f.Position(); got.Era != 1 || x.holds("late", v+20) {
		t.Errorf("got position %v and a change of the old era, want era 1 without it", got)
	}
}

// Without an era nothing tells that the store lost its rows. It is believed at last.
func TestStoreWhoseVersionsWentBackWithoutAnEraIsBelievedInTheEnd(t *testing.T) {
	s := &fakeStore{rows: map[string]uint64{}}
	s.put("a")
	restore := s.copyRows()
	lost := s.put("lost")
	var ahead atomic.Int64
	s.now = func() time.Duration { return time.Hour }
	x := &recordingTable{values: map[string]uint64{}}
	f := follow.New(follow.Options{
		Name: "t", Source: s, Table: x, PollWait: func() time.Duration { return 10 * time.Millisecond }, Timeout: time.Second,
		PollDelay: func() time.Duration { return 0 }, Clock: func() time.Duration { return time.Duration(ahead.Add(int64(10 * time.Millisecond))) }, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	defer func() { stop(); <-f.Done() }()
	go f.Run(ctx)
	if !eventually(func() bool { return x.holds("lost", lost) }) {
		t.Fatal("the table was not read")
	}
	restore()
	s.mu.Lock()
	s.era = 0
	s.mu.Unlock()
	if !eventually(func() bool { ahead.Add(int64(time.Second)); return x.holds("lost", 0) }) {
		t.Error("got a row kept that the store has lost, want the table read anew after a time")
	}
}
