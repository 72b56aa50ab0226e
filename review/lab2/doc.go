// Command lab2 runs the scripts of the second review: it starts routers as separate processes, by the deploy file, beside stand-ins of
// the platform's store, of backend servers and of clients, causes one disruption, and judges what clients and servers saw.
package main
