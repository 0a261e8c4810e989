package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/route"
)

// sendSparsely lets statements take a time each, one every interval.
func sendSparsely(limits *Limits, count int, interval, held time.Duration, end route.SlotEnd) {
	timers := limits.context.Timers()
	for range count {
		sent := flowSpec{}.newWaiter()
		limits.Acquire(sent)
		timers.Advance(timers.Now() + held)
		limits.Release(sent.request, held, end)
		timers.Advance(timers.Now() + interval - held)
	}
}

// A statement that is not answered says nothing about how long the slots of others are held, on
// this instance or, by the work of its lane, on another one.
func TestHungStatementIsNoSample(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	sendSparsely(limits, 20, 50*time.Millisecond, 10*time.Millisecond, route.SlotAnswered)
	hung := flowSpec{}.newWaiter()
	limits.Acquire(hung)
	before := limits.instanceLimit(instance).meanHeld
	limits.Release(hung.request, time.Second, route.SlotUnanswered)
	is.Equal(limits.instanceLimit(instance).meanHeld, before)
	is.Equal(limits.workEstimate(laneOf(hung.request)).held.samples, 20)
}
