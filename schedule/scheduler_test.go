package schedule_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/schedule"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fullAccess(string) schedule.Access { return schedule.Access{Mask: math.MaxUint32, Weight: 1} }

func ignoreCharge(string, float64) {}

// newShard returns a Scheduler whose backend servers have full windows.
func newShard(servers, slots int, access func(string) schedule.Access) *schedule.Scheduler {
	s := schedule.New(schedule.Options{FirstEstimate: 100, MaxDebt: 1e6}, ignoreCharge)
	backends := make([]schedule.Backend, servers)
	for i := range backends {
		backends[i] = schedule.Backend{Name: fmt.Sprintf("engine-%d", i), Slots: slots}
	}
	s.Configure(epoch.Add(-time.Hour), backends, access)
	warm(s, servers)
	return s
}

// warm runs one request per backend server at a time until every window is full.
func warm(s *schedule.Scheduler, servers int) {
	now := epoch.Add(-time.Hour)
	for range 8 {
		now = now.Add(10 * time.Second)
		var running []*schedule.Ticket
		for i := range servers {
			s.Enqueue(now, &schedule.Ticket{ID: uint64(i), Customer: "warm"})
		}
		for g, ok := s.Next(now); ok; g, ok = s.Next(now) {
			running = append(running, g.Ticket)
		}
		for _, t := range running {
			s.RecordFinish(now.Add(10*time.Second), t, 0, schedule.AttemptSucceeded)
		}
	}
}

func TestWindowGrowsFromCold(t *testing.T) {
	s := schedule.New(schedule.Options{}, ignoreCharge)
	s.Configure(epoch, []schedule.Backend{{Name: "engine", Slots: 8}}, fullAccess)
	now := epoch
	size := func() int { return s.Load(now).Window }
	if got, want := size(), 1; got != want {
		t.Fatalf("initial window: %d, want %d", got, want)
	}
	var sizes []int
	for range 30 {
		s.Enqueue(now, &schedule.Ticket{Customer: "a"})
		g, ok := s.Next(now)
		if !ok {
			t.Fatal("no grant although the backend server is idle")
		}
		now = now.Add(time.Second)
		s.RecordProgress(now, g.Ticket, 1)
		s.RecordFinish(now, g.Ticket, 1, schedule.AttemptSucceeded)
		sizes = append(sizes, size())
	}
	if got, want := sizes[3], 1; got != want {
		t.Errorf("window after 4 s: %d, want %d", got, want)
	}
	if got, want := sizes[29], 8; got != want {
		t.Errorf("window after 30 s without failures: %d, want %d", got, want)
	}
	s.ApplyLoadReport(now, "engine", schedule.LoadReport{Boot: "1"})
	s.ApplyLoadReport(now, "engine", schedule.LoadReport{Boot: "2"})
	if got, want := size(), 1; got != want {
		t.Errorf("window after a new boot identifier: %d, want %d", got, want)
	}
}

func TestContradictingReportsResetWindow(t *testing.T) {
	s := newShard(1, 8, fullAccess)
	for range 8 {
		s.Enqueue(epoch, &schedule.Ticket{Customer: "a"})
		s.Next(epoch)
	}
	now := epoch
	for range 3 {
		now = now.Add(time.Second)
		s.ApplyLoadReport(now, "engine-0", schedule.LoadReport{Boot: "1", Running: 0})
	}
	if got, want := s.Load(now).Window, 1; got != want {
		t.Errorf("window after 3 reports without any of the 8 requests in flight: %d, want %d", got, want)
	}
}

func TestReportedForeignRequestsReduceFreeSlots(t *testing.T) {
	s := newShard(1, 8, fullAccess)
	now := epoch.Add(time.Minute)
	s.ApplyLoadReport(now, "engine-0", schedule.LoadReport{Boot: "1", Running: 7})
	if got, want := s.Load(now).Free, 1; got != want {
		t.Errorf("free slots with 7 requests of a previous leader running: %d, want %d", got, want)
	}
	s.ApplyLoadReport(now, "engine-0", schedule.LoadReport{Boot: "1", Running: 0})
	if got, want := s.Load(now).Free, 8; got != want {
		t.Errorf("free slots after the previous leader's requests ended: %d, want %d", got, want)
	}
}

func TestLaggingReportKeepsFreeSlots(t *testing.T) {
	s := newShard(1, 8, fullAccess)
	now := epoch.Add(time.Minute)
	var running []*schedule.Ticket
	for range 8 {
		s.Enqueue(now, &schedule.Ticket{Customer: "a"})
		g, _ := s.Next(now)
		running = append(running, g.Ticket)
	}
	for _, x := range running {
		s.RecordFinish(now.Add(100*time.Millisecond), x, 1, schedule.AttemptSucceeded)
	}
	now = now.Add(time.Second)
	s.ApplyLoadReport(now, "engine-0", schedule.LoadReport{Boot: "1", Running: 8})
	if got, want := s.Load(now).Free, 8; got != want {
		t.Errorf("free slots after a report that still counts this leader's 8 ended requests: %d, want %d", got, want)
	}
}

func TestFreeSlotsAfterEachEnding(t *testing.T) {
	tests := []struct {
		name   string
		result schedule.AttemptResult
		free   int
	}{
		{"well", schedule.AttemptSucceeded, 8},
		{"canceled", schedule.AttemptCanceled, 8},
		{"declined", schedule.AttemptDeclined, 0},
		{"failed", schedule.AttemptFailed, 4},
		{"unreachable", schedule.AttemptUnreachable, 0},
	}
	for _, tt := range tests {
		s := newShard(1, 8, fullAccess)
		now := epoch.Add(time.Minute)
		s.Enqueue(now, &schedule.Ticket{Customer: "a"})
		g, _ := s.Next(now)
		s.RecordFinish(now, g.Ticket, 1, tt.result)
		if got, want := s.Load(now).Free, tt.free; got != want {
			t.Errorf("free slots after the attempt ended %s: %d, want %d", tt.name, got, want)
		}
	}
}

func TestSuspectsRunAlone(t *testing.T) {
	s := newShard(2, 8, fullAccess)
	for range 2 {
		s.Enqueue(epoch, &schedule.Ticket{Customer: "a", Suspect: true})
	}
	first, ok := s.Next(epoch)
	if !ok {
		t.Fatal("the first suspect was not granted")
	}
	if _, ok := s.Next(epoch); ok {
		t.Error("a second suspect was granted while the first runs")
	}
	s.RecordFinish(epoch, first.Ticket, 1, schedule.AttemptSucceeded)
	if _, ok := s.Next(epoch); !ok {
		t.Error("the second suspect was not granted after the first ended")
	}
}

func TestRetryAvoidsServer(t *testing.T) {
	s := newShard(2, 8, fullAccess)
	for range 8 {
		s.Enqueue(epoch, &schedule.Ticket{Customer: "a", AvoidBackend: "engine-0"})
		g, ok := s.Next(epoch)
		if !ok || g.Backend != "engine-1" {
			t.Fatalf("retry went to %q, want engine-1", g.Backend)
		}
	}
	if g, ok := s.Next(epoch); ok {
		t.Errorf("retry went to %q although engine-1 is full", g.Backend)
	}
}

func TestGrantsFollowAccessMask(t *testing.T) {
	s := newShard(2, 4, func(c string) schedule.Access {
		switch c {
		case "left":
			return schedule.Access{Mask: 1, Weight: 1}
		case "right":
			return schedule.Access{Mask: 2, Weight: 1}
		}
		return fullAccess(c)
	})
	for range 10 {
		s.Enqueue(epoch, &schedule.Ticket{Customer: "left"})
		s.Enqueue(epoch, &schedule.Ticket{Customer: "right"})
	}
	for g, ok := s.Next(epoch); ok; g, ok = s.Next(epoch) {
		if (g.Ticket.Customer == "left") != (g.Backend == "engine-0") {
			t.Errorf("request of customer %q was granted to %q, outside its access mask", g.Ticket.Customer, g.Backend)
		}
	}
	if got, want := s.Load(epoch).Running, 8; got != want {
		t.Errorf("running requests: %d, want %d", got, want)
	}
}

// TestRemoteServiceDebtIsBounded checks that MaxDebt bounds the counter of a backlogged
// customer when the service of a long network partition is merged at once. Without the
// bound, the customer would get no service here for a long time.
func TestRemoteServiceDebtIsBounded(t *testing.T) {
	s := schedule.New(schedule.Options{FirstEstimate: 100, MaxDebt: 1000}, ignoreCharge)
	s.Configure(epoch, []schedule.Backend{{Name: "engine", Slots: 1}}, fullAccess)
	for range 100 {
		s.Enqueue(epoch, &schedule.Ticket{Customer: "debtor"})
		s.Enqueue(epoch, &schedule.Ticket{Customer: "other"})
	}
	s.AddRemoteService(epoch, "debtor", 1e9)
	otherGrants := 0
	for {
		g, ok := s.Next(epoch)
		if !ok {
			t.Fatal("no grant although the backend server is idle and requests wait")
		}
		s.RecordFinish(epoch, g.Ticket, 100, schedule.AttemptSucceeded)
		if g.Ticket.Customer == "debtor" {
			break
		}
		otherGrants++
	}
	if got, want := otherGrants, 11; got > want {
		t.Errorf("%d requests of the other customer granted before the debtor's first, want at most %d", got, want)
	}
}

// workload is a random workload on one shard, with simulated time.
type workload struct {
	s             *schedule.Scheduler
	now           time.Time
	customers     int
	maxCost       int
	weights       []float64
	served        []float64
	running       map[*schedule.Ticket]int // tokens left to generate
	rand          *rand.Rand
	slots         int
	maxDifference float64
}

// step generates one token for every running request, replaces each request that
// completes by a new waiting one, and grants requests until no slot is free.
func (l *workload) step(t *rapid.T) {
	l.now = l.now.Add(10 * time.Millisecond)
	for ticket, tokensLeft := range l.running {
		var c int
		fmt.Sscanf(ticket.Customer, "customer-%d", &c)
		l.served[c] += 1 / l.weights[c]
		l.s.RecordProgress(l.now, ticket, ticket.Cost()+1)
		if tokensLeft <= 1 {
			l.s.RecordFinish(l.now, ticket, ticket.Cost(), schedule.AttemptSucceeded)
			delete(l.running, ticket)
			l.s.Enqueue(l.now, &schedule.Ticket{Customer: ticket.Customer})
			continue
		}
		l.running[ticket] = tokensLeft - 1
	}
	for g, ok := l.s.Next(l.now); ok; g, ok = l.s.Next(l.now) {
		l.running[g.Ticket] = 1 + l.rand.IntN(l.maxCost)
	}
	if got, want := len(l.running), l.slots; got != want {
		t.Fatalf("slots in use while every customer has waiting requests: %d, want %d", got, want)
	}
}

// TestServiceDifferenceIsBounded runs random workloads in which every customer is
// backlogged. It checks that over any interval, the service per weight of two customers
// differs by at most twice the cost of a full batch of the most expensive requests,
// divided by the least weight, plus the first estimate divided by that weight.
func TestServiceDifferenceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		l := &workload{
			now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), running: map[*schedule.Ticket]int{},
			customers: rapid.IntRange(2, 8).Draw(t, "customers"),
			maxCost:   rapid.IntRange(1, 60).Draw(t, "maxCost"),
		}
		servers, slots := rapid.IntRange(1, 4).Draw(t, "servers"), rapid.IntRange(1, 8).Draw(t, "slots")
		l.slots = servers * slots
		minWeight := math.Inf(1)
		for range l.customers {
			w := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			l.weights = append(l.weights, w)
			minWeight = min(minWeight, w)
		}
		l.served = make([]float64, l.customers)
		weightOf := func(name string) schedule.Access {
			var c int
			if n, _ := fmt.Sscanf(name, "customer-%d", &c); n == 0 {
				return schedule.Access{Mask: math.MaxUint32, Weight: 1}
			}
			return schedule.Access{Mask: math.MaxUint32, Weight: l.weights[c]}
		}
		l.s = newShard(servers, slots, weightOf)
		for c := range l.customers {
			for range l.slots + 1 {
				l.s.Enqueue(l.now, &schedule.Ticket{Customer: fmt.Sprintf("customer-%d", c)})
			}
		}
		batch := float64(l.slots*l.maxCost) / minWeight
		minDiff := make([]float64, l.customers*l.customers)
		maxDiff := make([]float64, l.customers*l.customers)
		for range 1500 {
			l.step(t)
			for i := range l.customers {
				for j := range l.customers {
					diff, k := l.served[i]-l.served[j], i*l.customers+j
					minDiff[k], maxDiff[k] = min(minDiff[k], diff), max(maxDiff[k], diff)
					l.maxDifference = max(l.maxDifference, maxDiff[k]-minDiff[k])
				}
			}
		}
		// FirstEstimate (100) is charged as cost for a customer without a completed request.
		if got, want := l.maxDifference, 2*batch+100/minWeight; got > want {
			t.Fatalf("greatest change of the service difference over any interval: %.0f, want at most %.0f", got, want)
		}
	})
}

func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{32, 320} {
		b.Run(fmt.Sprintf("customers=%d/servers=32", customers), func(b *testing.B) {
			s := newShard(32, 8, fullAccess)
			var tickets []*schedule.Ticket
			for c := range customers {
				for range 4 {
					s.Enqueue(epoch, &schedule.Ticket{Customer: fmt.Sprintf("customer-%d", c)})
				}
			}
			for g, ok := s.Next(epoch); ok; g, ok = s.Next(epoch) {
				tickets = append(tickets, g.Ticket)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				t := tickets[i%len(tickets)]
				s.RecordFinish(epoch, t, 100, schedule.AttemptSucceeded)
				s.Enqueue(epoch, t)
				g, _ := s.Next(epoch)
				tickets[i%len(tickets)] = g.Ticket
			}
		})
	}
}
