// Package probe asks the instances of every group for their status and keeps the
// views of the groups.
package probe

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/timer"
)

// patienceShare is the share of its wait so far that a waiter lets pass between two probes.
const patienceShare = 10

func init() { kern.Register("probe", kern.RankProbe, New) }

// Prober sends the probes. One probe of an instance is outstanding at a time.
type Prober struct {
	context *kern.Context
	targets map[model.InstanceID]*target
	pending map[model.ProbeID]*target
}

// target is the probing of one instance.
type target struct {
	instance model.Instance
	group    model.GroupID
	probe    model.ProbeID
	sentAt   time.Duration
	sent     bool
	wanted   time.Duration
	spacing  time.Duration
	demanded bool
	wake     timer.ID
}

// New returns the plug-in. It offers route.Probes.
func New(context *kern.Context) kern.Plugin {
	prober := &Prober{
		context: context,
		targets: make(map[model.InstanceID]*target),
		pending: make(map[model.ProbeID]*target),
	}
	context.ProvideService(route.ProbesService, prober)
	context.Timers().Every(context.Settings().ProbeInterval(), prober.beat)
	return prober
}

// Handle implements kern.Plugin.
func (prober *Prober) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupsListed:
		prober.beat()
	case event.StatusReported:
		prober.reported(received)
	case event.ProbeFailed:
		prober.failed(received)
	case event.OrderAnswered:
		prober.ordered(received)
	}
}

// RequestReports implements route.Probes.
func (prober *Prober) RequestReports(group model.GroupID, since, began time.Duration) {
	view := prober.context.State().Group(group)
	if view == nil {
		return
	}
	spacing := prober.spacing(began)
	for _, member := range view.Members() {
		target := prober.target(view, member)
		if target.sent && target.sentAt >= since {
			continue
		}
		if !target.demanded || spacing < target.spacing {
			target.spacing = spacing
		}
		target.demanded = true
		target.wanted = max(target.wanted, since)
		prober.pursue(target)
	}
}

func (prober *Prober) spacing(began time.Duration) time.Duration {
	settings := prober.context.Settings()
	patience := (prober.context.Now() - began) / patienceShare
	return max(settings.ProbeSpacing(), min(patience, settings.ProbeInterval()))
}

// beat sends the heartbeat probes that are due and forgets instances that are
// listed no more.
func (prober *Prober) beat() {
	now := prober.context.Now()
	interval := prober.context.Settings().ProbeInterval()
	for _, view := range prober.context.State().Groups() {
		for _, member := range view.Members() {
			target := prober.target(view, member)
			if target.probe != 0 && now-target.sentAt >= prober.lostAfter() {
				prober.failed(event.NewProbeFailed(target.probe, member.ID(), model.ConnFailureTimeout))
			}
			if target.probe == 0 && (!target.sent || now-target.sentAt >= interval) {
				prober.send(target)
			}
		}
	}
	prober.forget()
}

// lostAfter returns when a probe counts as failed although no answer says so.
func (prober *Prober) lostAfter() time.Duration { return 2 * prober.context.Settings().ProbeTimeout() }

func (prober *Prober) forget() {
	for id, target := range prober.targets {
		if prober.context.State().GroupOf(id) == nil {
			prober.context.Timers().Cancel(target.wake)
			delete(prober.pending, target.probe)
			delete(prober.targets, id)
		}
	}
}

func (prober *Prober) target(view *state.Group, member *state.Member) *target {
	found, ok := prober.targets[member.ID()]
	if !ok {
		found = &target{}
		prober.targets[member.ID()] = found
	}
	found.instance = member.Instance()
	found.group = view.ID()
	return found
}

// pursue sends the probe that is demanded, now or when the spacing allows it.
func (prober *Prober) pursue(target *target) {
	if !target.demanded || target.probe != 0 {
		return
	}
	due := target.sentAt + target.spacing
	if !target.sent || due <= prober.context.Now() {
		prober.send(target)
		return
	}
	prober.context.Timers().Cancel(target.wake)
	target.wake = prober.context.Timers().After(due-prober.context.Now(), func() { prober.pursue(target) })
}

func (prober *Prober) send(target *target) {
	prober.context.Timers().Cancel(target.wake)
	target.probe = model.ProbeID(prober.context.NextID())
	target.sentAt = prober.context.Now()
	target.sent = true
	if target.sentAt >= target.wanted {
		target.demanded = false
	}
	prober.pending[target.probe] = target
	timeout := prober.context.Settings().ProbeTimeout()
	prober.context.Emit(event.NewProbe(target.probe, target.instance.ID(), target.instance.Address(), timeout))
}

// settle ends the outstanding probe. It returns nil for an answer that nobody waits for.
func (prober *Prober) settle(probe model.ProbeID) *target {
	target, ok := prober.pending[probe]
	if !ok {
		return nil
	}
	delete(prober.pending, probe)
	target.probe = 0
	return target
}

func (prober *Prober) reported(report event.StatusReported) {
	target := prober.settle(report.Probe())
	if target == nil {
		return
	}
	view := prober.context.State().GroupOf(report.Instance())
	if view == nil || view.Member(report.Instance()) == nil {
		return
	}
	if view.Observe(report.Instance(), report.Status(), target.sentAt) {
		prober.context.Publish(event.NewTermChanged(view.ID(), view.Term(), view.Primary().ID()))
	}
	if began, lacks := view.Member(report.Instance()).NeedsReadIndex(); lacks {
		prober.RequestReports(view.ID(), prober.context.Now(), began)
	}
	prober.context.Publish(event.NewGroupObserved(view.ID()))
	prober.pursue(target)
}

func (prober *Prober) failed(failure event.ProbeFailed) {
	target := prober.settle(failure.Probe())
	if target == nil {
		return
	}
	view := prober.context.State().GroupOf(failure.Instance())
	if view == nil {
		return
	}
	view.ObserveFailure(failure.Instance(), failure.Reason())
	prober.context.Publish(event.NewGroupObserved(view.ID()))
	prober.pursue(target)
}

// ordered takes from the answer to an order what holds whenever it was given:
// what the instance held in its term, and who leads a term.
func (prober *Prober) ordered(done event.OrderAnswered) {
	view := prober.context.State().GroupOf(done.Instance())
	status := done.Status()
	if view == nil || !status.InTerm(status.Fence()) {
		return
	}
	view.ObserveWrite(done.Instance(), status.Tail())
	if status.Role() == model.RolePrimary && view.ObservePrimary(status.Fence(), done.Instance()) {
		prober.context.Publish(event.NewTermChanged(view.ID(), status.Fence(), done.Instance()))
	}
	prober.context.Publish(event.NewGroupObserved(view.ID()))
	now := prober.context.Now()
	prober.RequestReports(view.ID(), now, now)
}
