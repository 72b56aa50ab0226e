// Package lab is the laboratory: it runs a whole fleet of routers with stand-ins
// in one process, sends it callers' load, and measures what comes of it.
package lab
