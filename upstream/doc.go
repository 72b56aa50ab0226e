// Package upstream speaks HTTP/1.1 to backend servers.
//
// A Pool keeps idle connections by address. An Exchange is one request on one
// connection; its answer is checked to be the answer to that very request. What
// is left over on a connection after an answer belongs to no request and
// condemns the connection.
package upstream
