// Package gossip exchanges summaries of load and fleet membership between routers.
//
// Each summary is CBOR in one UDP datagram, because a late summary has no value and UDP has
// no connections that can stall. Summaries hold cumulative counters and current values, so
// the next summary compensates for a lost one. Routers discover each other from a list that
// is read at the start, and from summaries that they receive.
package gossip
