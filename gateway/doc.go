// Package gateway is a router on a platform that lists backend servers and holds
// the configuration: it wires the parts, starts them, and stops them in order.
//
// Each router follows the platform's store by itself and sends requests straight
// to backend servers. What routers tell each other only makes their decisions
// better; every bound holds without it.
package gateway
