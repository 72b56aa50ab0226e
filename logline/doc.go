// Package logline writes log lines without ever delaying who logs.
//
// Lines are queued in bounded memory and written in batches. What does not fit,
// or exceeds the budget of a second, is dropped and counted; ordinary lines are
// dropped before those of failures.
package logline
