// Package limit admits requests to the slots of the instances and to the
// concurrency of their class of caller. Requests that wait are served in a fair
// order; a request that has no chance before its deadline is refused at once.
package limit

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() { kern.Register("limit", kern.RankLimits, New, kern.ProfileStandalone, kern.ProfileHosted) }

// Limits admits requests.
type Limits struct {
	context             *kern.Context
	instanceLimits      map[model.InstanceID]*instanceLimit
	classLimits         map[classKey]*classLimit
	waitingByDeployment map[string]int
	retryBudgets        map[model.GroupID]*retryBudget
}

// New returns the plug-in. It offers route.Admission.
func New(context *kern.Context) kern.Plugin {
	limits := &Limits{
		context:             context,
		instanceLimits:      make(map[model.InstanceID]*instanceLimit),
		classLimits:         make(map[classKey]*classLimit),
		waitingByDeployment: make(map[string]int),
		retryBudgets:        make(map[model.GroupID]*retryBudget),
	}
	context.ProvideService(route.AdmissionService, limits)
	return limits
}

// Handle implements kern.Plugin.
func (limits *Limits) Handle(event.Event) {}

// Acquire implements route.Admission.
func (limits *Limits) Acquire(entrant route.SlotWaiter) {
	ask := entrant.SlotRequest()
	if ask.BypassLimit {
		limits.ForceAcquire(ask)
		entrant.SlotGranted()
		return
	}
	class := limits.classLimit(ask)
	if class == nil || class.running < class.limit {
		limits.acquireInstance(entrant, class)
		return
	}
	if code, retryAfter := limits.checkWait(ask, limits.instanceLimit(ask.Instance)); code != codes.OK {
		entrant.SlotDenied(code, retryAfter)
		return
	}
	limits.addWaiting(ask)
	class.waiting = append(class.waiting, entrant)
}

// acquireInstance takes a slot of the class and one of the instance.
func (limits *Limits) acquireInstance(entrant route.SlotWaiter, class *classLimit) {
	ask := entrant.SlotRequest()
	gate := limits.instanceLimit(ask.Instance)
	if gate.queue.size > 0 || gate.running >= gate.limit {
		if code, retryAfter := limits.checkWait(ask, gate); code != codes.OK {
			entrant.SlotDenied(code, retryAfter)
			return
		}
		limits.addWaiting(ask)
		if gate.queue.size == 0 {
			gate.queuedSince = limits.context.Now()
		}
		gate.queue.push(flowPath(ask), entrant)
		class.acquire()
		return
	}
	class.acquire()
	gate.running++
	limits.retryBudget(ask).deposit()
	entrant.SlotGranted()
}

// CancelWait implements route.Admission.
func (limits *Limits) CancelWait(entrant route.SlotWaiter) {
	ask := entrant.SlotRequest()
	class := limits.classLimit(ask)
	if class.remove(entrant) {
		limits.removeWaiting(ask)
		return
	}
	if limits.instanceLimit(ask.Instance).queue.remove(flowPath(ask), entrant) {
		limits.removeWaiting(ask)
		limits.releaseClass(class)
	}
}

// ForceAcquire implements route.Admission.
func (limits *Limits) ForceAcquire(ask route.SlotRequest) {
	limits.classLimit(ask).acquire()
	limits.instanceLimit(ask.Instance).running++
}

// Release implements route.Admission.
func (limits *Limits) Release(ask route.SlotRequest, held time.Duration, busy bool) {
	gate := limits.instanceLimit(ask.Instance)
	if !busy && !ask.BypassLimit {
		gate.lastSample = limits.context.Now()
		gate.addSample(held, limits.lowerBound(ask.Instance), limits.upperBound(ask.Instance))
	}
	gate.running--
	limits.grantWaiting(gate)
	limits.releaseClass(limits.classLimit(ask))
}

// Load implements route.Admission.
func (limits *Limits) Load(instance model.InstanceID) int {
	gate := limits.instanceLimit(instance)
	return gate.running + gate.queue.size
}

// grantWaiting grants the free slots of an instance to those whose turn it is.
func (limits *Limits) grantWaiting(gate *instanceLimit) {
	for gate.queue.size > 0 && gate.running < gate.limit {
		next := gate.queue.pop()
		ask := next.SlotRequest()
		limits.removeWaiting(ask)
		if ask.Job != nil && limits.missesTarget(ask.Job, gate, limits.context.Now()+gate.meanHeld) {
			limits.releaseClass(limits.classLimit(ask))
			next.SlotDenied(codes.Overloaded, limits.RetryAfter(ask.Instance))
			continue
		}
		gate.running++
		limits.retryBudget(ask).deposit()
		next.SlotGranted()
	}
}

// releaseClass gives a slot of a class back and admits the next entrant of the class.
func (limits *Limits) releaseClass(class *classLimit) {
	if class == nil {
		return
	}
	class.running--
	for len(class.waiting) > 0 && class.running < class.limit {
		next := class.waiting[0]
		class.waiting = class.waiting[1:]
		limits.removeWaiting(next.SlotRequest())
		limits.acquireInstance(next, class)
	}
}

func (limits *Limits) addWaiting(ask route.SlotRequest) {
	if ask.Job != nil {
		limits.waitingByDeployment[ask.Job.Deployment().Name()]++
	}
}

func (limits *Limits) removeWaiting(ask route.SlotRequest) {
	if ask.Job != nil {
		limits.waitingByDeployment[ask.Job.Deployment().Name()]--
	}
}

// flowPath leads to the flow of a request: its deployment by weight, its class of
// caller, and its key or else its caller.
func flowPath(ask route.SlotRequest) []pathStep {
	if ask.Job == nil {
		return []pathStep{{"", 1}, {"", 1}, {"", 1}}
	}
	flow := ask.Job.Request().Key()
	if flow == "" {
		flow = "#" + strconv.FormatUint(uint64(ask.Job.Request().Caller()), 10)
	}
	deployment := ask.Job.Deployment()
	return []pathStep{{deployment.Name(), deployment.Weight()}, {ask.Job.Class().Name(), 1}, {flow, 1}}
}
