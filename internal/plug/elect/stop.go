package elect

import (
	"strconv"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// highestTerm returns the highest term that any instance has reported, including that of
// a pause.
func (attempt *attempt) highestTerm() model.Term {
	highest := attempt.monitor.newestTerm()
	for _, observation := range attempt.monitor.observations {
		highest = max(highest, observation.status.PausedTerm())
	}
	return highest
}

// verifyStepDown forgets the step-down of the former primary unless it has answered since without
// interruption. A process that restarts may lead again.
func (attempt *attempt) verifyStepDown() {
	if attempt.steppedDownAt == 0 {
		return
	}
	observation := attempt.monitor.observation(attempt.formerPrimary)
	answeredAt := max(observation.answeredAt, attempt.steppedDownAt)
	if observation.failedAt < attempt.steppedDownAt && attempt.monitor.now()-answeredAt <= maxCandidateStatusAge {
		return
	}
	attempt.monitor.log("step_down_uncertain", attempt.formerPrimary, "it did not answer after it had stepped down")
	attempt.steppedDownAt = 0
}

// stopCommits sends the orders that prevent further acknowledged commits: the primary
// steps down, or every replica is paused if the primary does not answer.
func (attempt *attempt) stopCommits() {
	if attempt.term <= attempt.monitor.newestTerm() {
		// Orders with such a term have no effect, and an instance need not answer them with an
		// error.
		attempt.term = attempt.highestTerm() + 1
	}
	if attempt.steppedDownAt > 0 {
		return
	}
	if _, ok := attempt.monitor.counted[attempt.formerPrimary]; ok {
		observation := attempt.monitor.observation(attempt.formerPrimary)
		awaitStepDown := observation.failures == 0 && observation.reported && attempt.monitor.now()-attempt.phaseStartedAt < stepDownTimeout
		knownPrimary := observation.reported && attempt.monitor.now()-observation.statusAt <= maxPrimaryStatusAge
		if awaitStepDown && !knownPrimary {
			return // a step-down counts only after a recent report as primary
		}
		// Without such a report its log would count for nothing. A primary that has no free slot for
		// a status cannot send one.
		hasNoSlot := observation.answeredAt > observation.statusAt && attempt.monitor.now()-observation.answeredAt <= maxPrimaryStatusAge
		if knownPrimary || hasNoSlot {
			attempt.sendOrder(attempt.formerPrimary, event.NewStepDown(attempt.term))
		}
		if awaitStepDown {
			return
		}
	}
	for _, id := range attempt.monitor.countedIDs() {
		if id != attempt.formerPrimary && !attempt.paused[id] {
			attempt.sendOrder(id, event.NewPause(attempt.term))
		}
	}
}

// keepCommitsStopped stops what has started since the promotion was ordered: a primary that is back
// steps down, and replicas that have started or restarted are paused. The promoted instance would
// lack the commits that they acknowledge. The orders name the term of the promotion, so that they
// have no effect after it.
func (attempt *attempt) keepCommitsStopped() {
	if attempt.monitor.newestTerm() >= attempt.promotionTerm {
		return // the promotion was carried out
	}
	for _, id := range attempt.monitor.countedIDs() {
		observation := attempt.monitor.observation(id)
		leads := observation.status.Role() == model.RolePrimary
		if !observation.reported {
			leads = attempt.monitor.counted[id].Role() == model.RolePrimary
		}
		switch {
		case id == attempt.chosen:
		case leads:
			attempt.sendOrder(id, event.NewStepDown(attempt.promotionTerm))
		case attempt.steppedDownAt == 0 && observation.status.PausedTerm() == 0:
			attempt.sendOrder(id, event.NewPause(attempt.promotionTerm))
		}
	}
}

// sendOrder sends an order to an instance unless an earlier one is still unanswered.
func (attempt *attempt) sendOrder(instance model.InstanceID, body event.Order) {
	listing := attempt.monitor.counted[instance]
	if _, ok := attempt.unansweredOrders[instance]; ok || listing.ID() == "" {
		return
	}
	elect := attempt.monitor.elect
	order := model.OrderID(elect.context.NextID())
	elect.orders[order] = attempt
	attempt.unansweredOrders[instance] = attempt.monitor.now()
	elect.context.Emit(event.NewSendOrder(order, instance, listing.Instance().Address(), body, orderTimeout).WithGroup(attempt.monitor.groupID))
}

// orderAnswered handles an instance's answer to a step-down or pause order.
func (attempt *attempt) orderAnswered(answer event.OrderAnswered) {
	sentAt := attempt.unansweredOrders[answer.Instance()]
	delete(attempt.unansweredOrders, answer.Instance())
	if attempt.monitor.attempt != attempt {
		return
	}
	if attempt.chosen != "" {
		if answer.Accepted() {
			attempt.monitor.recordStatus(answer.Instance(), answer.Status(), sentAt)
			attempt.statusReported(answer.Instance())
		}
		return
	}
	if !answer.Accepted() {
		// The instance has seen a higher term, so the next order needs one above it.
		attempt.monitor.log("order_refused", answer.Instance(), "term "+strconv.FormatUint(uint64(attempt.term), 10))
		attempt.term = max(attempt.term, attempt.highestTerm()) + 1
		return
	}
	observation := attempt.monitor.observation(answer.Instance())
	wasPrimary := observation.reported && observation.status.Role() == model.RolePrimary && attempt.monitor.now()-observation.statusAt <= maxPrimaryStatusAge
	attempt.monitor.recordStatus(answer.Instance(), answer.Status(), sentAt)
	switch {
	case answer.Status().Role() == model.RolePrimary:
		attempt.observePrimary(answer.Instance())
	case answer.Instance() == attempt.formerPrimary && wasPrimary:
		attempt.steppedDownAt = attempt.monitor.now()
		attempt.monitor.log("primary_stepped_down", attempt.formerPrimary, "at "+answer.Status().Tail().String())
	case answer.Instance() == attempt.formerPrimary:
		// It was no longer primary before the order, so its log need not contain every
		// acknowledged commit.
		attempt.formerPrimary = ""
	case answer.Status().PausedTerm() > 0:
		attempt.paused[answer.Instance()] = true
	}
	attempt.choose()
}

func (attempt *attempt) orderFailed(instance model.InstanceID) {
	delete(attempt.unansweredOrders, instance)
}

// statusReported handles a status that was reported in answer to a probe.
func (attempt *attempt) statusReported(instance model.InstanceID) {
	observation := attempt.monitor.observation(instance)
	isPrimary := observation.status.Role() == model.RolePrimary
	if instance == attempt.chosen && isPrimary {
		attempt.confirm()
		return
	}
	if isPrimary {
		attempt.observePrimary(instance)
	}
	if instance != attempt.formerPrimary {
		attempt.paused[instance] = observation.status.PausedTerm() > 0
	}
	attempt.choose()
}

// observePrimary records a primary that answers again or was unknown when the attempt
// began. It is then the one that must step down. A primary that restarts after it has stepped
// down may lead again.
func (attempt *attempt) observePrimary(instance model.InstanceID) {
	if attempt.steppedDownAt > 0 && attempt.monitor.observation(instance).statusAt <= attempt.steppedDownAt {
		return
	}
	attempt.steppedDownAt = 0
	attempt.formerPrimary = instance
}
