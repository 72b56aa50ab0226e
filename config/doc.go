// Package config defines the configuration of the fleet: labeled objects, selectors
// that match labels, changes with consecutive revision numbers, and the shards and
// access rights that routers derive from them.
//
// A State is immutable. Applying a Change returns the State of the next revision, so
// a State can be read without locks for any length of time. The package does no I/O.
package config
