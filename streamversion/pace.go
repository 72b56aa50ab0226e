package streamversion

// This file defines how often routers read and write the store's rows of streams, so that all of them together stay far below
// what the store takes.

import "time"

const (
	minLogPeriod       = 300 * time.Millisecond
	logDelayPerWriter  = 8 * time.Millisecond
	minReadPeriod      = 30 * time.Millisecond
	readDelayPerRouter = 5 * time.Millisecond
	allZonesFactor     = 5 // a read of all zones' rows is as long as that of some zones'
)

// logBytesPerSecond bounds what a collector writes, as 3 KB/s for each router of its group.
const logBytesPerSecond = GroupSize * 3000

// LogPeriod returns the least time between two writes of a router's row with so many streams, in a fleet where so many
// routers write one.
func LogPeriod(writers, streams int) time.Duration {
	bytes := min(streams, maxInRow) * streamBytes
	return max(minLogPeriod, time.Duration(writers)*logDelayPerWriter, time.Duration(bytes)*time.Second/logBytesPerSecond)
}

// ReadPeriod returns the least time between two reads of a router for streams that callers take up.
func ReadPeriod(routers int, allZones bool) time.Duration {
	d := max(minReadPeriod, time.Duration(routers)*readDelayPerRouter)
	if allZones {
		return allZonesFactor * d
	}
	return d
}
