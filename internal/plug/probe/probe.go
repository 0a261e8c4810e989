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

// spacingDivisor is the share of its wait so far that a waiter lets pass between two probes.
const spacingDivisor = 10

func init() { kern.Register("probe", kern.RankProbe, New) }

// Prober sends the probes. One probe of an instance is outstanding at a time.
type Prober struct {
	context *kern.Context
	targets map[model.InstanceID]*target
	pending map[model.ProbeID]*target
}

// target is the probing of one instance.
type target struct {
	instance       model.Instance
	groupID        model.GroupID
	probe          model.ProbeID
	sentAt         time.Duration
	sent           bool
	requestedSince time.Duration
	spacing        time.Duration
	requested      bool
	sendTimer      timer.ID
}

// New returns the plug-in. It offers route.Probes.
func New(context *kern.Context) kern.Plugin {
	prober := &Prober{
		context: context,
		targets: make(map[model.InstanceID]*target),
		pending: make(map[model.ProbeID]*target),
	}
	context.ProvideService(route.ProbesService, prober)
	context.Timers().Every(context.Settings().ProbeInterval(), prober.sendPeriodic)
	return prober
}

// Handle implements kern.Plugin.
func (prober *Prober) Handle(received event.Event) {
	switch received := received.(type) {
	case event.GroupsListed:
		prober.sendPeriodic()
	case event.StatusReported:
		prober.handleReport(received)
	case event.ProbeFailed:
		prober.handleFailure(received)
	case event.OrderAnswered:
		prober.handleOrderAnswer(received)
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
		if !target.requested || spacing < target.spacing {
			target.spacing = spacing
		}
		target.requested = true
		target.requestedSince = max(target.requestedSince, since)
		prober.sendRequested(target)
	}
}

func (prober *Prober) spacing(began time.Duration) time.Duration {
	settings := prober.context.Settings()
	patience := (prober.context.Now() - began) / spacingDivisor
	return max(settings.ProbeSpacing(), min(patience, settings.ProbeInterval()))
}

// sendPeriodic sends the heartbeat probes that are due and forgets instances that are
// listed no more.
func (prober *Prober) sendPeriodic() {
	now := prober.context.Now()
	interval := prober.context.Settings().ProbeInterval()
	for _, view := range prober.context.State().Groups() {
		for _, member := range view.Members() {
			target := prober.target(view, member)
			if target.probe != 0 && now-target.sentAt >= prober.lostProbeTimeout() {
				prober.handleFailure(event.NewProbeFailed(target.probe, member.ID(), model.ConnFailureTimeout))
			}
			if target.probe == 0 && (!target.sent || now-target.sentAt >= interval) {
				prober.send(target)
			}
		}
	}
	prober.removeUnlisted()
}

// lostProbeTimeout returns when a probe counts as failed although no answer says so.
func (prober *Prober) lostProbeTimeout() time.Duration {
	return 2 * prober.context.Settings().ProbeTimeout()
}

func (prober *Prober) removeUnlisted() {
	for id, target := range prober.targets {
		if prober.context.State().GroupOf(id) == nil {
			prober.context.Timers().Cancel(target.sendTimer)
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
	found.groupID = view.ID()
	return found
}

// sendRequested sends the probe that is demanded, now or when the spacing allows it.
func (prober *Prober) sendRequested(target *target) {
	if !target.requested || target.probe != 0 {
		return
	}
	due := target.sentAt + target.spacing
	if !target.sent || due <= prober.context.Now() {
		prober.send(target)
		return
	}
	prober.context.Timers().Cancel(target.sendTimer)
	target.sendTimer = prober.context.Timers().After(due-prober.context.Now(), func() { prober.sendRequested(target) })
}

func (prober *Prober) send(target *target) {
	prober.context.Timers().Cancel(target.sendTimer)
	target.probe = model.ProbeID(prober.context.NextID())
	target.sentAt = prober.context.Now()
	target.sent = true
	if target.sentAt >= target.requestedSince {
		target.requested = false
	}
	prober.pending[target.probe] = target
	timeout := prober.context.Settings().ProbeTimeout()
	prober.context.Emit(event.NewProbe(target.probe, target.instance.ID(), target.instance.Address(), timeout))
}

// endProbe ends the outstanding probe. It returns nil for an answer that nobody waits for.
func (prober *Prober) endProbe(probe model.ProbeID) *target {
	target, ok := prober.pending[probe]
	if !ok {
		return nil
	}
	delete(prober.pending, probe)
	target.probe = 0
	return target
}

func (prober *Prober) handleReport(report event.StatusReported) {
	target := prober.endProbe(report.Probe())
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
	prober.sendRequested(target)
}

func (prober *Prober) handleFailure(failure event.ProbeFailed) {
	target := prober.endProbe(failure.Probe())
	if target == nil {
		return
	}
	view := prober.context.State().GroupOf(failure.Instance())
	if view == nil {
		return
	}
	view.ObserveFailure(failure.Instance(), failure.Reason())
	prober.context.Publish(event.NewGroupObserved(view.ID()))
	prober.sendRequested(target)
}

// handleOrderAnswer takes from the answer to an order what holds whenever it was given:
// what the instance held in its term, and who leads a term.
func (prober *Prober) handleOrderAnswer(done event.OrderAnswered) {
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
