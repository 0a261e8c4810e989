package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	firstHeld     = 5 * time.Millisecond
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// smoothing is the share of a new sample in the mean time a slot is held, as a divisor.
	smoothing = 8
)

// gate bounds the statements that run at once on one instance.
type gate struct {
	running int
	waiting *queue
	held    time.Duration
}

// learn takes a new sample into the mean time that a slot is held.
func (gate *gate) learn(held time.Duration) { gate.held += (held - gate.held) / smoothing }

// delay returns how long the last in the queue is expected to wait.
func (gate *gate) delay(share int) time.Duration {
	return gate.held * time.Duration(gate.waiting.size+1) / time.Duration(share)
}

func (limits *Limits) gate(instance model.InstanceID) *gate {
	found, ok := limits.gates[instance]
	if !ok {
		found = &gate{waiting: newQueue(hop{}), held: firstHeld}
		limits.gates[instance] = found
	}
	return found
}

// refusal tells whether a request that would have to wait is refused at once.
func (limits *Limits) refusal(ask route.Ask, gate *gate) (codes.Code, time.Duration) {
	if ask.Job == nil {
		return codes.OK, 0
	}
	deployment := ask.Job.Deployment()
	limit := deployment.MaxWaiting()
	if limit == 0 {
		limit = limits.context.Settings().MaxWaiting()
	}
	late := limits.context.Now()+gate.delay(limits.share()) > ask.Job.Deadline()
	if limits.waiting[deployment.Name()] >= limit || late {
		return codes.Overloaded, limits.RetryAfter(ask.Instance)
	}
	return codes.OK, 0
}

// RetryAfter implements route.Admission. The time is that in which the queue of
// the instance is served, with jitter, so that callers do not come back together.
func (limits *Limits) RetryAfter(instance model.InstanceID) time.Duration {
	delay := limits.gate(instance).delay(limits.share())
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	return delay/2 + time.Duration(limits.context.Random().Int64N(int64(delay)))
}
