// Package fleet tracks which routers are alive, which router leads each shard, and
// how much service each customer has received over the whole fleet.
//
// The routers run no consensus protocol: each computes leaders from the members that
// it receives heartbeats from, and usage counters merge in any order. State that
// needs agreement is kept in the platform's table service instead. The package does
// no I/O.
package fleet
