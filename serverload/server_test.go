package serverload_test

import (
	"iter"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/serverload"
)

var start = time.Unix(1e9, 0)

// service is servers whose statements are recorded.
type service struct {
	serverload.Service
	servers []*serverload.Server
	peers   serverload.Peers
}

// all yields the servers by their key, which is their index.
func (s *service) all() iter.Seq2[uint64, *serverload.Server] {
	return func(yield func(uint64, *serverload.Server) bool) {
		for i, x := range s.servers {
			if !yield(uint64(i), x) {
				return
			}
		}
	}
}

func newService(servers int) *service {
	s := &service{}
	for range servers {
		s.servers = append(s.servers, &serverload.Server{})
	}
	return s
}

// record records a statement of a server and refreshes the service if that is due.
func (s *service) record(now time.Time, i int, st serverload.Statement, known int) {
	s.servers[i].Record(now, &s.Service, st, known)
	if s.RefreshDue(now) {
		s.Refresh(now, s.all(), &s.peers)
	}
}

// Fails if a router that sees few requests of each server takes noise for a lasting difference, or does not find the lasting
// one below noise that changes between any two statements.
func TestLastingSlownessIsFoundInNoise(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s := newService(40)
	usual := func(i int) float64 { return 100 * (0.8 + 0.02*float64(i)) } // 0.8 to 1.58, median 1.19
	now := start
	for range 40 { // one statement per server and 2 s
		for i := range s.servers {
			now = now.Add(50 * time.Millisecond)
			s.record(now, i, serverload.Statement{Running: 3, Slots: 6, Percent: int(usual(i) * (0.6 + 0.8*r.Float64()))}, 0)
		}
	}
	s.Refresh(now, s.all(), &s.peers)
	for i, x := range s.servers {
		if got, want := x.Lasting(), usual(i)/119; math.Abs(got-want) > 0.2 {
			t.Errorf("server %d: got a slowness of %.2f, want %.2f", i, got, want)
		}
		if got, want := x.Slowness(s.Moment(now.Add(500*time.Millisecond)), &s.Service), usual(i)/119; math.Abs(got-want) > 0.25 {
			t.Errorf("server %d: got a slowness of %.2f half a second after the statement, want %.2f without its noise", i, got, want)
		}
	}
}

// Fails if the speed of a server that does not state it is not found from its tasks, which differ in size by a factor of four, or if
// tasks add to a slowness that is stated.
func TestLastingSlownessIsObservedInTasks(t *testing.T) {
	for _, stated := range []bool{false, true} {
		r := rand.New(rand.NewPCG(1, 2))
		s := newService(20)
		usual := func(i int) float64 { return 0.8 + 0.04*float64(i) } // median 1.18
		now := start
		for range 60 {
			for i := range s.servers {
				now = now.Add(25 * time.Millisecond)
				st, multiple := serverload.Statement{Running: 3, Slots: 6}, (15+45*r.Float64())*usual(i)
				if stated {
					st.Percent = int(100 * usual(i))
					multiple /= usual(i)
				}
				s.record(now, i, st, 0)
				s.servers[i].Observe(now, &s.Service, multiple)
			}
		}
		s.Refresh(now, s.all(), &s.peers)
		for i, x := range s.servers {
			if got, want := x.Lasting(), usual(i)/1.18; math.Abs(got/want-1) > 0.25 {
				t.Errorf("stated %v, server %d: got a slowness of %.2f, want %.2f", stated, i, got, want)
			}
		}
	}
}

// Fails if an absurd duration of a task gives an estimate that is not a number, or if a server that states no load is observed.
func TestAbsurdTasksAreIgnored(t *testing.T) {
	s := newService(2)
	for _, multiple := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		s.record(start, 0, serverload.Statement{Running: 3, Slots: 6}, 0)
		s.servers[0].Observe(start, &s.Service, multiple)
		s.servers[1].Observe(start, &s.Service, 9)
	}
	s.Refresh(start, s.all(), &s.peers)
	for i, x := range s.servers {
		if got := x.Lasting(); got != 1 {
			t.Errorf("server %d: got a slowness of %v, want 1", i, got)
		}
	}
}

// Fails if a figure is trusted longer than it holds, or not trusted while it does.
func TestFiguresAreTrustedWhileTheyHold(t *testing.T) {
	for _, period := range []time.Duration{100 * time.Millisecond, 4 * time.Second} {
		r := rand.New(rand.NewPCG(1, uint64(period)))
		s := newService(10)
		moments := map[int64]int{}
		at := func(i int, now time.Time) int {
			key := int64(now.Sub(start)/period)*16 + int64(i)
			if moments[key] == 0 {
				moments[key] = 60 + 80*r.IntN(2)
			}
			return moments[key]
		}
		now := start
		for range 8000 {
			now = now.Add(5 * time.Millisecond)
			i := r.IntN(len(s.servers))
			s.record(now, i, serverload.Statement{Running: 3, Slots: 6, Percent: at(i, now)}, 0)
		}
		s.record(now, 0, serverload.Statement{Running: 3, Slots: 6, Percent: 140}, 0)
		x := s.servers[0]
		differs := func(age time.Duration) float64 {
			return x.Slowness(s.Moment(now.Add(age)), &s.Service)/x.Lasting() - 1
		}
		fresh, old := differs(time.Millisecond), differs(500*time.Millisecond)
		if fresh < 0.25 {
			t.Errorf("period %v: got a slowness %.2f above the mean just after the statement, want at least 0.25 of the 0.4", period, fresh)
		}
		if holds := period > time.Second; (old > 0.2) != holds {
			t.Errorf("period %v: got a slowness %.2f above the mean half a second later, want it to hold: %v", period, old, holds)
		}
	}
}

// Fails if the load that other routers send is not seen, if it is counted beside requests that the router knows of, or if an old
// statement is trusted for ever.
func TestUnreportedRequests(t *testing.T) {
	s := newService(2)
	now := start
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		s.record(now, i%2, serverload.Statement{Running: 5, Waiting: 1, Slots: 6}, 1+i%2)
	}
	for i, want := range []float64{5, 4} {
		if got, _ := s.servers[i].Load(s.Moment(now), &s.Service); math.Abs(got-want) > 0.1 {
			t.Errorf("server %d: got %.2f unreported requests, want %v", i, got, want)
		}
	}
	later := now.Add(time.Minute)
	s.Refresh(later, s.all(), &s.peers)
	if got, _ := s.servers[0].Load(s.Moment(later), &s.Service); got != 0 || s.servers[0].Stated(later, &s.Service) {
		t.Errorf("got %.2f unreported requests a minute after the last statement, want none", got)
	}
}

// Fails if a server that states nothing seems empty beside busy ones that do.
func TestServerWithoutStatementIsTakenAsTheOthers(t *testing.T) {
	s := newService(3)
	now := start
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		s.record(now, i%2, serverload.Statement{Running: 5, Slots: 6}, 0)
	}
	s.Refresh(now, s.all(), &s.peers)
	if got, _ := s.servers[2].Load(s.Moment(now), &s.Service); math.Abs(got-5) > 0.1 {
		t.Errorf("got %.2f unreported requests, want 5 as at the others", got)
	}
}

// Fails if statements of before a restart count after it, or if a statement that is handled late overwrites a newer one.
func TestOldStatementsDoNotCount(t *testing.T) {
	s := newService(2)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.record(now, i%2, serverload.Statement{Running: 2, Slots: 6, Percent: 60 + 80*(i%2)}, 0)
	}
	now := start.Add(2 * time.Second)
	before := *s.servers[0]
	s.record(start, 0, serverload.Statement{Running: 24, Slots: 6, Percent: 2000}, 0)
	if *s.servers[0] != before {
		t.Error("got a change by a statement that is older than the last one, want none")
	}
	if got := s.servers[1].Slowness(s.Moment(now), &s.Service); got < 1.2 {
		t.Errorf("got a slowness of %.2f, want at least 1.2 before the restart", got)
	}
	s.servers[1].Forget()
	if got := s.servers[1].Slowness(s.Moment(now), &s.Service); got != 1 || s.servers[1].Stated(now, &s.Service) {
		t.Errorf("got a slowness of %.2f after the restart, want 1", got)
	}
}

// Fails if any order of plausible statements and times gives an estimate without bounds.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService(3)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "statements") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "elapsed")))
			st := serverload.Statement{Running: rapid.IntRange(0, 24).Draw(t, "running"), Waiting: rapid.IntRange(0, 100).Draw(t, "waiting"), Slots: 6, Percent: rapid.SampledFrom([]int{0, 10, 100, 2000}).Draw(t, "percent")}
			s.record(now, rapid.IntRange(0, 2).Draw(t, "server"), st, rapid.IntRange(0, 200).Draw(t, "known"))
			for _, x := range s.servers {
				slowness := x.Slowness(s.Moment(now), &s.Service)
				requests, deviation := x.Load(s.Moment(now), &s.Service)
				if !(slowness >= 0.1 && slowness <= 10) || !(math.Abs(requests) <= 400) || !(deviation >= 0 && deviation <= 400) {
					t.Fatalf("got a slowness of %v, %v requests and a deviation of %v, want them bounded", slowness, requests, deviation)
				}
			}
		}
	})
}

// BenchmarkEstimate measures what one decision asks of 140 servers.
func BenchmarkEstimate(b *testing.B) {
	s := newService(140)
	now := start
	for i := range 2800 {
		now = now.Add(time.Millisecond)
		s.record(now, i%140, serverload.Statement{Running: 5, Slots: 6, Percent: 80 + i%40}, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		at := s.Moment(now)
		for _, x := range s.servers {
			x.Load(at, &s.Service)
			x.Slowness(at, &s.Service)
		}
	}
}

// BenchmarkRecord measures what one answer costs.
func BenchmarkRecord(b *testing.B) {
	s := newService(140)
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		s.record(now, i%140, serverload.Statement{Running: 5, Slots: 6, Percent: 80 + i%40}, 1)
	}
}

// Fails if one server that states an absurd load makes the others of its service seem full, so that requests are refused though they
// are idle.
func TestAbsurdLoadOfOneServerLeavesTheOthersUsable(t *testing.T) {
	for _, waiting := range []int{300, 65536} {
		s := newService(9)
		now := start
		for range 20 {
			now = now.Add(500 * time.Millisecond)
			for i := range s.servers {
				s.record(now, i, serverload.Statement{Running: 3, Slots: 16}, 3)
			}
		}
		s.record(now.Add(time.Millisecond), 0, serverload.Statement{Running: 3, Waiting: waiting, Slots: 16}, 3)
		for _, later := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 10500 * time.Millisecond} {
			at := now.Add(later)
			s.Refresh(at, s.all(), &s.peers)
			if got, _ := s.servers[1].Load(s.Moment(at), &s.Service); got > 3 {
				t.Errorf("%v after a statement of %d waiting requests: got %.1f unknown requests at another server, want 3 at most", later, waiting, got)
			}
		}
	}
}

// Fails if a server that was slow gets no requests for long, since without them it has no chance to state that it is as fast as others.
func TestServerThatWasSlowIsTriedAgain(t *testing.T) {
	s := newService(9)
	now := start
	for range 60 {
		now = now.Add(500 * time.Millisecond)
		for i := range s.servers {
			percent := 100
			if i == 0 {
				percent = 300
			}
			s.record(now, i, serverload.Statement{Running: 3, Slots: 6, Percent: percent}, 3)
		}
	}
	for _, test := range []struct {
		later time.Duration
		most  float64
	}{{time.Minute, 1.9}, {10 * time.Minute, 1.1}} { // half of the slowness a minute, and nearly nothing of it
		at := now.Add(test.later)
		for i := 1; i < len(s.servers); i++ {
			s.record(at, i, serverload.Statement{Running: 3, Slots: 6, Percent: 100}, 3)
		}
		s.Refresh(at, s.all(), &s.peers)
		if got := s.servers[0].Lasting(); got > test.most {
			t.Errorf("%v after its last statement: got a slowness of %.2f, want %.2f at most", test.later, got, test.most)
		}
	}
}
