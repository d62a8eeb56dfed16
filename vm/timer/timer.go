// Package timer reads a monotonic clock that keeps running while the process or the VM is suspended.
package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Timer measures the time since its first use. The zero value is ready to use.
type Timer struct {
	once  sync.Once
	start time.Duration
}

// Now returns the time since the first call of Now, measured with CLOCK_BOOTTIME.
func (t *Timer) Now() time.Duration {
	now := Boot()
	t.once.Do(func() { t.start = now })
	return now - t.start
}

// Boot returns the time since the VM booted. It panics if the clock cannot be read, because no deadline can be kept
// without it.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
