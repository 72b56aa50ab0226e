// Package route holds the configuration that maps requests to services: the routes,
// services and customers of one version in a Table, and the newest known Table in a CurrentTable.
//
// It does no I/O. A Table is immutable.
package route
