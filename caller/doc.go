// Package caller implements the HTTP interface for callers.
//
// A Server authenticates callers and converts their HTTP requests to
// request.Requests. An EntryRouter keeps the requests in bounded queues, sends them
// to the leaders of shards and reports exactly one outcome for each.
package caller
