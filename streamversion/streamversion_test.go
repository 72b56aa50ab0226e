package streamversion_test

import (
	"testing"
	"time"

	"bulrushtally/streamversion"
)

// sizes are fleets of today, of some years, and of the target, with how long their streams last: 423 tokens of 55 ms there.
var sizes = []struct {
	routers    int
	streamTime time.Duration
}{{6, 2 * time.Second}, {90, 2 * time.Second}, {410, 20 * time.Second}}

// inAllSizes runs a test with fleets of all sizes.
func inAllSizes(t *testing.T, test func(t *testing.T, f *fleet)) {
	for i, size := range sizes {
		f := newFleet(t, uint64(i)+1, size.routers, size.streamTime)
		f.pass(2 * time.Second)
		if f.begun == 0 {
			t.Fatalf("%d routers: got no stream begun in 2 s", size.routers)
		}
		test(t, f)
	}
}

// checkMost checks that most streams that are taken up find their version.
func checkMost(t *testing.T, f *fleet, streams []stream) {
	t.Helper()
	if known := f.takeUp(streams); known < len(streams)/2 || len(streams) == 0 {
		t.Errorf("%d routers: got the version of %d of %d streams, want half of them at least", len(f.routers), known, len(streams))
	}
}

func TestServiceOfOneVersionNeedsNoLog(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.pass(3 * time.Second)
		reads, writes := f.table.reads, f.table.writes
		f.pass(20 * time.Second)
		if got := f.table.reads - reads + f.table.writes - writes; got != 0 {
			t.Errorf("%d routers: got %d calls in 20 s, want none", len(f.routers), got)
		}
		broken := f.killAll()
		if known := f.takeUp(broken); known != len(broken) {
			t.Errorf("%d routers: got the version of %d of %d streams, want all", len(f.routers), known, len(broken))
		}
	})
}

func TestStreamsOfTwoVersionsGoOnAfterAllRoutersWereKilled(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.listed["v2"] = true
		f.pass(6 * time.Second)
		broken := f.killAll()
		checkMost(t, f, broken)
		f.pass(time.Second)
		checkMost(t, f, broken)
	})
}

func TestStreamsGoOnAtTheNewVersionWhenTheOldOneHasJustLeft(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.listed["v2"] = true
		f.pass(2 * f.streamTime)
		delete(f.listed, "v1")
		f.pass(f.streamTime / 2)
		checkMost(t, f, f.killAll())
	})
}

func TestThreeVersionsAtOnceAreKeptApart(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.listed["v2"] = true
		f.pass(time.Second)
		f.listed["v3"] = true
		f.pass(6 * time.Second)
		checkMost(t, f, f.killAll())
	})
}

func TestVersionThatCameBackIsNotTakenForTheOnlyOne(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.listed["v2"] = true
		f.pass(5 * time.Second)
		delete(f.listed, "v1")
		f.pass(2*time.Minute + 6*f.streamTime) // until v1 is retired
		n := f.snapshot()
		if got, ok := n.Find(service, 1); !ok || got.Version != "v2" {
			t.Errorf("%d routers: got %+v for a stream that is not logged, want the only version v2", len(f.routers), got)
		}
		f.listed["v1"] = true
		for range 20 {
			f.pass(100 * time.Millisecond)
			f.takeUp(f.streams)
		}
		checkMost(t, f, f.killAll())
	})
}

// loseSecondVersion has a second version serve, and the store come back from a copy of before that.
func (f *fleet) loseSecondVersion() {
	f.pass(3 * time.Second)
	backup := f.table.copy()
	f.listed["v2"] = true
	f.pass(4 * time.Second)
	f.table.restore(backup)
}

func TestStoreThatComesBackFromACopyLeadsToNoWrongVersion(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.loseSecondVersion()
		f.takeUp(f.streams)
		broken := f.killAll() // no router knows that there was another version
		delete(f.listed, "v2")
		f.takeUp(broken)
		f.pass(2 * time.Second)
		f.takeUp(broken)
		f.pass(2*f.streamTime + 3*time.Second)
		checkMost(t, f, f.killAll()) // what has begun since is logged
	})
}

func TestLivingRoutersWriteVersionsAgainThatTheStoreLost(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.loseSecondVersion()
		for _, r := range f.routers {
			r.keeper.Forget()
		}
		f.pass(2*f.streamTime + 3*time.Second)
		checkMost(t, f, f.killAll())
	})
}

func TestSilentStoreLeadsToNoWrongVersion(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.pass(3 * time.Second)
		f.listed["v2"] = true
		f.pass(200 * time.Millisecond) // some routers have read of the version, not all
		f.table.silent = true
		f.pass(5 * time.Second)
		broken := f.killAll()
		f.takeUp(broken)
		f.table.silent = false
		f.takeUp(broken)
		f.pass(time.Second)
		f.takeUp(broken)
	})
}

// A release costs each router a write each LogPeriod and a read each refresh; the store takes some hundred writes and two
// thousand reads a second.
func TestReleaseCostsFewCallsOfTheStore(t *testing.T) {
	inAllSizes(t, func(t *testing.T, f *fleet) {
		f.listed["v2"] = true
		f.pass(3 * time.Second)
		reads, writes := f.table.reads, f.table.writes
		const seconds = 20
		f.pass(seconds * time.Second)
		reads, writes = (f.table.reads-reads)/seconds, (f.table.writes-writes)/seconds
		t.Logf("%d routers: %d reads and %d writes a second, %d streams in a router's log", len(f.routers), reads, writes, f.routers[0].log.Len())
		if reads > 200 || writes > 150 {
			t.Errorf("%d routers: got %d reads and %d writes a second, want at most 200 and 150", len(f.routers), reads, writes)
		}
	})
}

func TestEntryWithoutAVersionEqualsNoOther(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	k.Observe(now, now, map[string]map[string]bool{service: {"": true}})
	k.Load(now, nil, 1)
	next, changes := k.Next(now)
	if !changes {
		t.Fatal("got no change of an empty row, want the version listed")
	}
	value, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	n := streamversion.NewSnapshot(1)
	if err := n.AddVersions(value, 1); err != nil {
		t.Fatal(err)
	}
	if got, ok := n.Find(service, 7); ok {
		t.Errorf("got %+v for a stream at servers whose entries name no version, want it unknown", got)
	}
}

func TestStreamThatIsLoggedAtTwoVersionsIsUnknown(t *testing.T) {
	now := time.Unix(1e9, 0)
	n := streamversion.NewSnapshot(1)
	for _, version := range []string{"v1", "v2"} {
		l := streamversion.NewLog()
		l.Begin(7, version, now.Add(time.Second))
		value, err := l.Row(now)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.AddLog(value); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := n.Find(service, 7); got.Version != "" {
		t.Errorf("got version %q, want it unknown", got.Version)
	}
	l := streamversion.NewLog()
	l.Begin(7, "v1", now.Add(time.Second))
	l.Begin(7, "v2", now.Add(time.Second))
	if got, _ := l.Find(7); got.Version != "" {
		t.Errorf("got version %q from one log, want it unknown", got.Version)
	}
}

// What others may have read of a stream that has not begun must not become wrong.
func TestStreamMayBeginAtAnotherVersionOnlyBeforeARowHasIt(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := streamversion.NewLog()
	l.Begin(7, "v1", now.Add(time.Second))
	if !l.Withdraw(7) {
		t.Error("got a stream bound to a version that no row has")
	}
	l.Begin(7, "v2", now.Add(time.Second))
	if f, _ := l.Find(7); f.Version != "v2" {
		t.Errorf("got version %q, want v2", f.Version)
	}
	if _, err := l.Row(now); err != nil {
		t.Fatal(err)
	}
	if l.Withdraw(7) {
		t.Error("got a stream free to begin at another version than a row tells")
	}
}

func TestCollectorLogsTheStreamsOfOthers(t *testing.T) {
	now := time.Unix(1e9, 0)
	own, collector := streamversion.NewLog(), streamversion.NewLog()
	own.Begin(7, "v1", now.Add(time.Minute))
	own.Begin(8, "v2", now.Add(time.Minute))
	if own.Report() == nil { // lost on its way
		t.Fatal("got nothing to tell of two streams")
	}
	if own.Withdraw(7) {
		t.Error("got a stream free to begin at another version than a report tells")
	}
	collector.Collect(now, own.Report(), now.Add(time.Minute))
	if f, _ := collector.Find(8); f.Version != "v2" || !collector.Collected() {
		t.Errorf("got version %q from the collector after a lost report, want v2", f.Version)
	}
	own.Retell()
	for range 2 {
		collector.Collect(now, own.Report(), now.Add(time.Minute))
	}
	if r := own.Report(); r != nil {
		t.Errorf("got %v told a third time, want nothing", r)
	}
	own.End(now, 7)
	collector.Collect(now, own.Report(), now.Add(time.Minute))
	collector.Expire(now.Add(10 * time.Second))
	if _, ok := collector.Find(7); ok {
		t.Error("got a stream that has ended at the collector 10 s later")
	}
	if _, ok := collector.Find(8); !ok {
		t.Error("got no stream that has not ended at the collector")
	}
	own.Retell()
	if r := own.Report(); r == nil || len(r.Begun) == 0 {
		t.Errorf("got %v to tell another collector, want the streams", r)
	}
}

func TestAttemptOfAnotherCustomerOrServiceIsAnotherStream(t *testing.T) {
	if streamversion.StreamOf("models", "a", "x") == streamversion.StreamOf("models", "b", "x") {
		t.Error("got the same stream for two customers")
	}
	if streamversion.StreamOf("models", "a", "x") == streamversion.StreamOf("desk", "a", "x") {
		t.Error("got the same stream for two services")
	}
	if streamversion.StreamOf("ab", "c", "x") == streamversion.StreamOf("a", "bc", "x") {
		t.Error("got the same stream for names that run together")
	}
}

func TestMalformedRowsAreRefused(t *testing.T) {
	n := streamversion.NewSnapshot(1)
	for _, value := range []string{"", "null-", `{"services":{"models":null}}`, `[1]`} {
		if err := n.AddVersions([]byte(value), 1); err == nil {
			t.Errorf("got no error for a row of versions %q", value)
		}
		if _, err := n.AddLog([]byte(value)); err == nil {
			t.Errorf("got no error for a router's row %q", value)
		}
	}
}

// The fleet starts for the first time, and the store then comes back from a copy of before its first row.
func TestCopyOfBeforeTheFirstRowIsNotTakenForAFirstStart(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	listed := map[string]map[string]bool{service: {"v1": true}}
	k.Observe(now, now, listed)
	k.Load(now, nil, 1)
	first, _ := k.Next(now)
	if first.Services[service].Unsure {
		t.Error("got a service unsure at the first start")
	}
	k.Load(now, first, 1)
	k.Load(now, nil, 2)
	if next, _ := k.Next(now); !next.Services[service].Unsure {
		t.Error("got a service of one version for certain after the store lost its row, want it unsure")
	}
}

// A router had read that a version is in use, and another one retired it while no server had it.
func TestVersionThatWasMissingBeginsStreamsOnlyAfterTheRowWasReadAgain(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	both, one := map[string]map[string]bool{service: {"v1": true, "v2": true}}, map[string]map[string]bool{service: {"v2": true}}
	row := &streamversion.Versions{Era: 1, Services: map[string]*streamversion.Admitted{service: {Versions: map[string]streamversion.State{"v1": streamversion.InUse, "v2": streamversion.InUse}}}}
	k.Observe(now, now, both)
	k.Load(now, row, 1)
	if !k.Admits(now, service)["v1"] {
		t.Fatal("got no stream allowed at a version that is listed and in use")
	}
	for _, listed := range []map[string]map[string]bool{one, both} {
		now = now.Add(time.Second)
		k.Observe(now, now, listed)
		if k.Admits(now, service)["v1"] {
			t.Error("got streams allowed at a version that has been missing, want the row read before")
		}
	}
	if !k.NeedsRead(now) {
		t.Error("got no need to read the row")
	}
	k.Load(now, row, 1)
	if !k.Admits(now, service)["v1"] {
		t.Error("got no stream allowed after the row was read again")
	}
}

func TestNoStreamBeginsByAListThatIsTooOld(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	listed := map[string]map[string]bool{service: {"v1": true}}
	k.Observe(now, now, listed)
	k.Load(now, &streamversion.Versions{Era: 1, Services: map[string]*streamversion.Admitted{service: {Versions: map[string]streamversion.State{"v1": streamversion.InUse}}}}, 1)
	later := now.Add(2 * time.Minute)
	k.Observe(later, now, listed)
	if len(k.Admits(later, service)) != 0 {
		t.Error("got streams allowed by a list of two minutes ago")
	}
	k.Observe(later, later, listed)
	if len(k.Admits(later, service)) != 0 {
		t.Error("got streams allowed before the row was read after a time without contact")
	}
}

func TestRowIsNotReadWithoutServersThatKeepVersions(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	k.Observe(now, now, nil)
	if k.NeedsRead(now) {
		t.Error("got a read at the start, want none until a server is listed")
	}
	row := &streamversion.Versions{Era: 1, Services: map[string]*streamversion.Admitted{service: {Versions: map[string]streamversion.State{"v1": streamversion.InUse}}}}
	listed := map[string]map[string]bool{service: {"v1": true}}
	k.Observe(now, now, listed)
	k.Load(now, row, 1)
	k.Forget()
	if !k.NeedsRead(now) {
		t.Error("got no read after the store came back from a copy")
	}
	k.Observe(now, now, nil)
	if k.NeedsRead(now) {
		t.Error("got a read after the store came back from a copy, want none without servers")
	}
}

// The store answers, and the router's list of servers does not become current.
func TestRowIsNotReadAgainAndAgainWhileTheListIsTooOld(t *testing.T) {
	k := streamversion.NewKeeper(true)
	now := time.Unix(1e9, 0)
	listed := map[string]map[string]bool{service: {"v1": true}}
	k.Observe(now, now, listed)
	later := now.Add(2 * time.Minute)
	k.Observe(later, now, listed)
	if k.NeedsRead(later) {
		t.Error("got a read by a list of two minutes ago, which lets no stream begin")
	}
	k.Observe(later, later, listed)
	if !k.NeedsRead(later) {
		t.Error("got no read when the list had become current")
	}
}

// A read and a write take 25 ms together, and one of several writes at once succeeds.
func TestNewVersionLeadsToFewWritesThatFail(t *testing.T) {
	const step, write = 5 * time.Millisecond, 25 * time.Millisecond
	inAllSizes(t, func(t *testing.T, f *fleet) {
		listed := map[string]map[string]bool{service: {"v1": true, "v2": true}}
		row := &streamversion.Versions{Era: 1, Services: map[string]*streamversion.Admitted{service: {Versions: map[string]streamversion.State{"v1": streamversion.InUse}}}}
		for _, r := range f.routers {
			r.timing = streamversion.RowTiming{} // the start of the fleet is over
			r.keeper.Observe(f.now, f.now, listed)
			r.keeper.Load(f.now, row, 1)
		}
		var next *streamversion.Versions
		var nextAt time.Time
		reads, writes := 0, 0
		for end := f.now.Add(5 * time.Second); f.now.Before(end); f.now = f.now.Add(step) {
			if next != nil && !f.now.Before(nextAt) {
				row = next
			}
			for _, r := range f.routers {
				r.keeper.Observe(f.now, f.now, listed)
				if !r.timing.ReadDue(f.now, r.keeper, len(f.routers)) {
					continue
				}
				reads++
				r.keeper.Load(f.now, row, 1)
				n, changes := r.keeper.Next(f.now)
				if !changes || !r.timing.MayWrite(f.now) {
					continue
				}
				writes++
				if next == nil {
					next, nextAt = n, f.now.Add(write)
				}
			}
		}
		for i, r := range f.routers {
			if !r.keeper.Admits(f.now, service)["v2"] {
				t.Errorf("router %d of %d: got no stream allowed at the new version after 5 s", i, len(f.routers))
			}
		}
		t.Logf("%d routers: %d reads, %d writes", len(f.routers), reads, writes)
		if writes > 20 || reads > len(f.routers)+20 {
			t.Errorf("%d routers: got %d reads and %d writes, want one read each and 20 more, and 20 writes at most", len(f.routers), reads, writes)
		}
	})
}
