package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/state"
)

// followRetry is the least time between two orders to follow to an instance.
const followRetry = 200 * time.Millisecond

// followAll orders every other instance to follow the new primary.
func (failover *Failover) followAll(watch *monitor) {
	for _, member := range watch.group.Members() {
		if member != watch.group.Primary() {
			failover.follow(watch, member)
		}
	}
}

// redirectReplicas orders the instances that follow nobody or somebody else to follow the
// primary of the current term: those that were away during the promotion, and
// those that were restarted. One proxy does so for the others, which stand by.
func (failover *Failover) redirectReplicas(watch *monitor) {
	group := watch.group
	if group.Primary() == nil {
		return
	}
	shared := failover.context.State()
	place := rank.Of("promote/"+string(group.ID()), shared.Self().ID(), shared.Proxies())
	patience := followRetry * time.Duration(1+place)
	now := failover.context.Now()
	for _, member := range group.Members() {
		if member == group.Primary() || !failover.hasRecentReport(watch, member) || !needsFollowOrder(member, group) {
			delete(watch.followOrderedAt, member.ID())
			continue
		}
		since, ok := watch.followOrderedAt[member.ID()]
		if !ok {
			watch.followOrderedAt[member.ID()] = now - followRetry
			continue
		}
		if now-since >= patience {
			failover.follow(watch, member)
		}
	}
}

// needsFollowOrder reports whether an instance does not copy from the primary and would
// accept to be told.
func needsFollowOrder(member *state.Member, group *state.Group) bool {
	return member.Status().Fence() <= group.Term() && !follows(member, group)
}

func (failover *Failover) follow(watch *monitor, member *state.Member) {
	primary := watch.group.Primary().Instance()
	order := event.NewFollow(watch.group.Term(), primary.ID(), primary.Address())
	watch.followOrderedAt[member.ID()] = failover.context.Now()
	failover.log(watch, model.Decision{
		Name:     "follow_ordered",
		Term:     watch.group.Term(),
		Instance: member.ID(),
		Reason:   "primary is " + string(primary.ID()),
	})
	failover.orders.send(member.Instance(), order, func(outcome) {})
}
