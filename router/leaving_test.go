package router_test

import (
	"context"
	"fmt"
	"testing"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/ledger"
)

// TestBackendLeaves drains a backend server in each of the ways there are: it gets
// nothing new, what runs ends whole, and it comes back.
func TestBackendLeaves(t *testing.T) {
	o := small(9)
	o.Zones, o.Plains = []string{"kgn-a"}, 0
	f := startFleet(t, o)
	label := func(on bool) {
		e := f.Routers[0].Store().View().Get(config.KindBackend, "engine-00").Clone()
		delete(e.Labels, config.LabelLeaving)
		if on {
			e.Labels[config.LabelLeaving] = "true"
		}
		if err := f.Apply(config.Wish{Object: e, Any: true}); err != nil {
			t.Fatal(err)
		}
	}
	list := func(on bool) {
		f.Platform.SetVMs([]ledger.VM{{Name: "engine-00", Role: ledger.RoleBackend, Zone: "kgn-a", Leaving: on}})
	}
	ways := []struct {
		name string
		set  func(on bool)
	}{{"label", label}, {"list", list}, {"signal", f.Engines[0].SetLeaving}}
	c := lab.NewClient()
	n := 0
	call := func() {
		n++
		if r := c.Complete(context.Background(), f.Routers[0].Address(), lab.Customer(n%2), fmt.Sprintf("leaving %d", n), 8, true); !r.Good() {
			t.Errorf("call while a server leaves: %+v", r)
		}
	}
	// quiet reports whether 10 calls in a row leave the engine alone.
	quiet := func() bool {
		before := f.Engines[0].Stats().Requests
		for range 10 {
			call()
		}
		return f.Engines[0].Stats().Requests == before
	}
	for _, w := range ways {
		w.set(true)
		eventually(t, "nothing new after leaving by "+w.name, quiet)
		w.set(false)
		eventually(t, "work again after leaving by "+w.name, func() bool { return !quiet() })
	}
}
