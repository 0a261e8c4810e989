// Package script drives one kernel with scripted events for tests of the
// plug-ins. Instances answer probes and openings of connections by themselves;
// what they execute is answered by the test.
package script

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/tune"
)

// Group is the group of a Script; its instances are A, B and C, of which A leads first.
const (
	Group model.GroupID    = "katalog-1"
	A     model.InstanceID = "katalog-1-a"
	B     model.InstanceID = "katalog-1-b"
	C     model.InstanceID = "katalog-1-c"
)

// Deployment is the name of the deployment of a Script.
const Deployment = "katalog-db"

const seed = 20261203

// Term returns the term of the given number of promotions.
func Term(count uint64) model.Term { return model.NewTerm(count, 1) }

// Mark returns the mark of an entry that was written in Term(count).
func Mark(count uint64, position model.Position) model.Mark {
	return model.NewMark(Term(count), position)
}

// Script is a kernel with its clock and its instances.
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

// New returns a Script whose kernel serves a deployment under the given settings.
// All instances hold the first entry of Term(1).
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

// Kernel returns the kernel, for what the Script does not drive itself.
func (script *Script) Kernel() *kern.Kernel { return script.kernel }

// State returns the shared state of the kernel.
func (script *Script) State() *state.State { return script.kernel.State() }

// GroupState returns the kernel's view of the group.
func (script *Script) GroupState() *state.Group { return script.kernel.State().Group(Group) }

// Instance returns an instance, which the test may change.
func (script *Script) Instance(id model.InstanceID) *Instance { return script.instances[id] }

// Now returns the time of the script.
func (script *Script) Now() time.Duration { return script.now }

// Handle hands an event to the kernel and carries out what follows.
func (script *Script) Handle(received event.Event) {
	script.collect(script.kernel.Handle(script.now, received))
	script.answerPending()
}

// Advance moves the clock and fires the timers on the way.
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

// Promote makes an instance lead Term(count) with one more entry, and the others follow it.
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
