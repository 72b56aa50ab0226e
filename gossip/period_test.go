package gossip_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/gossip"
	"bulrushtally/placement"
	"bulrushtally/quarantine"
)

// fakeRouter receives datagrams and may send summaries of a router of a zone.
type fakeRouter struct {
	name, zone string
	conn       *net.UDPConn

	mu        sync.Mutex
	summaries []time.Time // when a router's own summary came
	notices   int         // that came
	updates   int         // that came
}

const kindOwnSummary, kindNotices, kindUpdate = 's', 'q', 'n'

// startFakes starts routers of five zones, of which zone-0 is the first, that a router gets to know by their addresses alone.
func startFakes(t *testing.T, g *gossip.Gossip, routers int) (fakes []*fakeRouter) {
	t.Helper()
	for i := range routers {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		f := &fakeRouter{name: fmt.Sprintf("f%03d", i), zone: fmt.Sprintf("zone-%d", i%5), conn: c}
		go f.receive()
		g.Add(f.name, c.LocalAddr().String())
		fakes = append(fakes, f)
	}
	return fakes
}

func (f *fakeRouter) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.conn.Read(buffer)
		if err != nil {
			return
		}
		f.mu.Lock()
		switch buffer[n-1] {
		case kindOwnSummary:
			f.summaries = append(f.summaries, time.Now())
		case kindNotices:
			f.notices++
		case kindUpdate:
			f.updates++
		}
		f.mu.Unlock()
	}
}

// announce sends a summary of the router to an address each 300 ms until the test ends.
func (f *fakeRouter) announce(t *testing.T, address string) {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	data, err := cbor.Marshal(placement.Summary{Router: f.name, Zone: f.zone, Address: f.conn.LocalAddr().String()})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for range 100 {
			if _, err := f.conn.WriteTo(append(data, kindOwnSummary), to); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

// longestSilence returns the longest time without a summary at the router between two times, and how many came.
func (f *fakeRouter) longestSilence(from, to time.Time) (longest time.Duration, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := from
	for _, at := range append(f.summaries, to) {
		if at.Before(from) || at.After(to) {
			continue
		}
		longest, last = max(longest, at.Sub(last)), at
		count++
	}
	return longest, count - 1
}

// A router of a fleet of 195 that had started sent to all others at once, each 1.2 s, for 37 s; and ever after in each 16th period if
// it had not heard the routers of the other zones.
func TestRouterOfALargeFleetSummarizesOftenFromItsStartOn(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		wholeFleet bool // all routers have just started, so those of other zones are heard, too
	}{
		{"one router started", false},
		{"all routers started", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g, _, _ := startInZone(t, "zone-0", "r1")
			fakes := startFakes(t, g, 194)
			for _, f := range fakes {
				if f.zone == "zone-0" || c.wholeFleet {
					f.announce(t, g.Address())
				}
			}
			time.Sleep(2 * time.Second)
			from := time.Now()
			time.Sleep(10 * time.Second)
			far := 0
			for _, f := range fakes {
				silence, count := f.longestSilence(from, from.Add(10*time.Second))
				if f.zone != "zone-0" {
					far += count
				} else if silence > 800*time.Millisecond || count < 20 {
					t.Errorf("got %d summaries at router %s of the zone in 10 s, with %v between two, want 20 or more, at most 0.8 s", count, f.name, silence)
					return
				}
			}
			if most := 10 * 155; far > most {
				t.Errorf("got %d summaries at the 155 routers of other zones in 10 s, want at most %d", far, most)
			}
		})
	}
}

// All routers must know a new one, since bounds over the fleet are split by their number.
func TestStartedRouterMakesItselfKnownInAllZones(t *testing.T) {
	t.Parallel()
	g, _, _ := startInZone(t, "zone-0", "r1")
	fakes := startFakes(t, g, 194)
	for _, f := range fakes {
		if f.zone == "zone-0" {
			f.announce(t, g.Address())
		}
	}
	began := time.Now()
	time.Sleep(8 * time.Second)
	for _, f := range fakes {
		if _, count := f.longestSilence(began, began.Add(8*time.Second)); count < 2 {
			t.Fatalf("got %d summaries of a started router at router %s of %s in 8 s, want two or more, as one may be lost", count, f.name, f.zone)
		}
	}
}

// Hundreds of answers lost in some seconds were told to each router of the zone in each period.
func TestNoticesOfALargeFleetAreSentLessOftenThanSummaries(t *testing.T) {
	t.Parallel()
	g, r, _ := startInZone(t, "zone-0", "r1")
	fakes := startFakes(t, g, 30)
	for _, f := range fakes {
		f.announce(t, g.Address())
	}
	near := fakes[0]
	if !r.eventually(func() bool { return r.received[near.name] > 0 }) {
		t.Fatal("a router of the zone was not heard within 6 s")
	}
	notices := func() int {
		near.mu.Lock()
		defer near.mu.Unlock()
		return near.notices
	}
	r.mu.Lock()
	r.quarantine.RecordCrash(time.Now(), quarantine.Crash{Server: "i", StartedMs: 1}, 50*time.Millisecond, quarantine.Identity{Digest: 1, Parts: []string{"part"}})
	r.mu.Unlock()
	if !r.eventually(func() bool { return notices() > 0 }) {
		t.Fatal("got no notice of a crash within 6 s")
	}
	time.Sleep(2 * time.Second)
	if got := notices(); got < 3 || got > 7 {
		t.Errorf("got %d notices of a crash in 2 s, want it repeated, and at most each 0.4 s", got)
	}
}
