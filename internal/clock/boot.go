package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of the time that is used if the boot-time clock cannot be read.
var processStart = time.Now()

// SinceBoot returns the time since the machine booted, including the time during which it was suspended.
// The monotonic reading of time.Now excludes that time, so a lease measured by it would seem to last
// longer on a machine that was suspended. If the boot-time clock cannot be read, the result is the
// monotonic time since the start of the process.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
