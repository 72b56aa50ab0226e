package gateway

// This file reads the clock that measures the age of the configuration and of store failures.

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns a reading of a clock that also advances while the VM is suspended.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // without CLOCK_BOOTTIME: wall-clock time also advances
	}
	return time.Duration(ts.Nano())
}
