// Package ingress serves HTTP/1.1 requests of callers.
//
// A Server accepts the connections of callers and reads requests. A Flow serves each request:
// it resolves the route and the customer, has the request placed on a backend server,
// sends it there and forwards the response. Each request gets one final response, and
// a truncated response is never terminated as if it were complete.
package ingress
