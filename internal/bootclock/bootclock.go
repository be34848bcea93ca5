// Package bootclock reads the clock that counts the time for which the machine was suspended. The
// monotonic clock of package time stands still meanwhile, and the time of day may be set back.
package bootclock

import (
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// ErrUnreadable means that the operating system does not have the clock.
var ErrUnreadable = merry.Sentinel("the clock that counts suspensions cannot be read")

// Now returns the time since the machine was booted, suspensions included. The error is ErrUnreadable.
func Now() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, merry.Wrap(ErrUnreadable, merry.WithCause(err))
	}
	return time.Duration(reading.Nano()), nil
}
