// Package serverlimit keeps what all routers together send to a backend server within the limit that
// the server names in its answers.
//
// No router sees what the others send, and a report of it would come too late. So each router
// has a part of the limit that it may use without asking: of the routers in an order that all share, the
// first ones send, each at an equal part of the rate and never two requests at once. Whatever
// the others do, the sum stays within the bound; see Limit.senders. Where the limit is known from, and when it
// ends, follows from answers alone, the router's own or those that others report.
//
// The package does no I/O and takes the time as an argument.
package serverlimit
