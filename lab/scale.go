package lab

// This file defines the experiment scale: control traffic, CPU time and memory of fleets
// of several sizes. docs/CAPACITY.md extrapolates the slopes to the target size.

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"bulrushtally/config"
)

const scaleSampleTime = 12 * time.Second

// Targets for what a router may use for control.
const (
	maxControlBytesPerSecond = 3000
	maxControlCPUPercent     = 3.3 // of a core
	maxControlMemoryMB       = 256
)

// measureScale runs the experiment scale.
func measureScale(e *Env) (*Report, error) {
	r := &Report{}
	for _, n := range []struct{ zones, perZone int }{{3, 2}, {6, 2}, {12, 2}, {24, 2}, {24, 8}, {24, 17}} {
		if err := measureRouters(e, r, n.zones, n.perZone); err != nil {
			return r, err
		}
	}
	for _, n := range []int{4, 8, 16, 32} {
		if err := measureCustomers(e, r, n); err != nil {
			return r, err
		}
	}
	for _, n := range []int{12, 48, 96} {
		if err := measureBackends(e, r, n); err != nil {
			return r, err
		}
	}
	measureConfiguration(e, r)
	return r, nil
}

// zoneNames returns n names of zones.
func zoneNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("zone-%02d", i)
	}
	return list
}

// measureRouters measures what a router of an idle fleet uses, as the number of routers grows.
func measureRouters(e *Env, r *Report, zones, perZone int) error {
	o := CurrentFleetOptions(e.Seed)
	o.Zones, o.RoutersPerZone, o.ModelServers, o.PlainServers, o.Customers = zoneNames(zones), perZone, zones, 0, 4
	routers := zones * perZone
	e.logf("%d idle routers in %d zones", routers, zones)
	memoryBefore := memoryInUse()
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return err
	}
	defer s.Close()
	time.Sleep(6 * time.Second) // until the member lists no longer change
	memoryMB := (memoryInUse() - memoryBefore) / float64(routers) / 1e6
	sentBefore, cpuBefore := s.controlBytesSent(), cpuTime()
	time.Sleep(scaleSampleTime)
	cpuPercent := 100 * (cpuTime() - cpuBefore).Seconds() / scaleSampleTime.Seconds() / float64(routers)
	meanRate, maxRate := controlRates(sentBefore, s.controlBytesSent())
	prefix := fmt.Sprintf("%d idle routers in %d zones: ", routers, zones)
	r.addFigure(prefix+"control traffic sent, mean router", "B/s", meanRate)
	if routers == 6 {
		r.addAtMost(prefix+"control traffic sent, busiest router", "B/s", maxRate, 1000)
		r.addAtMost(prefix+"processor", "% of a core", cpuPercent, 1)
	} else {
		r.addAtMost(prefix+"control traffic sent, busiest router", "B/s", maxRate, maxControlBytesPerSecond)
		r.addAtMost(prefix+"processor", "% of a core", cpuPercent, maxControlCPUPercent)
	}
	r.addAtMost(prefix+"memory", "MB", memoryMB, maxControlMemoryMB)
	return nil
}

// controlBytesSent returns the bytes of control traffic that each router has sent.
func (s *System) controlBytesSent() []int64 {
	var list []int64
	for _, r := range s.Routers {
		list = append(list, r.Traffic().ControlBytesOut.Load())
	}
	return list
}

// controlRates returns the mean and the maximum over the routers of the bytes per second
// sent between two samples that are scaleSampleTime apart.
func controlRates(before, after []int64) (mean, maximum float64) {
	for i := range after {
		rate := float64(after[i]-before[i]) / scaleSampleTime.Seconds()
		mean += rate / float64(len(after))
		maximum = max(maximum, rate)
	}
	return mean, maximum
}

// measureCustomers measures the control traffic of the current fleet with a number of
// backlogged customers.
func measureCustomers(e *Env, r *Report, customers int) error {
	o := CurrentFleetOptions(e.Seed)
	o.StartWarm, o.Customers = true, customers
	e.logf("%d backlogged customers", customers)
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return err
	}
	defer s.Close()
	var groups []CallerGroup
	for i := range customers {
		groups = append(groups, CallerGroup{Customer: i, Callers: 160 / customers, Routers: []int{i % 6}, MaxTokens: 64, PromptBytes: promptBytes})
	}
	return runUnderLoad(NewLoad(s, customers, e.Seed), groups, func(context.Context) error {
		time.Sleep(8 * time.Second)
		sentBefore := s.controlBytesSent()
		time.Sleep(scaleSampleTime)
		meanRate, maxRate := controlRates(sentBefore, s.controlBytesSent())
		prefix := fmt.Sprintf("6 routers, %d backlogged customers: ", customers)
		r.addFigure(prefix+"control traffic sent, mean router", "B/s", meanRate)
		if customers == 16 {
			r.addAtMost(prefix+"control traffic sent, busiest router", "B/s", maxRate, 1000)
		} else {
			r.addFigure(prefix+"control traffic sent, busiest router", "B/s", maxRate)
		}
		return nil
	})
}

// measureBackends measures the CPU time that an idle fleet uses to monitor its backend
// servers, as their number grows.
func measureBackends(e *Env, r *Report, servers int) error {
	o := CurrentFleetOptions(e.Seed)
	o.ModelServers, o.PlainServers = servers, 0
	e.logf("%d idle backend servers", servers)
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return err
	}
	defer s.Close()
	time.Sleep(2 * time.Second)
	cpuBefore := cpuTime()
	time.Sleep(scaleSampleTime)
	cpuPercent := 100 * (cpuTime() - cpuBefore).Seconds() / scaleSampleTime.Seconds()
	r.addFigure(fmt.Sprintf("%d idle backend servers: CPU of all routers and stand-ins", servers), "% of a core", cpuPercent)
	return nil
}

// measureConfiguration measures the memory and CPU time that a configuration of the
// target size takes in one router.
func measureConfiguration(e *Env, r *Report) {
	const servers, customers, zones, services = 11_000, 320, 24, 13
	e.logf("a configuration of %d backend servers and %d customers", servers, customers)
	memoryBefore := memoryInUse()
	state := largeState(servers, customers, zones, services)
	view := config.NewView(state)
	for _, shard := range view.AllShards() {
		view.BackendMask(CustomerName(0), shard.ID)
	}
	r.addFigure("configuration of the target size: memory", "MB", (memoryInUse()-memoryBefore)/1e6)
	const changes = 20
	cpuBefore := cpuTime()
	for i := range changes {
		w := config.ChangeRequest{AnyVersion: true, Object: &config.Object{Kind: config.KindCustomer, Name: CustomerName(i), Labels: map[string]string{"weight": "2"}}}
		c, _, err := config.Plan(state, w)
		if err != nil {
			break
		}
		state, _ = state.Apply(c)
	}
	cpuAfter := cpuTime()
	r.addFigure("configuration of the target size: CPU time to accept a change", "ms", milliseconds((cpuAfter-cpuBefore)/changes))
	backend := view.Get(config.KindBackend, "engine-00000")
	for _, object := range []*config.Object{{Kind: config.KindCustomer, Name: CustomerName(0)}, backend} {
		cpuBeforeApply := cpuTime()
		for range changes {
			c := &config.Change{Revision: state.Revision() + 1, After: object}
			state, _ = state.Apply(c)
			view = view.Next(state, c)
		}
		figureName := fmt.Sprintf("configuration of the target size: CPU time to apply a change of a %s", object.Kind)
		r.addFigure(figureName, "ms", milliseconds((cpuTime()-cpuBeforeApply)/changes))
	}
	runtime.KeepAlive(view)
}

// largeState returns a configuration of the given size. It restores it from a snapshot,
// without planning a change for each object.
func largeState(servers, customers, zones, services int) *config.State {
	snapshot := config.Snapshot{Revision: 1}
	add := func(o *config.Object) { snapshot.Objects = append(snapshot.Objects, o) }
	for i := range zones {
		add(&config.Object{Kind: config.KindZone, Name: zoneNames(zones)[i]})
	}
	for i := range services {
		name := fmt.Sprintf("model-%02d", i)
		add(&config.Object{Kind: config.KindService, Name: name})
		add(&config.Object{Kind: config.KindAccess, Name: name, Service: name, CustomerSelector: "tier!=none", BackendSelector: "!broken"})
	}
	for i := range customers {
		add(&config.Object{Kind: config.KindCustomer, Name: CustomerName(i), Labels: map[string]string{"tier": "gold"}})
	}
	perZoneAndService := servers / zones / services
	for i := range servers {
		add(&config.Object{
			Kind: config.KindBackend, Name: fmt.Sprintf("engine-%05d", i), Service: fmt.Sprintf("model-%02d", i%services),
			Zone: zoneNames(zones)[i/services%zones], Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250),
			Shard: i / services / zones / max(1, perZoneAndService) % 2, Labels: map[string]string{"slots": "8"},
		})
	}
	return snapshot.Restore()
}
