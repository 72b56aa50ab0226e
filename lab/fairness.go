package lab

// This file defines the experiment fairness: service per customer when all customers
// are backlogged and unevenly spread over the routers.

import (
	"context"
	"time"
)

// Load in the fairness experiments.
const (
	largeCustomerCallers = 100
	smallCustomerCallers = 16
	maxOutputTokens      = 128
	promptBytes          = 120 // prompts are at least this long
)

// unevenGroups returns the load of 3 large customers, at one router, at two and at all
// routers, and of small ones, each at one router.
func unevenGroups(customers, routers int) []CallerGroup {
	var groups []CallerGroup
	for i := range customers {
		g := CallerGroup{Customer: i, Callers: smallCustomerCallers, Routers: []int{i % routers}, MaxTokens: 32 + 96*(i%2), PromptBytes: promptBytes}
		switch i {
		case 0:
			g.Callers = largeCustomerCallers
		case 1:
			g.Callers, g.Routers = largeCustomerCallers, []int{1 % routers, 2 % routers}
		case 2:
			g.Callers, g.Routers = largeCustomerCallers, allRouters(routers)
		}
		groups = append(groups, g)
	}
	return groups
}

// allRouters returns the indices of n routers.
func allRouters(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// allCustomers returns the numbers of n customers.
func allCustomers(n int) []int { return allRouters(n) }

// equalWeight is the weight function of customers that all have weight 1.
func equalWeight(int) float64 { return 1 }

// fairnessOptions returns the options of the current fleet with 12 slots per model server:
// under the baselines, each of the six routers owns an equal, whole number of them.
func fairnessOptions(seed uint64) FleetOptions {
	o := CurrentFleetOptions(seed)
	o.ModelServerOptions.Slots = 12
	o.StartWarm = true
	return o
}

// measureFairness runs the experiment fairness. The target for the service gap is the
// cost of two full batches of one zone's model servers, plus the service that an average
// customer receives while routers do not know of it yet (maxCounterDelay).
func measureFairness(e *Env) (*Report, error) {
	o := fairnessOptions(e.Seed)
	r := &Report{}
	serversPerZone := o.ModelServers / len(o.Zones)
	// A prompt is filled up to promptBytes in steps of 27 bytes. Four bytes of prompt
	// cost 1 and an output token costs 2.
	maxRequestCost := float64(promptBytes+27)/4 + 2*maxOutputTokens
	batchCost := float64(serversPerZone*o.ModelServerOptions.Slots) * maxRequestCost
	for _, p := range []Policy{FleetWide, FirstCome, PerRouter} {
		e.logf("running %s for %v", p, rampTime+measureTime)
		meter, slotUse, l, err := runFairness(o, p, e.Seed)
		if err != nil {
			return nil, err
		}
		customers := allCustomers(o.Customers)
		gap, jain := meter.MaxServiceGap(rampTime, customers, equalWeight), meter.JainIndex(rampTime, customers, equalWeight)
		r.addServicePlot(string(p), meter)
		firstTokenMs := milliseconds(l.FirstTokenPercentile(-1, 50))
		if p != FleetWide {
			r.addBaseline(p, meter.ServiceRate(rampTime), gap, jain, 100*slotUse, float64(l.failed.Load()), firstTokenMs)
			continue
		}
		uncountedCost := meter.ServiceRate(rampTime) * maxCounterDelay.Seconds() / float64(o.Customers)
		r.addFigure("service per second", "cost/s", meter.ServiceRate(rampTime))
		r.addAtMost("largest service gap between two customers, over any interval", "cost", gap, 2*batchCost+uncountedCost)
		r.addAtLeast("Jain's fairness index over 30 s", "", jain, 0.99)
		r.addAtLeast("admitted slots in use while requests wait", "%", 100*slotUse, 98)
		r.addAtMost("failed requests, not-run excluded", "", float64(l.failed.Load()), 0)
		r.addFigure("time to first token p50", "ms", firstTokenMs)
	}
	return r, nil
}

// maxCounterDelay bounds the time until a usage counter reaches every router: a
// heartbeat to the relay, a heartbeat to the other relays and a heartbeat to their zones.
const maxCounterDelay = 3 * time.Second

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// runFairness runs the uneven load under a policy. It returns the meter of the whole
// run, and the share of admitted slots in use (0 to 1) and the load since rampTime.
func runFairness(o FleetOptions, p Policy, seed uint64) (*Meter, float64, *Load, error) {
	s, err := StartSystem(o, p)
	if err != nil {
		return nil, 0, nil, err
	}
	defer s.Close()
	l := NewLoad(s, o.Customers, seed)
	var slotUse float64
	err = runUnderLoad(l, unevenGroups(o.Customers, len(s.RouterAddresses())), func(ctx context.Context) error {
		time.Sleep(rampTime)
		l.Reset()
		ctx, cancel := context.WithTimeout(ctx, measureTime)
		defer cancel()
		meanSlotUse := sampleUtilization(ctx, s.ForEachWindow)
		<-ctx.Done()
		slotUse = meanSlotUse()
		return nil
	})
	return l.meter, slotUse, l, err
}
