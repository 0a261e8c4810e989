// Package probe is the plug-in that requests status reports from the instances of every
// group and records them in the state of the group.
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

// spacingDivisor sets the interval between the probes of a request for reports: the time
// that the request has waited so far, divided by this number.
const spacingDivisor = 10

func init() { kern.Register("probe", kern.RankProbe, New) }

// Prober sends the probes. At most one probe per instance is outstanding.
type Prober struct {
	context *kern.Context
	targets map[model.InstanceID]*target
	pending map[model.ProbeID]*target
}

// target is the probe state of one instance.
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

// New returns the plug-in. It provides route.Probes.
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
func (prober *Prober) RequestReports(id model.GroupID, since, began time.Duration) {
	group := prober.context.State().Group(id)
	if group == nil {
		return
	}
	spacing := prober.spacing(began)
	for _, member := range group.Members() {
		target := prober.target(group, member)
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

// spacing returns the interval between the probes of a request that began at began. It grows
// with the wait, from the configured probe spacing up to the probe interval.
func (prober *Prober) spacing(began time.Duration) time.Duration {
	settings := prober.context.Settings()
	scaled := (prober.context.Now() - began) / spacingDivisor
	return max(settings.ProbeSpacing(), min(scaled, settings.ProbeInterval()))
}

// sendPeriodic sends the periodic probes that are due, fails the probes without an answer,
// and removes the instances that are no longer listed.
func (prober *Prober) sendPeriodic() {
	now := prober.context.Now()
	interval := prober.context.Settings().ProbeInterval()
	for _, group := range prober.context.State().Groups() {
		for _, member := range group.Members() {
			target := prober.target(group, member)
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

// lostProbeTimeout returns the time after which a probe counts as failed if neither an
// answer nor a failure was reported for it.
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

func (prober *Prober) target(group *state.Group, member *state.Member) *target {
	found, ok := prober.targets[member.ID()]
	if !ok {
		found = &target{}
		prober.targets[member.ID()] = found
	}
	found.instance = member.Instance()
	found.groupID = group.ID()
	return found
}

// sendRequested sends the requested probe, now or as soon as the spacing permits. It does
// nothing while another probe of the instance is outstanding.
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

// endProbe ends the outstanding probe. It returns nil if the probe is not outstanding.
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
	group := prober.context.State().GroupOf(report.Instance())
	if group == nil || group.Member(report.Instance()) == nil {
		return
	}
	if group.Observe(report.Instance(), report.Status(), target.sentAt) {
		prober.context.Publish(event.NewTermChanged(group.ID(), group.Term(), group.Primary().ID()))
	}
	if began, needed := group.Member(report.Instance()).NeedsReadIndex(); needed {
		prober.RequestReports(group.ID(), prober.context.Now(), began)
	}
	prober.context.Publish(event.NewGroupObserved(group.ID()))
	prober.sendRequested(target)
}

func (prober *Prober) handleFailure(failure event.ProbeFailed) {
	target := prober.endProbe(failure.Probe())
	if target == nil {
		return
	}
	group := prober.context.State().GroupOf(failure.Instance())
	if group == nil {
		return
	}
	group.ObserveFailure(failure.Instance(), failure.Reason())
	prober.context.Publish(event.NewGroupObserved(group.ID()))
	prober.sendRequested(target)
}

// handleOrderAnswer records those facts in an answer to an order that hold whenever it was
// sent: the log tail of the instance in its term, and the primary of the term. The answer
// is not recorded as a status report.
func (prober *Prober) handleOrderAnswer(answer event.OrderAnswered) {
	group := prober.context.State().GroupOf(answer.Instance())
	status := answer.Status()
	if group == nil || !status.InTerm(status.Fence()) {
		return
	}
	group.ObserveWrite(answer.Instance(), status.Tail())
	if status.Role() == model.RolePrimary && group.ObservePrimary(status.Fence(), answer.Instance()) {
		prober.context.Publish(event.NewTermChanged(group.ID(), status.Fence(), answer.Instance()))
	}
	prober.context.Publish(event.NewGroupObserved(group.ID()))
	now := prober.context.Now()
	prober.RequestReports(group.ID(), now, now)
}
