// Package rollout decides, for one router, which software version of a service a request goes to while an operator's order
// moves the service to another version, and whether the order ends with the new version or with the old one.
//
// While the version is on trial, it gets no more than this router's part of the exposure bound. Answers of both versions are counted
// by route, merged over routers from counters that only grow, and compared. When the evidence is complete, or the deadline requires
// it, the shift gives the version a growing share of all requests. Each router comes to a verdict by itself; the first one that is
// written to the store is final, also against a router's own. docs/design/rollout.md gives the figures.
//
// A router calls Choose for each request, then Sent or Release, Began, and Ended or Answered; Lasted for the durations; Report and
// Merge a few times a second; and Verdict when it follows the store.
//
// The package is meant for up to 410 routers and 16 routes of a service. It does no I/O, takes the time as an argument and is safe for
// concurrent use.
package rollout
