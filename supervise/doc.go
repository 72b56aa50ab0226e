// Package supervise runs the long-running tasks of a process in a tree. A task that panics
// or returns an error is logged and restarted with backoff. Stopping a tree stops its
// subtrees before its own tasks.
package supervise
