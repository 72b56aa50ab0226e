package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/fleet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(vm, zone string, incarnation uint64) fleet.Member {
	return fleet.Member{VM: vm, Zone: zone, Incarnation: incarnation, Ready: true, Address: vm + ":1"}
}

func newMembers(vm, zone string) *fleet.Members {
	return fleet.NewMembers(member(vm, zone, 1))
}

func TestRoutersAgreeOnLeaderAndDropSilentOnes(t *testing.T) {
	vms := []string{"a-0", "a-1", "a-2"}
	views := map[string]*fleet.Members{}
	for _, vm := range vms {
		views[vm] = newMembers(vm, "a")
		for _, other := range vms {
			views[vm].Observe(epoch, member(other, "a", 1))
		}
	}
	leaders := map[string]int{}
	for n := range 60 {
		shard := fmt.Sprintf("models/a/%d", n)
		want, _ := views["a-0"].Leader("a", shard)
		leaders[want.VM]++
		for _, vm := range vms {
			if got, _ := views[vm].Leader("a", shard); got.VM != want.VM {
				t.Fatalf("router %s computes leader %s for shard %s, want %s", vm, got.VM, shard, want.VM)
			}
		}
	}
	for _, vm := range vms {
		if leaders[vm] < 5 {
			t.Errorf("router %s leads %d of 60 shards", vm, leaders[vm])
		}
	}
	v := views["a-0"]
	v.Observe(epoch.Add(2*time.Second), member("a-1", "a", 1))
	expired := v.Expire(epoch.Add(3 * time.Second))
	if len(expired) != 1 || expired[0].VM != "a-2" {
		t.Errorf("routers expired after 3 s: %+v, want a-2", expired)
	}
	for n := range 60 {
		if got, _ := v.Leader("a", fmt.Sprintf("models/a/%d", n)); got.VM == "a-2" {
			t.Error("an expired router still leads a shard")
		}
	}
}

func TestLeaderMustBeReadyAndNotLeaving(t *testing.T) {
	m := newMembers("a-0", "a")
	m.UpdateSelf(1, true, true)
	if _, ok := m.Leader("a", "x"); ok {
		t.Error("a leaving router leads")
	}
	m.UpdateSelf(1, false, false)
	if _, ok := m.Leader("a", "x"); ok {
		t.Error("a router that is not ready leads")
	}
	m.UpdateSelf(1, true, false)
	if got, ok := m.Leader("a", "x"); !ok || got.VM != "a-0" {
		t.Error("the only router does not lead")
	}
}

func TestStaleIncarnationIsIgnoredAndOwnIsRaised(t *testing.T) {
	m := newMembers("a-0", "a")
	m.Observe(epoch, member("a-1", "a", 7))
	stale := member("a-1", "a", 6)
	stale.Ready = false
	m.Observe(epoch, stale)
	if got, _ := m.Get("a-1"); got.Incarnation != 7 || !got.Ready {
		t.Errorf("state of an earlier incarnation was applied: %+v", got)
	}
	m.Observe(epoch, member("a-0", "a", 9))
	if got, want := m.Self().Incarnation, uint64(10); got != want {
		t.Errorf("own incarnation after receiving a higher one: %d, want %d", got, want)
	}
}

func TestRelayListRemovesUnlistedRouters(t *testing.T) {
	m := newMembers("a-0", "a")
	m.Observe(epoch, member("b-0", "b", 1))
	m.Observe(epoch, member("b-1", "b", 1))
	now := epoch.Add(3 * time.Second)
	m.ConfirmAlive(now, member("b-0", "b", 1))
	dropped := m.RemoveUnlisted(now, []fleet.Member{member("b-0", "b", 1)}, func(z string) bool { return z == "b" })
	if _, ok := m.Get("b-1"); ok || !dropped {
		t.Error("a router that is missing from its relay's list is still live")
	}
	if _, ok := m.Get("b-0"); !ok {
		t.Error("a listed router was removed")
	}
}

var key = fleet.CounterKey{Service: "models", Customer: "c"}.ID()

// router is one router's UsageCounters with the sum of the charges for its schedulers.
type router struct {
	*fleet.UsageCounters
	vm, zone string
	counted  float64
	relay    bool
}

func (r *router) receive(now time.Time, m fleet.CounterUpdate) {
	for _, c := range r.Merge(now, m) {
		r.counted += c.Cost
	}
}

// newFleet returns two zones of two routers each. The first router of a zone is its relay.
func newFleet() []*router {
	var list []*router
	for _, zone := range []string{"a", "b"} {
		for n := range 2 {
			vm := fmt.Sprintf("%s-%d", zone, n)
			r := &router{UsageCounters: fleet.NewUsageCounters(epoch, vm, 1), vm: vm, zone: zone, relay: n == 0}
			r.SetRelay(epoch, r.relay)
			list = append(list, r)
		}
	}
	return list
}

// exchange sends one round of heartbeats, except those for which drop returns true.
func exchange(now time.Time, list []*router, drop func(from, to *router) bool) {
	type message struct {
		from         *router
		toZone       []fleet.CounterUpdate
		toOtherZones []fleet.CounterUpdate
	}
	var out []message
	for _, r := range list {
		m := message{from: r}
		if s, ok := r.NextUpdate(now, fleet.ScopeRouter); ok {
			m.toZone = append(m.toZone, s)
		}
		if r.relay {
			if s, ok := r.NextUpdate(now, fleet.ScopeOtherZones); ok {
				m.toZone = append(m.toZone, s)
			}
			if s, ok := r.NextUpdate(now, fleet.ScopeZone); ok {
				m.toOtherZones = append(m.toOtherZones, s)
			}
		}
		out = append(out, m)
	}
	for _, m := range out {
		for _, to := range list {
			if to == m.from || drop(m.from, to) {
				continue
			}
			updates := m.toZone
			if to.zone != m.from.zone {
				if !to.relay {
					continue
				}
				updates = m.toOtherZones
			}
			for _, s := range updates {
				to.receive(now, s)
			}
		}
	}
}

func dropNone(_, _ *router) bool { return false }

// TestCountersConvergeAfterMessageLoss adds random service at random routers, drops the
// messages of random routers, and checks that every router finally has counted all
// service of the other routers exactly once.
func TestCountersConvergeAfterMessageLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newFleet()
		now := epoch
		givenByRouter := map[string]float64{}
		total := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			now = now.Add(time.Second)
			r := list[rapid.IntRange(0, 3).Draw(t, "router")]
			cost := float64(rapid.IntRange(-50, 500).Draw(t, "cost"))
			r.Add(key, cost)
			givenByRouter[r.vm] += cost
			total += cost
			lost := rapid.IntRange(0, 3).Draw(t, "lost")
			exchange(now, list, func(from, _ *router) bool { return from == list[lost] })
		}
		// A counter is sent only after a change, so one more change of each compensates
		// for lost messages.
		for _, r := range list {
			r.Add(key, 1)
			givenByRouter[r.vm]++
			total++
		}
		for range 4 {
			now = now.Add(time.Second)
			exchange(now, list, dropNone)
		}
		for _, r := range list {
			if got, want := r.counted, total-givenByRouter[r.vm]; got != want {
				t.Errorf("router %s counted %.0f of other routers' service, want %.0f", r.vm, got, want)
			}
		}
	})
}

func TestNewRouterTakesExistingCountersAsBaseline(t *testing.T) {
	sender := fleet.NewUsageCounters(epoch, "a-0", 1)
	sender.Add(key, 1000)
	now := epoch.Add(time.Hour)
	m, _ := sender.NextUpdate(now, fleet.ScopeRouter)
	newRouter := fleet.NewUsageCounters(now, "a-1", 1)
	if got := newRouter.Merge(now, m); len(got) != 0 {
		t.Errorf("new router counted cost served before it started: %v", got)
	}
	sender.Add(key, 10)
	m, _ = sender.NextUpdate(now, fleet.ScopeRouter)
	if got, want := fmt.Sprint(newRouter.Merge(now, m)), fmt.Sprintf("[{%d 10}]", key); got != want {
		t.Errorf("new router counted %s, want %s", got, want)
	}
	if got := newRouter.Merge(now, m); len(got) != 0 {
		t.Errorf("a duplicate message was counted again: %v", got)
	}
}

func TestNewRelayDoesNotRecountEarlierService(t *testing.T) {
	list := newFleet()
	now := epoch
	for range 5 {
		now = now.Add(time.Second)
		list[1].Add(key, 100)
		exchange(now, list, dropNone)
	}
	for range 3 {
		now = now.Add(time.Second)
		exchange(now, list, dropNone)
	}
	before := list[3].counted
	for i, relay := range []bool{false, true} {
		list[i].relay = relay
		list[i].SetRelay(now, relay)
	}
	list[1].Add(key, 7)
	for range 4 {
		now = now.Add(time.Second)
		exchange(now, list, dropNone)
	}
	if got, want := list[3].counted-before, 7.0; got != want {
		t.Errorf("service counted after the relay changed: %.0f, want %.0f", got, want)
	}
}
