// Package operator speaks HTTP and JSON to operators: the administration API,
// served from every router, and a client for it.
//
// Every change is one transaction in the platform's table, through platform.Log.
// The API holds no state of its own.
package operator
