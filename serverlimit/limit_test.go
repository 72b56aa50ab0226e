package serverlimit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushtally/serverlimit"
)

// Routers that all want to send all the time, and of which many learn of the limit late or restart, keep its bound.
func TestAllRoutersTogetherKeepTheLimit(t *testing.T) {
	for _, routers := range []int{1, 6, 77, 90, 410} {
		for _, perSecond := range []float64{0.3, 1, 3.8, 7.7, 27.2, 400} {
			random := rand.New(rand.NewPCG(uint64(routers), uint64(perSecond)))
			limits := make([]serverlimit.Limit, routers)
			start := time.Unix(1e9, 0)
			var sent []time.Time
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
				for i := range limits {
					l := &limits[i]
					known := l.PerSecond() > 0
					if !l.Allows(now, serverlimit.Order{Position: i, Routers: routers}) || random.IntN(3) == 0 {
						continue
					}
					l.Sent(now)
					l.RecordAnswer(now.Add(time.Millisecond), now, perSecond)
					if known { // a router that was not told does not count
						sent = append(sent, now)
					}
				}
			}
			if got, bound := mostInWindow(sent), 1.5*4*perSecond+5; float64(got) > bound {
				t.Errorf("%d routers, limit %v: got %d requests in 4 s, want at most %v", routers, perSecond, got, bound)
			}
			if got, least := float64(len(sent)), 0.5*20*perSecond-1; got < least && perSecond*20 < float64(routers*500) {
				t.Errorf("%d routers, limit %v: got %v requests in 20 s, want at least %v", routers, perSecond, got, least)
			}
		}
	}
}

// mostInWindow returns the most times within 4 s.
func mostInWindow(times []time.Time) (most int) {
	for i, from := range times {
		n, _ := slices.BinarySearchFunc(times[i:], from.Add(4*time.Second), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

func TestAnswerToAnEarlierRequestDoesNotEndTheLimit(t *testing.T) {
	var l serverlimit.Limit
	now := time.Unix(1e9, 0)
	l.RecordAnswer(now, now.Add(-time.Second), 5)
	l.RecordAnswer(now.Add(time.Second), now.Add(-2*time.Second), 0)
	if l.PerSecond() != 5 {
		t.Error("got no limit after an answer without one to a request sent before, want 5")
	}
	if !l.RecordAnswer(now.Add(2*time.Second), now.Add(time.Second), 0) || l.PerSecond() != 0 {
		t.Error("got a limit after an answer without one, want none")
	}
}

func TestNewestAnswerCountsWhicheverRouterGotIt(t *testing.T) {
	var teller, hearer serverlimit.Limit
	now := time.Unix(1e9, 0)
	hearer.RecordAnswer(now, now, 9)
	teller.RecordAnswer(now.Add(time.Second), now, 4)
	r, ok := teller.Tell(now.Add(1200*time.Millisecond), serverlimit.Zone)
	if !ok || !hearer.Merge(now.Add(1200*time.Millisecond), r, true) || hearer.PerSecond() != 4 {
		t.Errorf("got a limit of %v after a newer report, want 4", hearer.PerSecond())
	}
	if old, ok := hearer.Tell(now.Add(1300*time.Millisecond), serverlimit.Zone); ok {
		t.Errorf("got %v told again by a router that heard it, want nothing", old)
	}
	if teller.Merge(now.Add(2*time.Second), serverlimit.Report{PerSecond: 9, Age: 2 * time.Second}, true) {
		t.Error("got an older report applied, want it ignored")
	}
	teller.Forget()
	if teller.PerSecond() != 0 {
		t.Error("got a limit after the server started anew, want none")
	}
}

// As an integer the number overflowed: to the lowest one on x86-64, so that one router alone sent, and to the highest on arm64.
func TestAllRoutersSendToAServerThatNamesAHugeLimit(t *testing.T) {
	var l serverlimit.Limit
	now := time.Unix(1e9, 0)
	l.RecordAnswer(now, now, 1e300)
	for position := range 6 {
		if _, ok := l.NextAt(serverlimit.Order{Position: position, Routers: 6}); !ok {
			t.Errorf("got the router at position %d sending nothing, want all to send", position)
		}
	}
}
