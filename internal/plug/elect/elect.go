// Package elect is the plug-in that orders promotions in groups whose instances
// acknowledge commits themselves, on a platform that executes promotion orders. One
// proxy at a time holds the lease that allows it to order promotions.
package elect

import (
	"maps"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/core/table"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("elect", kern.RankFailover, New, kern.ProfileHosted) }

// ServiceName is the name under which the plug-in is provided as a service. The drain
// plug-in uses it.
const ServiceName = "failov"

const (
	// tickInterval is the time between two checks of the lease and the groups by the holder of
	// the lease and while a group needs a promoter.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval is the time between two checks by another proxy, unless something has
	// changed.
	idleTickInterval = 500 * time.Millisecond
)

// Elect is the plug-in.
type Elect struct {
	context       *kern.Context
	fleet         route.Fleet
	mirror        route.Mirror // nil without lists in the store
	client        *table.Client
	lease         *lease
	monitors      map[model.GroupID]*monitor
	probes        map[model.ProbeID]*monitor
	orders        map[model.OrderID]*attempt
	platformCalls map[model.PlatformCallID]*attempt
	pace          *timer.Pace // of tick
	// settledAt is when this proxy last said of groups that they are settled, or 0.
	settledAt time.Duration
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	client := table.New(context)
	elect := &Elect{
		context:       context,
		fleet:         context.Service(route.FleetService).(route.Fleet),
		client:        client,
		monitors:      make(map[model.GroupID]*monitor),
		probes:        make(map[model.ProbeID]*monitor),
		orders:        make(map[model.OrderID]*attempt),
		platformCalls: make(map[model.PlatformCallID]*attempt),
	}
	elect.mirror, _ = context.Service(route.MirrorService).(route.Mirror)
	elect.lease = newLease(context, client, elect)
	context.ProvideService(ServiceName, elect)
	context.ProvideService(route.PromoterService, elect)
	elect.pace = context.Timers().Pace(tickInterval, elect.tick)
	return elect
}

// PromotionInProgress reports whether this proxy has a promotion attempt in progress.
func (elect *Elect) PromotionInProgress() bool {
	for _, monitor := range elect.monitors {
		if monitor.attempt != nil {
			return true
		}
	}
	return false
}

// Handle implements kern.Plugin.
func (elect *Elect) Handle(received event.Event) {
	elect.client.Handle(received)
	elect.wake(received)
	switch received := received.(type) {
	case event.StoreEraSeen:
		elect.lease.startEra(received.Era())
	case event.StatusReported:
		if monitor, ok := elect.probes[received.Probe()]; ok {
			delete(elect.probes, received.Probe())
			monitor.statusReported(received.Instance(), received.Status())
		}
	case event.ProbeFailed:
		if monitor, ok := elect.probes[received.Probe()]; ok {
			delete(elect.probes, received.Probe())
			monitor.probeFailed(received.Instance(), received.Reason())
		}
	case event.OrderAnswered:
		if attempt, ok := elect.orders[received.Order()]; ok {
			delete(elect.orders, received.Order())
			attempt.orderAnswered(received)
		}
	case event.OrderFailed:
		if attempt, ok := elect.orders[received.Order()]; ok {
			delete(elect.orders, received.Order())
			attempt.orderFailed(received.Instance())
		}
	case event.PromotionAnswered:
		if attempt, ok := elect.platformCalls[received.CallID()]; ok {
			delete(elect.platformCalls, received.CallID())
			attempt.promotionAnswered(received.Outcome())
		}
	case event.SettleReceived:
		elect.answerSettle(received)
	case event.DrainStarted:
		elect.resignAfterAttempts()
	}
}

// wake makes the next check come soon if an event may change who is to be promoted, or who does it.
func (elect *Elect) wake(received event.Event) {
	switch received.(type) {
	case event.GroupObserved, event.TermChanged, event.LeavingChanged, event.CatalogChanged,
		event.InstanceUnlisted,
		event.StoreRead, event.StoreEraSeen, event.StoreRestored, event.PromotionAnswered:
		elect.pace.Wake()
	case event.InstanceListed, event.InstancesListed:
		if elect.PromotionInProgress() || len(elect.lease.row.Ordered) > 0 {
			elect.tick() // an instance that has started must be paused before it acknowledges a commit
		}
		elect.pace.Wake()
	case event.ComplaintChanged:
		elect.tick() // the lease may be free by now
		elect.pace.Wake()
	}
}

// tick checks the lease and the groups. It returns the time until the next check.
func (elect *Elect) tick() time.Duration {
	if elect.lease.resigning {
		return idleTickInterval
	}
	elect.lease.tick()
	watches := false
	for _, group := range elect.context.State().Groups() {
		if _, ok := group.Replication().(model.PrimaryAcknowledged); ok {
			elect.monitor(group).tick(group)
			watches = watches || elect.monitor(group).watchesEnded(group)
		}
	}
	if elect.lease.held() || elect.PromotionInProgress() || elect.needsPromoter() || watches {
		return tickInterval
	}
	untilPoll := elect.lease.nextPollAt - elect.context.Now() + tickInterval - 1
	return min(idleTickInterval, untilPoll)
}

func (elect *Elect) monitor(group *state.Group) *monitor {
	found, ok := elect.monitors[group.ID()]
	if !ok {
		found = newMonitor(elect, group.ID())
		elect.monitors[group.ID()] = found
	}
	return found
}

// primaryProbeInterval returns the time between two probes of a primary that answers.
func (elect *Elect) primaryProbeInterval() time.Duration {
	shared := time.Duration(len(elect.monitors)) * time.Second / maxPrimaryProbes
	return min(max(primaryProbeInterval, shared), maxPrimaryProbeInterval)
}

// needsPromoter reports whether any group lacks a primary that is usable from this proxy
// and is not leaving.
func (elect *Elect) needsPromoter() bool {
	for _, group := range elect.context.State().Groups() {
		if len(group.Members()) == 0 {
			continue
		}
		primary := group.Primary()
		if primary == nil || primary.Leaving() || elect.fleet.HasComplaint(primary.ID()) {
			return true
		}
	}
	return false
}

// reportedPrimaries returns the primary of the highest term that was reported in each
// group, either to this proxy or to an earlier holder of the lease.
func (elect *Elect) reportedPrimaries() map[model.GroupID]primaryRecord {
	all := maps.Clone(elect.lease.row.Led)
	if all == nil {
		all = make(map[model.GroupID]primaryRecord, len(elect.monitors))
	}
	for id, monitor := range elect.monitors {
		if monitor.reportedPrimary.Instance != "" && monitor.reportedPrimary.Term >= all[id].Term {
			all[id] = monitor.reportedPrimary
		}
	}
	return all
}

// counted returns the instances of each group that may hold acknowledged commits. The
// list of an earlier holder is kept until this proxy has adopted it.
func (elect *Elect) counted() map[model.GroupID][]model.InstanceID {
	return elect.instances(elect.lease.row.Counted, (*monitor).recordedIDs)
}

// unreached returns those of the counted instances that have never answered.
func (elect *Elect) unreached() map[model.GroupID][]model.InstanceID {
	return elect.instances(elect.lease.row.Unreached, (*monitor).unreachedIDs)
}

// following returns those of the counted instances that have reported the term of their primary.
func (elect *Elect) following() map[model.GroupID][]model.InstanceID {
	return elect.instances(elect.lease.row.Following, func(monitor *monitor) []model.InstanceID {
		return monitor.followers(monitor.reportedPrimary.Term)
	})
}

// instances returns the list of an earlier holder with that of each group that was adopted.
func (elect *Elect) instances(before map[model.GroupID][]model.InstanceID, list func(monitor *monitor) []model.InstanceID) map[model.GroupID][]model.InstanceID {
	all := maps.Clone(before)
	if all == nil {
		all = make(map[model.GroupID][]model.InstanceID, len(elect.monitors))
	}
	for id, monitor := range elect.monitors {
		if monitor.rowAdopted {
			all[id] = list(monitor)
		}
	}
	return all
}

// resignAfterAttempts resigns the lease once no promotion attempt is in progress.
func (elect *Elect) resignAfterAttempts() {
	if elect.PromotionInProgress() {
		elect.context.Timers().After(tickInterval, elect.resignAfterAttempts)
		return
	}
	elect.lease.resign()
}
