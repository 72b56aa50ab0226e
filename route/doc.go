// Package route holds the configuration by which requests find their service:
// routes, services and customers of one version, and the View that a router has
// of the newest version.
//
// It does no I/O. A Table never changes once it is made.
package route
