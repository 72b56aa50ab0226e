package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/rollout"
)

// Guards against a good version that is rolled back, and a bad one that is completed, at any number of routers.
func TestVerdictOfVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		new  traffic
		want rollout.State
	}{
		{"good", sound, rollout.Complete},
		{"failing", failing(0.3), rollout.RolledBack},
		{"failing all", failing(1), rollout.RolledBack},
		{"slow", slowBy(4), rollout.RolledBack},
		{"failing late", after(0.3, sound, failing(0.4)), rollout.RolledBack},
		{"one route", on("other", failing(0.5)), rollout.RolledBack},
		{"slow start", after(0.1, slowBy(4), sound), rollout.Complete},
		{"longer slow start", after(0.15, slowBy(4), sound), rollout.Complete},
	} {
		for _, n := range []int{1, 6, 30} {
			t.Run(fmt.Sprintf("%s at %d", c.name, n), func(t *testing.T) {
				for seed := range uint64(5) {
					f := newFleet(t, seed, n)
					f.new = c.new
					f.run(16 * time.Second)
					f.wantVerdict(c.want)
					if c.want == rollout.RolledBack {
						f.wantBounds()
					}
					if f.oldAtComplete > 0 && f.status.State == rollout.Complete {
						t.Errorf("old requests at complete: got %d, want 0", f.oldAtComplete)
					}
				}
			})
		}
	}
}
