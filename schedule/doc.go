// Package schedule decides which request runs next and on which backend server.
//
// A Scheduler runs at the leader of one shard. It orders waiting requests by
// virtual token counters (one per customer: service received divided by weight)
// and limits the requests in flight to each of the shard's backend servers by a
// Window. A Dispatcher runs at an entry router, the router that accepted the
// caller's request. It limits each customer's queue and distributes queued requests
// over the shard leaders. A Quarantine identifies requests that crash backend
// servers, and a RetryBudget keeps retries from amplifying an outage.
//
// The package does no I/O and reads no clock: callers pass in events and the
// current time, and get decisions back.
package schedule
