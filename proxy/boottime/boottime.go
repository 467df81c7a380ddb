// Package boottime reads a clock that does not stop while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. Unlike Go's monotonic clock it advances while the machine is
// suspended, so that leases and other terms also expire during a suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // can't happen: every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
