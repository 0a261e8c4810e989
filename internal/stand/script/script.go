// Package script drives a single kernel with scripted events for tests of the
// plug-ins. The simulated instances answer probes and connection requests
// automatically; the test answers executions.
package script

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
)

// Group is the group of a Script. Its instances are A, B and C; A is the initial
// primary.
const (
	Group model.GroupID    = "katalog-1"
	A     model.InstanceID = "katalog-1-a"
	B     model.InstanceID = "katalog-1-b"
	C     model.InstanceID = "katalog-1-c"
)

// Deployment is the name of the deployment to which callers of a Script connect.
const Deployment = "katalog-db"

const seed = 20261203

// Term returns the term with the given promotion count.
func Term(count uint64) model.Term { return model.NewTerm(count, 1) }

// Mark returns the mark of an entry of Term(count).
func Mark(count uint64, position model.Position) model.Mark {
	return model.NewMark(Term(count), position)
}

// Script is a kernel with a simulated clock and simulated instances.
type Script struct {
	kernel       *kern.Kernel
	now          time.Duration
	instances    map[model.InstanceID]*Instance
	conns        map[model.ConnID]model.InstanceID
	probes       []event.Probe
	executes     []event.Execute
	replies      []*model.Reply
	otherActions []event.Action
	resets       []model.ConnID
	lastSeq      model.RequestSeq
}

// New returns a Script whose kernel serves a deployment with the given settings.
// The log of each instance holds the first entry of Term(1). The clock has
// advanced by one probe interval.
func New(deployment *model.Deployment, spec tune.Spec) *Script {
	self := model.NewProxyView("proxy-1", "127.0.0.1:1", "gradska-dvorana", 0, false, 0)
	started := time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)
	script := &Script{
		kernel:    kern.New(self, tune.New(spec), started, seed),
		instances: make(map[model.InstanceID]*Instance),
		conns:     make(map[model.ConnID]model.InstanceID),
	}
	var members []model.Instance
	for _, id := range []model.InstanceID{A, B, C} {
		members = append(members, model.NewInstance(id, "127.0.0.1:2", "gradska-dvorana"))
		script.instances[id] = &Instance{Fence: Term(1), Tail: Mark(1, 1), Upstream: A}
	}
	script.instances[A].Primary = true
	view := script.kernel.State()
	view.SetGroups([]model.Group{model.NewGroup(Group, members)})
	view.SetDeployments(1, []*model.Deployment{deployment})
	view.SetConfirmed(true)
	view.SetProxies([]model.ProxyView{self})
	script.Advance(spec.ProbeInterval)
	return script
}

// Kernel returns the kernel, for operations that the Script does not provide.
func (script *Script) Kernel() *kern.Kernel { return script.kernel }

// State returns the shared state of the kernel.
func (script *Script) State() *state.State { return script.kernel.State() }

// GroupState returns the kernel's state of the group.
func (script *Script) GroupState() *state.Group { return script.kernel.State().Group(Group) }

// Instance returns a simulated instance, which the test may modify.
func (script *Script) Instance(id model.InstanceID) *Instance { return script.instances[id] }

// Now returns the time of the simulated clock.
func (script *Script) Now() time.Duration { return script.now }

// Handle delivers an event to the kernel and answers the resulting actions.
func (script *Script) Handle(received event.Event) {
	script.collect(script.kernel.Handle(script.now, received))
	script.answerPending()
}

// Advance moves the clock forward by delay and fires the timers that become due.
func (script *Script) Advance(delay time.Duration) {
	until := script.now + delay
	for {
		next, ok := script.kernel.Next()
		if !ok || next > until {
			break
		}
		script.now = max(script.now, next)
		script.collect(script.kernel.Tick(script.now))
		script.answerPending()
	}
	script.now = until
	script.collect(script.kernel.Tick(script.now))
	script.answerPending()
}

// Promote makes an instance the primary of Term(count) with one more log entry,
// which the followers have copied.
func (script *Script) Promote(id model.InstanceID, count uint64, followers ...model.InstanceID) {
	tail := Mark(count, script.instances[id].Tail.Position()+1)
	script.instances[id].Primary = true
	for _, member := range append(followers, id) {
		instance := script.instances[member]
		instance.Primary = member == id
		instance.Fence = Term(count)
		instance.Tail = tail
		instance.Upstream = id
	}
}
