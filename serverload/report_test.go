package serverload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"bulrushtally/serverload"
)

// report returns what a router measured of a server that takes a percentage of the usual time.
func report(router string, incarnation, sequence uint64, percent uint16) serverload.Report {
	return serverload.Report{Router: router, Incarnation: incarnation, Sequence: sequence, Speeds: []serverload.Speed{{Key: 0, Percent: percent, Weight: 40}}}
}

// lasting returns the slowness of server 0 by reports alone.
func (s *service) lasting(now time.Time) float64 {
	s.Refresh(now, s.all(), &s.peers)
	return s.servers[0].Lasting()
}

// Fails if a report that is delayed or comes twice changes what newer ones say, or if one of a router's earlier start does.
func TestReportsComeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := []serverload.Report{report("r1", 1, 1, 50), report("r1", 1, 2, 60), report("r1", 1, 9, 300), report("r1", 2, 1, 70), report("r1", 2, 3, 200)}
		order := rapid.Permutation(append(reports, reports...)).Draw(t, "order")
		s := newService(1)
		for _, r := range order {
			s.peers.Merge(start, r)
		}
		if got := s.lasting(start); math.Abs(got-2) > 0.2 {
			t.Fatalf("got a slowness of %.2f, want 2 by the newest report", got)
		}
	})
}

// Fails if a report that names fewer servers does not take back the others, or if the reports of a router that is gone count for ever.
func TestReportReplacesTheOneBefore(t *testing.T) {
	s := newService(1)
	s.peers.Merge(start, report("r1", 1, 1, 200))
	s.peers.Merge(start, serverload.Report{Router: "r1", Incarnation: 1, Sequence: 2})
	if got := s.lasting(start); got != 1 {
		t.Errorf("got a slowness of %.2f after an empty report, want 1", got)
	}
	s.peers.Merge(start, report("r1", 1, 3, 200))
	if got := s.lasting(start.Add(time.Minute)); got != 1 {
		t.Errorf("got a slowness of %.2f a minute after the last report, want 1", got)
	}
}

// Fails if absurd figures of another router are taken in, or if reports use up memory.
func TestAbsurdReportsAreIgnored(t *testing.T) {
	s := newService(1)
	for i, percent := range []uint16{0, 1, 39, 301, 65535} {
		s.peers.Merge(start, report("r1", 1, uint64(i+1), percent))
		if got := s.lasting(start); got != 1 {
			t.Errorf("got a slowness of %.2f by a report of %d%%, want 1", got, percent)
		}
	}
	if s.peers.Merge(start, serverload.Report{Router: "r2", Incarnation: 1, Sequence: 1, Speeds: make([]serverload.Speed, 100_000)}) {
		t.Error("got a report of 100,000 servers taken in, want it ignored")
	}
	taken := 0
	for i := range 10_000 {
		if s.peers.Merge(start, report(string(rune('a'+i)), 1, 1, 150)) {
			taken++
		}
	}
	if taken > 64 {
		t.Errorf("got the reports of %d routers kept, want at most 64", taken)
	}
}

// Fails if reports about a start of a server count for another start.
func TestKeyIsOfAStart(t *testing.T) {
	keys := map[uint64]bool{}
	for _, id := range []string{"i-0", "i-1"} {
		for started := range int64(1000) {
			keys[serverload.Key(id, started)] = true
		}
	}
	if got, want := len(keys), 2000; got != want {
		t.Errorf("got %d keys, want %d", got, want)
	}
}

// Fails if routers that see few requests of each server are not nearer to the truth together than alone, if what they tell comes
// back to them as if others had measured it, or if a report takes more than a few bytes for each server.
func TestRoutersOfAZoneMeasureTogether(t *testing.T) {
	const routers, servers, rounds = 16, 40, 5
	r := rand.New(rand.NewPCG(1, 3))
	usual := func(i int) float64 { return 0.8 + 0.02*float64(i) } // median 1.19
	fleet := make([]*service, routers)
	now := start
	for j := range fleet {
		fleet[j] = newService(servers)
	}
	for range rounds {
		for _, s := range fleet {
			for i := range servers {
				now = now.Add(5 * time.Millisecond)
				s.record(now, i, serverload.Statement{Running: 3, Slots: 6, Percent: int(100 * usual(i) * (0.5 + r.Float64()))}, 0)
			}
		}
	}
	deviation := func() (sum float64) {
		for _, s := range fleet {
			s.Refresh(now, s.all(), &s.peers)
			for i, x := range s.servers {
				sum += math.Abs(math.Log(x.Lasting() / (usual(i) / 1.19)))
			}
		}
		return sum / routers / servers
	}
	alone := deviation()
	for round := range 20 {
		for j, s := range fleet {
			told := serverload.Report{Router: string(rune('a' + j)), Incarnation: 1, Sequence: uint64(round + 1)}
			for i, x := range s.servers {
				if speed, ok := x.Speed(now, &s.Service, uint64(i)); ok {
					speed.Key = serverload.Key("i-0123456789", int64(i)) // as long as real ones
					told.Speeds = append(told.Speeds, speed)
				}
			}
			if data, err := cbor.Marshal(told); err != nil || len(data) > 40+16*len(told.Speeds) {
				t.Fatalf("got %d bytes for %d servers, %v, want at most 16 for each", len(data), len(told.Speeds), err)
			}
			for i := range told.Speeds {
				for k := range servers {
					if told.Speeds[i].Key == serverload.Key("i-0123456789", int64(k)) {
						told.Speeds[i].Key = uint64(k)
						break
					}
				}
			}
			for k, other := range fleet {
				if k != j && r.IntN(3) > 0 { // a third is lost
					other.peers.Merge(now, told)
				}
			}
		}
		deviation()
	}
	together := deviation()
	t.Logf("mean deviation of the logarithm: %.3f alone, %.3f together", alone, together)
	if together > 0.7*alone {
		t.Errorf("got a mean deviation of %.3f together and %.3f alone, want at most 0.7 of that", together, alone)
	}
}
