// Package router assembles one router process. It connects the packages that do I/O
// (backend, caller, ledger, operator, peer) with those that make decisions without I/O
// (config, fleet, schedule), and runs the resulting tasks in a supervisor tree.
//
// A Router implements peer.Handler for its links to other routers, caller.Leaders for
// its caller.Entry, backend.Tracker for the shard leaders that run in this process,
// and operator.Fleet for the administration API.
package router
