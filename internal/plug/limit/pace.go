package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// A late answer multiplies the pace by paceDecrease, another one adds paceIncrease to it. With
	// an increase of 0.1, more statements wait in the instance under a lasting overload.
	paceDecrease = 0.7
	paceIncrease = 0.05
	// maxRest limits the rest of a slot, so that a proxy sends the statement that shows the end
	// of an overload well within the 2 s in which the service has to be back.
	maxRest = 500 * time.Millisecond
)

// pace limits the statements of a proxy that may run only one at once on an instance. Where the
// proxies are many, one statement of each is already more than the slots of the instance can run
// and queue, and the queue of the instance observes no priorities. The slot then rests after each
// statement, so that it is in use for the share that the pace says.
type pace struct {
	share     float64 // 1 means no rest
	restUntil time.Duration
}

// minPace returns the least pace for an instance: the share of the slots that this proxy has. It
// is 1 where one statement of each proxy is no more than may be outstanding.
func (limits *Limits) minPace(instance model.InstanceID) float64 {
	slots, proxies := limits.listedInstance(instance).Slots(), limits.context.State().SharersOf(instance)
	if slots == 0 || proxies <= slots*limits.policy.StatementsPerSlot {
		return 1
	}
	return float64(slots) / float64(proxies)
}

// recordPace adjusts the pace after a statement and starts the rest of its slot.
func (limits *Limits) recordPace(request route.SlotRequest, instanceLimit *instanceLimit, held time.Duration, answered bool) {
	if request.Job == nil {
		return
	}
	least := limits.minPace(request.Instance)
	if least == 1 || instanceLimit.limit > 1 {
		instanceLimit.pace = pace{share: 1}
		return
	}
	pace := &instanceLimit.pace
	target := request.Job.Kind().TargetLatency()
	switch late := !answered || held > time.Duration(limits.policy.LateShare*float64(target)); {
	case target == 0:
	case late:
		pace.share *= paceDecrease
	default:
		pace.share += paceIncrease
	}
	pace.share = min(1, max(least, pace.share))
	rest := min(maxRest, time.Duration(float64(held)*(1/pace.share-1)))
	if rest == 0 {
		return
	}
	pace.restUntil = limits.context.Now() + rest
	limits.context.Timers().After(rest, func() { limits.grantWaiting(instanceLimit) })
}

// free reports whether a slot may be granted now.
func (instanceLimit *instanceLimit) free(now time.Duration) bool {
	return instanceLimit.running < instanceLimit.limit && now >= instanceLimit.pace.restUntil
}
