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

// class bounds the requests of a class of caller that run at once. A nil class
// sets no bound.
type class struct {
	limit   int
	running int
	waiting []route.SlotWaiter
}

// class returns the bound of a request's class of caller, or nil.
func (limits *Limits) class(ask route.SlotRequest) *class {
	if ask.Job == nil || ask.Job.Class().MaxConcurrent() == 0 {
		return nil
	}
	key := classKey{deployment: ask.Job.Deployment().Name(), class: ask.Job.Class().Name()}
	found, ok := limits.classes[key]
	if !ok {
		found = &class{}
		limits.classes[key] = found
	}
	found.limit = ask.Job.Class().MaxConcurrent()
	return found
}

func (class *class) enter() {
	if class != nil {
		class.running++
	}
}

// remove removes an entrant that waits for its class.
func (class *class) remove(entrant route.SlotWaiter) bool {
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
