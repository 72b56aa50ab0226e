package router_test

import (
	"context"
	"fmt"
	"testing"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/ledger"
)

// TestBackendDrains drains a backend server in each of the three ways: by a label in the
// configuration, by the platform's VM list, and by the server's own load report. It must get no
// new requests, no call may fail, and it must get requests again afterwards.
func TestBackendDrains(t *testing.T) {
	o := smallFleet(9)
	o.Zones, o.PlainServers = []string{"kgn-a"}, 0
	f := startFleet(t, o)
	setLabel := func(on bool) {
		e := f.Routers[0].ConfigStore().View().Get(config.KindBackend, "engine-00").Clone()
		delete(e.Labels, config.LabelLeaving)
		if on {
			e.Labels[config.LabelLeaving] = "true"
		}
		if err := f.CommitChange(config.ChangeRequest{Object: e, AnyVersion: true}); err != nil {
			t.Fatal(err)
		}
	}
	setVMList := func(on bool) {
		f.Platform.SetVMs([]ledger.VM{{Name: "engine-00", Role: ledger.RoleBackend, Zone: "kgn-a", Leaving: on}})
	}
	methods := []struct {
		name string
		set  func(on bool)
	}{{"label", setLabel}, {"list", setVMList}, {"load report", f.ModelServers[0].SetLeaving}}
	c := lab.NewClient()
	n := 0
	call := func() {
		n++
		if r := c.Complete(context.Background(), f.Routers[0].Address(), lab.CustomerName(n%2), fmt.Sprintf("leaving %d", n), 8, true); !r.Succeeded() {
			t.Errorf("call while a backend server drains: %+v", r)
		}
	}
	// idle reports whether the model server gets none of 10 consecutive calls.
	idle := func() bool {
		before := f.ModelServers[0].Stats().Requests
		for range 10 {
			call()
		}
		return f.ModelServers[0].Stats().Requests == before
	}
	for _, w := range methods {
		w.set(true)
		eventually(t, "no new requests while draining by "+w.name, idle)
		w.set(false)
		eventually(t, "new requests after draining by "+w.name, func() bool { return !idle() })
	}
}
