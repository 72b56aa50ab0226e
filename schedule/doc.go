// Package schedule decides which request runs next and where.
//
// A Scheduler stands at the leader of one shard: it orders waiting requests by
// virtual token counters and owns the windows of the shard's backend servers. A
// Dispatcher stands at an entry router: it bounds the backlog of each customer
// and spreads it over the leaders. A Quarantine finds requests that crash
// backend servers, and a RetryBudget keeps retries from multiplying an outage.
//
// The package does no I/O and reads no clock: events and times go in, decisions
// come out.
package schedule
