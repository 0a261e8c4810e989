package limit

import (
	"slices"

	"almondway.dev/almondway/internal/core/route"
)

// classKey identifies a caller class of a deployment.
type classKey struct {
	deployment string
	class      string
}

// classLimit limits the concurrent requests of a caller class. A nil classLimit sets no
// limit.
type classLimit struct {
	limit   int
	running int
	waiting []route.SlotWaiter
}

// classLimit returns the limit of the caller class of a request, or nil if the class has
// none.
func (limits *Limits) classLimit(request route.SlotRequest) *classLimit {
	if request.Job == nil || request.Job.Class().MaxConcurrent() == 0 {
		return nil
	}
	key := classKey{deployment: request.Job.Deployment().Name(), class: request.Job.Class().Name()}
	found, ok := limits.classLimits[key]
	if !ok {
		found = &classLimit{}
		limits.classLimits[key] = found
	}
	found.limit = request.Job.Class().MaxConcurrent()
	return found
}

func (classLimit *classLimit) acquire() {
	if classLimit != nil {
		classLimit.running++
	}
}

// remove removes a waiter from the queue of the class. It reports false if the waiter is
// not queued there.
func (classLimit *classLimit) remove(waiter route.SlotWaiter) bool {
	if classLimit == nil {
		return false
	}
	index := slices.Index(classLimit.waiting, waiter)
	if index < 0 {
		return false
	}
	classLimit.waiting = slices.Delete(classLimit.waiting, index, index+1)
	return true
}
