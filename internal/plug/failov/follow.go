package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/state"
)

// followRetryInterval is the minimum interval between two orders to follow to the same instance.
const followRetryInterval = 200 * time.Millisecond

// followAll orders every other instance to follow the new primary.
func (failover *Failover) followAll(monitor *monitor) {
	for _, member := range monitor.group.Members() {
		if member != monitor.group.Primary() {
			failover.follow(monitor, member)
		}
	}
}

// redirectReplicas orders the instances that follow no instance, or one other than the
// primary of the current term, to follow that primary. This covers instances that were
// unreachable during the promotion or were restarted since. The proxy of rank 0 sends the
// orders; every other proxy waits longer by followRetryInterval per rank, as a standby.
func (failover *Failover) redirectReplicas(monitor *monitor) {
	group := monitor.group
	if group.Primary() == nil {
		return
	}
	shared := failover.context.State()
	ownRank := rank.Of("promote/"+string(group.ID()), shared.Self().ID(), shared.Proxies())
	delay := followRetryInterval * time.Duration(1+ownRank)
	now := failover.context.Now()
	for _, member := range group.Members() {
		if member == group.Primary() || !failover.hasRecentReport(monitor, member) || !needsFollowOrder(member, group) {
			delete(monitor.followOrderedAt, member.ID())
			continue
		}
		orderedAt, ok := monitor.followOrderedAt[member.ID()]
		if !ok {
			monitor.followOrderedAt[member.ID()] = now - followRetryInterval
			continue
		}
		if now-orderedAt >= delay {
			failover.follow(monitor, member)
		}
	}
}

// needsFollowOrder reports whether an instance does not replicate from the primary and would
// accept an order to do so.
func needsFollowOrder(member *state.Member, group *state.Group) bool {
	return member.Status().Fence() <= group.Term() && !follows(member, group)
}

func (failover *Failover) follow(monitor *monitor, member *state.Member) {
	primary := monitor.group.Primary().Instance()
	order := event.NewFollow(monitor.group.Term(), primary.ID(), primary.Address())
	monitor.followOrderedAt[member.ID()] = failover.context.Now()
	failover.log(monitor, model.Decision{
		Name:     "follow_ordered",
		Term:     monitor.group.Term(),
		Instance: member.ID(),
		Reason:   "primary is " + string(primary.ID()),
	})
	failover.orders.send(member.Instance(), order, func(outcome) {})
}
