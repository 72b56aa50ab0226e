// Package caller speaks HTTP to callers.
//
// A Server identifies callers and turns their HTTP requests into
// request.Requests. An Entry holds these in bounded queues, sends them to the
// leaders of shards, and sees each through to exactly one outcome.
package caller
