// Package responsehead checks the heads of HTTP/1 responses.
//
// The parsers of net/http and fasthttp accept heads that HTTP does not allow. What they make of one differs: a status of 000 is
// 0 for the one and 200 for the other. A response whose head is not valid says nothing that can be relied on, not even where its
// body ends, so it must not be taken for a response. A Scanner finds such a head while it is read.
package responsehead
