package spread

import (
	"math"
	"time"
)

// meterSpan is the time over which loads are averaged. It covers two polls of a follower, so
// that a load appears in at least one report, and enough statements for an average.
const meterSpan = 1500 * time.Millisecond

// excessSpan is the time over which the excess over the expected work is averaged. It is short
// against the period of the callers' load, and long enough for some statements of this proxy.
const excessSpan = time.Second

// meter averages what this proxy observes of an instance, weighted by exp(-age/meterSpan).
type meter struct {
	born    int64
	at      time.Duration // time of the averages
	running int           // outstanding statements
	busy    float64       // mean of running
	offered float64       // slots that the statements are expected to hold
	refused float64       // refused statements
	// excess is the sum of how much longer than expected statements were outstanding, and
	// samples their number, both weighted by exp(-age/excessSpan).
	excess  float64 // in seconds
	samples float64
	// refusedAt is the time of the last refusal, or 0.
	refusedAt time.Duration
}

// advance brings the averages up to date.
func (meter *meter) advance(now time.Duration) {
	if now <= meter.at {
		return
	}
	kept := math.Exp(-float64(now-meter.at) / float64(meterSpan))
	meter.busy = meter.busy*kept + float64(meter.running)*(1-kept)
	meter.offered *= kept
	meter.refused *= kept
	sampleKept := math.Exp(-float64(now-meter.at) / float64(excessSpan))
	meter.excess *= sampleKept
	meter.samples *= sampleKept
	meter.at = now
}

// send records a statement that is expected to hold a slot for a time.
func (meter *meter) send(now, work time.Duration) {
	meter.advance(now)
	meter.running++
	meter.offered += float64(work) / float64(meterSpan)
}

// end records that a statement is no longer outstanding.
func (meter *meter) end(now time.Duration) {
	meter.advance(now)
	meter.running = max(0, meter.running-1)
}

// addExcess records how much longer than expected a statement was outstanding.
func (meter *meter) addExcess(now, excess time.Duration) {
	meter.advance(now)
	meter.excess += excess.Seconds()
	meter.samples++
}

// refuse records that the instance refused a statement.
func (meter *meter) refuse(now time.Duration) {
	meter.advance(now)
	meter.refused++
	meter.refusedAt = now
}
