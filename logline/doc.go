// Package logline writes log lines without blocking the goroutines that log.
//
// Lines are queued in bounded memory and written in batches. Lines that exceed the queue
// or the bytes allowed per second are dropped and counted. Lines below level warn are
// dropped first: they may use half of the queue and half of the bytes per second that
// others may.
package logline
