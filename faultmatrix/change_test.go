package faultmatrix_test

// This file runs the cells of a configuration change: one router commits a change and sends it to
// another, with the cell's faults injected at its step.

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/ledger"
)

// configReplica is a router's copy of the configuration.
type configReplica struct {
	harness      *harness
	t            *testing.T
	store        *config.Store
	disconnected bool // receives no changes from other routers
}

// newConfigReplica returns a replica with an empty store.
func newConfigReplica(t *testing.T, h *harness) *configReplica {
	r := &configReplica{harness: h, t: t}
	r.restart()
	return r
}

// restart gives the router an empty store, as after a restart, and checks that revisions only
// increase in it.
func (r *configReplica) restart() {
	r.store = config.NewStore()
	last := uint64(0)
	r.store.Watch(func(v *config.View) {
		r.harness.reached(stepInForce)
		if v.Revision() <= last {
			r.t.Errorf("revision went from %d to %d", last, v.Revision())
		}
		last = v.Revision()
	})
}

// receive applies a change sent by another router. If changes before it are missing, it reads them
// from the log.
func (r *configReplica) receive(c *config.Change) {
	r.harness.reached(stepSpread)
	if r.disconnected {
		return
	}
	var gap *config.SequenceError
	if err := r.store.ApplyChanges(c); errors.As(err, &gap) {
		r.catchUp()
	}
}

// catchUp brings the store to the log's newest revision. While the platform fails it tries again,
// at most 200 times.
func (r *configReplica) catchUp() {
	for range 200 {
		if r.harness.log.CatchUp(r.store) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runChangeCell runs a cell and returns whether its step was reached.
func runChangeCell(t *testing.T, c cell) bool {
	h := newHarness(t)
	defer h.close()
	routers := []*configReplica{newConfigReplica(t, h), newConfigReplica(t, h)}
	for _, r := range routers {
		r.catchUp()
	}
	var mu sync.Mutex
	reached := false
	h.arm(c.step, true, func() {
		mu.Lock()
		reached = true
		mu.Unlock()
		for _, f := range c.faults {
			h.injectIntoChange(routers, f)
		}
	})
	version := routers[0].store.View().Get(config.KindCustomer, lab.CustomerName(0)).Version
	wish := config.ChangeRequest{BaseVersion: version, Object: &config.Object{Kind: config.KindCustomer, Name: lab.CustomerName(0), Labels: map[string]string{"weight": "3"}}}
	accepted, err := h.commitUntilKnown(routers[0].store, "the-change", "kingston", wish)
	if accepted != nil {
		routers[1].receive(accepted)
	}
	h.disarm()
	h.table.setFaults(tableFaults{})
	h.checkLog(c, accepted, err)
	for _, r := range routers {
		r.catchUp()
		if got, want := r.store.View().Revision(), h.headRevision(); got != want {
			t.Errorf("%v: a router ends at revision %d, want %d", c, got, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return reached
}

// commitUntilKnown commits a change, and repeats it with the same request number while the platform
// fails or it is unknown whether the change was accepted, at most 100 times.
func (h *harness) commitUntilKnown(s *config.Store, number, office string, wish config.ChangeRequest) (*config.Change, error) {
	var c *config.Change
	var err error
	for range 100 {
		c, err = h.commitChange(s, number, office, wish)
		var platformError *ledger.Error
		var inDoubt *ledger.InDoubtError
		if !errors.As(err, &platformError) && !errors.As(err, &inDoubt) {
			return c, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return c, err
}

// injectIntoChange makes a fault happen to the change in progress.
func (h *harness) injectIntoChange(routers []*configReplica, f fault) {
	switch f {
	case faultPartition:
		routers[1].disconnected = true
	case faultRestart:
		routers[1].restart()
	case faultLeaderPaused:
		time.Sleep(50 * time.Millisecond)
		h.changeFromOtherOffice(lab.CustomerName(1))
	case faultConflictingChanges:
		h.changeFromOtherOffice(lab.CustomerName(0))
	default:
		h.inject(f)
	}
}

// changeFromOtherOffice has another office change a customer through a third router. It gives up if
// the platform fails.
func (h *harness) changeFromOtherOffice(customer string) {
	wish := config.ChangeRequest{AnyVersion: true, Object: &config.Object{Kind: config.KindCustomer, Name: customer, Labels: map[string]string{"weight": "2"}}}
	s := config.NewStore()
	if err := h.log.CatchUp(s); err != nil {
		return
	}
	h.commitChange(s, fmt.Sprintf("other-%d", h.lastID.Add(1)), "lahore", wish)
}

// headRevision returns the log's newest revision.
func (h *harness) headRevision() uint64 {
	revision, err := h.log.Head()
	if err != nil {
		h.t.Error(err)
	}
	return revision
}

// checkLog checks that the log's revisions are consecutive, and that it has the change exactly once
// if it was accepted and not at all if it was refused.
func (h *harness) checkLog(c cell, accepted *config.Change, err error) {
	s := config.NewStore()
	if err := h.log.CatchUp(s); err != nil {
		h.t.Fatal(err)
	}
	changes, _ := s.Since(0)
	found := 0
	for i, change := range changes {
		if change.Revision != uint64(i+1) {
			h.t.Errorf("%v: the log has revision %d, want %d", c, change.Revision, i+1)
		}
		if change.RequestNumber == "the-change" {
			found++
		}
	}
	var conflict *config.ConflictError
	switch {
	case accepted != nil && found != 1:
		h.t.Errorf("%v: the change was accepted, but is %d times in the log", c, found)
	case accepted == nil && found != 0:
		h.t.Errorf("%v: the change was refused with %v, but is %d times in the log", c, err, found)
	case accepted == nil && !errors.As(err, &conflict):
		h.t.Errorf("%v: the change was neither accepted nor refused: %v", c, err)
	}
}
