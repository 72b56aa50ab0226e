package gateway_test

// This file tests roll-outs with real routers: what the servers of the stand-in see, and what the store holds at the end.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

// rolloutSettings are the settings of a deployment with roll-outs.
var rolloutSettings = gatewaySettings{graceSeconds: 8, descriptors: 400, memoryMB: 256, retrySlack: 50, bounds: "expose-share = 0.1\nexpose-slack = 50\nrollback-ms = 5000\n"}

// rolloutDesk is a service without streams of two attempts.
var rolloutDesk = platformtest.Service("desk", "read_only", 2, map[string]any{"public": true})

// Figures of the tests' load.
const (
	orderSeconds = 10
	workTime     = 10 * time.Millisecond
	exposeShare  = 0.1
	exposeSlack  = 50
)

// rolloutBed is a testbed of a fleet with a roll-out.
type rolloutBed struct {
	*testbed
	routers  []*testbed
	old, new []*platformtest.Server
	ordered  time.Time
	ended    chan struct{} // ends the load
	load     sync.WaitGroup
	failed   atomic.Int64 // answers other than 200
	answered atomic.Int64
}

// newRolloutBed starts routers and two servers of each version. The routers find the store at the given addresses, or
// directly.
func newRolloutBed(t *testing.T, routers int, addresses map[int]func(s *platformtest.Store) string) *rolloutBed {
	t.Helper()
	s := &testbed{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(s.store.Close)
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, rolloutDesk))
	b := &rolloutBed{testbed: s, ended: make(chan struct{})}
	for n := range 2 {
		b.old = append(b.old, s.startVersion(fmt.Sprintf("old-%d", n), "desk", "v1", 0))
		b.new = append(b.new, s.startVersion(fmt.Sprintf("new-%d", n), "desk", "v2", 0))
	}
	for _, server := range append(b.old, b.new...) {
		server.SetWorkTime(workTime)
	}
	for n := range routers {
		address := s.store.Address()
		if through := addresses[n]; through != nil {
			address = through(s.store)
		}
		b.routers = append(b.routers, s.startRouterWith(address, fmt.Sprintf("fleet-%d", n), rolloutSettings))
	}
	for _, r := range b.routers {
		r.waitReady()
	}
	t.Cleanup(b.endLoad)
	return b
}

// withoutRouters lets three routers find the store where they hear nothing of each other.
var withoutRouters = map[int]func(s *platformtest.Store) string{
	0: (*platformtest.Store).AddressWithoutRouters, 1: (*platformtest.Store).AddressWithoutRouters, 2: (*platformtest.Store).AddressWithoutRouters,
}

// order writes an order.
func (b *rolloutBed) order(to string, seconds float64) {
	b.store.Put("op", "rollout/desk", map[string]any{"service": "desk", "to": to, "duration_s": seconds})
	b.ordered = time.Now()
}

// beginLoad sends requests to a router, perSecond on average, until endLoad.
func (b *rolloutBed) beginLoad(r *testbed, perSecond int) {
	b.load.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-b.ended:
				return
			case <-tick.C:
			}
			b.load.Go(func() {
				if a := r.send("GET", "/desk/x", ""); a.status == 200 {
					b.answered.Add(1)
				} else if a.err == nil {
					b.failed.Add(1)
				}
			})
		}
	})
}

// endLoad ends the load and waits for its requests.
func (b *rolloutBed) endLoad() {
	select {
	case <-b.ended:
	default:
		close(b.ended)
	}
	b.load.Wait()
}

// state returns the state and the version of the row that the fleet has written.
func (b *rolloutBed) state() (state, to string) {
	var row struct{ State, To string }
	if value := b.store.Value("status", "rollout/desk"); value == nil || json.Unmarshal(value, &row) != nil {
		return "", ""
	}
	return row.State, row.To
}

// waitState waits until the row has a state.
func (b *rolloutBed) waitState(d time.Duration, want string) {
	b.t.Helper()
	if !eventually(d, func() bool { state, _ := b.state(); return state == want }) {
		state, to := b.state()
		b.t.Errorf("got state %q of version %q %v after the order, want %q; %s", state, to, time.Since(b.ordered), want, b.steps())
	}
}

// steps returns the lines of all routers about the roll-out.
func (b *rolloutBed) steps() string {
	text := ""
	for n, r := range b.routers {
		text += fmt.Sprintf("\nrouter %d:\n%s", n, r.linesWith("rollout-"))
	}
	return text
}

// linesWith returns the lines of the gateway's log that have a text.
func (s *testbed) linesWith(text string) string {
	found := ""
	for line := range strings.Lines(s.logs.String()) {
		if strings.Contains(line, text) {
			found += line
		}
	}
	return found
}

// received returns how many requests servers received between two times.
func received(servers []*platformtest.Server, from, to time.Time) (n int) {
	for _, s := range servers {
		for _, r := range s.Received() {
			if !r.At.Before(from) && r.At.Before(to) {
				n++
			}
		}
	}
	return n
}

// checkExposure checks that the new version has got no more than the bounds allow a bad one.
func (b *rolloutBed) checkExposure() {
	b.t.Helper()
	end := b.ordered.Add(orderSeconds * time.Second)
	exposed := received(b.new, b.ordered, end)
	all := exposed + received(b.old, b.ordered, end)
	if most := exposeShare*float64(all) + exposeSlack; float64(exposed) > most {
		b.t.Errorf("got %d of %d requests at a bad version, want at most %.0f; %s", exposed, all, most, b.steps())
	}
}

// checkRollback checks that the new version has got no request later than rollback-ms after its 50th bad answer.
func (b *rolloutBed) checkRollback() {
	b.t.Helper()
	var bad []time.Time
	for _, s := range b.new {
		bad = append(bad, s.BadAnswers()...)
	}
	slices.SortFunc(bad, time.Time.Compare)
	if len(bad) < 50 {
		return
	}
	last := bad[49].Add(5 * time.Second)
	if got := received(b.new, last, time.Now()); got > 0 {
		b.t.Errorf("got %d requests at a bad version later than 5 s after its 50th bad answer, want none; %s", got, b.steps())
	}
}

// checkFinal checks that the row stays as it is for a time.
func (b *rolloutBed) checkFinal(want string) {
	b.t.Helper()
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		if state, _ := b.state(); state != want {
			b.t.Errorf("got state %q after %q, want a final one; %s", state, want, b.steps())
			return
		}
	}
}

// The operator's order must end with the new version, and no request may be cut off or sent to the old one afterwards.
func TestGoodVersionIsComplete(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.waitState(orderSeconds*time.Second, "complete")
	completed := time.Now()
	b.checkFinal("complete")
	b.endLoad()
	if got := received(b.old, completed, time.Now()); got > 0 {
		t.Errorf("got %d requests at the old servers after the roll-out was complete, want none; %s", got, b.steps())
	}
	if got := b.failed.Load(); got > 0 {
		t.Errorf("got %d failed answers of %d, want none", got, got+b.answered.Load())
	}
}

// A version that fails a part of its answers, from the start or later, under load or slow, must not be completed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range map[string]platformtest.BadVersion{
		"failing":    {FailShare: 0.4},
		"slow":       {Slower: 6},
		"under load": {FailShare: 0.8, Running: 2},
		"late":       {FailShare: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newRolloutBed(t, 2, nil)
			for _, r := range b.routers {
				b.beginLoad(r, 60)
			}
			time.Sleep(time.Second)
			if name == "late" {
				bad.After = time.Now().Add(4 * time.Second) // while the version is on trial
			}
			for _, s := range b.new {
				s.SetBadVersion(&bad)
			}
			b.order("v2", orderSeconds)
			b.waitState(orderSeconds*time.Second, "rolled_back")
			rolledBack := time.Now()
			b.checkFinal("rolled_back")
			b.endLoad()
			b.checkExposure()
			b.checkRollback()
			if got := received(b.new, rolledBack.Add(200*time.Millisecond), time.Now()); got > 0 {
				t.Errorf("got %d requests at the bad version after it was rolled back, want none; %s", got, b.steps())
			}
		})
	}
}

// A router that had not come as far as the others when it left made them wait for it, beyond the deadline.
func TestRouterThatLeavesDoesNotDelayTheVerdict(t *testing.T) {
	b := newRolloutBed(t, 3, nil)
	for _, r := range b.routers[:2] {
		b.beginLoad(r, 60)
	}
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.routers[2].waitLogged("rollout-step")
	time.Sleep(time.Second)
	b.routers[2].stop()
	b.waitState(orderSeconds*time.Second, "complete")
}

// The router that writes the verdict may be killed before it has: another one has to write it. Here its calls do not reach the
// store any more from before the verdict on.
func TestVerdictIsWrittenThoughTheFirstWriterIsGone(t *testing.T) {
	var link *platformtest.Link
	b := newRolloutBed(t, 2, map[int]func(*platformtest.Store) string{0: func(s *platformtest.Store) string {
		link = newLink(t, s.Address())
		return link.Address()
	}})
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.5, After: time.Now().Add(3 * time.Second)})
	}
	b.order("v2", orderSeconds)
	b.waitState(2*time.Second, "serving")
	link.SetBlocked(platformtest.ToTarget, true)
	stopped := func() bool { return strings.Contains(b.steps(), `"stopped":"more failures"`) }
	if !eventually(orderSeconds*time.Second, stopped) { // by the evidence of either router
		t.Errorf("got no router that stopped the version; %s", b.steps())
	}
	b.routers[0].stop()
	b.waitState(orderSeconds*time.Second, "rolled_back")
	b.endLoad()
	b.checkExposure()
	b.checkRollback()
}

// The response to the write of the verdict is lost: the verdict must stand, and not be written twice with other content.
func TestVerdictStandsThoughTheResponseToItsWriteIsLost(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.waitState(3*time.Second, "serving")
	time.Sleep(2 * time.Second)
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.5})
	}
	b.store.SetFault(platformtest.LostResponses)
	b.waitState(orderSeconds*time.Second, "rolled_back")
	first := string(b.store.Value("status", "rollout/desk"))
	time.Sleep(2 * time.Second)
	b.store.SetFault(platformtest.NoFault)
	time.Sleep(2 * time.Second)
	if got := string(b.store.Value("status", "rollout/desk")); got != first {
		t.Errorf("got the row %s after %s, want it written once; %s", got, first, b.steps())
	}
	b.endLoad()
	b.checkExposure()
	b.checkRollback()
}

// No router learns of an order while the store is away, and one that has read it must not need the store to stop a bad version.
func TestBadVersionIsStoppedWhileTheStoreIsAway(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.5})
	}
	b.order("v2", orderSeconds)
	for _, r := range b.routers {
		r.waitLogged("rollout-ordered")
	}
	b.store.SetFault(platformtest.Unresponsive)
	for _, r := range b.routers {
		if !eventually(orderSeconds*time.Second, func() bool {
			return r.logged("rollout-step", `"stopped":"`, `"reason":"more failures"`) || r.logged("rollout-step", "stopped by another router")
		}) {
			t.Errorf("got no router that stopped the version; %s", b.steps())
		}
	}
	time.Sleep(100 * time.Millisecond)
	stopped := time.Now()
	time.Sleep(time.Until(b.ordered.Add(orderSeconds * time.Second)))
	if got := received(b.new, stopped, time.Now()); got > 0 {
		t.Errorf("got %d requests at the bad version after it was stopped, want none; %s", got, b.steps())
	}
	b.endLoad()
	b.checkExposure()
	b.checkRollback()
	b.store.SetFault(platformtest.NoFault)
	b.waitState(5*time.Second, "rolled_back")
}

// The zone of a router is cut off from the store in the middle of an order. It must keep the bound, and the verdict must not
// differ from that of the others. Messages between routers go on here: no stand-in cuts them off.
func TestRouterWithoutTheStoreForAPartOfTheOrder(t *testing.T) {
	var link *platformtest.Link
	b := newRolloutBed(t, 2, map[int]func(*platformtest.Store) string{1: func(s *platformtest.Store) string {
		link = newLink(t, s.Address())
		return link.Address()
	}})
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.routers[1].waitLogged("rollout-ordered")
	time.Sleep(2 * time.Second)
	for _, d := range []platformtest.Direction{platformtest.ToTarget, platformtest.FromTarget} {
		link.SetBlocked(d, true)
	}
	time.Sleep(3 * time.Second)
	for _, d := range []platformtest.Direction{platformtest.ToTarget, platformtest.FromTarget} {
		link.SetBlocked(d, false)
	}
	b.waitState(orderSeconds*time.Second, "complete")
	b.checkFinal("complete")
	b.endLoad()
	if got := b.failed.Load(); got > 0 {
		t.Errorf("got %d failed answers of %d, want none", got, got+b.answered.Load())
	}
}

// A newer order replaces the older one, whose verdict must not come into the row any more.
func TestOrderIsReplaced(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	third := []*platformtest.Server{b.startVersion("third-0", "desk", "v3", 0), b.startVersion("third-1", "desk", "v3", 0)}
	for _, s := range third {
		s.SetWorkTime(workTime)
	}
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	b.order("v2", orderSeconds)
	b.waitState(3*time.Second, "serving")
	time.Sleep(2 * time.Second)
	b.order("v3", orderSeconds)
	if !eventually(3*time.Second, func() bool { _, to := b.state(); return to == "v3" }) {
		t.Errorf("got no state of the newer order; %s", b.steps())
	}
	b.waitState(orderSeconds*time.Second, "complete")
	if _, to := b.state(); to != "v3" {
		t.Errorf("got version %q complete, want v3; %s", to, b.steps())
	}
	completed := time.Now()
	b.checkFinal("complete")
	b.endLoad()
	if got := received(append(b.old, b.new...), completed, time.Now()); got > 0 {
		t.Errorf("got %d requests at other versions after the roll-out was complete, want none; %s", got, b.steps())
	}
}

// A router that starts in the middle of an order must not begin it anew: it has the deadline of the others.
func TestRouterThatStartsDuringAnOrder(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.3, After: time.Now().Add(4 * time.Second)}) // while it is on trial
	}
	b.order("v2", orderSeconds)
	b.waitState(3*time.Second, "serving")
	time.Sleep(2 * time.Second)
	started := b.startRouterWith(b.store.Address(), "fleet-2", rolloutSettings)
	b.routers = append(b.routers, started)
	started.waitReady()
	b.beginLoad(started, 60)
	started.waitLogged("rollout-ordered")
	var line struct {
		Age float64 `json:"age_ms"`
	}
	if err := json.Unmarshal([]byte(started.linesWith("rollout-ordered")), &line); err != nil || line.Age < 1800 {
		t.Errorf("got an order of age %.0f ms and error %v at a router that started 2 s later, want its age; %s", line.Age, err, b.steps())
	}
	b.waitState(orderSeconds*time.Second, "rolled_back")
	b.endLoad()
	b.checkExposure()
	b.checkRollback()
}

// The store comes back from a copy of before the verdict. The verdict is final, since the old servers may have stopped: it has to
// be written again, and nothing may go to the old version meanwhile.
func TestVerdictOutlastsTheReturnOfAnOlderStore(t *testing.T) {
	b := newRolloutBed(t, 2, nil)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.waitState(3*time.Second, "serving")
	restore := b.store.Copy()
	b.waitState(orderSeconds*time.Second, "complete")
	completed := time.Now()
	time.Sleep(500 * time.Millisecond) // until both routers have read the row
	restore()
	if state, _ := b.state(); state != "serving" {
		t.Fatalf("got state %q in the copy, want serving", state)
	}
	b.waitState(orderSeconds*time.Second, "complete")
	b.checkFinal("complete")
	b.endLoad()
	if got := received(b.old, completed, time.Now()); got > 0 {
		t.Errorf("got %d requests at the old servers after the roll-out was complete, want none; %s", got, b.steps())
	}
}

// Routers that hear nothing of each other must keep the bounds together, each by its part.
func TestBoundsHoldForRoutersThatHearNothingOfEachOther(t *testing.T) {
	b := newRolloutBed(t, 3, withoutRouters)
	for _, r := range b.routers {
		b.beginLoad(r, 60)
	}
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.4})
	}
	b.order("v2", orderSeconds)
	time.Sleep((orderSeconds + 2) * time.Second)
	b.endLoad()
	b.checkExposure()
	b.checkRollback()
	if state, _ := b.state(); state == "complete" {
		t.Errorf("got a bad version complete, want it served or rolled back; %s", b.steps())
	}
	for _, r := range b.routers {
		if r.logged("router-reachable") {
			t.Errorf("got a router that hears another one; the test shows nothing")
		}
	}
}

// The servers of the new version go while all requests go to them. The old ones, which have not been told to stop, must serve, and
// the roll-out must not be complete.
func TestOldVersionServesIfTheNewOneIsGone(t *testing.T) {
	b := newRolloutBed(t, 1, nil)
	b.beginLoad(b.routers[0], 60)
	time.Sleep(time.Second)
	b.order("v2", orderSeconds)
	b.routers[0].waitLogged("rollout-ordered")
	if !eventually(orderSeconds*time.Second, func() bool { return b.routers[0].logged("rollout-step", `"stage":4`) }) {
		t.Fatalf("got no shift; %s", b.steps())
	}
	for n := range b.new {
		b.store.Delete("servers", fmt.Sprintf("new-%d", n))
	}
	b.waitGone("new-0")
	before := received(b.old, b.ordered, time.Now())
	time.Sleep(2 * time.Second)
	b.endLoad()
	if state, _ := b.state(); state == "complete" {
		t.Errorf("got a roll-out complete without a server of the new version; %s", b.steps())
	}
	if got := received(b.old, b.ordered, time.Now()) - before; got < 60 {
		t.Errorf("got %d requests at the old servers in 2 s after the new ones had gone, want most of 120; %s", got, b.steps())
	}
}

// waitGone waits until the first router has removed a server.
func (b *rolloutBed) waitGone(id string) {
	b.t.Helper()
	b.routers[0].waitLogged("server-unlisted", id)
}

// A stream that runs on an old server when the roll-out could be complete must not be cut off with that server, nor go on at the
// other version.
func TestCompleteWaitsForTheStreamsOfOldServers(t *testing.T) {
	s := &testbed{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(s.store.Close)
	models := platformtest.Service("models", "stream", 2, map[string]any{"resumable": true, "public": true, "timeout_ms": 20000, "engine": map[string]any{"slots": 64, "kv_capacity": 444000, "moves": true}})
	s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, models))
	b := &rolloutBed{testbed: s, ended: make(chan struct{})}
	const events = 7
	for n := range 4 {
		b.old = append(b.old, s.startVersion(fmt.Sprintf("old-%d", n), "models", "old", events))
		b.new = append(b.new, s.startVersion(fmt.Sprintf("newer-%d", n), "models", "newer", events))
	}
	for _, server := range append(b.old, b.new...) {
		server.SetDefaultBehaviour(platformtest.SlowEvents)
	}
	for n := range 2 {
		b.routers = append(b.routers, s.startRouterWith(s.store.Address(), fmt.Sprintf("fleet-%d", n), rolloutSettings))
		b.routers[n].waitReady()
	}
	t.Cleanup(b.endLoad)
	var mixed, cut atomic.Int64
	stream := func(r *testbed, n int) {
		a := r.send("POST", fmt.Sprintf("/models/%d", n), "prompt", "Token-Count", "2000,100")
		if versions := writers(a.body); len(versions) > 1 {
			mixed.Add(1)
		}
		if a.status == 200 && (a.err != nil || strings.Count(a.body, "id: ") != events) {
			cut.Add(1)
		}
	}
	for _, r := range b.routers {
		b.load.Go(func() {
			tick := time.NewTicker(40 * time.Millisecond)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-b.ended:
					return
				case <-tick.C:
					b.load.Go(func() { stream(r, n) })
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	b.store.Put("op", "rollout/models", map[string]any{"service": "models", "to": "newer", "duration_s": orderSeconds + 4})
	b.ordered = time.Now()
	complete := func() bool { return strings.Contains(string(b.store.Value("status", "rollout/models")), `"complete"`) }
	if !eventually((orderSeconds+8)*time.Second, complete) {
		t.Fatalf("got no complete roll-out, but %s; %s", b.store.Value("status", "rollout/models"), b.steps())
	}
	for _, server := range b.old {
		server.Close() // as the platform stops them: what still runs is cut off
	}
	time.Sleep(time.Second)
	b.endLoad()
	if mixed.Load() > 0 || cut.Load() > 0 {
		t.Errorf("got %d streams of two versions and %d cut off, want none; %s", mixed.Load(), cut.Load(), b.steps())
	}
}

// A deployment without the bounds must neither read nor write rows of roll-outs, and serve as before.
func TestOrderIsIgnoredWithoutTheBounds(t *testing.T) {
	s := newTestbed(t, rolloutDesk)
	one, two := s.startVersion("old-0", "desk", "v1", 0), s.startVersion("new-0", "desk", "v2", 0)
	s.waitReady()
	s.store.Put("op", "rollout/desk", map[string]any{"service": "desk", "to": "v2", "duration_s": 1})
	for range 200 {
		s.send("GET", "/desk/x", "")
	}
	time.Sleep(1500 * time.Millisecond)
	if len(one.Received()) < 40 || len(two.Received()) < 40 {
		t.Errorf("got %d and %d requests at the versions, want some at both", len(one.Received()), len(two.Received()))
	}
	if s.store.Row("status", "rollout/desk") || s.logged("rollout-") {
		t.Errorf("got a row or a log line of a roll-out, want none; log:\n%s", s.logs)
	}
}

// A router that had stopped the new version read that another one had written complete, and sent requests to no version at all.
func TestRouterThatStoppedTheVersionServesOnceItIsComplete(t *testing.T) {
	var link *platformtest.Link
	b := newRolloutBed(t, 1, map[int]func(*platformtest.Store) string{0: func(s *platformtest.Store) string {
		link = newLink(t, s.Address())
		return link.Address()
	}})
	b.beginLoad(b.routers[0], 60)
	for _, s := range b.new {
		s.SetBadVersion(&platformtest.BadVersion{FailShare: 0.5, After: time.Now().Add(2 * time.Second)})
	}
	b.order("v2", orderSeconds)
	b.waitState(2*time.Second, "serving")
	link.SetBlocked(platformtest.ToTarget, true)
	if !eventually(10*time.Second, func() bool { return strings.Contains(b.steps(), `"stopped":"more failures"`) }) {
		t.Fatalf("got no stop of a version that fails; steps:\n%s", b.steps())
	}
	value := string(b.store.Value("status", "rollout/desk"))
	b.store.Put("status", "rollout/desk", json.RawMessage(strings.Replace(value, `"serving"`, `"complete"`, 1)))
	for _, s := range b.new {
		s.SetBadVersion(nil)
	}
	link.SetBlocked(platformtest.ToTarget, false)
	if !eventually(8*time.Second, func() bool { return strings.Contains(b.steps(), `"state":"complete"`) }) {
		t.Fatalf("got no step to complete; steps:\n%s", b.steps())
	}
	time.Sleep(200 * time.Millisecond) // for requests that were placed before
	failed := b.failed.Load()
	time.Sleep(time.Second)
	if got := b.failed.Load() - failed; got > 0 {
		t.Errorf("got %d failed requests in a second after complete was read, want 0", got)
	}
	b.endLoad()
}
