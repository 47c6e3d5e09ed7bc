package ownership

import (
	"time"

	"golang.org/x/sys/unix"
)

// readClock reads the wall clock and then the monotonic clock. In this order, a
// pause of the process between the two readings makes the wall-clock time too
// early for the lease, so that keys may be refused, but no key is run that must
// not be. The monotonic clock is CLOCK_BOOTTIME because it also advances while
// the machine is suspended.
func readClock() ClockReading {
	wall := time.Now().Round(0)
	var mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &mono); err != nil {
		panic("ownership: read CLOCK_BOOTTIME: " + err.Error())
	}
	return ClockReading{Monotonic: time.Duration(mono.Nano()), Wall: wall}
}
