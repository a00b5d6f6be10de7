package deployed

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed reads the clock that goes on while the host is suspended. What is known
// ages during that time too; the steady clock of the time package stands still.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since long before any that runs this program;
		// without it nothing could be trusted for any time.
		panic(err)
	}
	return time.Duration(t.Nano())
}
