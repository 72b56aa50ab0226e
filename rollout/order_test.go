package rollout_test

// This file tests orders, stored verdicts and reports at single routers.

import (
	"reflect"
	"sync"
	"testing"
	"time"

	"bulrushtally/rollout"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// newRouter returns a router that knows the order.
func newRouter(name string, incarnation uint64, n int) *rollout.Rollout {
	r := rollout.New(rollout.Options{Limits: limits, Router: name, Incarnation: incarnation, Routers: n})
	r.SetOrder(start, order)
	return r
}

// status returns the stored verdict on the usual order.
func status(s rollout.State) rollout.Status {
	return rollout.Status{Order: order.Number, Era: order.Era, To: order.To, State: s}
}

// answers records answers of a version on one route.
func answers(r *rollout.Rollout, now time.Time, version string, n int, res rollout.Result) {
	for range n {
		r.Began(now, service, version, "plain")
		r.Ended(now, service, version, "plain", res, time.Second, time.Second)
	}
}

// failingRouter returns a router that found the version bad.
func failingRouter(t *testing.T, name string) (*rollout.Rollout, time.Time) {
	r := newRouter(name, 1, 2)
	now := start.Add(time.Second)
	answers(r, now, "v1", 200, rollout.OK)
	answers(r, now, "v2", 20, rollout.Failed)
	now = now.Add(time.Second)
	if got, _, due := r.Verdict(now, service); got != rollout.RolledBack || !due {
		t.Fatalf("verdict of failing version: got %v, due %v, want rolled back, due", got, due)
	}
	return r, now
}

// Guards against routers that act on their own verdict after another one was written, and against verdicts that change.
func TestFirstWrittenVerdictWins(t *testing.T) {
	r, now := failingRouter(t, "a")
	if got := r.Choose(now, service); got != rollout.OldVersion {
		t.Errorf("choice of router that found the version bad: got %v, want old", got)
	}
	r.SetStatus(now, status(rollout.Complete), service)
	if got := r.Choose(now, service); got != rollout.NewVersion {
		t.Errorf("choice after Complete was read: got %v, want new", got)
	}
	r.SetStatus(now, status(rollout.RolledBack), service)
	if got, _, _ := r.Verdict(now, service); got != rollout.Complete {
		t.Errorf("verdict after a second one: got %v, want complete", got)
	}
	r.SetStatus(now, status(rollout.Serving), service)
	if got, _, due := r.Verdict(now, service); got != rollout.Complete || !due {
		t.Errorf("verdict that the store lost: got %v, due %v, want complete, due", got, due)
	}
}

// Guards against a verdict on an older order, another version or another era that ends the current order.
func TestStatusOfOtherOrderChangesNothing(t *testing.T) {
	for name, change := range map[string]func(s *rollout.Status){
		"older order":   func(s *rollout.Status) { s.Order-- },
		"other version": func(s *rollout.Status) { s.To = "v3" },
		"other era":     func(s *rollout.Status) { s.Era++ },
	} {
		r, s := newRouter("a", 1, 1), status(rollout.Complete)
		change(&s)
		r.SetStatus(start, s, service)
		if got, _, _ := r.Verdict(start, service); got != rollout.Serving {
			t.Errorf("%s: got %v, want serving", name, got)
		}
	}
}

// Guards against a store that comes back older and revives a replaced order or restarts the current one.
func TestStoreComesBackOlder(t *testing.T) {
	r := newRouter("a", 1, 1)
	r.SetStatus(start, status(rollout.RolledBack), service)
	newer := rollout.Order{Service: service, To: "v3", Number: 9, Era: 1, Began: start.Add(time.Minute), Duration: time.Minute}
	if !r.SetOrder(start, newer) {
		t.Fatal("newer order: got no change, want one")
	}
	restored := order
	restored.Era = 2
	for name, o := range map[string]rollout.Order{"lower number": order, "restored replaced order": restored} {
		if r.SetOrder(start, o) {
			t.Errorf("%s: got a change, want none", name)
		}
	}
	r.SetStatus(start, rollout.Status{Order: 9, Era: 1, To: "v3", State: rollout.Complete}, service)
	newer.Era = 2
	if r.SetOrder(start, newer) {
		t.Error("the same order in a new era: got a change, want none")
	}
	if got, _, due := r.Verdict(start, service); got != rollout.Complete || !due {
		t.Errorf("verdict in a new era: got %v, due %v, want complete, due", got, due)
	}
	fresh := rollout.Order{Service: service, To: "v4", Number: 3, Era: 3, Began: start, Duration: time.Minute}
	if !r.SetOrder(start, fresh) {
		t.Error("order of a new era with a lower number: got no change, want one")
	}
}

// Guards against an order that stays in force, or comes back, after the operator removed it.
func TestDroppedOrder(t *testing.T) {
	r := newRouter("a", 1, 1)
	r.DropOrder(start, service)
	if got := r.Choose(start, service); got != rollout.AnyVersion {
		t.Errorf("choice: got %v, want any", got)
	}
	if r.SetOrder(start, order) {
		t.Error("removed order read again: got a change, want none")
	}
}

// Guards against roll-outs in a deployment that has no bounds for them.
func TestOffWithoutLimits(t *testing.T) {
	r := rollout.New(rollout.Options{Router: "a"})
	if r.SetOrder(start, order) {
		t.Error("order: got a change, want none")
	}
	r.Began(start, service, "v1", "plain")
	r.Ended(start, service, "v1", "plain", rollout.OK, 0, 0)
	if got := r.Choose(start, service); got != rollout.AnyVersion {
		t.Errorf("choice: got %v, want any", got)
	}
}

// Guards against lost answers that count as evidence.
func TestLostAnswersAreNoEvidence(t *testing.T) {
	r := newRouter("a", 1, 1)
	now := start.Add(2 * time.Second)
	answers(r, now, "v1", 200, rollout.OK)
	answers(r, now, "v2", 100, rollout.Lost)
	now = now.Add(time.Second)
	p, _ := r.Progress(now, service)
	if got, _, _ := r.Verdict(now, service); got != rollout.Serving || p.Bad != 0 || p.Favour > 0 {
		t.Errorf("verdict: got %v, %d bad, evidence for it %v, want serving, 0, 0", got, p.Bad, p.Favour)
	}
}

// Guards against a router that goes on sending to a version that another one found bad.
func TestStoppedByPeer(t *testing.T) {
	a, now := failingRouter(t, "a")
	b := newRouter("b", 1, 2)
	for _, report := range a.Report(now) {
		b.Merge(now, report)
	}
	if got, _, due := b.Verdict(now, service); got != rollout.RolledBack || !due {
		t.Errorf("verdict: got %v, due %v, want rolled back, due", got, due)
	}
	for range 1000 {
		if got := b.Choose(now, service); got != rollout.OldVersion {
			t.Fatalf("choice: got %v, want old", got)
		}
	}
}

// Guards against Complete while a stream runs on an old server of a router that is up, or before such a router has reported.
func TestCompleteWaitsForStreams(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.routers[2].Began(start, service, "v1", "plain")
	f.run(20 * time.Second)
	if f.status.State != rollout.Serving {
		t.Fatalf("verdict while a stream runs: got %v, want none", f.status.State)
	}
	if _, reason, _ := f.routers[0].Verdict(f.now, service); reason != rollout.OldInFlight {
		t.Errorf("reason: got %v, want requests on old servers", reason)
	}
	f.routers[2].Ended(f.now, service, "v1", "plain", rollout.Lost, 0, 0)
	f.run(time.Second)
	if f.status.State != rollout.Complete {
		t.Errorf("verdict after its end: got %v, want complete", f.status.State)
	}

	f = newFleet(t, 1, 3)
	for _, r := range f.routers {
		r.SetMembers(start, append(f.names, "router-silent"))
	}
	f.run(14 * time.Second)
	if f.status.State != rollout.Serving {
		t.Errorf("verdict without the report of a router that is up: got %v, want none", f.status.State)
	}
}

// Guards against a router that starts in the middle and sends the version more than the least share before it knows anything.
func TestRouterStartsInTheMiddle(t *testing.T) {
	r := rollout.New(rollout.Options{Limits: limits, Router: "late", Incarnation: 1, Routers: 10})
	now := start.Add(8 * time.Second)
	r.SetOrder(now, order)
	sent := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		if r.Choose(now, service) == rollout.NewVersion {
			r.Sent(now, service, "v2")
			r.Began(now, service, "v2", "plain")
			sent++
			r.Ended(now, service, "v2", "plain", rollout.Lost, 0, 0)
		}
		r.Report(now)
	}
	if want := 1000/50 + 2; sent > want {
		t.Errorf("requests to the version: got %d of 1000, want at most %d", sent, want)
	}

	f := newFleet(t, 1, 4)
	f.run(8 * time.Second)
	f.add("router-late", 5)
	f.run(6 * time.Second)
	f.wantVerdict(rollout.Complete)
}

// Guards against choices that are not used and are counted as sent for good.
func TestReleasedChoice(t *testing.T) {
	r := newRouter("a", 1, 1)
	now := start.Add(5 * time.Second)
	for range 1000 {
		if r.Choose(now, service) == rollout.NewVersion {
			r.Release(now, service)
		}
	}
	if p, _ := r.Progress(now, service); p.Sent != 0 || r.Choose(now, service) != rollout.NewVersion {
		t.Errorf("sent: got %d and no further choice of the version, want 0 and one", p.Sent)
	}
}

// Guards against evidence that depends on the order, the loss or the repetition of reports.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []rollout.Report
		for _, name := range []string{"a", "b"} {
			for incarnation := range uint64(2) {
				r := newRouter(name, incarnation+1, 4)
				for step := range rapid.IntRange(1, 4).Draw(t, "steps") {
					now := start.Add(time.Duration(step+1) * 100 * time.Millisecond)
					answers(r, now, "v1", rapid.IntRange(0, 5).Draw(t, "old"), rollout.OK)
					answers(r, now, "v2", rapid.IntRange(0, 3).Draw(t, "new"), rollout.Failed)
					reports = append(reports, r.Report(now)...)
				}
			}
		}
		now := start.Add(time.Second)
		merged := func(list []rollout.Report) rollout.Progress {
			r := newRouter("c", 1, 4)
			for _, report := range list {
				r.Merge(now, report)
			}
			p, _ := r.Progress(now.Add(time.Second), service)
			return p
		}
		shuffled := append(rapid.Permutation(reports).Draw(t, "order"), reports[:rapid.IntRange(0, len(reports)).Draw(t, "repeated")]...)
		got, want := merged(shuffled), merged(reports)
		if got.FleetCounts != want.FleetCounts {
			t.Fatalf("counts: got %+v, want %+v", got.FleetCounts, want.FleetCounts)
		}
	})
}

// Guards against reports that routers cannot decode.
func TestReportIsEncoded(t *testing.T) {
	r := newRouter("a", 1, 1)
	answers(r, start, "v1", 3, rollout.OK)
	want := r.Report(start)
	data, err := cbor.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got []rollout.Report
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("report: got %+v, want %+v", got, want)
	}
}

// Guards against data races between requests, reports and the store.
func TestConcurrentUse(t *testing.T) {
	r, other := newRouter("a", 1, 2), newRouter("b", 1, 2)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 500 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				switch g {
				case 0:
					for _, report := range other.Report(now) {
						r.Merge(now, report)
					}
				case 1:
					r.SetMembers(now, []string{"a", "b"})
					r.SetRouters(2)
					r.SetStatus(now, status(rollout.Serving), service)
					r.Verdict(now, service)
				default:
					version := "v1"
					if r.Choose(now, service) == rollout.NewVersion {
						version = "v2"
					}
					r.Sent(now, service, version)
					r.Began(now, service, version, "plain")
					r.Ended(now, service, version, "plain", rollout.OK, time.Second, time.Second)
					r.Lasted(service, time.Second)
				}
			}
		})
	}
	wg.Wait()
	if p, _ := r.Progress(start.Add(6*time.Second), service); p.Requests != 6*500 || p.OldInFlight != 0 {
		t.Errorf("requests: got %d and %d running on old servers, want %d and 0", p.Requests, p.OldInFlight, 6*500)
	}
}
