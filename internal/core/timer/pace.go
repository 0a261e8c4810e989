package timer

import (
	"math"
	"time"
)

// Pace runs a callback often while there is work and rarely otherwise. It runs at multiples of an
// interval, so that several of them need one wake-up of the process.
type Pace struct {
	service  *Service
	interval time.Duration
	callback func() time.Duration
	timer    ID
	at       time.Duration // of the next run
	running  bool
	// latest is the longest delay after the present run that its calls of Wake and WakeWithin allow.
	latest time.Duration
}

// Pace creates a Pace that runs callback after an interval, and then each time after the delay
// that callback returns. The interval must be positive; it is the least delay.
func (service *Service) Pace(interval time.Duration, callback func() time.Duration) *Pace {
	pace := &Pace{service: service, interval: interval, callback: callback}
	pace.schedule(interval)
	return pace
}

// Wake makes the next run come within the interval, because there is work.
func (pace *Pace) Wake() { pace.WakeWithin(pace.interval) }

// WakeWithin makes the next run come within a delay, because there will be work. A delay of less
// than the interval counts as that.
func (pace *Pace) WakeWithin(delay time.Duration) {
	if pace.running {
		pace.latest = min(pace.latest, delay)
		return
	}
	if pace.service.now+max(pace.interval, delay) < pace.at {
		pace.service.Cancel(pace.timer)
		pace.schedule(delay)
	}
}

func (pace *Pace) schedule(delay time.Duration) {
	pace.at = (pace.service.now + max(pace.interval, delay)) / pace.interval * pace.interval
	pace.timer = pace.service.After(pace.at-pace.service.now, pace.run)
}

func (pace *Pace) run() {
	pace.running, pace.latest = true, math.MaxInt64
	delay := pace.callback()
	pace.running = false
	pace.schedule(min(delay, pace.latest))
}
