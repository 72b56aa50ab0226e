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

// sent is a copy of a request at the fake leaders.
type sent struct {
	*request.Request
	sink     request.Sink
	recalled chan struct{}
}

// leaders is a fake that hands copies to the test.
type leaders struct {
	mu     sync.Mutex
	fail   bool
	copies chan *sent
}

func (l *leaders) Submit(_ context.Context, r *request.Request, sink request.Sink) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail {
		return nil, errors.New("no leader")
	}
	s := &sent{Request: r, sink: sink, recalled: make(chan struct{})}
	l.copies <- s
	var once sync.Once
	return func() { once.Do(func() { close(s.recalled) }) }, nil
}

func (l *leaders) Reachable(config.ShardID) bool { return true }

// view returns a configuration of two zones with a server each.
func view(t *testing.T) *config.View {
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

// start returns a running entry and the fake behind it.
func start(t *testing.T, wait time.Duration) (*caller.Entry, *leaders, context.CancelFunc) {
	t.Helper()
	l := &leaders{copies: make(chan *sent, 100)}
	e := caller.NewEntry(caller.EntryOptions{
		Zone: "kgn-a", Wait: wait, Limits: schedule.Limits{Requests: 12, Bytes: 1000},
	}, l, zerolog.Nop(), tally.NoopScope)
	e.Configure(view(t))
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(func() {
		cancel()
		go l.giveBack()
		<-e.Done()
	})
	return e, l, cancel
}

// giveBack returns every copy that is recalled.
func (l *leaders) giveBack() {
	for s := range l.copies {
		go func() {
			<-s.recalled
			s.sink(request.Fail(request.CodeRecalled, "recalled").End(request.NotRun))
		}()
	}
}

// ask gives the entry a request and returns where its last event comes.
func ask(e *caller.Entry, repeatable bool) chan request.Event {
	end := make(chan request.Event, 2)
	r := &request.Request{Number: "n", Customer: "c", Service: "models", Body: []byte("body"), Repeatable: repeatable}
	e.Do(context.Background(), r, func(ev request.Event) error {
		if ev.Kind == request.EventEnd {
			end <- ev
		}
		return nil
	})
	return end
}

var whole = request.Event{Kind: request.EventEnd, Outcome: request.Ran}

// TestLateEventsOfAnEarlierCopy loses a link and then has its leader go on.
func TestLateEventsOfAnEarlierCopy(t *testing.T) {
	e, l, _ := start(t, time.Minute)
	end := ask(e, true)
	first := <-l.copies
	first.sink(request.Fail(request.CodeLinkLost, "lost").End(request.Unknown))
	second := <-l.copies
	if err := first.sink(request.Event{Kind: request.EventAdmitted}); err == nil {
		t.Error("a late admission of an earlier copy was taken")
	}
	if err := first.sink(request.Event{Kind: request.EventData, Data: []byte("late")}); err == nil {
		t.Error("late data of an earlier copy was taken")
	}
	first.sink(whole)
	select {
	case ev := <-end:
		t.Fatalf("the late end of an earlier copy ended the request: %+v", ev)
	default:
	}
	second.sink(request.Event{Kind: request.EventAdmitted})
	second.sink(whole)
	if ev := <-end; ev.Failure != nil {
		t.Errorf("end: %+v", ev)
	}
	if got, want := e.InFlight(), 0; got != want {
		t.Errorf("in flight after the end: %d, want %d", got, want)
	}
}

func TestLinkLostOfWhatMayNotBeRepeated(t *testing.T) {
	e, l, _ := start(t, time.Minute)
	end := ask(e, false)
	(<-l.copies).sink(request.Fail(request.CodeLinkLost, "lost").End(request.Unknown))
	if ev := <-end; ev.Outcome != request.Unknown {
		t.Errorf("outcome %q, want unknown", ev.Outcome)
	}
}

func TestQueueIsBounded(t *testing.T) {
	e, _, _ := start(t, time.Minute)
	for i := range 12 {
		select {
		case ev := <-ask(e, true):
			t.Fatalf("request %d ended: %+v", i, ev)
		default:
		}
	}
	ev := <-ask(e, true)
	if ev.Failure == nil || ev.Failure.Code != request.CodeQueueFull || ev.Outcome != request.NotRun || ev.Failure.RetryAfter <= 0 {
		t.Errorf("request over the limit: %+v", ev)
	}
}

// TestWaitIsBounded lets a request's time run out while it waits at a leader that
// gives it back when asked, and one whose leader cannot be reached.
func TestWaitIsBounded(t *testing.T) {
	e, l, _ := start(t, 50*time.Millisecond)
	end := ask(e, true)
	s := <-l.copies
	<-s.recalled
	s.sink(request.Fail(request.CodeRecalled, "recalled").End(request.NotRun))
	if ev := <-end; ev.Failure.Code != request.CodeQueueTimeout || ev.Outcome != request.NotRun {
		t.Errorf("end of a request that waited too long: %+v", ev)
	}
	l.mu.Lock()
	l.fail = true
	l.mu.Unlock()
	if ev := <-ask(e, true); ev.Failure.Code != request.CodeQueueTimeout || ev.Outcome != request.NotRun {
		t.Errorf("end of a request without a leader: %+v", ev)
	}
}

// TestRecallToWhereThereIsRoom has one leader hold requests while the other says it has room.
func TestRecallToWhereThereIsRoom(t *testing.T) {
	e, l, _ := start(t, time.Minute)
	full := request.Hint{Free: 0, Waiting: 5, Window: 1}
	for _, zone := range []string{"kgn-a", "kgn-b"} {
		e.Hint(config.ShardID{Service: "models", Zone: zone}, full)
	}
	end := ask(e, true)
	s := <-l.copies
	other := map[string]string{"kgn-a": "kgn-b", "kgn-b": "kgn-a"}[s.Shard.Zone]
	e.Hint(config.ShardID{Service: "models", Zone: other}, request.Hint{Free: 1, Window: 1})
	<-s.recalled
	s.sink(request.Fail(request.CodeRecalled, "recalled").End(request.NotRun))
	again := <-l.copies
	if got, want := again.Shard.Zone, other; got != want {
		t.Errorf("recalled request went to %s, want %s", got, want)
	}
	again.sink(whole)
	<-end
}

// TestDrain stops an entry with a request held, one waiting at a leader, and one running.
func TestDrain(t *testing.T) {
	e, l, cancel := start(t, time.Minute)
	running := ask(e, false)
	admitted := <-l.copies
	admitted.sink(request.Event{Kind: request.EventAdmitted})
	var waiting []chan request.Event
	for range 10 {
		waiting = append(waiting, ask(e, true))
	}
	cancel()
	go l.giveBack()
	for i, end := range waiting {
		if ev := <-end; ev.Outcome != request.NotRun || ev.Failure.Code != request.CodeStopping {
			t.Errorf("waiting request %d at a stop: %+v", i, ev)
		}
	}
	select {
	case ev := <-running:
		t.Errorf("running request was cut off by a stop: %+v", ev)
	case <-e.Done():
		t.Error("entry stopped with a request running")
	default:
	}
	admitted.sink(whole)
	if ev := <-running; ev.Failure != nil {
		t.Errorf("running request at a stop: %+v", ev)
	}
	<-e.Done()
	if got := fmt.Sprint((<-ask(e, true)).Failure.Code); got != string(request.CodeStopping) {
		t.Errorf("request after a stop: %s", got)
	}
}
