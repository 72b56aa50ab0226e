package gossip_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/gossip"
)

// updatingHandler has an update to send.
type updatingHandler struct{ *recordingHandler }

func (h *updatingHandler) ZoneUpdate() *gossip.ZoneUpdate { return &gossip.ZoneUpdate{Router: h.name} }

// Each answer of the store with changes led to an update at once, which repeats those of two seconds: 30 a second from each poller,
// of up to 60 KB to each router of the zone, while servers, suspects and the configuration changed.
func TestManyChangesLeadToFewUpdates(t *testing.T) {
	t.Parallel()
	_, listener, _ := startInZone(t, "zone-0", "r0") // only its handler is used
	h := &updatingHandler{listener}
	g, err := gossip.New("r1", "zone-0", "127.0.0.1:0", h, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); <-g.Done() })
	go g.Run(ctx)
	near := startFakes(t, g, 1)[0]
	near.announce(t, g.Address())
	updates := func() int {
		near.mu.Lock()
		defer near.mu.Unlock()
		return near.updates
	}
	if !listener.eventually(func() bool { return updates() > 0 }) {
		t.Fatal("got no update within 6 s")
	}
	before := updates()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		g.SendUpdate()
	}
	if got := updates() - before; got < 10 || got > 22 {
		t.Errorf("got %d updates in 2 s of changes, want 10 to 20", got)
	}
}
