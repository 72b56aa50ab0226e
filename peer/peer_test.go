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

// side is a router's side of links, whose requests a function serves.
type side struct {
	*peer.Peers
	serve func(ctx context.Context, r *request.Request, sink request.Sink)
	stop  context.CancelFunc

	mu    sync.Mutex
	beats []*peer.Heartbeat
}

func (s *side) Serve(ctx context.Context, _ string, r *request.Request, sink request.Sink) func() {
	go s.serve(ctx, r, sink)
	return func() { sink(request.Fail(request.CodeRecalled, "recalled").End(request.NotRun)) }
}

func (s *side) Heartbeat(_ *peer.Link, h *peer.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats = append(s.beats, h)
}

func (s *side) Room(string, *peer.Room)                 {}
func (s *side) Pull(*peer.Link, *peer.Pull)             {}
func (s *side) Changes(*peer.Link, *peer.Changes)       {}
func (s *side) CrashRecords(string, *peer.CrashRecords) {}
func (s *side) Up(*peer.Link)                           {}
func (s *side) Down(*peer.Link, bool)                   {}

const secret = "a secret of the routers"

func newSide(t *testing.T, vm, secret string) *side {
	t.Helper()
	s := &side{serve: echo}
	var err error
	s.Peers, err = peer.New(peer.Options{
		Listen: "127.0.0.1:0", Secret: secret, MaxMessage: 1 << 20, Timeout: 2 * time.Second,
		Self: func() fleet.Member { return fleet.Member{VM: vm, Zone: "kgn-a", Incarnation: 1} }, Logger: zerolog.Nop(),
	}, s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.Run(ctx)
	t.Cleanup(func() { cancel(); <-s.Done() })
	return s
}

// echo answers with the request's body in parts.
func echo(_ context.Context, r *request.Request, sink request.Sink) {
	sink(request.Event{Kind: request.EventAdmitted})
	sink(request.Event{Kind: request.EventHead, Status: 200})
	for _, b := range r.Body {
		sink(request.Event{Kind: request.EventData, Data: []byte{b}})
	}
	sink(request.Event{Kind: request.EventEnd, Outcome: request.Ran})
}

// ask sends a request and returns the answer's body and last event.
func ask(l *peer.Link, body string, each func()) (string, request.Event) {
	var text strings.Builder
	end := make(chan request.Event, 1)
	_, err := l.Request(context.Background(), &request.Request{Number: body, Body: []byte(body)}, func(e request.Event) error {
		text.Write(e.Data)
		if each != nil {
			each()
		}
		if e.Kind == request.EventEnd {
			end <- e
		}
		return nil
	})
	if err != nil {
		return "", request.Fail(request.CodeLinkLost, "%v", err).End(request.NotRun)
	}
	e := <-end
	return text.String(), e
}

func TestManyRequestsOverOneLink(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", secret)
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	for i := range 200 {
		g.Go(func() {
			want := fmt.Sprintf("request %d", i)
			if got, end := ask(l, want, nil); got != want || end.Failure != nil {
				t.Errorf("answer %q (%v), want %q", got, end.Failure, want)
			}
		})
	}
	g.Wait()
}

// TestSlowCallerDelaysNoOther lets one caller take nothing while another's answer goes through.
func TestSlowCallerDelaysNoOther(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", secret)
	sent := make(chan int, 1)
	b.serve = func(ctx context.Context, r *request.Request, sink request.Sink) {
		if r.Number != "slow" {
			echo(ctx, r, sink)
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
	hold := make(chan struct{})
	l.Request(ctx, &request.Request{Number: "slow"}, func(request.Event) error { <-hold; return nil })
	for range 50 {
		if got, _ := ask(l, "quick", nil); got != "quick" {
			t.Fatalf("answer beside a slow caller: %q", got)
		}
	}
	cancel()
	if got, want := <-sent, 16; got > want {
		t.Errorf("parts of 32 KiB sent to a caller that takes none: %d, want at most %d", got, want)
	}
	close(hold)
}

func TestWrongSecretIsRefused(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", "another secret")
	_, err := a.Connect("b", b.Address())
	var ce *peer.ConnectError
	if !errors.As(err, &ce) {
		t.Fatalf("error %v, want a ConnectError", err)
	}
	if len(b.Links()) != 0 {
		t.Error("a stranger has a link")
	}
}

// TestMalformedMessages sends rubbish after and instead of the handshake; other links live on.
func TestMalformedMessages(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", secret)
	l, err := a.Connect("b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	for _, rubbish := range [][]byte{{}, {0xff}, {0x83, 0x01, 0x00, 0xf6}, {0x83, 0x18, 0x63, 0x00, 0xf6}, make([]byte, 2<<20)} {
		c, _, err := websocket.DefaultDialer.Dial("ws://"+b.Address()+"/peer", nil)
		if err != nil {
			t.Fatal(err)
		}
		c.WriteMessage(websocket.BinaryMessage, rubbish)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if _, _, err := c.ReadMessage(); err == nil {
			t.Errorf("rubbish %x was answered", rubbish[:min(8, len(rubbish))])
		}
		c.Close()
	}
	if got, _ := ask(l, "still here", nil); got != "still here" {
		t.Errorf("answer on another link: %q", got)
	}
}

// TestLinkEndEndsRequests closes the other side while requests run.
func TestLinkEndEndsRequests(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", secret)
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
	_, end := ask(l, "x", nil)
	if end.Failure == nil || end.Failure.Code != request.CodeLinkLost || end.Outcome != request.Unknown {
		t.Errorf("end of a request whose link ended: %+v", end)
	}
	<-l.Done()
	if _, err := l.Request(context.Background(), &request.Request{}, nil); !errors.Is(err, peer.ErrLinkEnded) {
		t.Errorf("request over an ended link: %v, want ErrLinkEnded", err)
	}
}

// TestBothDialAtOnce has two routers dial each other; both end up using one link each way that works.
func TestBothDialAtOnce(t *testing.T) {
	a, b := newSide(t, "a", secret), newSide(t, "b", secret)
	var g sync.WaitGroup
	for range 10 {
		g.Go(func() {
			if l, err := a.Connect("b", b.Address()); err != nil {
				t.Error(err)
			} else if got, _ := ask(l, "from a", nil); got != "from a" {
				t.Errorf("answer %q", got)
			}
		})
		g.Go(func() {
			if l, err := b.Connect("a", a.Address()); err != nil {
				t.Error(err)
			} else if got, _ := ask(l, "from b", nil); got != "from b" {
				t.Errorf("answer %q", got)
			}
		})
	}
	g.Wait()
	if len(a.Links()) != 1 || len(b.Links()) != 1 {
		t.Errorf("links in use: %d and %d, want 1 and 1", len(a.Links()), len(b.Links()))
	}
}
