package gossip_test

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

// startDeaf starts a router of zone-a that others hear, while nothing reaches it: the address that it names belongs to a socket that
// nobody reads.
func startDeaf(t *testing.T, name string, others []*recordingHandler) *recordingHandler {
	t.Helper()
	silent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	g, r, _ := startInZone(t, "zone-a", name)
	r.mu.Lock()
	r.address = silent.LocalAddr().String()
	r.mu.Unlock()
	for _, o := range others {
		g.Add(o.name, o.address)
	}
	return r
}

// A router that nothing reaches was first by name: the others told it their streams, and left their zone's summary to it, which then
// covered one router.
func TestRouterThatIsHeardButCannotHearGetsNoDuties(t *testing.T) {
	t.Parallel()
	routers, _ := startLargeFleet(t)
	first, last := routers[0], routers[len(routers)-1] // of zone-a and zone-b
	if !last.eventually(func() bool { return last.received["zone/r00"] > 0 }) {
		t.Fatal("a router received no summary of the other zone within 6 s")
	}
	startDeaf(t, "a-deaf", routers)
	if !first.eventually(func() bool { return first.received["a-deaf"] > 0 }) {
		t.Fatal("the deaf router was not heard within 6 s")
	}
	time.Sleep(4 * time.Second) // a candidate for the zone's summary is one after 2 s
	last.mu.Lock()
	clear(last.received)
	last.mu.Unlock()
	if !last.eventually(func() bool { return last.received["zone/r00"] > 0 }) {
		t.Error("the zone's summary no longer comes from a router that hears its zone")
	}
	if !first.eventually(func() bool { return first.collector == "" }) {
		t.Errorf("got collector %q, want r00 to log its streams itself", first.collector)
	}
}

func TestRoutersTellWhichZonesTheyHear(t *testing.T) {
	t.Parallel()
	routers, stops := startLargeFleet(t)
	hears := func(r *recordingHandler, want ...string) bool {
		return r.eventually(func() bool { return slices.Equal(r.hears["r00"], want) })
	}
	if !hears(routers[2], "zone-a", "zone-b") {
		t.Errorf("got r00 hear %v, want both zones", routers[2].hears["r00"])
	}
	for i := 1; i < len(routers); i += 2 {
		stops[fmt.Sprintf("r%02d", i)]()
	}
	if !hears(routers[2], "zone-a") {
		t.Errorf("got r00 hear %v after zone-b has stopped, want zone-a", routers[2].hears["r00"])
	}
}
