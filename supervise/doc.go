// Package supervise runs the parts of a process as a tree: a part that panics
// or fails is logged and started again with backoff, and stopping goes from the
// leaves to the root.
package supervise
