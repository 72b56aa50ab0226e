// Package quarantine decides which requests must not run because they crash the backend servers
// that run them.
//
// No router sees the whole of it: one router sent the request that crashed a server, and all routers that
// had requests there see them break off. So each router accuses what may be why (the parts of
// prompts on which no answer had begun, and the whole requests), and tells the others. An accusation
// is named by its suspect and by the crash, that is, a server and its start: heard again, or from
// several routers, it is the same one. It is cleared once an answer on the suspect begins
// anywhere after the crash is known there. Until they expire, accusations are only added and, once
// cleared, stay so: routers that heard the same decide the same, in whatever order and however
// often they heard it.
//
// A part is held after three crashes by different requests that no other held part explains, a whole
// request after three crashes. A whole request that never completed is suspended for half a minute after two: which of those that
// broke off is the cause may not be clear then, but it would end a third server. If the fleet is split in two, five crashes are at least three on one
// side; that side writes a row to the platform's store, which both sides follow. An operator releases
// a suspect by deleting its row.
//
// The package does no I/O and takes the time as an argument.
package quarantine
