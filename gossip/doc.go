// Package gossip tells other routers what this one has in flight.
//
// Summaries are CBOR in UDP datagrams: one that is late is worth nothing, and no
// connection can go silent. A summary holds sums, so any of them may be lost.
// Routers learn of each other from a list at their start, and from the summaries.
package gossip
