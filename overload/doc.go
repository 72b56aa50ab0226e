// Package overload decides when a router tells the load balancer to send new connections elsewhere.
//
// The load balancer chooses a router by a hash of the caller, so that one customer's flood may come to one small router. That
// router can then only reject, and its other callers wait behind the flood, while the routers beside it have processor time to
// spare. A router that has to reject most of its new connections unread for a while asks for none, for a limited time. Its
// callers reach other routers then.
//
// The package does no I/O and takes the time as an argument.
package overload
