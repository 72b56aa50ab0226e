// Package roles decides how many model servers of a pool prefill prompts for the
// others, or that none does, from the engine's figures and the requests that arrive.
//
// The package does no I/O and reads no clock. It is meant for pools of up to 11,000
// servers: the work for each request and for each decision does not depend on their
// number.
package roles
