package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the fallback's origin.
var start = time.Now()

// Boot returns the time since the machine started, including the time in which it was suspended.
// The monotonic reading of time.Now leaves that time out, so that a lease would seem to last longer
// on a machine that was suspended.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
