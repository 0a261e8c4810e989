package limit

import (
	"slices"

	"almondway.dev/almondway/internal/core/route"
)

// classKey names a class of caller of a deployment.
type classKey struct {
	deployment string
	class      string
}

// classLimit bounds the requests of a classLimit of caller that run at once. A nil classLimit
// sets no bound.
type classLimit struct {
	limit   int
	running int
	waiting []route.SlotWaiter
}

// classLimit returns the bound of a request's classLimit of caller, or nil.
func (limits *Limits) classLimit(ask route.SlotRequest) *classLimit {
	if ask.Job == nil || ask.Job.Class().MaxConcurrent() == 0 {
		return nil
	}
	key := classKey{deployment: ask.Job.Deployment().Name(), class: ask.Job.Class().Name()}
	found, ok := limits.classLimits[key]
	if !ok {
		found = &classLimit{}
		limits.classLimits[key] = found
	}
	found.limit = ask.Job.Class().MaxConcurrent()
	return found
}

func (class *classLimit) acquire() {
	if class != nil {
		class.running++
	}
}

// remove removes an entrant that waits for its class.
func (class *classLimit) remove(entrant route.SlotWaiter) bool {
	if class == nil {
		return false
	}
	index := slices.Index(class.waiting, entrant)
	if index < 0 {
		return false
	}
	class.waiting = slices.Delete(class.waiting, index, index+1)
	return true
}
