// Package router wires one process: it connects the parts that do I/O with the
// packages that decide, and runs them as a supervisor tree.
//
// A Router is the peer.Handler of its links, the caller.Leaders of its entry and
// the backend.Tracker of its leaders.
package router
