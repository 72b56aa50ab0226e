package lab

// This file defines the experiment scale: slopes of control traffic, processor
// time and memory, from which docs/CAPACITY.md works out the target size.

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bulrushtally/config"
)

const scaleTime = 12 * time.Second

// Limits of a node's spending on control, from the target.
const (
	controlBytes     = 3000 // per second
	controlProcessor = 3.3  // percent of a core
	controlMemory    = 256  // MB
)

func scale(e *Env) (*Report, error) {
	r := &Report{}
	for _, n := range []struct{ zones, perZone int }{{3, 2}, {6, 2}, {12, 2}, {24, 2}, {24, 8}, {24, 17}} {
		if err := scaleNodes(e, r, n.zones, n.perZone); err != nil {
			return r, err
		}
	}
	for _, n := range []int{4, 8, 16, 32} {
		if err := scaleCustomers(e, r, n); err != nil {
			return r, err
		}
	}
	for _, n := range []int{12, 48, 96} {
		if err := scaleBackends(e, r, n); err != nil {
			return r, err
		}
	}
	scaleConfiguration(e, r)
	return r, nil
}

// zoneNames returns names of zones.
func zoneNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("zone-%02d", i)
	}
	return list
}

// scaleNodes measures an idle fleet.
func scaleNodes(e *Env, r *Report, zones, perZone int) error {
	o := Today(e.Seed)
	o.Zones, o.RoutersPerZone, o.Engines, o.Plains, o.Customers = zoneNames(zones), perZone, zones, 0, 4
	nodes := zones * perZone
	e.say("%d idle nodes in %d zones", nodes, zones)
	before := heap()
	s, err := StartSystem(o, Ours)
	if err != nil {
		return err
	}
	defer s.Close()
	time.Sleep(6 * time.Second) // lists of members settle
	memory := (heap() - before) / float64(nodes) / 1e6
	was, cpu := s.controlOut(), processorTime()
	time.Sleep(scaleTime)
	used := 100 * (processorTime() - cpu).Seconds() / scaleTime.Seconds() / float64(nodes)
	mean, most := spending(was, s.controlOut())
	name := fmt.Sprintf("%d nodes in %d zones, idle: ", nodes, zones)
	r.figure(name+"control sent, mean node", "B/s", mean)
	if nodes == 6 {
		r.atMost(name+"control sent, busiest node", "B/s", most, 1000)
		r.atMost(name+"processor", "% of a core", used, 1)
	} else {
		r.atMost(name+"control sent, busiest node", "B/s", most, controlBytes)
		r.atMost(name+"processor", "% of a core", used, controlProcessor)
	}
	r.atMost(name+"memory", "MB", memory, controlMemory)
	return nil
}

// controlOut returns the control bytes that each router has sent.
func (s *System) controlOut() []int64 {
	var list []int64
	for _, r := range s.Routers {
		list = append(list, r.Traffic().ControlOut.Load())
	}
	return list
}

func spending(before, after []int64) (mean, most float64) {
	for i := range after {
		x := float64(after[i]-before[i]) / scaleTime.Seconds()
		mean += x / float64(len(after))
		most = max(most, x)
	}
	return mean, most
}

// scaleCustomers measures today's fleet with a number of backlogged customers.
func scaleCustomers(e *Env, r *Report, customers int) error {
	o := Today(e.Seed)
	o.Warm, o.Customers = true, customers
	e.say("%d backlogged customers", customers)
	s, err := StartSystem(o, Ours)
	if err != nil {
		return err
	}
	defer s.Close()
	var groups []Group
	for i := range customers {
		groups = append(groups, Group{Customer: i, Callers: 160 / customers, Routers: []int{i % 6}, MaxTokens: 64, Prompt: promptBytes})
	}
	return under(NewLoad(s, customers, e.Seed), groups, func(context.Context) error {
		time.Sleep(8 * time.Second)
		was := s.controlOut()
		time.Sleep(scaleTime)
		mean, most := spending(was, s.controlOut())
		name := fmt.Sprintf("6 nodes, %d backlogged customers: ", customers)
		r.figure(name+"control sent, mean node", "B/s", mean)
		if customers == 16 {
			r.atMost(name+"control sent, busiest node", "B/s", most, 1000)
		} else {
			r.figure(name+"control sent, busiest node", "B/s", most)
		}
		return nil
	})
}

// scaleBackends measures what watching backend servers costs.
func scaleBackends(e *Env, r *Report, engines int) error {
	o := Today(e.Seed)
	o.Engines, o.Plains = engines, 0
	e.say("%d idle backend servers", engines)
	s, err := StartSystem(o, Ours)
	if err != nil {
		return err
	}
	defer s.Close()
	time.Sleep(2 * time.Second)
	cpu := processorTime()
	time.Sleep(scaleTime)
	used := 100 * (processorTime() - cpu).Seconds() / scaleTime.Seconds()
	r.figure(fmt.Sprintf("%d idle backend servers, stand-ins included: processor of all", engines), "% of a core", used)
	return nil
}

// scaleConfiguration measures the target's configuration in one router.
func scaleConfiguration(e *Env, r *Report) {
	const servers, customers, zones, services = 11_000, 320, 24, 13
	e.say("a configuration of %d backend servers and %d customers", servers, customers)
	before := heap()
	s := bigState(servers, customers, zones, services)
	v := config.NewView(s)
	for _, sh := range v.AllShards() {
		v.Mask(Customer(0), sh.ID)
	}
	r.figure("target's configuration: memory", "MB", (heap()-before)/1e6)
	const steps = 20
	cpu := processorTime()
	for i := range steps {
		w := config.Wish{Any: true, Object: &config.Object{Kind: config.KindCustomer, Name: Customer(i), Labels: map[string]string{"weight": "2"}}}
		c, _, err := config.Plan(s, w)
		if err != nil {
			break
		}
		s, _ = s.Apply(c)
	}
	planned := processorTime()
	r.figure("target's configuration: processor to accept a change", "ms", ms((planned-cpu)/steps))
	moved := v.Get(config.KindBackend, "engine-00000")
	for _, after := range []*config.Object{{Kind: config.KindCustomer, Name: Customer(0)}, moved} {
		began := processorTime()
		for range steps {
			c := &config.Change{Revision: s.Revision() + 1, After: after}
			s, _ = s.Apply(c)
			v = v.Next(s, c)
		}
		name := fmt.Sprintf("target's configuration: processor to put a change of a %s in force", after.Kind)
		r.figure(name, "ms", ms((processorTime()-began)/steps))
	}
	runtime.KeepAlive(v)
}

// bigState builds a configuration without planning each step.
func bigState(servers, customers, zones, services int) *config.State {
	snap := config.Snapshot{Revision: 1}
	add := func(o *config.Object) { snap.Objects = append(snap.Objects, o) }
	for i := range zones {
		add(&config.Object{Kind: config.KindZone, Name: zoneNames(zones)[i]})
	}
	for i := range services {
		name := fmt.Sprintf("model-%02d", i)
		add(&config.Object{Kind: config.KindService, Name: name})
		add(&config.Object{Kind: config.KindAccess, Name: name, Service: name, CustomerSelector: "tier!=none", BackendSelector: "!broken"})
	}
	for i := range customers {
		add(&config.Object{Kind: config.KindCustomer, Name: Customer(i), Labels: map[string]string{"tier": "gold"}})
	}
	perShard := servers / zones / services
	for i := range servers {
		add(&config.Object{
			Kind: config.KindBackend, Name: fmt.Sprintf("engine-%05d", i), Service: fmt.Sprintf("model-%02d", i%services),
			Zone: zoneNames(zones)[i/services%zones], Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250),
			Shard: i / services / zones / max(1, perShard) % 2, Labels: map[string]string{"slots": "8"},
		})
	}
	return snap.Restore()
}
