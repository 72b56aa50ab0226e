package placement_test

// This file tests the shares of customers.

import (
	"testing"
	"time"

	"bulrushtally/placement"
)

// A customer that had been served more than the others was refused while all servers
// were idle.
func TestIdleServersServeEveryCustomer(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 9)
	for range 300 {
		p.RecordArrival(time.Now(), newRequest("below-share", 12000)) // demand of which nothing is served, as reported by another router
	}
	served := 0
	for end := time.Now().Add(3 * time.Second); served < 70 && time.Now().Before(end); {
		g, _ := admitWithoutWaiting(p, newRequest("above-share", 12000))
		if g == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		served++
		g.RecordFirstEvent(time.Now())
		g.End(time.Now(), placement.Done)
	}
	time.Sleep(400 * time.Millisecond) // longer than an event gap: no prefill counts any more
	if g, r := admitWithoutWaiting(p, newRequest("above-share", 2000)); g == nil {
		t.Errorf("got %v after %d requests, want a server, since all are idle", r, served)
	}
}

func TestRefusalHasFairShareState(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 1)
	for range 200 {
		p.RecordArrival(time.Now(), newRequest("above-share", 12000))
		p.RecordArrival(time.Now(), newRequest("below-share", 12000))
	}
	var last *placement.Refusal
	for range 100 { // until no server has room
		_, r := admitWithoutWaiting(p, newRequest("above-share", 12000))
		if r != nil {
			last = r
		}
	}
	if last == nil {
		t.Fatal("got servers for all requests, want a refusal")
	}
	if last.Share.FairShare <= 0 || last.Share.Served <= 0 {
		t.Errorf("got %+v, want a fair share and a served cost above 0", last.Share)
	}
}

// Even if servers are idle, a backlogged customer must be served at least half as much as
// any other one, since its requests may arrive at routers that find no server with room.
func TestServedRatioOfBackloggedCustomersIsLimited(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 9)
	for range 300 {
		p.RecordArrival(time.Now(), newRequest("below-share", 12000)) // it counts as served with exactly its fair share
	}
	const share = 300000 * 4 / 2 // fair share of each of two customers: tokens per window of 4 s
	served := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		g, _ := admitWithoutWaiting(p, newRequest("above-share", 12000))
		if g == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		served += 12000 + 2*200
		g.RecordFirstEvent(time.Now())
		g.End(time.Now(), placement.Done)
	}
	if most := 2 * share; served > most {
		t.Errorf("got %d tokens served to one customer while another gets %d, want at most %d", served, share, most)
	}
}

// shareState returns the fair-share state of a customer as a placement knows it, from the refusal of a request
// that was sent to the only server, i-0, before.
func shareState(t *testing.T, p *placement.Placement, customer string) placement.ShareState {
	t.Helper()
	req := newRequest(customer, 10)
	req.Tried = []string{"i-0"}
	_, r := admitWithoutWaiting(p, req)
	if r == nil {
		t.Fatal("got a server, want a refusal")
	}
	return r.Share
}

// Usage was reported by counters since a router's start, so it was lost whenever another router sent the zone's summary.
func TestUsageIsKeptWhenAnotherRouterReportsForItsZone(t *testing.T) {
	a1, a2 := newPlacement(modelServices(false), 1, 1), newPlacement(modelServices(false), 1, 1)
	b := placement.New(placement.Options{Zone: "zone-b", Limits: limits, Routers: 1, Now: time.Now()})
	b.Configure(modelServices(false))
	b.SetServer(time.Now(), placement.ServerEntry{ID: "i-0", Service: "models", Address: "127.0.0.1:1", Zone: "zone-a", Slots: 64})
	report := func(p *placement.Placement, incarnation uint64) {
		m := &placement.Summary{Router: "zone-a", Incarnation: incarnation, Zone: "zone-a"}
		p.FillZoneSummary(time.Now(), m)
		b.ApplySummary(time.Now(), m)
	}
	exchange := func() {
		m1, m2 := &placement.Summary{Router: "a1", Incarnation: 1, Zone: "zone-a"}, &placement.Summary{Router: "a2", Incarnation: 2, Zone: "zone-a"}
		a1.FillSummary(time.Now(), m1)
		a2.FillSummary(time.Now(), m2)
		a1.ApplySummary(time.Now(), m2)
		a2.ApplySummary(time.Now(), m1)
	}
	const cost = 10 + 2*20000
	serve := func(p *placement.Placement) {
		for range 5 {
			req := newRequest("x", 10)
			req.OutputTokens = 20000
			g, r := admitWithoutWaiting(p, req)
			if g == nil {
				t.Fatalf("got %v, want a server", r)
			}
			g.RecordFirstEvent(time.Now())
			g.End(time.Now(), placement.Done)
		}
	}
	exchange()
	report(a1, 1)
	serve(a1)
	serve(a2)
	exchange()
	for i, p := range []*placement.Placement{a1, a2, a1} {
		report(p, uint64(i%2+1))
		if got, want := shareState(t, b, "x").Served, float64(10*cost); got != want {
			t.Errorf("report %d: got a served cost of %.0f in the other zone, want %.0f", i, got, want)
		}
	}
}

// What a customer got while nobody else wanted it was held against its share for the next 4 s, in which it got nothing.
func TestUseBeforeContentionDoesNotUseUpTheShare(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 1)
	send := func(customer string, prompt, output int) *placement.Refusal {
		req := newRequest(customer, prompt)
		req.OutputTokens = output
		g, r := admitWithoutWaiting(p, req)
		if g != nil {
			g.RecordFirstEvent(time.Now())
			g.End(time.Now(), placement.Done)
		}
		return r
	}
	for range 22 {
		if r := send("early", 10, 20000); r != nil {
			t.Fatalf("got %v before the contention, want a server", r)
		}
	}
	for range 300 {
		p.RecordArrival(time.Now(), newRequest("late", 12000))
	}
	time.Sleep(260 * time.Millisecond)           // the share is computed each 250 ms
	if r := send("late", 15000, 200); r != nil { // half of an event gap, which leaves no spare capacity
		t.Fatalf("got %v for the other customer, want a server", r)
	}
	if r := send("early", 100, 20000); r != nil {
		t.Errorf("got %v for the first request after the contention began, want a server", r)
	}
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		send("early", 100, 20000)
	}
	const share = 300000 * 4 / 2 // fair share of each of two customers: tokens per window of 4 s
	if got := shareState(t, p, "early").WithinShare; got < share*0.9 || got > share*1.1 {
		t.Errorf("got %.0f tokens of its share served to a customer in the window since the contention began, want about %d", got, share)
	}
}

// Each router gave a customer its whole share, or all spare capacity, before it knew what the others gave.
func TestShareIsNotExceededBetweenReports(t *testing.T) {
	const routers = 8
	const share = 300000 * 4 / 2 // fair share of each of two customers: tokens per window of 4 s
	tests := []struct {
		name      string
		withSpare bool // there is spare capacity
		most      int  // tokens
	}{
		{"no spare capacity", false, share},
		{"spare capacity", true, 2 * share}, // so that the other customer gets at least half as much
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var all []*placement.Placement
			for range routers {
				all = append(all, newPlacement(modelServices(false), routers, 1))
			}
			for _, p := range all {
				for range 40 {
					p.RecordArrival(time.Now(), newRequest("everywhere", 12000))
					p.RecordArrival(time.Now(), newRequest("other", 12000))
				}
			}
			exchangeSummaries(all)
			time.Sleep(260 * time.Millisecond) // the share is computed each 250 ms
			served := 0
			for _, p := range all {
				if !test.withSpare {
					if g, r := admitWithoutWaiting(p, newRequest("other", 15000)); g == nil { // half of an event gap
						t.Fatalf("got %v for the other customer, want a server", r)
					}
				}
				for range 60 {
					req := newRequest("everywhere", 100)
					req.OutputTokens = 20000
					g, _ := admitWithoutWaiting(p, req)
					if g == nil {
						break
					}
					served += 100 + 2*20000
					g.RecordFirstEvent(time.Now())
					g.End(time.Now(), placement.Done)
				}
			}
			if served == 0 || served > test.most {
				t.Errorf("got %d tokens served to a customer at %d routers without reports, want some and at most %d", served, routers, test.most)
			}
		})
	}
}

// A customer that came anew got its share and the spare capacity of a whole window within two seconds, and again four seconds later.
func TestCustomerThatComesAnewGetsAtMostTwiceWhatAnotherOneGets(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 1)
	const output = 10000
	send := func(customer string) (served int) {
		req := newRequest(customer, 100)
		req.OutputTokens = output
		g, _ := admitWithoutWaiting(p, req)
		if g == nil {
			return 0
		}
		g.RecordFirstEvent(time.Now())
		g.End(time.Now(), placement.Done)
		return 100 + 2*output
	}
	const capacity, share = 300000, 300000 / 2 // tokens a second, and of each of two customers
	began := time.Now()
	steady, steadyTotal, newcomer := 0, 0, 0
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed = time.Since(began) {
		p.RecordArrival(time.Now(), newRequest("steady", 20000))
		if float64(steadyTotal) < share*elapsed.Seconds() { // it finds no spare capacity at its router
			n := send("steady")
			steadyTotal += n
			if elapsed > 4*time.Second {
				steady += n
			}
		}
		if elapsed > 4*time.Second {
			p.RecordArrival(time.Now(), newRequest("newcomer", 20000))
			if float64(newcomer) < 2*capacity*(elapsed-4*time.Second).Seconds() { // servers begin no more
				newcomer += send("newcomer")
			}
		}
		time.Sleep(4 * time.Millisecond)
	}
	if newcomer > 2*steady || newcomer < steady {
		t.Errorf("got %d tokens in 6 s served to a customer that came anew, and %d to the other one; want at least as many and at most twice as many", newcomer, steady)
	}
}

// Shares were cut from the configured capacity while servers took a tenth of it, so a customer got what its requests happened to meet.
func TestLimitsOfServersLowerTheFairShare(t *testing.T) {
	p := newPlacement(modelServices(false), 1, 2)
	send := func(customer string) *placement.Refusal {
		p.RecordArrival(time.Now(), newRequest(customer, 20000))
		g, r := admitWithoutWaiting(p, newRequest(customer, 20000))
		if g != nil {
			g.RecordStatement(time.Now(), placement.Statement{LimitPerSecond: 0.5})
			g.RecordFirstEvent(time.Now())
			g.End(time.Now(), placement.Done)
		}
		return r
	}
	for n := range 20 { // 0.8 M tokens in a window that has room for 1.2 M without the limits
		send([]string{"one", "other"}[n%2])
		send([]string{"one", "other"}[n%2])
		time.Sleep(50 * time.Millisecond)
		p.Tick(time.Now())
	}
	const most = 2 * 0.5 * 20000 * 4 / 2 // of what two servers take in a window of 4 s
	if got := shareState(t, p, "one").FairShare; got <= 0 || got > most*1.1 {
		t.Errorf("got a fair share of %.0f tokens, want at most %.0f", got, float64(most))
	}
}
