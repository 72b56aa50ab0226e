package placement

// This file defines the limits over the whole fleet and retryBudget, which holds this
// router's part of the retries to one service.

import "time"

// FleetLimits are limits that hold over all routers together.
type FleetLimits struct {
	RetryRatio     float64       // retries per request of the window
	RetryWindow    time.Duration // length of the sliding window
	RetrySlack     int           // retries per window that are allowed beyond the ratio
	ColdRateFactor float64       // factor on the service's rate for a cold server
	ColdRateSlack  int           // requests per second that are allowed beyond that
	UsableFraction float64       // fraction of each limit that is used, since requests may be delayed on their way
}

// retryBudget keeps one router's retries within its part of the fleet's limit: a
// fraction of the requests that it received itself, plus the slack divided by the
// number of routers that may exist. So the sum over all routers keeps the limit.
type retryBudget struct {
	requests, retries []time.Time
}

// dropBefore removes the times before oldest from the front of a sorted slice.
func dropBefore(times []time.Time, oldest time.Time) []time.Time {
	drop := 0
	for drop < len(times) && times[drop].Before(oldest) {
		drop++
	}
	return append(times[:0], times[drop:]...)
}

// recordRequest records a request, which adds to the budget. Old ones are dropped at
// every 64th call only.
func (b *retryBudget) recordRequest(now time.Time, window time.Duration) {
	b.requests = append(b.requests, now)
	if len(b.requests)&63 == 0 {
		b.requests = dropBefore(b.requests, now.Add(-window))
	}
}

// take reports whether a retry is allowed now; if so, it counts the retry.
func (b *retryBudget) take(now time.Time, limits *FleetLimits, routers int) bool {
	oldest := now.Add(-limits.RetryWindow)
	b.requests, b.retries = dropBefore(b.requests, oldest), dropBefore(b.retries, oldest)
	allowed := limits.UsableFraction * (limits.RetryRatio*float64(len(b.requests)) + float64(limits.RetrySlack)/float64(max(1, routers)))
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}
