// Package request holds what routers pass between them for one caller's
// request: the request itself, the events of its answer, and the outcomes and
// error kinds that a caller hears.
package request
