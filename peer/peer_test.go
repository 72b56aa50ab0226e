package peer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rs/zerolog"

	"bulrushtally/fleet"
	"bulrushtally/peer"
	"bulrushtally/request"
)

// testRouter is a peer.Handler with its own Peers. It serves requests with a function and
// records heartbeats.
type testRouter struct {
	*peer.Peers
	serve func(ctx context.Context, r *request.Request, sink request.Sink)
	stop  context.CancelFunc

	mu         sync.Mutex
	heartbeats []*peer.Heartbeat
}

func (tr *testRouter) Serve(ctx context.Context, _ string, r *request.Request, sink request.Sink) func() {
	go tr.serve(ctx, r, sink)
	return func() { sink(request.NewFailure(request.CodeRecalled, "recalled").EndEvent(request.OutcomeNotRun)) }
}

func (tr *testRouter) ApplyHeartbeat(_ *peer.Link, h *peer.Heartbeat) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.heartbeats = append(tr.heartbeats, h)
}

func (tr *testRouter) ShardAvailable(string, *peer.ShardAvailable)  {}
func (tr *testRouter) SendChanges(*peer.Link, *peer.Pull)           {}
func (tr *testRouter) ApplyChanges(*peer.Link, *peer.Changes)       {}
func (tr *testRouter) ApplyCrashRecords(string, *peer.CrashRecords) {}
func (tr *testRouter) LinkUp(*peer.Link)                            {}
func (tr *testRouter) LinkDown(*peer.Link, bool)                    {}

const secret = "a secret of the routers"

func newTestRouter(t *testing.T, vm, secret string) *testRouter {
	t.Helper()
	tr := &testRouter{serve: echoBody}
	var err error
	tr.Peers, err = peer.New(peer.Options{
		Listen: "127.0.0.1:0", Secret: secret, MaxMessageBytes: 1 << 20, SetupTimeout: 2 * time.Second,
		Self: func() fleet.Member { return fleet.Member{VM: vm, Zone: "kgn-a", Incarnation: 1} }, Logger: zerolog.Nop(),
	}, tr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tr.stop = cancel
	go tr.Run(ctx)
	t.Cleanup(func() { cancel(); <-tr.Done() })
	return tr
}

// echoBody responds with the request's body, one byte in each event.
func echoBody(_ context.Context, r *request.Request, sink request.Sink) {
	sink(request.Event{Kind: request.EventAdmitted})
	sink(request.Event{Kind: request.EventHead, Status: 200})
	for _, b := range r.Body {
		sink(request.Event{Kind: request.EventData, Data: []byte{b}})
	}
	sink(request.Event{Kind: request.EventEnd, Outcome: request.OutcomeRan})
}

// sendRequest sends a request and returns the response's body and last event. It calls
// onEvent, if not nil, for each event.
func sendRequest(l *peer.Link, body string, onEvent func()) (string, request.Event) {
	var response strings.Builder
	end := make(chan request.Event, 1)
	_, err := l.SendRequest(context.Background(), &request.Request{ID: body, Body: []byte(body)}, func(e request.Event) error {
		response.Write(e.Data)
		if onEvent != nil {
			onEvent()
		}
		if e.Kind == request.EventEnd {
			end <- e
		}
		return nil
	})
	if err != nil {
		return "", request.NewFailure(request.CodeLinkLost, "%v", err).EndEvent(request.OutcomeNotRun)
	}
	e := <-end
	return response.String(), e
}

// TestConcurrentRequestsShareLink checks that concurrent requests over one link each get
// their own response.
func TestConcurrentRequestsShareLink(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	for i := range 200 {
		g.Go(func() {
			want := fmt.Sprintf("request %d", i)
			if got, end := sendRequest(l, want, nil); got != want || end.Failure != nil {
				t.Errorf("response %q (failure %v), want %q", got, end.Failure, want)
			}
		})
	}
	g.Wait()
}

// TestSlowReceiverDoesNotBlockOthers checks that a sink that blocks delays no other stream
// of the link, and that flow control limits what its sender can send.
func TestSlowReceiverDoesNotBlockOthers(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	sent := make(chan int, 1)
	b.serve = func(ctx context.Context, r *request.Request, sink request.Sink) {
		if r.ID != "slow" {
			echoBody(ctx, r, sink)
			return
		}
		n := 0
		for ; sink(request.Event{Kind: request.EventData, Data: make([]byte, 32<<10)}) == nil; n++ {
		}
		sent <- n
	}
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	unblock := make(chan struct{})
	l.SendRequest(ctx, &request.Request{ID: "slow"}, func(request.Event) error { <-unblock; return nil })
	for range 50 {
		if got, _ := sendRequest(l, "quick", nil); got != "quick" {
			t.Fatalf("response to another request while one sink blocks: %q, want \"quick\"", got)
		}
	}
	cancel()
	if got, want := <-sent, 16; got > want {
		t.Errorf("events of 32 KiB sent to a sink that blocks: %d, want at most %d", got, want)
	}
	close(unblock)
}

// TestWrongSecretRejected checks that routers with different secrets open no link.
func TestWrongSecretRejected(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", "another secret")
	_, err := a.Connect("b", b.Address())
	var ce *peer.ConnectError
	if !errors.As(err, &ce) {
		t.Fatalf("Connect with a wrong secret: error %v, want a *ConnectError", err)
	}
	if len(b.Links()) != 0 {
		t.Error("a router with a wrong secret has a link")
	}
}

// TestMalformedMessageLeavesOtherLinks checks that a malformed message in place of the
// handshake closes its connection without a reply and leaves other links open.
func TestMalformedMessageLeavesOtherLinks(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	for _, malformed := range [][]byte{{}, {0xff}, {0x83, 0x01, 0x00, 0xf6}, {0x83, 0x18, 0x63, 0x00, 0xf6}, make([]byte, 2<<20)} {
		c, _, err := websocket.DefaultDialer.Dial("ws://"+b.Address()+"/peer", nil)
		if err != nil {
			t.Fatal(err)
		}
		c.WriteMessage(websocket.BinaryMessage, malformed)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, _, err := c.ReadMessage(); err == nil {
			t.Errorf("malformed message %x was answered", malformed[:min(8, len(malformed))])
		}
		c.Close()
	}
	if got, _ := sendRequest(l, "still here", nil); got != "still here" {
		t.Errorf("response over another link: %q, want \"still here\"", got)
	}
}

// TestClosedLinkFailsRequests checks that a request whose link ends while it runs gets an
// EventEnd with request.OutcomeUnknown, and that later requests over the link return ErrLinkEnded.
func TestClosedLinkFailsRequests(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	running := make(chan struct{})
	b.serve = func(ctx context.Context, _ *request.Request, _ request.Sink) {
		close(running)
		<-ctx.Done()
	}
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	go func() { <-running; b.stop() }()
	_, end := sendRequest(l, "x", nil)
	if end.Failure == nil || end.Failure.Code != request.CodeLinkLost || end.Outcome != request.OutcomeUnknown {
		t.Errorf("last event of a request whose link ended: %+v, want code link-lost and outcome unknown", end)
	}
	<-l.Done()
	if _, err := l.SendRequest(context.Background(), &request.Request{}, nil); !errors.Is(err, peer.ErrLinkEnded) {
		t.Errorf("request over an ended link: %v, want ErrLinkEnded", err)
	}
}

// TestSimultaneousDialsKeepOneLink checks that two routers that dial each other at the same
// time can send requests both ways, and that each keeps one current link to the other.
func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	var g sync.WaitGroup
	for range 10 {
		g.Go(func() {
			if l, err := a.Connect("b", b.Address()); err != nil {
				t.Error(err)
			} else if got, _ := sendRequest(l, "from a", nil); got != "from a" {
				t.Errorf("response from b: %q, want \"from a\"", got)
			}
		})
		g.Go(func() {
			if l, err := b.Connect("a", a.Address()); err != nil {
				t.Error(err)
			} else if got, _ := sendRequest(l, "from b", nil); got != "from b" {
				t.Errorf("response from a: %q, want \"from b\"", got)
			}
		})
	}
	g.Wait()
	if len(a.Links()) != 1 || len(b.Links()) != 1 {
		t.Errorf("current links of a and b: %d and %d, want 1 and 1", len(a.Links()), len(b.Links()))
	}
}
