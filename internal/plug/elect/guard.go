package elect

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// guard pauses the replicas that start while an order of the lease's holder may still be carried
// out. It stands in for a holder that is lost before it has stopped them, until the next one has the
// lease. The first standby proxies do it; those that follow read the lease row too seldom.
//
// The orders name the term of the promotion, so that they have no effect after it.
func (monitor *monitor) guard(group *state.Group) {
	lease := monitor.elect.lease
	ordered, led := lease.row.Ordered[monitor.groupID], lease.row.Led[monitor.groupID]
	if ordered == "" || led.Instance == ordered || monitor.primary(group) == ordered || lease.rank() > maxFrequentStandbys {
		return
	}
	for _, member := range group.Members() {
		observation := monitor.observation(member.ID())
		startedAgo := monitor.now() - observation.countedSince
		if member.ID() == ordered || startedAgo > promotionOrderLifetime || monitor.now()-observation.guardedAt < orderTimeout {
			continue
		}
		observation.guardedAt = monitor.now()
		monitor.log("replica_guarded", member.ID(), "an order to promote instance "+string(ordered)+" may still be carried out")
		order := model.OrderID(monitor.elect.context.NextID())
		address := member.Listing().Instance().Address()
		monitor.elect.context.Emit(event.NewSendOrder(order, member.ID(), address, event.NewPause(led.Term+1), orderTimeout).WithGroup(monitor.groupID))
	}
}
