// Package placement decides which backend server runs a request, when, and
// which requests are refused.
//
// A Placement holds one router's view of all backend servers: what the platform
// lists, what the router observed with its own requests, and what other routers
// report to have sent. Requests that no server can take wait in a queue. Those of
// customers below their max-min fair share of the capacity go first; the others
// use spare capacity only. Limits over the whole fleet (the rate of a cold backend
// server, the retry budget) are split between routers, so that routers keep them
// without communication. The package does no I/O. Admit reads the clock; the other
// methods get the current time from their callers.
package placement
