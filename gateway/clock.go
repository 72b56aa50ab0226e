package gateway

// This file reads the clock by which leases are kept.

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns a clock reading that goes on while the VM is suspended.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // no such clock: the time of day also goes on
	}
	return time.Duration(ts.Nano())
}
