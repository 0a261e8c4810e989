// Package failov is the plug-in that notices the loss of a primary and orders
// promotions. The instances grant the terms: a promotion fences a majority of
// them first, so it needs neither the store nor the other proxies.
package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// ServiceName is the name under which the plug-in offers itself.
const ServiceName = "failov"

const (
	checkInterval = 20 * time.Millisecond
	// shutdownPromotionLimit is how long a proxy that shuts down stays for a promotion.
	shutdownPromotionLimit = 2 * time.Second
)

func init() {
	kern.Register("failov", kern.RankFailover, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Failover is the plug-in.
type Failover struct {
	context  *kern.Context
	orders   *orders
	monitors map[model.GroupID]*monitor
}

// New returns the plug-in of the kernel that context belongs to.
func New(context *kern.Context) *Failover {
	failover := &Failover{
		context:  context,
		orders:   newOrders(context),
		monitors: make(map[model.GroupID]*monitor),
	}
	context.ProvideService(ServiceName, failover)
	context.Timers().Every(checkInterval, failover.checkGroups)
	return failover
}

// Driving reports whether this proxy is in the middle of a promotion that it can
// be expected to finish. One that finds no majority is left to others.
func (failover *Failover) Driving() bool {
	now := failover.context.Now()
	for _, watch := range failover.monitors {
		if watch.switchover != nil || (watch.attempt != nil && now-watch.attempt.startedAt < shutdownPromotionLimit) {
			return true
		}
	}
	return false
}

// Handle implements kern.Plugin.
func (failover *Failover) Handle(received event.Event) {
	failover.orders.handle(received)
	switch received := received.(type) {
	case event.StatusReported:
		failover.recordReport(received.Instance())
	case event.OrderAnswered:
		failover.recordReport(received.Instance())
	case event.GroupObserved:
		failover.evaluateGroup(received.Group())
	case event.TermChanged:
		failover.handleTermChanged(received)
	case event.CommandReceived:
		if command, ok := received.Command().(event.Switchover); ok {
			failover.handleSwitchover(received.CommandID(), command)
		}
	}
}

// checkGroups looks at every group, because silence makes no event.
func (failover *Failover) checkGroups() {
	for _, group := range failover.context.State().Groups() {
		failover.evaluate(failover.monitor(group))
	}
}

func (failover *Failover) recordReport(instance model.InstanceID) {
	if group := failover.context.State().GroupOf(instance); group != nil {
		failover.monitor(group).reportedAt[instance] = failover.context.Now()
	}
}

func (failover *Failover) evaluateGroup(id model.GroupID) {
	if group := failover.context.State().Group(id); group != nil {
		failover.evaluate(failover.monitor(group))
	}
}

func (failover *Failover) handleTermChanged(changed event.TermChanged) {
	group := failover.context.State().Group(changed.Group())
	if group == nil {
		return
	}
	watch := failover.monitor(group)
	watch.startTerm(failover.context.Now())
	if watch.attempt != nil && changed.Term() >= watch.attempt.term {
		failover.endAttempt(watch, changed)
	}
	failover.finishSwitchover(watch, changed)
}

// evaluate decides what a group needs: a promotion, a switchover, or that
// instances are told whom to follow.
func (failover *Failover) evaluate(watch *monitor) {
	now := failover.context.Now()
	watch.recordFences(now)
	if watch.attempt != nil {
		return
	}
	failover.expireSwitchover(watch)
	loss := failover.detect(watch)
	if loss == lossNone {
		watch.lostSince = 0
		watch.suspectedSince = 0
		failover.driveSwitchover(watch)
		failover.redirectReplicas(watch)
		return
	}
	if watch.suspectedSince == 0 {
		watch.suspectedSince = now
	}
	failover.requestReports(watch, watch.suspectedSince)
	if loss == lossSuspected {
		return
	}
	if watch.lostSince == 0 {
		watch.lostSince = now
	}
	if now >= failover.promotionDueAt(watch, loss) {
		failover.startFailover(watch, loss)
	}
}

// requestReports asks for new reports at once, so that a doubt is settled soon. They
// become rarer the longer the doubt lasts.
func (failover *Failover) requestReports(watch *monitor, began time.Duration) {
	if probes, ok := failover.context.Service(route.ProbesService).(route.Probes); ok {
		probes.RequestReports(watch.group.ID(), failover.context.Now(), began)
	}
}

func (failover *Failover) monitor(group *state.Group) *monitor {
	found, ok := failover.monitors[group.ID()]
	if !ok || found.group != group {
		found = newMonitor(group, failover.context.Now())
		failover.monitors[group.ID()] = found
	}
	return found
}

func (failover *Failover) log(watch *monitor, decision model.Decision) {
	decision.Group = watch.group.ID()
	decision.Proxy = failover.context.State().Self().ID()
	failover.context.Emit(event.NewLogDecision(decision))
}
