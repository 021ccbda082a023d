package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the monotonic time since the machine booted. Unlike the
// monotonic reading of time.Now, it includes the time during which the machine
// was suspended, which leases and fences must count.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot clock: " + err.Error()) // cannot fail on Linux since 2.6.39
	}
	return time.Duration(ts.Nano())
}
