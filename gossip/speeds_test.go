package gossip_test

import (
	"slices"
	"testing"
	"time"
)

// Fails if the speeds that a router measured do not reach its zone, reach another zone, or are sent more often than once a second.
func TestSpeedsAreToldWithinTheZone(t *testing.T) {
	began := time.Now()
	g1, r1, _ := startInZone(t, "zone-a", "r1")
	g2, r2, _ := startInZone(t, "zone-a", "r2")
	g3, r3, _ := startInZone(t, "zone-b", "r3")
	g2.Add("r1", g1.Address())
	g3.Add("r1", g1.Address())
	if !r2.eventually(func() bool { return len(r2.speeds["r1"]) >= 2 }) || !r1.eventually(func() bool { return len(r1.speeds["r2"]) >= 2 && r1.received["r3"] > 0 }) {
		t.Fatal("the speeds that a router told did not reach the other one of its zone within 6 s")
	}
	for name, r := range map[string]*recordingHandler{"r1": r1, "r2": r2, "r3": r3} {
		r.mu.Lock()
		for from, numbers := range r.speeds {
			if name == "r3" || from == "r3" {
				t.Errorf("got a report of %s at %s in another zone, want none", from, name)
			}
			if !slices.IsSorted(numbers) {
				t.Errorf("got reports %v of %s, want rising numbers", numbers, from)
			}
			if most := int(time.Since(began)/time.Second) + 1; len(numbers) > most {
				t.Errorf("got %d reports of %s, want at most one for each second, %d", len(numbers), from, most)
			}
		}
		r.mu.Unlock()
	}
}
