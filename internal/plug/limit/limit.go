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
	context *kern.Context
	gates   map[model.InstanceID]*gate
	classes map[classKey]*class
	waiting map[string]int
	budgets map[model.GroupID]*budget
}

// New returns the plug-in. It offers route.Admission.
func New(context *kern.Context) kern.Plugin {
	limits := &Limits{
		context: context,
		gates:   make(map[model.InstanceID]*gate),
		classes: make(map[classKey]*class),
		waiting: make(map[string]int),
		budgets: make(map[model.GroupID]*budget),
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
	class := limits.class(ask)
	if class == nil || class.running < class.limit {
		limits.enterGate(entrant, class)
		return
	}
	if code, retryAfter := limits.refusal(ask, limits.gate(ask.Instance)); code != codes.OK {
		entrant.SlotDenied(code, retryAfter)
		return
	}
	limits.wait(ask)
	class.waiting = append(class.waiting, entrant)
}

// enterGate takes a slot of the class and one of the instance.
func (limits *Limits) enterGate(entrant route.SlotWaiter, class *class) {
	ask := entrant.SlotRequest()
	gate := limits.gate(ask.Instance)
	if gate.waiting.size > 0 || gate.running >= gate.limit {
		if code, retryAfter := limits.refusal(ask, gate); code != codes.OK {
			entrant.SlotDenied(code, retryAfter)
			return
		}
		limits.wait(ask)
		if gate.waiting.size == 0 {
			gate.queued = limits.context.Now()
		}
		gate.waiting.push(path(ask), entrant)
		class.enter()
		return
	}
	class.enter()
	gate.running++
	limits.budget(ask).earn()
	entrant.SlotGranted()
}

// CancelWait implements route.Admission.
func (limits *Limits) CancelWait(entrant route.SlotWaiter) {
	ask := entrant.SlotRequest()
	class := limits.class(ask)
	if class.remove(entrant) {
		limits.unwait(ask)
		return
	}
	if limits.gate(ask.Instance).waiting.remove(path(ask), entrant) {
		limits.unwait(ask)
		limits.leaveClass(class)
	}
}

// ForceAcquire implements route.Admission.
func (limits *Limits) ForceAcquire(ask route.SlotRequest) {
	limits.class(ask).enter()
	limits.gate(ask.Instance).running++
}

// Release implements route.Admission.
func (limits *Limits) Release(ask route.SlotRequest, held time.Duration, busy bool) {
	gate := limits.gate(ask.Instance)
	if !busy && !ask.BypassLimit {
		gate.learned = limits.context.Now()
		gate.learn(held, limits.floor(ask.Instance), limits.ceiling(ask.Instance))
	}
	gate.running--
	limits.serve(gate)
	limits.leaveClass(limits.class(ask))
}

// Load implements route.Admission.
func (limits *Limits) Load(instance model.InstanceID) int {
	gate := limits.gate(instance)
	return gate.running + gate.waiting.size
}

// serve grants the free slots of an instance to those whose turn it is.
func (limits *Limits) serve(gate *gate) {
	for gate.waiting.size > 0 && gate.running < gate.limit {
		next := gate.waiting.pop()
		ask := next.SlotRequest()
		limits.unwait(ask)
		if ask.Job != nil && limits.overdue(ask.Job, gate, limits.context.Now()+gate.held) {
			limits.leaveClass(limits.class(ask))
			next.SlotDenied(codes.Overloaded, limits.RetryAfter(ask.Instance))
			continue
		}
		gate.running++
		limits.budget(ask).earn()
		next.SlotGranted()
	}
}

// leaveClass gives a slot of a class back and admits the next entrant of the class.
func (limits *Limits) leaveClass(class *class) {
	if class == nil {
		return
	}
	class.running--
	for len(class.waiting) > 0 && class.running < class.limit {
		next := class.waiting[0]
		class.waiting = class.waiting[1:]
		limits.unwait(next.SlotRequest())
		limits.enterGate(next, class)
	}
}

func (limits *Limits) wait(ask route.SlotRequest) {
	if ask.Job != nil {
		limits.waiting[ask.Job.Deployment().Name()]++
	}
}

func (limits *Limits) unwait(ask route.SlotRequest) {
	if ask.Job != nil {
		limits.waiting[ask.Job.Deployment().Name()]--
	}
}

// path leads to the flow of a request: its deployment by weight, its class of
// caller, and its key or else its caller.
func path(ask route.SlotRequest) []hop {
	if ask.Job == nil {
		return []hop{{"", 1}, {"", 1}, {"", 1}}
	}
	flow := ask.Job.Request().Key()
	if flow == "" {
		flow = "#" + strconv.FormatUint(uint64(ask.Job.Request().Caller()), 10)
	}
	deployment := ask.Job.Deployment()
	return []hop{{deployment.Name(), deployment.Weight()}, {ask.Job.Class().Name(), 1}, {flow, 1}}
}
