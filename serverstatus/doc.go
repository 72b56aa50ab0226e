// Package serverstatus keeps what backend servers say of themselves that forbids sending to them: that they leave,
// and that they want a pause.
//
// Each such statement is of one start of a server. Statements of an older start say nothing about the server that runs now,
// however late they arrive and whoever passes them on, and those of a newer start replace them. Within a start a leaving
// server never stays after all, and a pause is never shortened. Both have an age: a pause ends by itself, and a server that
// nobody has called leaving for LeavingMemory counts as staying, so that a wrong statement does no lasting harm.
//
// A router that is told that a server leaves tells the others, since its entry in the platform's list may reach them
// late. A pause is between the server and the router that it was asked of.
//
// The package does no I/O and takes the time as an argument.
package serverstatus
