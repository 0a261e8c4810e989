package elect

import (
	"slices"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Settlement implements route.Promoter. A commit that was acknowledged before a group was settled
// survives every later promotion: an attempt that begins afterwards uses only reports that are newer.
func (elect *Elect) Settlement(groups []model.GroupID) model.Settlement {
	lease := elect.lease
	if !lease.held() {
		holder := lease.row.Holder
		if holder == lease.self() {
			holder = ""
		}
		return model.NewReferral(holder)
	}
	elect.settledAt = elect.context.Now()
	var unsettled []model.GroupID
	for id, monitor := range elect.monitors {
		if !monitor.settled() {
			unsettled = append(unsettled, id)
		}
	}
	for id := range lease.promotionOrders {
		if _, known := elect.monitors[id]; !known && lease.outstandingOrder(id) != "" {
			unsettled = append(unsettled, id)
		}
	}
	slices.Sort(unsettled)
	var terms []model.GroupTerm
	for _, id := range groups {
		if monitor, ok := elect.monitors[id]; ok {
			terms = append(terms, model.NewGroupTerm(id, max(monitor.newestTerm(), monitor.reportedPrimary.Term)))
		}
	}
	return model.NewSettlement(lease.self(), unsettled, terms)
}

// SeekHolder implements route.Promoter.
func (elect *Elect) SeekHolder() {
	elect.lease.seekHolder()
	elect.pace.Wake()
}

// settled reports whether no promotion of the group is under way that could undo a commit which is
// acknowledged by now, and none can have been carried out since the last known primary reported. Without
// such a report, the commit may be of a primary that was replaced already.
func (monitor *monitor) settled() bool {
	lease, last := monitor.elect.lease, monitor.reportedPrimary
	ordered := lease.outstandingOrder(monitor.groupID)
	return monitor.rowAdopted && monitor.attempt == nil && !lease.ordersLost() && last.Only && (ordered == "" || ordered == last.Instance)
}

// newestTerm returns the newest term of the group that is known from any instance.
func (monitor *monitor) newestTerm() model.Term {
	newest := model.Term(0)
	if group := monitor.elect.context.State().Group(monitor.groupID); group != nil {
		newest = group.Term()
	}
	for _, observation := range monitor.observations {
		newest = max(newest, observation.status.Fence(), observation.status.Tail().Term())
	}
	return newest
}

// answerSettle answers a call of another proxy.
func (elect *Elect) answerSettle(received event.SettleReceived) {
	if received.To() != elect.lease.self() {
		elect.context.Emit(event.NewRefuseSettle(received.ID(), codes.WrongProxy))
		return
	}
	elect.context.Emit(event.NewAnswerSettle(received.ID(), elect.Settlement(received.Groups())))
}
