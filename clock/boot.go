package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns a steady time that also counts while the machine is suspended,
// unlike the monotonic reading of time.Now. Leases and fences are counted on it.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot clock: " + err.Error()) // cannot fail on Linux since 2.6.39
	}
	return time.Duration(ts.Nano())
}
