package faultmatrix_test

// This file runs the matrix's cells of a change: two routers with stores of their
// own have changes accepted, with the cell's faults at its step.

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

// replica is a router's store in the cells of a change.
type replica struct {
	world *world
	t     *testing.T
	store *config.Store
	cut   bool
}

func newReplica(t *testing.T, w *world) *replica {
	r := &replica{world: w, t: t}
	r.restart()
	return r
}

// restart gives the router an empty store, as after a start with no memory.
func (r *replica) restart() {
	r.store = config.NewStore()
	last := uint64(0)
	r.store.Watch(func(v *config.View) {
		r.world.at(atForce)
		if v.Revision() <= last {
			r.t.Errorf("revision went from %d to %d", last, v.Revision())
		}
		last = v.Revision()
	})
}

// hear takes in a change that another router sends.
func (r *replica) hear(c *config.Change) {
	r.world.at(atSpread)
	if r.cut {
		return
	}
	var gap *config.SequenceError
	if err := r.store.Offer(c); errors.As(err, &gap) {
		r.catchUp()
	}
}

// catchUp asks the platform until it answers.
func (r *replica) catchUp() {
	for range 200 {
		if r.world.log.CatchUp(r.store) == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runChange runs a cell and returns whether its step was reached.
func runChange(t *testing.T, c cell) bool {
	w := newWorld(t)
	defer w.close()
	routers := []*replica{newReplica(t, w), newReplica(t, w)}
	for _, r := range routers {
		r.catchUp()
	}
	var mu sync.Mutex
	reached := false
	w.arm(c.step, func() {
		mu.Lock()
		reached = true
		mu.Unlock()
		for _, f := range c.faults {
			w.injectChange(routers, f)
		}
	})
	base := routers[0].store.View().Get(config.KindCustomer, lab.Customer(0)).Version
	wish := config.Wish{Version: base, Object: &config.Object{Kind: config.KindCustomer, Name: lab.Customer(0), Labels: map[string]string{"weight": "3"}}}
	accepted, err := w.settle(routers[0].store, "the-change", "kingston", wish)
	if accepted != nil {
		routers[1].hear(accepted)
	}
	w.arm("", nil)
	w.table.set(tableFaults{})
	w.checkChange(c, accepted, err)
	for _, r := range routers {
		r.catchUp()
		if got, want := r.store.View().Revision(), w.head(); got != want {
			t.Errorf("%v: a router ends at revision %d, want %d", c, got, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return reached
}

// settle asks for a change, again with the same number until its fate is known.
func (w *world) settle(s *config.Store, number, office string, wish config.Wish) (*config.Change, error) {
	var c *config.Change
	var err error
	for range 100 {
		c, err = w.change(s, number, office, wish)
		var pe *ledger.Error
		var doubt *ledger.InDoubtError
		if !errors.As(err, &pe) && !errors.As(err, &doubt) {
			return c, err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return c, err
}

// injectChange makes a fault happen to a change.
func (w *world) injectChange(routers []*replica, f fault) {
	switch f {
	case partitioned:
		routers[1].cut = true
	case restarted:
		routers[1].restart()
	case paused:
		time.Sleep(50 * time.Millisecond)
		w.otherOffice(lab.Customer(1))
	case officesRace:
		w.otherOffice(lab.Customer(0))
	default:
		w.inject(f)
	}
}

// otherOffice has the other office change a customer, through a router of its own.
func (w *world) otherOffice(customer string) {
	wish := config.Wish{Any: true, Object: &config.Object{Kind: config.KindCustomer, Name: customer, Labels: map[string]string{"weight": "2"}}}
	s := config.NewStore()
	if err := w.log.CatchUp(s); err != nil {
		return
	}
	w.change(s, fmt.Sprintf("other-%d", w.lives.Add(1)), "lahore", wish)
}

func (w *world) head() uint64 {
	h, err := w.log.Head()
	if err != nil {
		w.t.Error(err)
	}
	return h
}

// checkChange checks that the log has the change exactly if it was accepted, once.
func (w *world) checkChange(c cell, accepted *config.Change, err error) {
	s := config.NewStore()
	if err := w.log.CatchUp(s); err != nil {
		w.t.Fatal(err)
	}
	list, _ := s.Since(0)
	n := 0
	for i, x := range list {
		if x.Revision != uint64(i+1) {
			w.t.Errorf("%v: revision %d stands where %d should", c, x.Revision, i+1)
		}
		if x.Request == "the-change" {
			n++
		}
	}
	var conflict *config.ConflictError
	switch {
	case accepted != nil && n != 1:
		w.t.Errorf("%v: accepted, but %d times in the log", c, n)
	case accepted == nil && n != 0:
		w.t.Errorf("%v: refused with %v, but %d times in the log", c, err, n)
	case accepted == nil && !errors.As(err, &conflict):
		w.t.Errorf("%v: neither accepted nor refused: %v", c, err)
	}
}
