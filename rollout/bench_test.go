package rollout_test

// This file measures Choose.

import (
	"testing"
	"time"
)

// BenchmarkChoose measures the decision for one request in a fleet of 30 routers whose trial runs.
func BenchmarkChoose(b *testing.B) {
	f := newFleet(b, 1, 30)
	f.run(3 * time.Second)
	r := f.routers[0]
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(f.now, service)
	}
}

// BenchmarkEnded measures the evidence of one answer, with the weighing that some of them cause.
func BenchmarkEnded(b *testing.B) {
	f := newFleet(b, 1, 30)
	f.run(3 * time.Second)
	r := f.routers[0]
	b.ReportAllocs()
	for b.Loop() {
		f.now = f.now.Add(time.Millisecond)
		r.Began(f.now, service, "v1", "plain")
		r.Ended(f.now, service, "v1", "plain", 0, f.takes, f.takes)
	}
}
