// Package serverload keeps what backend servers say of their load and speed in their answers, and estimates from it how
// busy a server is now and how long it takes for its work.
//
// A statement is of one start of a server and of the moment at which the answer began. It is compared with the recent mean
// of the same server. How far a difference from that mean still holds after some time is learned for each service
// from pairs of statements, so that figures which change quickly are trusted for a short time only. The mean of a server
// against the median of its service is its lasting slowness. Both fade when a server makes no statements.
//
// The package is meant for services of up to some hundred servers, of which a router sees between one statement in
// several seconds and some hundred statements per second. It does no I/O and takes the time as an argument.
package serverload
