// Package spillover decides, for each service, when sending a request to another availability zone pays and how
// much may be sent there.
//
// A router prices a server of another zone by how busy its own zone (home) is: the round trip between zones
// while home is full, and some tens of milliseconds while home has room. In between, a share of the requests pays the
// high price, so that the load of home does not oscillate. The share moves by a small part of the way to its
// target each period, and ignores small changes of the load.
//
// What leaves for another zone is bounded as well. A zone's free capacity is split between all routers in advance, half of
// it for each period, so that routers that act alike on the same old report do not exceed it together. A period is longer
// than reports take.
//
// The policy is off, and a server is priced as if there were none, where it could do harm: where home has few servers or
// none, the service runs several versions, the other zones are full too, or the router hears no other router. It is meant
// for up to 410 routers, 24 zones and 11,000 servers.
//
// The package does no I/O and takes the time as an argument.
package spillover
