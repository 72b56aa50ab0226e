package caller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/caller"
	"bulrushtally/config"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// submission is a request that was sent to fakeLeaders. The channel recalled is closed when
// the request is recalled.
type submission struct {
	*request.Request
	sink     request.Sink
	recalled chan struct{}
}

// fakeLeaders implements caller.Leaders by passing requests to the test. If unreachable is
// set, Submit fails.
type fakeLeaders struct {
	mu          sync.Mutex
	unreachable bool
	submissions chan *submission
}

func (l *fakeLeaders) Submit(_ context.Context, r *request.Request, sink request.Sink) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return nil, errors.New("leader unreachable")
	}
	s := &submission{Request: r, sink: sink, recalled: make(chan struct{})}
	l.submissions <- s
	var once sync.Once
	return func() { once.Do(func() { close(s.recalled) }) }, nil
}

func (l *fakeLeaders) Reachable(config.ShardID) bool { return true }

// testView returns a configuration of two zones with one backend server each.
func testView(t *testing.T) *config.View {
	t.Helper()
	snap := config.Snapshot{Revision: 1, Objects: []*config.Object{
		{Kind: config.KindZone, Name: "kgn-a"}, {Kind: config.KindZone, Name: "kgn-b"},
		{Kind: config.KindService, Name: "models"}, {Kind: config.KindAccess, Name: "all", Service: "models"},
		{Kind: config.KindCustomer, Name: "c"},
		{Kind: config.KindBackend, Name: "e-a", Service: "models", Zone: "kgn-a", Address: "127.0.0.1:1"},
		{Kind: config.KindBackend, Name: "e-b", Service: "models", Zone: "kgn-b", Address: "127.0.0.1:1"},
	}}
	return config.NewView(snap.Restore())
}

// startEntryRouter returns a running EntryRouter, the fake leaders that it sends requests to,
// and a function that stops it.
func startEntryRouter(t *testing.T, maxWait time.Duration) (*caller.EntryRouter, *fakeLeaders, context.CancelFunc) {
	t.Helper()
	l := &fakeLeaders{submissions: make(chan *submission, 100)}
	e := caller.NewEntryRouter(caller.EntryRouterOptions{
		Zone: "kgn-a", MaxWait: maxWait, Limits: schedule.Limits{Requests: 12, Bytes: 1000},
	}, l, zerolog.Nop(), tally.NoopScope)
	e.Configure(testView(t))
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(func() {
		cancel()
		go l.returnRecalled()
		<-e.Done()
	})
	return e, l, cancel
}

// returnRecalled returns each submitted request as soon as it is recalled.
func (l *fakeLeaders) returnRecalled() {
	for s := range l.submissions {
		go func() {
			<-s.recalled
			s.sink(request.NewFailure(request.CodeRecalled, "recalled").EndEvent(request.OutcomeNotRun))
		}()
	}
}

// enqueue enqueues a request and returns the channel that receives its EventEnd.
func enqueue(e *caller.EntryRouter, repeatable bool) chan request.Event {
	end := make(chan request.Event, 2)
	r := &request.Request{ID: "n", Customer: "c", Service: "models", Body: []byte("body"), Repeatable: repeatable}
	e.Enqueue(context.Background(), r, func(ev request.Event) error {
		if ev.Kind == request.EventEnd {
			end <- ev
		}
		return nil
	})
	return end
}

// successEnd is the EventEnd of a complete response.
var successEnd = request.Event{Kind: request.EventEnd, Outcome: request.OutcomeRan}

// TestStaleEventsAreRejected checks that a leader whose link was lost, and which continues to
// send events, does not affect the request after it was sent to another leader.
func TestStaleEventsAreRejected(t *testing.T) {
	e, l, _ := startEntryRouter(t, time.Minute)
	end := enqueue(e, true)
	first := <-l.submissions
	first.sink(request.NewFailure(request.CodeLinkLost, "lost").EndEvent(request.OutcomeUnknown))
	second := <-l.submissions
	if err := first.sink(request.Event{Kind: request.EventAdmitted}); err == nil {
		t.Error("EventAdmitted of an earlier submission was accepted")
	}
	if err := first.sink(request.Event{Kind: request.EventData, Data: []byte("late")}); err == nil {
		t.Error("EventData of an earlier submission was accepted")
	}
	first.sink(successEnd)
	select {
	case ev := <-end:
		t.Fatalf("EventEnd of an earlier submission ended the request: %+v", ev)
	default:
	}
	second.sink(request.Event{Kind: request.EventAdmitted})
	second.sink(successEnd)
	if ev := <-end; ev.Failure != nil {
		t.Errorf("end of the request: %+v, want no failure", ev)
	}
	if got, want := e.InFlight(), 0; got != want {
		t.Errorf("%d requests in flight after the end, want %d", got, want)
	}
}

func TestLinkLostForNonRepeatableRequest(t *testing.T) {
	e, l, _ := startEntryRouter(t, time.Minute)
	end := enqueue(e, false)
	(<-l.submissions).sink(request.NewFailure(request.CodeLinkLost, "lost").EndEvent(request.OutcomeUnknown))
	if ev := <-end; ev.Outcome != request.OutcomeUnknown {
		t.Errorf("outcome %q, want unknown", ev.Outcome)
	}
}

func TestQueueLimit(t *testing.T) {
	e, _, _ := startEntryRouter(t, time.Minute)
	for i := range 12 {
		select {
		case ev := <-enqueue(e, true):
			t.Fatalf("request %d within the limit ended: %+v", i, ev)
		default:
		}
	}
	ev := <-enqueue(e, true)
	if ev.Failure == nil || ev.Failure.Code != request.CodeQueueFull || ev.Outcome != request.OutcomeNotRun || ev.Failure.RetryAfter <= 0 {
		t.Errorf("request over the limit: %+v, want queue-full, not-run and a Retry-After", ev)
	}
}

// TestMaxWait checks that a request ends after the maximum wait, both while it waits at a
// leader that returns it when it is recalled and while no leader can be reached.
func TestMaxWait(t *testing.T) {
	e, l, _ := startEntryRouter(t, 50*time.Millisecond)
	end := enqueue(e, true)
	s := <-l.submissions
	<-s.recalled
	s.sink(request.NewFailure(request.CodeRecalled, "recalled").EndEvent(request.OutcomeNotRun))
	if ev := <-end; ev.Failure.Code != request.CodeQueueTimeout || ev.Outcome != request.OutcomeNotRun {
		t.Errorf("end of a request that waited at a leader: %+v, want queue-timeout and not-run", ev)
	}
	l.mu.Lock()
	l.unreachable = true
	l.mu.Unlock()
	if ev := <-enqueue(e, true); ev.Failure.Code != request.CodeQueueTimeout || ev.Outcome != request.OutcomeNotRun {
		t.Errorf("end of a request without a reachable leader: %+v, want queue-timeout and not-run", ev)
	}
}

// TestRecallToShardWithFreeSlots checks that a request that waits at one leader is recalled
// and sent to another leader when that reports a free slot.
func TestRecallToShardWithFreeSlots(t *testing.T) {
	e, l, _ := startEntryRouter(t, time.Minute)
	full := request.LoadHint{Free: 0, Waiting: 5, Window: 1}
	for _, zone := range []string{"kgn-a", "kgn-b"} {
		e.UpdateLoad(config.ShardID{Service: "models", Zone: zone}, full)
	}
	end := enqueue(e, true)
	s := <-l.submissions
	other := map[string]string{"kgn-a": "kgn-b", "kgn-b": "kgn-a"}[s.Shard.Zone]
	e.UpdateLoad(config.ShardID{Service: "models", Zone: other}, request.LoadHint{Free: 1, Window: 1})
	<-s.recalled
	s.sink(request.NewFailure(request.CodeRecalled, "recalled").EndEvent(request.OutcomeNotRun))
	resubmitted := <-l.submissions
	if got, want := resubmitted.Shard.Zone, other; got != want {
		t.Errorf("recalled request went to %s, want %s", got, want)
	}
	resubmitted.sink(successEnd)
	<-end
}

// TestStopDrainsRequests stops an EntryRouter that has one admitted request and others that
// are queued or wait at a leader. The admitted one must run to its end; the others end as
// not run.
func TestStopDrainsRequests(t *testing.T) {
	e, l, cancel := startEntryRouter(t, time.Minute)
	running := enqueue(e, false)
	admitted := <-l.submissions
	admitted.sink(request.Event{Kind: request.EventAdmitted})
	var waiting []chan request.Event
	for range 10 {
		waiting = append(waiting, enqueue(e, true))
	}
	cancel()
	go l.returnRecalled()
	for i, end := range waiting {
		if ev := <-end; ev.Outcome != request.OutcomeNotRun || ev.Failure.Code != request.CodeStopping {
			t.Errorf("waiting request %d after a stop: %+v, want stopping and not-run", i, ev)
		}
	}
	select {
	case ev := <-running:
		t.Errorf("running request was ended by a stop: %+v", ev)
	case <-e.Done():
		t.Error("EntryRouter stopped with a request running")
	default:
	}
	admitted.sink(successEnd)
	if ev := <-running; ev.Failure != nil {
		t.Errorf("running request after a stop: %+v, want no failure", ev)
	}
	<-e.Done()
	if got := fmt.Sprint((<-enqueue(e, true)).Failure.Code); got != string(request.CodeStopping) {
		t.Errorf("request after a stop: failure %s, want stopping", got)
	}
}
