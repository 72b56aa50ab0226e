// Package request defines the messages that routers exchange for one caller's request: the
// request itself and the events of its response. It also defines the outcomes and failures
// that are reported to the caller.
package request
