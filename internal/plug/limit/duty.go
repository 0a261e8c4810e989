package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// A late answer multiplies the duty cycle by dutyDecrease, another one adds dutyIncrease to it. With
	// an increase of 0.1, more statements wait in the instance under a lasting overload.
	dutyDecrease = 0.7
	dutyIncrease = 0.05
	// maxRest limits the rest of a slot, so that a proxy sends the statement that shows the end
	// of an overload well within the 2 s in which the service has to be back.
	maxRest = 500 * time.Millisecond
)

// dutyCycle limits the statements of a proxy that may run only one at once on an instance. Where the
// proxies are many, one statement of each is already more than the slots of the instance can run
// and queue, and the queue of the instance observes no priorities. The slot then rests after each
// statement, so that it is in use for its duty cycle.
type dutyCycle struct {
	share     float64 // 1 means no rest
	restUntil time.Duration
}

// minDuty returns the least duty cycle for an instance: the share of the slots that this proxy has. It
// is 1 where one statement of each proxy is no more than may be outstanding.
func (limits *Limits) minDuty(instance model.InstanceID) float64 {
	slots, proxies := limits.listedInstance(instance).Slots(), limits.context.State().SharersOf(instance)
	if slots == 0 || proxies <= slots*limits.policy.StatementsPerSlot {
		return 1
	}
	return float64(slots) / float64(proxies)
}

// recordDuty adjusts the duty cycle after a statement and starts the rest of its slot.
func (limits *Limits) recordDuty(request route.SlotRequest, instanceLimit *instanceLimit, held time.Duration, answered bool) {
	if request.Job == nil {
		return
	}
	least := limits.minDuty(request.Instance)
	if least == 1 || instanceLimit.limit > 1 {
		instanceLimit.dutyCycle = dutyCycle{share: 1}
		return
	}
	dutyCycle := &instanceLimit.dutyCycle
	target := request.Job.Kind().TargetLatency()
	switch late := !answered || held > time.Duration(limits.policy.LateShare*float64(target)); {
	case target == 0:
	case late:
		dutyCycle.share *= dutyDecrease
	default:
		dutyCycle.share += dutyIncrease
	}
	dutyCycle.share = min(1, max(least, dutyCycle.share))
	rest := min(maxRest, time.Duration(float64(held)*(1/dutyCycle.share-1)))
	if rest == 0 {
		return
	}
	dutyCycle.restUntil = limits.context.Now() + rest
	limits.context.Timers().After(rest, func() { limits.grantWaiting(instanceLimit) })
}

// free reports whether a slot may be granted now.
func (instanceLimit *instanceLimit) free(now time.Duration) bool {
	return instanceLimit.running < instanceLimit.limit && now >= instanceLimit.dutyCycle.restUntil
}
