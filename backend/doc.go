// Package backend speaks HTTP to model engines and plain services.
//
// A Client makes single attempts, each on a connection of its own. A Leader owns
// one shard: it queues requests, admits them as its schedule.Scheduler decides,
// and carries each through retries and resumed streams to one outcome.
package backend
