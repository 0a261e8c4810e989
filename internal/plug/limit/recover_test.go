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

// A proxy that sends an instance one statement in 700 ms forgets hung and slow statements within
// 2 s, even if it started during the fault. With a mean and a base that move by samples alone, it
// refuses callers for more than ten seconds.
func TestSparseStatementsRefute(t *testing.T) {
	for _, end := range []route.SlotEnd{route.SlotUnanswered, route.SlotAnswered} {
		is := is.New(t)
		limits := newLimits(1)
		sendSparsely(limits, 8, 1700*time.Millisecond, time.Second, end)
		sendSparsely(limits, 3, 700*time.Millisecond, 10*time.Millisecond, route.SlotAnswered)
		limits.Acquire(flowSpec{}.newWaiter())
		added := flowSpec{deadline: limits.context.Now() + 200*time.Millisecond}.newWaiter()
		limits.Acquire(added)
		is.Equal(added.reason, "")
	}
}

// Without any statement, the estimate decays, so that it refuses nothing for longer than it takes
// to send a statement that can refute it.
func TestEstimateDecays(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	sendSparsely(limits, 40, time.Second, time.Second, route.SlotAnswered)
	limits.instanceLimit(instance).baseHeld = initialHeld
	slow := limits.instanceLimit(instance).held(limits.context.Now())
	is.True(slow > 500*time.Millisecond)
	limits.context.Timers().Advance(limits.context.Now() + 2*time.Second)
	is.True(limits.instanceLimit(instance).held(limits.context.Now()) <= slow/10+initialHeld)
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

// While no slot is free for much longer than expected, the statements that run count as stalled,
// so that nobody waits for them until the deadline.
func TestStalledSlot(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	sendSparsely(limits, 20, 50*time.Millisecond, 10*time.Millisecond, route.SlotAnswered)
	limits.Acquire(flowSpec{}.newWaiter())
	limits.context.Timers().Advance(limits.context.Now() + 500*time.Millisecond)
	added := flowSpec{deadline: limits.context.Now() + 400*time.Millisecond}.newWaiter()
	limits.Acquire(added)
	is.Equal(added.reason, afterDeadline)
}

// Guards against a ping, or the next statement of a transaction, that takes the only slot after an
// idle time and makes it look as if the slot had been held all that time.
func TestForcedSlotAfterIdleTime(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	sendSparsely(limits, 20, 50*time.Millisecond, 10*time.Millisecond, route.SlotAnswered)
	limits.context.Timers().Advance(limits.context.Now() + 2*time.Second)
	limits.ForceAcquire(route.SlotRequest{Instance: instance, BypassLimit: true})
	is.True(limits.ExpectedDelay(instance) < 100*time.Millisecond)
	added := flowSpec{deadline: limits.context.Now() + 400*time.Millisecond}.newWaiter()
	limits.Acquire(added)
	is.Equal(added.reason, "")
}

// Guards against pings that are answered while the statements of callers hang: they must not end
// the stall.
func TestPingDoesNotEndStall(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	sendSparsely(limits, 20, 50*time.Millisecond, 10*time.Millisecond, route.SlotAnswered)
	limits.Acquire(flowSpec{}.newWaiter())
	limits.context.Timers().Advance(limits.context.Now() + 500*time.Millisecond)
	ping := route.SlotRequest{Instance: instance, BypassLimit: true}
	limits.ForceAcquire(ping)
	limits.Release(ping, time.Millisecond, route.SlotAnswered)
	added := flowSpec{deadline: limits.context.Now() + 400*time.Millisecond}.newWaiter()
	limits.Acquire(added)
	is.Equal(added.reason, afterDeadline)
}

// Guards against statements that count as stalled because those of another kind are short.
func TestLongKindIsNotStalled(t *testing.T) {
	is := is.New(t)
	limits := newLimits(1)
	long := flowSpec{}.newWaiter()
	for range 4 {
		limits.Acquire(long)
		limits.Release(long.request, 300*time.Millisecond, route.SlotAnswered)
	}
	for range 200 {
		ping := route.SlotRequest{Instance: instance}
		limits.ForceAcquire(ping)
		limits.Release(ping, 5*time.Millisecond, route.SlotAnswered)
	}
	is.True(!limits.Stalled(long.request, 400*time.Millisecond))
	is.True(limits.Stalled(long.request, 2*time.Second))
}

// Guards against statements that another proxy runs and that count against the slots of this one, or
// leave the retry budget of their group empty.
func TestForwardedStatements(t *testing.T) {
	is := is.New(t)
	limits := newManyProxies(36)
	request := flowSpec{target: 200 * time.Millisecond, deadline: time.Hour}.newWaiter().request
	request.Forwarded = true
	for range 5 * requestsPerRetry {
		limits.ForceAcquire(request)
	}
	is.Equal(limits.Load(instance), 5*requestsPerRetry)
	added := flowSpec{deadline: limits.context.Now() + 400*time.Millisecond}.newWaiter()
	limits.Acquire(added)
	is.True(added.granted)
	for range 5 * requestsPerRetry {
		limits.Release(request, 150*time.Millisecond, route.SlotAnswered)
	}
	is.Equal(limits.Load(instance), 1)
	is.Equal(limits.instanceLimit(instance).dutyCycle.share, 1.0)
	is.True(limits.TakeRetry(request.Job.Group()))
}
