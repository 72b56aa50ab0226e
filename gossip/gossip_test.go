package gossip_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/gossip"
	"bulrushtally/placement"
)

// recordingHandler records the summaries and calls that it receives.
type recordingHandler struct {
	name string
	zone string

	mu          sync.Mutex
	received    map[string]int
	unreachable map[string]bool
	alive       int
	address     string
}

func (r *recordingHandler) Summary() *placement.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &placement.Summary{Router: r.name, Incarnation: 1, Zone: r.zone, Address: r.address}
}

func (r *recordingHandler) ApplySummary(m *placement.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[m.Router]++
}

func (r *recordingHandler) ZoneSummary() *placement.Summary {
	m := r.Summary()
	m.Router, m.Zone, m.ZoneRouters = "zone/"+r.name, r.zone, 1
	return m
}

func (r *recordingHandler) ZoneUpdate() *gossip.ZoneUpdate { return nil }

func (r *recordingHandler) ApplyZoneUpdate(*gossip.ZoneUpdate) {}

func (r *recordingHandler) FleetChanged(f gossip.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alive = f.Alive
}

func (r *recordingHandler) RouterUnreachable(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable[name] = true
}

func (r *recordingHandler) eventually(condition func() bool) bool {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		ok := condition()
		r.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func start(t *testing.T, name string) (*gossip.Gossip, *recordingHandler, context.CancelFunc) {
	t.Helper()
	return startInZone(t, "zone-a", name)
}

func startInZone(t *testing.T, zone, name string) (*gossip.Gossip, *recordingHandler, context.CancelFunc) {
	t.Helper()
	r := &recordingHandler{name: name, zone: zone, received: map[string]int{}, unreachable: map[string]bool{}}
	g, err := gossip.New(name, zone, "127.0.0.1:0", r, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	r.address = g.Address()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); <-g.Done() })
	go g.Run(ctx)
	return g, r, stop
}

func TestRoutersDiscoverEachOther(t *testing.T) {
	g1, r1, _ := start(t, "r1")
	g2, r2, stop2 := start(t, "r2")
	g2.Add("", g1.Address()) // r1 read its list before r2 registered, so its list lacks r2
	if !r1.eventually(func() bool { return r1.received["r2"] > 0 && r1.alive == 2 }) || !r2.eventually(func() bool { return r2.received["r1"] > 0 }) {
		t.Fatal("the routers did not receive summaries from each other within 6 s")
	}
	stop2()
	<-g2.Done()
	if !r1.eventually(func() bool { return r1.alive == 1 && r1.unreachable["r2"] }) {
		t.Error("a router that stopped still counts as reachable after 6 s")
	}
}

func TestMalformedDatagramsAreDropped(t *testing.T) {
	g, r, _ := start(t, "r1")
	c, err := net.Dial("udp4", g.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, b := range [][]byte{{}, {0xff}, []byte("hello"), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	other, _, _ := start(t, "r2")
	other.Add("", g.Address())
	if !r.eventually(func() bool { return r.received["r2"] > 0 }) {
		t.Error("the router received no summary within 6 s after malformed datagrams")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.received) != 1 {
		t.Errorf("got summaries from %v, want r2 alone", fmt.Sprint(r.received))
	}
}

// In a large fleet zones receive each other's zone summaries, also after the router that sends
// them for a zone has stopped.
func TestZonesExchangeSummaries(t *testing.T) {
	var routers []*recordingHandler
	var first *gossip.Gossip
	stops := map[string]context.CancelFunc{}
	for i := range gossip.ZoneSummaryThreshold + 4 {
		zone := []string{"zone-a", "zone-b"}[i%2]
		g, r, stop := startInZone(t, zone, fmt.Sprintf("r%02d", i))
		stops[r.name] = stop
		routers = append(routers, r)
		if first == nil {
			first = g
			continue
		}
		g.Add("r00", first.Address())
		for _, o := range routers[:i] {
			g.Add(o.name, o.address)
		}
	}
	last := routers[len(routers)-1] // of zone-b
	receives := func(r *recordingHandler, sender string) bool {
		return r.eventually(func() bool { n := r.received[sender]; r.received[sender] = 0; return n > 0 })
	}
	if !receives(last, "zone/r00") {
		t.Fatal("a router received no summary of the other zone within 6 s")
	}
	stops["r00"]()
	if !receives(last, "zone/r02") {
		t.Error("a router received no summary of the other zone within 6 s after the first sender stopped")
	}
	direct := func() (n int) {
		for name, count := range last.received {
			if !strings.HasPrefix(name, "zone/") && (name[2]-'0')%2 == 0 {
				n += count
			}
		}
		return n
	}
	if !last.eventually(func() bool { n := direct(); clear(last.received); return n == 0 }) {
		t.Error("routers of the other zone still send their own summaries across zones after 6 s")
	}
}
