// Package ledger speaks to the platform's services: the transactional table,
// the object store and the list of VMs.
//
// A Client keeps within a budget of requests, stops asking for a while when the
// platform fails, and tells a write that certainly had no effect from one whose
// answer was lost. On it stand Log, the configuration's log of changes, and
// Claims, which make requests with an idempotency key run at most once.
package ledger
