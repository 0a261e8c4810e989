// Package clock provides a monotonic clock that includes the time while the host is
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since it was created. Unlike the monotonic clock of
// time.Since, it also advances while the host is suspended, so that an age computed from
// it is never too low.
type Clock struct {
	start time.Duration
}

// New returns a Clock that starts at zero.
func New() *Clock { return &Clock{start: sinceBoot()} }

// Now returns the time since the Clock was created.
func (clock *Clock) Now() time.Duration { return sinceBoot() - clock.start }

func sinceBoot() time.Duration {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		panic("clock: failed to read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(timespec.Nano())
}
