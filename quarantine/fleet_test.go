package quarantine_test

// This file defines fleet, which simulates routers that send requests to servers and tell each other of
// crashes, without a network and in simulated time.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bulrushtally/quarantine"
)

// fleet is routers in zones, each with its own Quarantine, and the store's table.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	routers []*quarantine.Quarantine
	zones   int
	cut     int // zone that the other zones do not hear, and that does not hear them; -1 if none
	deaf    map[int]bool
	table   map[quarantine.Suspect]time.Time // when each was listed; zero for one that a router found not to be the cause
	storeUp bool
	crashes int
	passed  int // requests with the deadly part that reached servers
}

const deadly = "deadly"

func newFleet(seed uint64, routers, zones int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), zones: zones, cut: -1, deaf: map[int]bool{}, table: map[quarantine.Suspect]time.Time{}, storeUp: true}
	for range routers {
		f.routers = append(f.routers, quarantine.New())
	}
	return f
}

// send sends a request with parts to a server through a random router. A request with the deadly part crashes
// the server, with bystanders of other routers that had no answer yet.
func (f *fleet) send(digest uint64, bystanders int, parts ...string) (held bool) {
	via := f.random.IntN(len(f.routers))
	return f.sendVia(via, digest, bystanders, parts...)
}

func (f *fleet) sendVia(via int, digest uint64, bystanders int, parts ...string) (held bool) {
	r := quarantine.Identity{Digest: digest, Parts: parts}
	if f.routers[via].Held(r) != nil {
		return true
	}
	for _, p := range parts {
		if p != deadly {
			continue
		}
		f.passed++
		f.crash(via, r, bystanders)
		return false
	}
	f.routers[via].RecordBegun(f.now, r)
	f.routers[via].RecordCompleted(f.now, r)
	return false
}

// crash crashes a server that ran the request and requests of bystanders, with parts that others share.
func (f *fleet) crash(via int, r quarantine.Identity, bystanders int) {
	f.crashes++
	c := quarantine.Crash{Server: fmt.Sprint("i-", f.crashes%9), StartedMs: int64(f.crashes)}
	f.routers[via].RecordCrash(f.now, c, work, r)
	for range bystanders {
		sound := quarantine.Identity{Digest: f.random.Uint64(), Parts: []string{"customer", fmt.Sprint("subject-", f.random.IntN(40))}}
		f.routers[f.random.IntN(len(f.routers))].RecordCrash(f.now, c, work, sound)
	}
}

// hears reports whether router i gets what router j sends.
func (f *fleet) hears(i, j int) bool {
	a, b := i%f.zones, j%f.zones
	return i != j && !f.deaf[i] && !f.deaf[j] && (a == b || a != f.cut && b != f.cut)
}

// pass lets time pass: routers exchange reports, of which some are lost, and use the store's table.
func (f *fleet) pass(d, period time.Duration, lost float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(period) {
		for j, from := range f.routers {
			own, zone := from.OwnReports(f.now), from.ZoneReports(f.now)
			for i, to := range f.routers {
				if !f.hears(i, j) || f.random.Float64() < lost {
					continue
				}
				if i%f.zones == j%f.zones {
					to.Merge(f.now, own, true)
				} else if j < f.zones { // the zone's sender
					to.Merge(f.now, zone, false)
				}
			}
		}
		f.useStore()
	}
}

// useStore lets the routers write and read the store's table.
func (f *fleet) useStore() {
	if !f.storeUp {
		return
	}
	for _, q := range f.routers {
		for _, h := range q.Unwritten(f.now, time.Second) {
			f.table[h.Suspect] = f.now
		}
		for _, s := range q.Outdated(f.now) {
			f.table[s] = time.Time{}
		}
	}
	for _, q := range f.routers {
		for _, s := range q.Listed() {
			if _, ok := f.table[s]; !ok {
				q.Release(f.now, s)
			}
		}
		for s, since := range f.table {
			if since.IsZero() {
				q.Unlist(f.now, s)
				continue
			}
			q.List(f.now, s, f.now.Sub(since))
		}
	}
}

// restart replaces a router by one that knows nothing.
func (f *fleet) restart(i int) { f.routers[i] = quarantine.New() }
