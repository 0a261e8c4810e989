package elect

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// recordPrimary records a report of an instance as primary, in answer to a probe or an order sent at
// sentAt.
func (monitor *monitor) recordPrimary(instance model.InstanceID, status model.Status, sentAt time.Duration) {
	if status.Fence() < monitor.reportedPrimary.Term {
		return
	}
	lease := monitor.elect.lease
	order, ok := lease.promotionOrders[monitor.groupID]
	otherOrdered := ok && order.instance != instance && sentAt <= order.until
	only := lease.held() && monitor.leaseHeldSince > 0 && sentAt >= monitor.leaseHeldSince && !lease.ordersLost() && !otherOrdered
	monitor.reportedPrimary = primaryRecord{Instance: instance, Term: status.Fence(), Only: only}
	monitor.reportedTail = status.Tail()
}

// adoptPrimary adopts what the holder of the lease before knew of the primary.
func (monitor *monitor) adoptPrimary(recorded primaryRecord) {
	known := &monitor.reportedPrimary
	recorded.Only = recorded.Only && !monitor.elect.lease.ordersLost()
	switch {
	case recorded.Term > known.Term:
		*known, monitor.reportedTail = recorded, model.Mark{}
	case recorded.Term == known.Term && recorded.Instance == known.Instance:
		known.Only = recorded.Only
	}
}

// canRestore reports whether the last reported primary can be promoted again, whatever the others have:
// it answers as a replica of the newest known term with the log that it had, and no other instance can
// have become primary since it reported that it was. Its log then has every acknowledged commit.
func (monitor *monitor) canRestore() bool {
	last := monitor.reportedPrimary
	listing, counted := monitor.counted[last.Instance]
	if !last.Only || monitor.reportedTail.IsZero() || !counted || listing.Leaving() || monitor.newestTerm() > last.Term {
		return false
	}
	observation := monitor.observation(last.Instance)
	fresh := observation.reported && monitor.now()-observation.statusAt <= maxCandidateStatusAge
	status := observation.status
	return fresh && !observation.logLost && status.Role() == model.RoleReplica && status.Fence() == last.Term && status.Tail().Covers(monitor.reportedTail)
}

// awaitsRestore reports whether the group has no primary and the last one can be promoted again.
func (monitor *monitor) awaitsRestore(group *state.Group) bool {
	return group.Primary() == nil && monitor.canRestore()
}

// restorable returns the last primary if it can be promoted again, or the empty ID. It is left out while
// the attempt may choose another instance.
func (attempt *attempt) restorable() model.InstanceID {
	monitor := attempt.monitor
	last := monitor.reportedPrimary.Instance
	waited := monitor.now()-attempt.startedAt >= stepDownTimeout
	otherOrdered := attempt.inDoubtInstance != "" && attempt.inDoubtInstance != last
	if !waited || otherOrdered || attempt.steppedDownAt > 0 || !monitor.canRestore() || monitor.observation(last).statusAt < attempt.startedAt {
		return ""
	}
	return last
}
