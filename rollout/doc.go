// Package rollout decides, for one router, which software version of a service a request goes to while an operator's order
// moves the service to another version, and whether the order ends with the new version or with the old one.
//
// The package does no I/O, takes the time as an argument and is safe for concurrent use.
package rollout
