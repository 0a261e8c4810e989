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
	// driveLimit is how long a proxy that shuts down stays for a promotion.
	driveLimit = 2 * time.Second
)

func init() {
	kern.Register("failov", kern.RankFailover, func(context *kern.Context) kern.Plugin {
		return New(context)
	})
}

// Failover is the plug-in.
type Failover struct {
	context *kern.Context
	orders  *orders
	watches map[model.GroupID]*watch
}

// New returns the plug-in of the kernel that context belongs to.
func New(context *kern.Context) *Failover {
	failover := &Failover{
		context: context,
		orders:  newOrders(context),
		watches: make(map[model.GroupID]*watch),
	}
	context.ProvideService(ServiceName, failover)
	context.Timers().Every(checkInterval, failover.check)
	return failover
}

// Driving reports whether this proxy is in the middle of a promotion that it can
// be expected to finish. One that finds no majority is left to others.
func (failover *Failover) Driving() bool {
	now := failover.context.Now()
	for _, watch := range failover.watches {
		if watch.move != nil || (watch.attempt != nil && now-watch.attempt.startedAt < driveLimit) {
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
		failover.hear(received.Instance())
	case event.OrderAnswered:
		failover.hear(received.Instance())
	case event.GroupObserved:
		failover.observe(received.Group())
	case event.TermChanged:
		failover.changeTerm(received)
	case event.CommandReceived:
		if command, ok := received.Command().(event.Switchover); ok {
			failover.command(received.CommandID(), command)
		}
	}
}

// check looks at every group, because silence makes no event.
func (failover *Failover) check() {
	for _, group := range failover.context.State().Groups() {
		failover.evaluate(failover.watch(group))
	}
}

func (failover *Failover) hear(instance model.InstanceID) {
	if group := failover.context.State().GroupOf(instance); group != nil {
		failover.watch(group).heard[instance] = failover.context.Now()
	}
}

func (failover *Failover) observe(id model.GroupID) {
	if group := failover.context.State().Group(id); group != nil {
		failover.evaluate(failover.watch(group))
	}
}

func (failover *Failover) changeTerm(changed event.TermChanged) {
	group := failover.context.State().Group(changed.Group())
	if group == nil {
		return
	}
	watch := failover.watch(group)
	watch.startTerm(failover.context.Now())
	if watch.attempt != nil && changed.Term() >= watch.attempt.term {
		failover.end(watch, changed)
	}
	failover.endMove(watch, changed)
}

// evaluate decides what a group needs: a promotion, a switchover, or that
// instances are told whom to follow.
func (failover *Failover) evaluate(watch *watch) {
	now := failover.context.Now()
	watch.noticeFence(now)
	if watch.attempt != nil {
		return
	}
	failover.boundMove(watch)
	loss := failover.detect(watch)
	if loss == lossNone {
		watch.lostSince = 0
		watch.doubtSince = 0
		failover.move(watch)
		failover.lead(watch)
		return
	}
	if watch.doubtSince == 0 {
		watch.doubtSince = now
	}
	failover.demand(watch, watch.doubtSince)
	if loss == lossSuspected {
		return
	}
	if watch.lostSince == 0 {
		watch.lostSince = now
	}
	if now >= failover.dueAt(watch, loss) {
		failover.replace(watch, loss)
	}
}

// demand asks for new reports at once, so that a doubt is settled soon. They
// become rarer the longer the doubt lasts.
func (failover *Failover) demand(watch *watch, began time.Duration) {
	if probes, ok := failover.context.Service(route.ProbesService).(route.Probes); ok {
		probes.RequestReports(watch.group.ID(), failover.context.Now(), began)
	}
}

func (failover *Failover) watch(group *state.Group) *watch {
	found, ok := failover.watches[group.ID()]
	if !ok || found.group != group {
		found = newWatch(group, failover.context.Now())
		failover.watches[group.ID()] = found
	}
	return found
}

func (failover *Failover) log(watch *watch, decision model.Decision) {
	decision.Group = watch.group.ID()
	decision.Proxy = failover.context.State().Self().ID()
	failover.context.Emit(event.NewLogDecision(decision))
}
