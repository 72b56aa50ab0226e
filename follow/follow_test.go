package follow_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"bulrushtally/follow"
)

// source is a store whose answers tests choose.
type source struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]uint64 // newest version by key
	dropped bool              // the history
	hang    chan struct{}     // calls that wait hang until it is closed
	now     func() time.Duration
}

func (s *source) put(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[key] = s.version
	return s.version
}

func (s *source) batch(after uint64) follow.Batch {
	b := follow.Batch{Version: s.version, Now: s.now()}
	for key, v := range s.rows {
		if v > after {
			b.Rows = append(b.Rows, follow.Row{Key: key, Value: []byte(strconv.FormatUint(v, 10)), Version: v})
		}
	}
	return b
}

func (s *source) Rows(string, time.Duration) (follow.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = false
	return s.batch(0), nil
}

var errStore = errors.New("store is down")

func (s *source) Changes(_ string, after uint64, wait, _ time.Duration) (follow.Batch, error) {
	if wait > 0 && s.hang != nil {
		<-s.hang
		return follow.Batch{}, errStore
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		return follow.Batch{}, follow.ErrHistory
	}
	return s.batch(after), nil
}

// table remembers what it was told.
type table struct {
	mu     sync.Mutex
	values map[string]uint64
	resets int
	back   bool // a version went back
	proofs []time.Duration
}

func (x *table) Reset(rows []follow.Row) {
	x.mu.Lock()
	x.values = map[string]uint64{}
	x.resets++
	x.mu.Unlock()
	x.Change(rows)
}

func (x *table) Change(rows []follow.Row) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range rows {
		if r.Version < x.values[r.Key] {
			x.back = true
		}
		x.values[r.Key] = r.Version
	}
}

func (x *table) Proven(at, _ time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.proofs = append(x.proofs, at)
}

func (x *table) holds(key string, version uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.values[key] == version
}

func start(t *testing.T, s *source) (*follow.Follower, *table) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	if s.now == nil {
		s.now = func() time.Duration { return clock() + time.Hour }
	}
	x := &table{values: map[string]uint64{}}
	f := follow.New(follow.Options{
		Name: "t", Source: s, Table: x, Wait: func() time.Duration { return 10 * time.Millisecond }, Timeout: time.Second,
		Pause: func() time.Duration { return 0 }, Clock: clock, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		if s.hang != nil {
			close(s.hang)
		}
		<-f.Done()
	})
	go f.Run(ctx)
	return f, x
}

func within(is func() bool) bool {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}

func TestChangesArriveAlsoAfterAGap(t *testing.T) {
	s := &source{rows: map[string]uint64{}}
	_, x := start(t, s)
	v := s.put("a")
	if !within(func() bool { return x.holds("a", v) }) {
		t.Fatal("a change did not arrive")
	}
	s.mu.Lock()
	s.dropped = true
	s.mu.Unlock()
	v = s.put("b")
	if !within(func() bool { return x.holds("b", v) }) {
		t.Fatal("a change after dropped history did not arrive")
	}
	if x.back {
		t.Error("a row went back to an older version")
	}
}

func TestNudgePassesACallThatHearsNothing(t *testing.T) {
	s := &source{rows: map[string]uint64{}, hang: make(chan struct{})}
	f, x := start(t, s)
	if !within(func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	v := s.put("a")
	if !within(func() bool { f.Nudge(v); return x.holds("a", v) }) {
		t.Error("a follower that hears nothing did not catch up with another")
	}
}

// The property fails if a proof is dated from an answer's arrival, or if the store's
// clock is read as the follower's own.
func TestProofsAreNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, ahead := time.Duration(0), time.Duration(rapid.IntRange(1, 1e6).Draw(t, "ahead"))*time.Millisecond
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		answered := time.Duration(0)
		s := &scripted{call: func() follow.Batch {
			now += ms("there", 400)
			answered = now // the table was so at this moment
			b := follow.Batch{Version: 1, Now: now + ahead}
			now += ms("back", 2000)
			return b
		}}
		x := &table{values: map[string]uint64{}}
		steps, ctx := rapid.IntRange(1, 8).Draw(t, "steps"), context.Background()
		ctx, stop := context.WithCancel(ctx)
		s.after = func() {
			if n := len(x.proofs); n > 0 && x.proofs[n-1] > answered {
				t.Fatalf("got a proof of %v, want at most %v", x.proofs[n-1], answered)
			}
			if steps--; steps <= 0 {
				stop()
			}
		}
		follow.New(follow.Options{
			Name: "t", Source: s, Table: x, Wait: func() time.Duration { return 0 }, Timeout: time.Second,
			Pause: func() time.Duration { s.after(); return 0 }, Clock: func() time.Duration { return now }, Logger: zerolog.Nop(),
		}).Run(ctx)
	})
}

// scripted is a source that answers each call by a script.
type scripted struct {
	call  func() follow.Batch
	after func()
}

func (s *scripted) Rows(string, time.Duration) (follow.Batch, error) { return s.call(), nil }

func (s *scripted) Changes(string, uint64, time.Duration, time.Duration) (follow.Batch, error) {
	b := s.call()
	b.Rows = []follow.Row{{Key: "k", Version: b.Version}}
	return b, nil
}

// counted counts the calls that a source gets.
type counted struct {
	*source
	mu    sync.Mutex
	calls int
}

func (c *counted) Changes(table string, after uint64, wait, timeout time.Duration) (follow.Batch, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	return c.source.Changes(table, after, wait, timeout)
}

func (c *counted) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// startResting starts a follower that leaves asking to others, and waits until it knows the table.
func startResting(t *testing.T, s *source) (*follow.Follower, *table, *counted) {
	t.Helper()
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) }
	s.now = func() time.Duration { return clock() + time.Hour }
	c, x := &counted{source: s}, &table{values: map[string]uint64{}}
	f := follow.New(follow.Options{
		Name: "t", Source: c, Table: x, Wait: func() time.Duration { return 10 * time.Millisecond }, Timeout: time.Second,
		Pause: func() time.Duration { return 0 }, Rests: func() bool { return true }, Clock: clock, Logger: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		<-f.Done()
	})
	go f.Run(ctx)
	if !within(func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	return f, x, c
}

func TestNewsTakeThePlaceOfCalls(t *testing.T) {
	s := &source{rows: map[string]uint64{}}
	f, x, c := startResting(t, s)
	asker, y := start(t, s)
	if !within(func() bool { y.mu.Lock(); defer y.mu.Unlock(); return y.resets == 1 }) {
		t.Fatal("the table was not read")
	}
	for _, key := range []string{"a", "b", "a"} {
		v := s.put(key)
		if !within(func() bool { f.Hear(asker.News()); return x.holds(key, v) }) {
			t.Fatalf("the change of %q did not arrive by news", key)
		}
	}
	if got := c.count(); got != 0 {
		t.Errorf("got %d calls of the store from a follower that is told all, want none", got)
	}
}

func TestMissedNewsAreAskedFor(t *testing.T) {
	s := &source{rows: map[string]uint64{}}
	f, x, c := startResting(t, s)
	v := s.put("a")
	gap := follow.News{Table: "t", From: v, To: v, Newest: v}
	others := func() { f.Nudge(0) } // most others lack it too
	if !within(func() bool { f.Hear(gap); others(); return x.holds("a", v) }) {
		t.Fatal("a follower did not ask for what the news had left out")
	}
	if got := c.count(); got == 0 {
		t.Error("got no call of the store, want one for the gap")
	}
}

func TestFollowerWithoutNewsAsks(t *testing.T) {
	s := &source{rows: map[string]uint64{}}
	f, x, _ := startResting(t, s)
	v := s.put("a")
	lost := follow.News{Table: "t", Trouble: time.Millisecond} // its teller cannot reach the store
	if !within(func() bool { f.Hear(lost); return x.holds("a", v) }) {
		t.Error("a follower whose teller lost the store did not ask by itself")
	}
}
