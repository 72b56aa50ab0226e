// Package peer speaks WebSocket with CBOR between routers.
//
// Two routers share one Link, which carries many requests and their answers
// beside control messages. Each answer has its own flow control, so a slow caller
// delays no other. Peers holds a router's links, dials and accepts them, and
// gives up those that went silent.
package peer
