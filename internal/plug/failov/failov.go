// Package failov is the plug-in that detects the loss of a primary and orders promotions
// and switchovers. The instances themselves enforce the terms: a promotion first fences a
// majority of them, so it depends neither on the store nor on the other proxies.
package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// ServiceName is the name under which the plug-in provides itself as a service.
const ServiceName = "failov"

const (
	checkInterval = 20 * time.Millisecond
	// shutdownPromotionTimeout is how long a proxy that shuts down keeps running for a
	// promotion attempt.
	shutdownPromotionTimeout = 2 * time.Second
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

// PromotionInProgress reports whether this proxy runs a switchover, or a promotion attempt that it can
// be expected to finish. An attempt that finds no majority within shutdownPromotionTimeout is
// left to the other proxies.
func (failover *Failover) PromotionInProgress() bool {
	now := failover.context.Now()
	for _, monitor := range failover.monitors {
		if monitor.switchover != nil || (monitor.attempt != nil && now-monitor.attempt.startedAt < shutdownPromotionTimeout) {
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
			failover.handleSwitchover(received.CallID(), command)
		}
	}
}

// checkGroups evaluates every group periodically, because the absence of reports causes no
// event.
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
	monitor := failover.monitor(group)
	monitor.startTerm(failover.context.Now())
	if monitor.attempt != nil && changed.Term() >= monitor.attempt.term {
		failover.endAttempt(monitor, changed)
	}
	failover.finishSwitchover(monitor, changed)
}

// evaluate decides what the group needs: a promotion, a switchover, or orders to replicas
// to follow the primary.
func (failover *Failover) evaluate(monitor *monitor) {
	now := failover.context.Now()
	monitor.recordFences(now)
	if monitor.attempt != nil {
		return
	}
	failover.expireSwitchover(monitor)
	loss := failover.detect(monitor)
	if loss == lossNone {
		monitor.lostSince = 0
		monitor.suspectedSince = 0
		failover.evaluateSwitchover(monitor)
		failover.redirectReplicas(monitor)
		return
	}
	if monitor.suspectedSince == 0 {
		monitor.suspectedSince = now
	}
	failover.requestReports(monitor, monitor.suspectedSince)
	if loss == lossSuspected {
		return
	}
	if monitor.lostSince == 0 {
		monitor.lostSince = now
	}
	if now >= failover.promotionDueAt(monitor, loss) {
		failover.startFailover(monitor, loss)
	}
}

// requestReports requests new reports without delay, so that a suspected loss is confirmed
// or refuted soon. The interval between the probes grows with the time since began.
func (failover *Failover) requestReports(monitor *monitor, began time.Duration) {
	if probes, ok := failover.context.Service(route.ProbesService).(route.Probes); ok {
		probes.RequestReports(monitor.group.ID(), failover.context.Now(), began)
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

func (failover *Failover) log(monitor *monitor, decision model.Decision) {
	decision.Group = monitor.group.ID()
	decision.Proxy = failover.context.State().Self().ID()
	failover.context.Emit(event.NewLogDecision(decision))
}
