// Package peer implements the protocol between routers: CBOR messages over WebSocket.
//
// Two routers share one Link, which carries many forwarded requests and their
// responses along with control messages. Each response has its own flow control, so
// a slow receiver does not block other streams. Peers holds a router's links: it dials
// and accepts them, and closes those that time out or stay idle.
package peer
