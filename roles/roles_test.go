package roles_test

// This file tests the decision for the deployments that are known, and the agreement of routers.

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushtally/roles"
)

// class is requests of one kind.
type class struct {
	shared, own, events, tokens int     // tokens of the prompt; events and tokens in each
	perSecond                   float64 // over all routers
}

// deployment is a deployment under its usual load.
type deployment struct {
	name            string
	servers, slots  int
	tokensPerMs     float64 // of prefill
	stepMs, perSlot float64
	kvBytes         int
	mbps, setUpMs   float64
	gapMs           float64
	classes         []class
	split           bool // wanted
}

// deployments are those of docs/design/roles.md.
var deployments = []deployment{
	{"A", 9, 64, 140, 2.2, 0, 131072, 1100000, 1.7, 300, []class{{5382, 6610, 38, 10, 35.8}, {198, 628, 29, 10, 134}, {568, 1800, 2, 10, 96.6}}, true},
	{"B", 9, 64, 64.2, 4.23, 0.0008, 163840, 1100000, 1.7, 400, []class{{5382, 6610, 64, 6, 21.7}, {198, 628, 49, 6, 73.7}, {568, 1800, 4, 6, 42.2}}, true},
	{"C", 60, 64, 64.2, 4.23, 0.0008, 163840, 1100000, 1.7, 500, []class{{5382, 6610, 55, 7, 174}, {198, 628, 42, 7, 588}, {568, 1800, 3, 7, 337}}, true},
	{"D", 90, 16, 140, 2.2, 0, 131072, 1100000, 1.7, 300, []class{{5382, 6610, 26, 15, 345}, {198, 628, 19, 15, 621}, {568, 1800, 2, 15, 986}}, true},
	{"E", 140, 12, 56.6, 3.79, 0.089, 18432, 370000, 5.0, 500, []class{{5382, 6610, 42, 9, 292}, {198, 628, 32, 9, 481}, {568, 1800, 3, 9, 515}}, false},
	{"F", 90, 16, 101, 2.97, 0.022, 327680, 260000, 2.7, 400, []class{{5382, 6610, 35, 11, 359}, {198, 628, 26, 11, 415}, {568, 1800, 2, 11, 712}}, false},
	{"G", 140, 12, 56.6, 3.79, 0.089, 18432, 370000, 5.0, 500, []class{{6300, 2890, 7, 8, 933}, {568, 1800, 3, 8, 961}, {172, 543, 35, 8, 231}}, false},
}

// engine returns the engine as a router sees it while all slots are used. The time to set up a migration is unknown to routers.
func (d *deployment) engine() roles.Engine {
	return roles.Engine{
		Slots: d.slots, PrefillMsPerToken: 1 / d.tokensPerMs, TokenMs: d.stepMs + d.perSlot*float64(d.slots), EventGapMs: d.gapMs,
		KVBytes: d.kvBytes, LinkMbps: d.mbps,
	}
}

// perSecond returns the rate of all classes.
func (d *deployment) perSecond() float64 {
	sum := 0.0
	for _, c := range d.classes {
		sum += c.perSecond
	}
	return sum
}

// costPerSecond returns the cost of all requests of a second.
func (d *deployment) costPerSecond() float64 { return d.meanWork().Cost * d.perSecond() }

// request returns a request of a class with its lengths times the two factors. Long prefills and short outputs are those of
// package placement.
func (d *deployment) request(c class, promptFactor, outputFactor float64) roles.Request {
	own, output := int(float64(c.own)*promptFactor), int(float64(c.events*c.tokens)*outputFactor)
	prompt := c.shared + own
	cost := float64(own) * (1 + 4.1e-5*(float64(prompt)-float64(own)/2))
	short := output <= 64
	fraction := 0.06
	if short {
		fraction = 0.035
	}
	return roles.Request{PromptTokens: prompt, OutputTokens: output, Cost: float64(prompt + 2*output), PrefillCost: cost, LongPrefill: cost/d.tokensPerMs > fraction*d.gapMs, ShortOutput: short}
}

// meanWork returns the mean work of the requests.
func (d *deployment) meanWork() roles.Work {
	var sum roles.Work
	for _, c := range d.classes {
		var mix roles.Mix
		mix.Add(d.request(c, 1, 1))
		w, share := mix.Mean(), c.perSecond/d.perSecond()
		sum.Cost += w.Cost * share
		sum.LongPrefill += w.LongPrefill * share
		sum.ShortPrefill += w.ShortPrefill * share
		sum.MigratedOutput += w.MigratedOutput * share
		sum.StayingOutput += w.StayingOutput * share
		sum.ShortOutput += w.ShortOutput * share
		sum.Streams += w.Streams * share
		sum.Migrations += w.Migrations * share
		sum.MigratedPrompt += w.MigratedPrompt * share
	}
	return sum
}

// draw returns a random request; its lengths vary around the means of its class by the given deviation of their logarithms.
func (d *deployment) draw(r *rand.Rand, deviation float64) roles.Request {
	at := r.Float64() * d.perSecond()
	vary := func() float64 { return math.Exp(deviation*r.NormFloat64() - deviation*deviation/2) }
	for _, c := range d.classes {
		if at -= c.perSecond; at < 0 {
			return d.request(c, vary(), vary())
		}
	}
	return d.request(d.classes[0], vary(), vary())
}

// routerOf is one router's decision and its view of the load.
type routerOf struct {
	*deployment
	random  *rand.Rand
	decider roles.Decider
	mix     roles.Mix
}

// run lets requests arrive for a number of seconds at a multiple of the usual rate, of which the router sees its part.
func (r *routerOf) run(start time.Time, seconds int, load, part, deviation float64) (changes int) {
	for s := range seconds {
		for range int(r.perSecond() * load * part) {
			r.mix.Add(r.draw(r.random, deviation))
		}
		cost := r.costPerSecond() * load * (1 + 0.05*r.random.NormFloat64()) // reports are late
		in := roles.Inputs{Servers: r.servers, Engine: r.engine(), Mix: &r.mix, CostPerSecond: cost}
		if d, report := r.decider.Update(start.Add(time.Duration(s)*time.Second), in); report && d.Changed {
			changes++
		}
	}
	return changes
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A constant split was wrong on E and F, and none was wrong on A to D.
func TestRolesOfKnownDeployments(t *testing.T) {
	for _, d := range deployments {
		a := roles.Assess(d.servers, d.engine(), d.meanWork(), d.perSecond())
		t.Logf("%s: load %.2f of prefill and %.2f of decode servers, %.2f together, capacity %.3f, at risk %.2f, migration %.0f ms of %.0f", d.name, a.Prefill, a.Decode, a.Together, a.Capacity(), a.AtRisk, a.MigrationMs, d.gapMs)
		for seed := range uint64(5) {
			r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(seed, 1))}
			r.run(start, 60, 1, 0.02, 0)
			if got, want := r.decider.Split(), d.split; got != want {
				t.Errorf("%s, seed %d: got a split %v, want %v: %+v", d.name, seed, got, want, a)
			}
		}
	}
}

// A pool that changes its roles with each burst moves the caches of all its servers. Deployments that were right must come
// through bursts, quiet times and retries of refused callers as they are.
func TestRolesStayThroughBurstsAndQuietTimes(t *testing.T) {
	for _, d := range deployments {
		for seed := range uint64(5) {
			r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(seed, 2))}
			changes, at := r.run(start, 60, 1, 0.02, 0.3), start.Add(time.Minute)
			for _, period := range []struct {
				load    float64
				seconds int
			}{{0.3, 60}, {1.1, 60}, {1.5, 5}, {1, 60}, {0.9, 60}, {2, 2}, {1, 60}} {
				changes += r.run(at, period.seconds, period.load, 0.02, 0.3)
				at = at.Add(time.Duration(period.seconds) * time.Second)
			}
			want := 0
			if !d.split {
				want = 1
			}
			if changes != want || r.decider.Split() != d.split {
				t.Errorf("%s, seed %d: got %d changes and a split %v, want %d and %v", d.name, seed, changes, r.decider.Split(), want, d.split)
			}
		}
	}
}

// Routers that disagree send long prompts to servers that other routers let decode. Each sees a hundredth of the requests and a rate of
// its own.
func TestRoutersWithDifferentInputsAgree(t *testing.T) {
	for _, d := range deployments {
		const routers = 60
		differ := 0
		for n := range uint64(routers) {
			r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(n, 3))}
			r.run(start, 90, 1, 0.01, 0.5)
			if r.decider.Split() != d.split {
				differ++
			}
		}
		if differ > 0 {
			t.Errorf("%s: got %d of %d routers without the decision %v", d.name, differ, routers, d.split)
		}
	}
}

// B without a split lost the event gaps of half of its streams, at a load at which its prefill servers were full.
func TestPrefillThatLacksServersDoesNotEndTheSplit(t *testing.T) {
	for _, d := range deployments[:3] {
		r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(1, 7))}
		if changes := r.run(start, 300, 2, 0.02, 0.5); changes > 0 || !r.decider.Split() {
			t.Errorf("%s: got %d changes at twice the load, want none", d.name, changes)
		}
	}
}

// A zone that is out of service for some seconds must not change the roles of the servers that are left.
func TestRolesStayWhileAZoneIsOutOfService(t *testing.T) {
	for _, d := range deployments[:4] {
		r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(1, 8))}
		changes := r.run(start, 60, 1, 0.02, 0.3)
		whole := d.servers
		d.servers = whole * 2 / 3
		changes += r.run(start.Add(time.Minute), 8, 1, 0.02, 0.3)
		d.servers = whole
		changes += r.run(start.Add(68*time.Second), 60, 1, 0.02, 0.3)
		if changes > 0 || !r.decider.Split() {
			t.Errorf("%s: got %d changes while a third of the servers was out of service, want none", d.name, changes)
		}
	}
}

// A load that varies around a limit must not change the roles again and again; a load that stays low splits the pool again.
func TestRolesChangeSlowly(t *testing.T) {
	e := deployments[4]
	r := routerOf{deployment: &e, random: rand.New(rand.NewPCG(1, 6))}
	at, changes := start, 0
	for i := range 20 { // around the limit on the load
		changes += r.run(at, 30, 0.95+0.1*float64(i%2), 0.02, 0)
		at = at.Add(30 * time.Second)
	}
	if changes > 1 || r.decider.Split() {
		t.Errorf("got %d changes and a split %v around the limit, want 1 and false", changes, r.decider.Split())
	}
	if changes := r.run(at, 300, 0.3, 0.02, 0); changes != 1 || !r.decider.Split() {
		t.Errorf("got %d changes and a split %v in five quiet minutes, want 1 and true", changes, r.decider.Split())
	}
}

// A router that knows no link, or has seen few requests, must not change what was there.
func TestRolesStayWithoutEvidence(t *testing.T) {
	e := deployments[4]
	for _, c := range []struct {
		name   string
		change func(*roles.Inputs)
	}{
		{"no link", func(in *roles.Inputs) { in.Engine.LinkMbps = 0 }},
		{"no size of the KV cache", func(in *roles.Inputs) { in.Engine.KVBytes = 0 }},
		{"no time of a token", func(in *roles.Inputs) { in.Engine.TokenMs = 0 }},
		{"few servers", func(in *roles.Inputs) { in.Servers = roles.MinServers - 1 }},
		{"few requests", func(in *roles.Inputs) { in.Mix = &roles.Mix{} }},
	} {
		var mix roles.Mix
		random := rand.New(rand.NewPCG(1, 4))
		for range 2000 {
			mix.Add(e.draw(random, 0))
		}
		var d roles.Decider
		for s := range 60 {
			in := roles.Inputs{Servers: e.servers, Engine: e.engine(), Mix: &mix, CostPerSecond: e.costPerSecond()}
			c.change(&in)
			d.Update(start.Add(time.Duration(s)*time.Second), in)
		}
		if !d.Split() {
			t.Errorf("%s: got no split, want the roles as they were", c.name)
		}
	}
}

// BenchmarkUpdate measures what a router does for each request and, once a second, for the decision.
func BenchmarkUpdate(b *testing.B) {
	d := deployments[4]
	random := rand.New(rand.NewPCG(1, 5))
	requests := make([]roles.Request, 256)
	for i := range requests {
		requests[i] = d.draw(random, 0.5)
	}
	var mix roles.Mix
	b.Run("request", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			mix.Add(requests[i%len(requests)])
		}
	})
	b.Run("decision", func(b *testing.B) {
		b.ReportAllocs()
		var decider roles.Decider
		in := roles.Inputs{Servers: d.servers, Engine: d.engine(), Mix: &mix, CostPerSecond: d.costPerSecond()}
		for i := range b.N {
			decider.Update(start.Add(time.Duration(i)*time.Second), in)
		}
	})
}

// Fails if a burst ends the split of a deployment that is better served with it for good: its usual load is near the limit to return.
func TestSplitReturnsAfterABurst(t *testing.T) {
	for seed := range uint64(4) {
		d := deployments[3] // D
		r := routerOf{deployment: &d, random: rand.New(rand.NewPCG(seed, 3))}
		r.run(start, 60, 1, 0.02, 0.5)
		r.run(start.Add(time.Minute), 10, 5, 0.02, 0.5)
		r.run(start.Add(70*time.Second), 600, 1, 0.02, 0.5)
		if !r.decider.Split() {
			t.Errorf("seed %d: got no split ten minutes after a burst of ten seconds, want one", seed)
		}
	}
}
