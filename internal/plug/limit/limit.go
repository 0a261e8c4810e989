// Package limit admits requests to the slots of the instances. Requests that
// wait are served in a fair order.
package limit

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() { kern.Register("limit", kern.RankLimits, New) }

// Limits admits requests.
type Limits struct {
	context *kern.Context
	gates   map[model.InstanceID]*gate
}

// gate bounds the statements that run at once on one instance.
type gate struct {
	running int
	waiting []route.Entrant
}

// New returns the plug-in. It offers route.Admission.
func New(context *kern.Context) kern.Plugin {
	limits := &Limits{context: context, gates: make(map[model.InstanceID]*gate)}
	context.Offer(route.AdmissionService, limits)
	return limits
}

// Handle implements kern.Plugin.
func (limits *Limits) Handle(event.Event) {}

// Enter implements route.Admission.
func (limits *Limits) Enter(entrant route.Entrant) {
	gate := limits.gate(entrant.Ask().Instance)
	if gate.running < limits.share() {
		gate.running++
		entrant.SlotGranted()
		return
	}
	gate.waiting = append(gate.waiting, entrant)
}

// Withdraw implements route.Admission.
func (limits *Limits) Withdraw(entrant route.Entrant) {
	gate := limits.gate(entrant.Ask().Instance)
	for index, waiting := range gate.waiting {
		if waiting == entrant {
			gate.waiting = append(gate.waiting[:index], gate.waiting[index+1:]...)
			return
		}
	}
}

// Force implements route.Admission.
func (limits *Limits) Force(instance model.InstanceID) { limits.gate(instance).running++ }

// Leave implements route.Admission.
func (limits *Limits) Leave(instance model.InstanceID, _ time.Duration, _ bool) {
	gate := limits.gate(instance)
	gate.running--
	for gate.running < limits.share() && len(gate.waiting) > 0 {
		next := gate.waiting[0]
		gate.waiting = gate.waiting[1:]
		gate.running++
		next.SlotGranted()
	}
}

// Load implements route.Admission.
func (limits *Limits) Load(instance model.InstanceID) int {
	gate := limits.gate(instance)
	return gate.running + len(gate.waiting)
}

// Retry implements route.Admission.
func (limits *Limits) Retry(model.GroupID) bool { return true }

// RetryAfter implements route.Admission.
func (limits *Limits) RetryAfter() time.Duration { return 250 * time.Millisecond }

func (limits *Limits) gate(instance model.InstanceID) *gate {
	found, ok := limits.gates[instance]
	if !ok {
		found = &gate{}
		limits.gates[instance] = found
	}
	return found
}

// share returns this proxy's share of the slots of an instance.
func (limits *Limits) share() int {
	proxies := max(1, len(limits.context.State().Proxies()))
	slots := limits.context.Settings().SlotsPerInstance()
	return max(1, (slots+proxies-1)/proxies)
}
