package deployed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed reads a monotonic clock that also counts the time for which the host is suspended,
// because data ages during that time too. The monotonic clock of the time package does not count
// it.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that can run this program has this clock; without it no data could
		// be trusted for any time.
		panic(err)
	}
	return time.Duration(t.Nano())
}
