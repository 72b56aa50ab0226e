// Package route holds the configuration that maps requests to services: the routes,
// services and customers of one version, and a View of the newest known version.
//
// It does no I/O. A Table is immutable.
package route
