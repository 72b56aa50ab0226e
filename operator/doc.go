// Package operator implements the administration API, an HTTP and JSON interface for
// operators that every router serves, and a client for it.
//
// Each change is one transaction in the platform's table, made by ledger.Log. The API
// keeps no state of its own.
package operator
