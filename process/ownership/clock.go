package ownership

import (
	"time"

	"golang.org/x/sys/unix"
)

// readClock reads both clocks of this process, the wall clock first: a pause
// between the two then only makes the wall-clock time too early for the lease,
// which refuses keys but runs none that it shouldn't. The monotonic clock is
// the one that also counts while the machine is suspended.
func readClock() ClockReading {
	wall := time.Now().Round(0)
	var mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &mono); err != nil {
		panic("ownership: read CLOCK_BOOTTIME: " + err.Error())
	}
	return ClockReading{Monotonic: time.Duration(mono.Nano()), Wall: wall}
}
