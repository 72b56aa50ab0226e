// Package ledger is the client of the platform's services: the transactional table, the
// object store and the list of VMs.
//
// A Client limits its rate of requests, has a circuit breaker for failures of the platform,
// and distinguishes a write that certainly had no effect from one whose response was lost.
// Two types store their rows with it: Log, the change log of the configuration, and Claims,
// with which a request that has an idempotency key runs at most once.
package ledger
