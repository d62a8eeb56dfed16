// Package boottime reads the clock that goes on while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns CLOCK_BOOTTIME as time since the machine started; a failed read panics, as no deadline could be kept without it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
