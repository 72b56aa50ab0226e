// Package ingress speaks HTTP/1.1 to callers.
//
// A Server accepts connections and reads requests; a Flow takes one request from
// its head to its final answer: it finds the route and the customer, has the
// request placed, sends it, and passes the answer on. A request has one final
// answer, and an answer that ends early never looks complete.
package ingress
