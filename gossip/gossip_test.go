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

// router remembers what it was told.
type router struct {
	name string
	zone string

	mu      sync.Mutex
	heard   map[string]int
	silent  map[string]bool
	alive   int
	address string
}

func (r *router) Summary() *placement.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &placement.Summary{Router: r.name, Incarnation: 1, Zone: r.zone, Address: r.address}
}

func (r *router) Heard(m *placement.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[m.Router]++
}

func (r *router) ZoneSummary() *placement.Summary {
	m := r.Summary()
	m.Router, m.Zone, m.Routers = "zone/"+r.name, r.zone, 1
	return m
}

func (r *router) News() *gossip.News { return nil }

func (r *router) HeardNews(*gossip.News) {}

func (r *router) Routers(f gossip.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alive = f.Alive
}

func (r *router) Silent(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[name] = true
}

func (r *router) is(f func() bool) bool {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		ok := f()
		r.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func start(t *testing.T, name string) (*gossip.Gossip, *router, context.CancelFunc) {
	t.Helper()
	return startIn(t, "zone-a", name)
}

func startIn(t *testing.T, zone, name string) (*gossip.Gossip, *router, context.CancelFunc) {
	t.Helper()
	r := &router{name: name, zone: zone, heard: map[string]int{}, silent: map[string]bool{}}
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

func TestRoutersLearnOfEachOther(t *testing.T) {
	g1, r1, _ := start(t, "r1")
	g2, r2, stop2 := start(t, "r2")
	g2.Add("", g1.Address()) // r1 has read its list before r2 registered
	if !r1.is(func() bool { return r1.heard["r2"] > 0 && r1.alive == 2 }) || !r2.is(func() bool { return r2.heard["r1"] > 0 }) {
		t.Fatal("the routers did not hear each other")
	}
	stop2()
	<-g2.Done()
	if !r1.is(func() bool { return r1.alive == 1 && r1.silent["r2"] }) {
		t.Error("a router that stopped still counts as alive")
	}
}

func TestHostileDatagramsAreDropped(t *testing.T) {
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
	if !r.is(func() bool { return r.heard["r2"] > 0 }) {
		t.Error("the router hears nothing after datagrams that are no summaries")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.heard) != 1 {
		t.Errorf("got summaries from %v, want r2 alone", fmt.Sprint(r.heard))
	}
}

// In a large fleet zones hear each other in sums, and go on hearing when the router that
// sums a zone up is gone.
func TestZonesHearEachOtherInSums(t *testing.T) {
	var routers []*router
	var first *gossip.Gossip
	stops := map[string]context.CancelFunc{}
	for i := range gossip.Many + 4 {
		zone := []string{"zone-a", "zone-b"}[i%2]
		g, r, stop := startIn(t, zone, fmt.Sprintf("r%02d", i))
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
	hears := func(r *router, teller string) bool {
		return r.is(func() bool { n := r.heard[teller]; r.heard[teller] = 0; return n > 0 })
	}
	if !hears(last, "zone/r00") {
		t.Fatal("a router heard no sums of the other zone")
	}
	stops["r00"]()
	if !hears(last, "zone/r02") {
		t.Error("a router heard no sums of the other zone after its first router stopped")
	}
	direct := func() (n int) {
		for name, heard := range last.heard {
			if !strings.HasPrefix(name, "zone/") && (name[2]-'0')%2 == 0 {
				n += heard
			}
		}
		return n
	}
	if !last.is(func() bool { n := direct(); clear(last.heard); return n == 0 }) {
		t.Error("routers of the other zone still speak for themselves alone")
	}
}
