// Package upstream is an HTTP/1.1 client for backend servers.
//
// A Pool keeps idle connections by address. An Exchange is one request and its
// response on one connection. The response must be to that request: a response
// that names another request is discarded, and a connection with unread bytes
// left after the response is closed, because those bytes belong to no request.
package upstream
