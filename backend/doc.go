// Package backend sends requests to backend servers over HTTP: to model servers, which
// generate tokens, and to servers of plain HTTP services.
//
// A Client makes single attempts, each on its own connection. A Leader manages one
// shard: it queues requests, admits them in the order that its schedule.Scheduler
// chooses, retries failed attempts, resumes interrupted streams, and reports one
// outcome for each request.
package backend
