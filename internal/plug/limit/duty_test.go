package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// newManyProxies returns the plug-in of one of many proxies, whose instance has 6 slots.
func newManyProxies(proxies int) *Limits {
	limits := newLimits(35)
	listed := model.NewInstance(instance, "127.0.0.1:1", "").WithCapacity(6, 58)
	limits.context.State().SetGroups([]model.Group{model.NewGroup("katalog-1", []model.Instance{listed})})
	limits.context.State().SetProxies(make([]model.ProxyView, proxies))
	return limits
}

// Where one statement of each proxy is more than an instance can run and queue, a slot rests after
// late answers. Without the rest, the queue of the instance is as long as there are proxies, and
// it observes no priorities. With few proxies, or without a target, nothing rests.
func TestSlotRests(t *testing.T) {
	const target = 200 * time.Millisecond
	tests := []struct {
		name    string
		proxies int
		target  time.Duration
		held    time.Duration
		end     route.SlotEnd
		share   float64
	}{
		{"late answers", 36, target, 100 * time.Millisecond, route.SlotAnswered, 1.0 / 6},
		{"no answers", 36, target, time.Second, route.SlotUnanswered, 1.0 / 6},
		{"answers in time", 36, target, 20 * time.Millisecond, route.SlotAnswered, 1},
		{"no target", 36, 0, time.Second, route.SlotAnswered, 1},
		{"few proxies", 18, target, time.Second, route.SlotAnswered, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := newManyProxies(test.proxies)
			timers := limits.context.Timers()
			for range 20 {
				sent := flowSpec{target: test.target, deadline: time.Hour}.newWaiter()
				limits.Acquire(sent)
				for !sent.granted {
					timers.Advance(timers.Now() + 10*time.Millisecond)
				}
				timers.Advance(timers.Now() + test.held)
				limits.Release(sent.request, test.held, test.end)
			}
			instanceLimit := limits.instanceLimit(instance)
			is.Equal(instanceLimit.dutyCycle.share, test.share)
			is.Equal(instanceLimit.free(timers.Now()), test.share == 1)
			timers.Advance(timers.Now() + maxRest)
			is.True(instanceLimit.free(timers.Now())) // a rest ends, whatever was seen before
		})
	}
}

// Answers in time end the rests soon: a slot that rested most of the time is in use again without
// rests after 18 statements.
func TestRestsEnd(t *testing.T) {
	is := is.New(t)
	limits := newManyProxies(36)
	request := flowSpec{target: 200 * time.Millisecond}.newWaiter().request
	instanceLimit := limits.instanceLimit(instance)
	for range 20 {
		limits.recordDuty(request, instanceLimit, time.Second, false)
	}
	for range 18 {
		limits.recordDuty(request, instanceLimit, 10*time.Millisecond, true)
	}
	is.Equal(instanceLimit.dutyCycle.share, 1.0)
}

// Guards against pings that end the rest of a slot: they come just when the instance is suspect.
func TestPingKeepsRest(t *testing.T) {
	is := is.New(t)
	limits := newManyProxies(36)
	sent := flowSpec{target: 200 * time.Millisecond, deadline: time.Hour}.newWaiter()
	limits.Acquire(sent)
	limits.Release(sent.request, time.Second, route.SlotAnswered)
	before := limits.instanceLimit(instance).dutyCycle
	is.True(before.share < 1)
	ping := route.SlotRequest{Instance: instance, BypassLimit: true}
	limits.ForceAcquire(ping)
	limits.Release(ping, time.Millisecond, route.SlotAnswered)
	is.Equal(limits.instanceLimit(instance).dutyCycle, before)
}
