// Package placement decides which backend server runs a request, when, and
// which requests are refused.
//
// A Placement holds what one router believes of all backend servers: what the
// platform lists, what the router's own requests showed, and what other routers
// say they have sent. Requests wait in it by customer; those of customers that
// had less than their max-min share of the capacity go first, and the others
// use only what is left. Bounds over the whole fleet (the rate of a cold backend
// server, the retry budget) are split between routers so that no exchange is
// needed to keep them. The package does no I/O; clocks are handed in.
package placement
