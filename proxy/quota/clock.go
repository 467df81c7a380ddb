package quota

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted. Unlike Go's monotonic clock it goes on
// while the machine is suspended, so a loan can't outlive its term over a suspension.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}
