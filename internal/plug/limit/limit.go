// Package limit implements admission control. It limits the concurrent requests per
// instance and per caller class, queues waiting requests by priority and expected work,
// and denies a request a slot immediately if the slot would be granted too late.
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

// Limits implements route.Admission.
type Limits struct {
	context             *kern.Context
	policy              Policy
	instanceLimits      map[model.InstanceID]*instanceLimit
	classLimits         map[classKey]*classLimit
	waitingByDeployment map[string]int
	retryBudgets        map[model.GroupID]*retryBudget
	workEstimates       map[laneKey]*workEstimate
	meanWork            average // of the statements of all lanes
}

// New returns the plug-in, which provides route.Admission.
func New(context *kern.Context) kern.Plugin { return NewWithPolicy(context, DefaultPolicy()) }

// NewWithPolicy returns the plug-in with the given parameters, for experiments.
func NewWithPolicy(context *kern.Context, policy Policy) kern.Plugin {
	limits := &Limits{
		context:             context,
		policy:              policy,
		instanceLimits:      make(map[model.InstanceID]*instanceLimit),
		classLimits:         make(map[classKey]*classLimit),
		waitingByDeployment: make(map[string]int),
		retryBudgets:        make(map[model.GroupID]*retryBudget),
		workEstimates:       make(map[laneKey]*workEstimate),
	}
	context.ProvideService(route.AdmissionService, limits)
	return limits
}

// Handle implements kern.Plugin.
func (limits *Limits) Handle(event.Event) {}

// Acquire implements route.Admission.
func (limits *Limits) Acquire(waiter route.SlotWaiter) {
	request := waiter.SlotRequest()
	if request.BypassLimit {
		limits.ForceAcquire(request)
		waiter.SlotGranted()
		return
	}
	classLimit := limits.classLimit(request)
	if classLimit == nil || classLimit.running < classLimit.limit {
		limits.acquireInstance(waiter, classLimit)
		return
	}
	if reason := limits.checkWait(request, limits.instanceLimit(request.Instance)); reason != "" {
		limits.deny(waiter, reason)
		return
	}
	limits.addWaiting(request)
	classLimit.waiting = append(classLimit.waiting, waiter)
}

// acquireInstance takes a slot of the class. It also takes a slot of the instance or
// queues the waiter for one. If it denies the waiter a slot, it takes neither.
func (limits *Limits) acquireInstance(waiter route.SlotWaiter, classLimit *classLimit) {
	request := waiter.SlotRequest()
	instanceLimit := limits.instanceLimit(request.Instance)
	if instanceLimit.queue.size > 0 || !instanceLimit.free(limits.context.Now()) {
		if reason := limits.checkWait(request, instanceLimit); reason != "" {
			limits.deny(waiter, reason)
			return
		}
		limits.addWaiting(request)
		if instanceLimit.queue.size == 0 {
			instanceLimit.queuedSince = limits.context.Now()
		}
		instanceLimit.queue.push(limits.rankedLane(request), flowPath(request), waiter)
		classLimit.acquire()
		return
	}
	classLimit.acquire()
	limits.grant(waiter, instanceLimit)
}

// deny denies a waiter a slot because of an overload.
func (limits *Limits) deny(waiter route.SlotWaiter, reason string) {
	retryAfter := limits.RetryAfter(waiter.SlotRequest().Instance)
	waiter.SlotDenied(route.Denial{Code: codes.Overloaded, RetryAfter: retryAfter, Reason: reason})
}

// grant grants a slot to a waiter.
func (limits *Limits) grant(waiter route.SlotWaiter, instanceLimit *instanceLimit) {
	request := waiter.SlotRequest()
	instanceLimit.running++
	instanceLimit.progressAt = limits.context.Now()
	limits.deposit(request)
	if key := laneOf(request); key.inTx {
		limits.workEstimate(key).addTx()
	}
	waiter.SlotGranted()
}

// rankedLane returns the lane of a request with its rank, without waiters.
func (limits *Limits) rankedLane(request route.SlotRequest) lane {
	key := laneOf(request)
	if request.Job == nil {
		return lane{key: key, weight: 1}
	}
	deployment := request.Job.Deployment()
	return lane{key: key, priority: deployment.Priority(), weight: deployment.Weight(), work: limits.expectedWork(key)}
}

// CancelWait implements route.Admission.
func (limits *Limits) CancelWait(waiter route.SlotWaiter) {
	request := waiter.SlotRequest()
	classLimit := limits.classLimit(request)
	if classLimit.remove(waiter) {
		limits.removeWaiting(request)
		return
	}
	if limits.instanceLimit(request.Instance).queue.remove(laneOf(request), flowPath(request), waiter) {
		limits.removeWaiting(request)
		limits.releaseClass(classLimit)
	}
}

// ForceAcquire implements route.Admission.
func (limits *Limits) ForceAcquire(request route.SlotRequest) {
	limits.classLimit(request).acquire()
	instanceLimit := limits.instanceLimit(request.Instance)
	if request.Forwarded {
		instanceLimit.forwarded++
		limits.deposit(request)
		return
	}
	if instanceLimit.running < instanceLimit.limit {
		instanceLimit.progressAt = limits.context.Now() // the slots are all held from now on only
	}
	instanceLimit.running++
	if key := laneOf(request); key.inTx {
		limits.workEstimate(key).resumed++
	}
}

// Release implements route.Admission.
func (limits *Limits) Release(request route.SlotRequest, held time.Duration, end route.SlotEnd) {
	instanceLimit := limits.instanceLimit(request.Instance)
	// A statement that was not answered does not say how long those take that are. While such
	// statements hold all slots, turnover says it.
	if end == route.SlotAnswered && !request.BypassLimit {
		instanceLimit.addSample(limits.context.Now(), held, limits.policy)
		instanceLimit.limit = min(max(instanceLimit.limit, limits.lowerBound(request.Instance)), limits.upperBound(request.Instance))
		limits.recordHeld(request, held)
	}
	if request.Forwarded {
		instanceLimit.forwarded--
		limits.releaseClass(limits.classLimit(request))
		return
	}
	if end != route.SlotUnused {
		limits.recordDuty(request, instanceLimit, held, end == route.SlotAnswered)
	}
	instanceLimit.running--
	if !request.BypassLimit { // a ping that is answered says nothing of statements that hang
		instanceLimit.progressAt = limits.context.Now()
	}
	limits.grantWaiting(instanceLimit)
	limits.releaseClass(limits.classLimit(request))
}

// Load implements route.Admission.
func (limits *Limits) Load(instance model.InstanceID) int {
	instanceLimit := limits.instanceLimit(instance)
	return instanceLimit.running + instanceLimit.forwarded + instanceLimit.queue.size
}

// grantWaiting grants the free slots of an instance to waiters in queue order. Waiters
// that would miss their target latency are denied a slot.
func (limits *Limits) grantWaiting(instanceLimit *instanceLimit) {
	for instanceLimit.queue.size > 0 && instanceLimit.free(limits.context.Now()) {
		next := instanceLimit.queue.pop()
		request := next.SlotRequest()
		limits.removeWaiting(request)
		if request.Job != nil && limits.missesTarget(request, instanceLimit, limits.context.Now()) {
			limits.releaseClass(limits.classLimit(request))
			limits.deny(next, waitedTooLong)
			continue
		}
		limits.grant(next, instanceLimit)
	}
}

// releaseClass returns a slot of a class and passes the next waiters of the class on to
// the limits of their instances.
func (limits *Limits) releaseClass(classLimit *classLimit) {
	if classLimit == nil {
		return
	}
	classLimit.running--
	for len(classLimit.waiting) > 0 && classLimit.running < classLimit.limit {
		next := classLimit.waiting[0]
		classLimit.waiting = classLimit.waiting[1:]
		limits.removeWaiting(next.SlotRequest())
		limits.acquireInstance(next, classLimit)
	}
}

func (limits *Limits) addWaiting(request route.SlotRequest) {
	if request.Job != nil {
		limits.waitingByDeployment[request.Job.Deployment().Name()]++
	}
}

func (limits *Limits) removeWaiting(request route.SlotRequest) {
	if request.Job != nil {
		limits.waitingByDeployment[request.Job.Deployment().Name()]--
	}
}

// flowPath returns the path of a request in the tree of flows of its lane: its team, its caller
// class and its key, or the caller if it has no key.
func flowPath(request route.SlotRequest) []string {
	if request.Job == nil {
		return []string{"", "", ""}
	}
	flow := request.Job.Request().Key()
	if flow == "" {
		flow = "#" + strconv.FormatUint(uint64(request.Job.Request().Caller()), 10)
	}
	return []string{string(request.Job.Team().Name()), request.Job.Class().Name(), flow}
}
