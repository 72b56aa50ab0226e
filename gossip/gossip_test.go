package gossip_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"bulrushtally/gossip"
	"bulrushtally/placement"
	"bulrushtally/quarantine"
	"bulrushtally/rollout"
	"bulrushtally/serverload"
	"bulrushtally/streamversion"
)

// recordingHandler records the summaries and calls that it receives.
type recordingHandler struct {
	name string
	zone string

	mu           sync.Mutex
	received     map[string]int
	unreachable  map[string]bool
	alive        int
	address      string
	zoneHeardAt  map[string]time.Time     // when the last zone summary came, by zone
	zoneSilence  map[string]time.Duration // longest time between two zone summaries, by zone
	quarantine   *quarantine.Quarantine
	collector    string                    // that the router's last stream report was for
	told         map[string]bool           // by router whose stream report came: whether this router was a collector then
	rollouts     map[string]rollout.Report // by router
	rolloutZones map[string]string         // zone of a router whose reports came
	speeds       map[string][]uint64       // numbers of the reports of speeds that came, by router
	hears        map[string][]string       // zones that a router says it hears, by router
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
	r.hears[m.Router] = nil
	for _, zone := range m.Hears {
		r.hears[m.Router] = append(r.hears[m.Router], zone.(string))
	}
	if m.ZoneRouters == 0 {
		return
	}
	now := time.Now()
	if last, ok := r.zoneHeardAt[m.Zone]; ok {
		r.zoneSilence[m.Zone] = max(r.zoneSilence[m.Zone], now.Sub(last))
	}
	r.zoneHeardAt[m.Zone] = now
}

// silence returns the longest time without a summary of a zone since the last call, up to now.
func (r *recordingHandler) silence(zone string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(r.zoneSilence[zone], time.Since(r.zoneHeardAt[zone]))
	clear(r.zoneSilence)
	return longest
}

func (r *recordingHandler) ZoneSummary() *placement.Summary {
	m := r.Summary()
	m.Router, m.Sender, m.Zone, m.ZoneRouters = "zone/"+r.name, r.name, r.zone, 1
	return m
}

func (r *recordingHandler) ZoneUpdate() *gossip.ZoneUpdate { return nil }

func (r *recordingHandler) ApplyZoneUpdate(*gossip.ZoneUpdate) {}

func (r *recordingHandler) Notices(zone bool) *gossip.Notices {
	r.mu.Lock()
	defer r.mu.Unlock()
	if zone {
		return &gossip.Notices{Quarantine: r.quarantine.ZoneReports(time.Now())}
	}
	return &gossip.Notices{Quarantine: r.quarantine.OwnReports(time.Now())}
}

// StreamReport reports a stream at a version that has the router's name.
func (r *recordingHandler) StreamReport(collector string) *streamversion.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector = collector
	return &streamversion.Report{Begun: map[string][]byte{r.name: make([]byte, 8)}}
}

// SpeedReport reports one server that is slow, under the router's name.
func (r *recordingHandler) SpeedReport() *serverload.Report {
	return &serverload.Report{Incarnation: 1, Speeds: []serverload.Speed{{Key: serverload.Key(r.name, 1), Percent: 150, Weight: 9}}}
}

func (r *recordingHandler) ApplySpeedReport(report *serverload.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.speeds == nil {
		r.speeds = map[string][]uint64{}
	}
	if len(report.Speeds) > 0 && report.Speeds[0].Key == serverload.Key(report.Router, 1) {
		r.speeds[report.Router] = append(r.speeds[report.Router], report.Sequence)
	}
}

func (r *recordingHandler) ApplyStreamReport(report *streamversion.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range report.Begun {
		r.told[name] = r.collector == ""
	}
}

func (r *recordingHandler) ApplyNotices(m *gossip.Notices, sameZone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Merge(time.Now(), m.Quarantine, sameZone)
}

// RolloutReports reports of a roll-out in which this router has the number of its name's bytes of requests.
func (r *recordingHandler) RolloutReports(zone bool) []rollout.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := []rollout.Report{{Service: "desk", Router: r.name, Incarnation: 1, Sequence: 1, Requests: uint64(len(r.name))}}
	if !zone {
		return own
	}
	for _, report := range r.rollouts {
		if r.rolloutZones[report.Router] == r.zone {
			own = append(own, report)
		}
	}
	return own
}

func (r *recordingHandler) ApplyRolloutReports(m *gossip.RolloutReports) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range m.Reports {
		r.rollouts[report.Router], r.rolloutZones[report.Router] = report, m.Zone
	}
}

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
	r := &recordingHandler{name: name, zone: zone, quarantine: quarantine.New(), received: map[string]int{}, unreachable: map[string]bool{}, zoneHeardAt: map[string]time.Time{}, zoneSilence: map[string]time.Duration{}, told: map[string]bool{}, hears: map[string][]string{}, rollouts: map[string]rollout.Report{}, rolloutZones: map[string]string{}}
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

// startLargeFleet starts routers r00, r01 and so on, alternately of zone-a and zone-b, that know each other.
// It also returns the functions that stop them.
func startLargeFleet(t *testing.T) (routers []*recordingHandler, stops map[string]context.CancelFunc) {
	t.Helper()
	stops = map[string]context.CancelFunc{}
	for i := range gossip.ZoneSummaryThreshold + 4 {
		g, r, stop := startInZone(t, []string{"zone-a", "zone-b"}[i%2], fmt.Sprintf("r%02d", i))
		stops[r.name] = stop
		for _, o := range routers {
			g.Add(o.name, o.address)
		}
		routers = append(routers, r)
	}
	return routers, stops
}

// In a large fleet, the first router of each group of a zone is told the streams of the others.
func TestCollectorIsToldTheStreamsOfItsGroup(t *testing.T) {
	routers, _ := startLargeFleet(t) // r00, r02 to r22 in one zone
	for _, collector := range []int{0, 12} {
		r := routers[collector]
		others := func() bool {
			for i := collector + 2; i < collector+2*streamversion.GroupSize; i += 2 {
				if !r.told[routers[i].name] {
					return false
				}
			}
			return r.collector == ""
		}
		if !r.eventually(others) {
			t.Errorf("got reports of %v at %s, want of all others of its group", r.told, r.name)
		}
	}
	if !routers[4].eventually(func() bool { return routers[4].collector == "r00" }) || !routers[22].eventually(func() bool { return routers[22].collector == "r12" }) {
		t.Errorf("got collectors %q and %q, want r00 and r12", routers[4].collector, routers[22].collector)
	}
}

// In a large fleet zones receive each other's zone summaries, also after the router that sends
// them for a zone has stopped.
func TestZonesExchangeSummaries(t *testing.T) {
	routers, stops := startLargeFleet(t)
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

// Three routers of a zone see one crash each; all routers of both zones must hold the part.
func TestCrashesSeenByDifferentRoutersHoldAPartInAllZones(t *testing.T) {
	routers, _ := startLargeFleet(t)
	for _, r := range routers {
		if !r.eventually(func() bool { return r.received["zone/r00"]+r.received["zone/r01"] > 0 }) {
			t.Fatalf("router %s received no zone summary within 6 s", r.name)
		}
	}
	request := quarantine.Identity{Digest: 9, Parts: []string{"part"}}
	for i, r := range []*recordingHandler{routers[6], routers[8], routers[10]} { // of zone-a, none of them sends for the zone
		r.mu.Lock()
		r.quarantine.RecordCrash(time.Now(), quarantine.Crash{Server: "i", StartedMs: int64(i)}, 50*time.Millisecond, quarantine.Identity{Digest: uint64(i + 1), Parts: []string{"part"}})
		r.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	for _, r := range routers {
		if !r.eventually(func() bool { return r.quarantine.Held(request) != nil }) {
			t.Errorf("router %s does not hold the part of three crashes within 6 s", r.name)
		}
	}
}

// A returned router is first by name again at once; it sent no zone summary for 32 periods, and nobody else did.
// A verdict takes the reports of all routers, also of those that send nothing to this one themselves.
func TestReportsOfRolloutsReachAllRoutersOfALargeFleet(t *testing.T) {
	routers, _ := startLargeFleet(t)
	for _, r := range routers {
		if !r.eventually(func() bool { return len(r.rollouts) == len(routers)-1 }) {
			t.Errorf("%s: got reports of %d routers, want all %d others", r.name, len(r.rollouts), len(routers)-1)
		}
	}
}

func TestZoneIsHeardWhileItsFirstRouterReturns(t *testing.T) {
	routers, stops := startLargeFleet(t)
	last := routers[len(routers)-1] // of zone-b
	hearsZoneFrom := func(sender string) bool {
		return last.eventually(func() bool { n := last.received["zone/"+sender]; clear(last.received); return n > 0 })
	}
	if !hearsZoneFrom("r00") {
		t.Fatal("a router received no summary of the other zone within 6 s")
	}
	stops["r00"]()
	if !hearsZoneFrom("r02") {
		t.Fatal("no other router sends the zone's summary within 6 s after the first one stopped")
	}
	g, _, _ := startInZone(t, "zone-a", "r00")
	for _, o := range routers[1:] {
		g.Add(o.name, o.address)
	}
	last.silence("zone-a")
	time.Sleep(8 * time.Second)
	const reachable = 2 * time.Second // time without summaries after which a zone counts as unreachable
	if got := last.silence("zone-a"); got > reachable {
		t.Errorf("the other zone was silent for %v while its first router returned, want at most %v", got, reachable)
	}
	if !hearsZoneFrom("r00") {
		t.Error("the returned router does not send its zone's summary within 6 s")
	}
}

// A router that is cut off within its zone takes itself for the sender; its summary of one router replaced the zone's.
func TestZoneSummaryOfFewerRoutersIsIgnored(t *testing.T) {
	g, r, _ := start(t, "r1")
	c, err := net.Dial("udp4", g.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const kindForwarded = 'p'
	for _, m := range []placement.Summary{
		{Router: "whole", Zone: "zone-b", Sender: "b1", ZoneRouters: 5},
		{Router: "part", Zone: "zone-b", Sender: "b2", ZoneRouters: 1},
		{Router: "whole", Zone: "zone-b", Sender: "b1", ZoneRouters: 4},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(append(data, kindForwarded)); err != nil {
			t.Fatal(err)
		}
	}
	if !r.eventually(func() bool { return r.received["whole"] == 2 }) {
		t.Fatal("the router did not receive two summaries of the whole zone within 6 s")
	}
	if got := r.received["part"]; got != 0 {
		t.Errorf("got %d summaries of a part of the zone, want 0", got)
	}
}

// While a zone was unreachable, only the two of its routers that were heard last were sent zone summaries; if both
// had gone, the zones never heard each other again.
func TestUnreachableZoneIsTriedAtAllItsRouters(t *testing.T) {
	g, _, _ := startInZone(t, "zone-a", "a1")
	to, err := net.ResolveUDPAddr("udp4", g.Address())
	if err != nil {
		t.Fatal(err)
	}
	const kindSummary, kindZone = 's', 'z'
	tried := make(chan int, 10000)
	for i := range gossip.ZoneSummaryThreshold {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		data, err := cbor.Marshal(placement.Summary{Router: fmt.Sprintf("b%02d", i), Zone: "zone-b", Address: c.LocalAddr().String()})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.WriteTo(append(data, kindSummary), to); err != nil {
			t.Fatal(err)
		}
		go func() {
			buffer := make([]byte, 64<<10)
			for {
				n, err := c.Read(buffer)
				if err != nil {
					return
				}
				if buffer[n-1] == kindZone {
					tried <- i
				}
			}
		}()
	}
	seen := map[int]bool{}
	for deadline := time.After(10 * time.Second); len(seen) < gossip.ZoneSummaryThreshold; {
		select {
		case i := <-tried:
			seen[i] = true
		case <-deadline:
			t.Fatalf("got zone summaries at %d of %d routers of a zone that is silent, want all", len(seen), gossip.ZoneSummaryThreshold)
		}
	}
}
