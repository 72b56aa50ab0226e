package placement

// This file defines retryBudget, this router's part of the fleet's retries to one service.

import "time"

// Bounds are the limits that hold over the whole fleet.
type Bounds struct {
	RetryRatio  float64       // retries for each request of a window
	RetryWindow time.Duration // length of the window
	RetrySlack  int           // retries of a window beyond the ratio
	ColdOver    float64       // factor on a cold server's rate
	ColdSlack   int           // requests of a second beyond that
	Share       float64       // part of a bound that is used at most, for what is delayed on its way
}

// retryBudget holds retries to this router's part of the bound by construction:
// a share of the requests that it received itself, and the slack divided by all
// routers that could exist.
type retryBudget struct {
	requests, retries []time.Time
}

func trim(times []time.Time, oldest time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(oldest) {
		n++
	}
	return append(times[:0], times[n:]...)
}

func (b *retryBudget) request(now time.Time, window time.Duration) {
	b.requests = append(b.requests, now)
	if len(b.requests)&63 == 0 {
		b.requests = trim(b.requests, now.Add(-window))
	}
}

// take reports whether a retry is allowed now, and spends it.
func (b *retryBudget) take(now time.Time, bounds *Bounds, routers int) bool {
	oldest := now.Add(-bounds.RetryWindow)
	b.requests, b.retries = trim(b.requests, oldest), trim(b.retries, oldest)
	allowed := bounds.Share * (bounds.RetryRatio*float64(len(b.requests)) + float64(bounds.RetrySlack)/float64(max(1, routers)))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}
