package streamversion

// This file defines how often routers read and write the store's rows of streams, so that all of them together stay far below
// what the store takes.

import "time"

const (
	minLogPeriod       = 300 * time.Millisecond
	logDelayPerRouter  = 8 * time.Millisecond
	minReadPeriod      = 30 * time.Millisecond
	readDelayPerRouter = 2 * time.Millisecond
	allZonesFactor     = 5 // a read of all zones' rows is as long as that of some zones'
)

// LogPeriod returns the least time between two writes of a router's row in a fleet of so many routers.
func LogPeriod(routers int) time.Duration {
	return max(minLogPeriod, time.Duration(routers)*logDelayPerRouter)
}

// ReadPeriod returns the least time between two reads of a router for streams that callers take up.
func ReadPeriod(routers int, allZones bool) time.Duration {
	d := max(minReadPeriod, time.Duration(routers)*readDelayPerRouter)
	if allZones {
		return allZonesFactor * d
	}
	return d
}
