// Package config holds the fleet's configuration: objects with labels, selectors
// over those labels, numbered changes, and what follows from them.
//
// A State is immutable. Applying a Change yields the State of the next revision,
// so a reader may keep one for as long as it likes. The package does no I/O.
package config
