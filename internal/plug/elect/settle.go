package elect

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Settlement implements route.Promoter. A commit that was acknowledged before a group was settled
// survives every later promotion: an attempt that begins afterwards uses only reports that are newer.
func (elect *Elect) Settlement(groups []model.GroupTerm) model.Settlement {
	lease := elect.lease
	if !lease.held() {
		holder := lease.row.Holder
		if holder == lease.self() {
			holder = ""
		}
		return model.NewReferral(holder)
	}
	for _, asked := range groups {
		if len(asked.Followers()) > 0 {
			elect.settledAt = elect.context.Now()
		}
		if monitor, ok := elect.monitors[asked.Group()]; ok {
			monitor.observeAcknowledged(asked)
		}
	}
	var unsettled []model.GroupID
	for id, monitor := range elect.monitors {
		if monitor.mayBeUndone() || !monitor.isCurrent() {
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
	for _, asked := range groups {
		id := asked.Group()
		if monitor, ok := elect.monitors[id]; ok && (monitor.mayBeUndone() || monitor.isCurrent()) {
			term := max(monitor.newestTerm(), monitor.reportedPrimary.Term)
			terms = append(terms, model.NewGroupTerm(id, term, monitor.followers(term)...).WithNeedsLog(monitor.droppedSilent()))
		}
	}
	return model.NewSettlement(lease.self(), unsettled, terms)
}

// Recorded implements route.Promoter. An order is recorded before it is sent, so a group without one was
// settled when the row was read. An attempt may have begun: it has paused the instances that follow.
func (elect *Elect) Recorded() ([]model.GroupTerm, time.Duration) {
	lease := elect.lease
	if lease.version == 0 || lease.unreadable || lease.row.OrdersLost {
		return nil, 0
	}
	var terms []model.GroupTerm
	for id, led := range lease.row.Led {
		if _, ordered := lease.row.Ordered[id]; led.Only && !ordered {
			terms = append(terms, model.NewGroupTerm(id, led.Term, lease.row.Following[id]...))
		}
	}
	return terms, lease.readAt
}

// SeekHolder implements route.Promoter.
func (elect *Elect) SeekHolder() {
	elect.lease.seekHolder()
	elect.pace.Wake()
}

// observeAcknowledged takes a commit of a term that this proxy did not know for the report of the instance
// that was last ordered to lead: this proxy may not reach it.
func (monitor *monitor) observeAcknowledged(asked model.GroupTerm) {
	lease, ordered := monitor.elect.lease, monitor.elect.lease.outstandingOrder(monitor.groupID)
	if ordered == "" || !slices.Contains(asked.Followers(), ordered) || asked.Term() <= max(monitor.newestTerm(), monitor.reportedPrimary.Term) {
		return
	}
	monitor.log("primary_observed", ordered, "another proxy has an answer of it in a newer term")
	monitor.reportedPrimary = primaryRecord{Instance: ordered, Term: asked.Term(), Only: !lease.ordersLost()}
	monitor.reportedTail = model.Mark{}
	if monitor.attempt != nil && monitor.attempt.chosen == ordered {
		monitor.attempt.confirm()
	}
}

// droppedSilent reports whether an instance was dropped lately that has answered nothing, and is not known
// to have ended: it may still take part in commits of a primary that it reaches.
func (monitor *monitor) droppedSilent() bool {
	return monitor.silentDroppedAt > 0 && monitor.now()-monitor.silentDroppedAt <= maxRowAge
}

// mayBeUndone reports whether a promotion of the group may be under way that undoes a commit which is
// acknowledged by now.
func (monitor *monitor) mayBeUndone() bool {
	lease := monitor.elect.lease
	ordered := lease.outstandingOrder(monitor.groupID)
	return monitor.attempt != nil || ordered != "" && ordered != monitor.reportedPrimary.Instance
}

// isCurrent reports whether no promotion can have been carried out since the last known primary
// reported, and the next holder of the lease knows all instances that count now. Without such a report,
// a commit may be of a primary that was replaced already.
func (monitor *monitor) isCurrent() bool {
	return monitor.rowAdopted && monitor.reportedPrimary.Only && monitor.isRecorded() && !monitor.elect.lease.ordersLost()
}

// isRecorded reports whether the lease row has all instances that the next holder has to count.
func (monitor *monitor) isRecorded() bool {
	recorded := monitor.elect.lease.row.Counted[monitor.groupID]
	return !slices.ContainsFunc(monitor.recordedIDs(), func(id model.InstanceID) bool { return !slices.Contains(recorded, id) })
}

// followers returns the instances in the lease row that have reported the term.
func (monitor *monitor) followers(term model.Term) []model.InstanceID {
	var followers []model.InstanceID
	for _, id := range monitor.elect.lease.row.Counted[monitor.groupID] {
		observation, ok := monitor.observations[id]
		if ok && observation.reported && observation.status.Fence() == term {
			followers = append(followers, id)
		}
	}
	return followers
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
