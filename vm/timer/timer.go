// Package timer reads a clock that goes on while the process or the VM is suspended.
package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Timer measures the time since its first use; the zero value is ready.
type Timer struct {
	once  sync.Once
	start time.Duration
}

// Now returns the time since the first call, by CLOCK_BOOTTIME.
func (t *Timer) Now() time.Duration {
	now := Boot()
	t.once.Do(func() { t.start = now })
	return now - t.start
}

// Boot returns the time since the machine started; a failed read panics, as no deadline could be kept without it.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
