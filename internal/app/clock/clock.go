// Package clock reads the clocks of the host.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since it was made. Unlike the clock behind time.Since it
// also runs while the host is suspended, so that an age is never too low.
type Clock struct {
	start time.Duration
}

// New returns a Clock that stands at zero.
func New() *Clock { return &Clock{start: sinceBoot()} }

// Now returns the time since the Clock was made.
func (clock *Clock) Now() time.Duration { return sinceBoot() - clock.start }

func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("clock: boot time cannot be read: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
