package elect

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

type phase int

const (
	// phaseStopping: the replicas are paused and the primary is told to step down.
	phaseStopping phase = iota
	// phaseOrdering: the order to promote is under way.
	phaseOrdering
	// phaseConfirming: the platform took the order; the candidate is to lead soon.
	phaseConfirming
)

const (
	// stepDownTimeout is how long a primary that seems to be there may take to step
	// down before its replicas are paused.
	stepDownTimeout = 300 * time.Millisecond
	// logTransitTime is how long the log of a primary that stepped down may still be on
	// its way to the replicas.
	logTransitTime = 200 * time.Millisecond
	// stopAgainTimeout is how long the group may take to be seen as stopped again before an
	// order is repeated.
	stopAgainTimeout = time.Second
	// maxCandidateStatusAge is how old the report of a paused replica may be when the candidate
	// is chosen: one that started again receives once more.
	maxCandidateStatusAge = 300 * time.Millisecond
	// orderTimeout is the time after which an order to an instance is repeated.
	orderTimeout = 500 * time.Millisecond
	// promoteTimeout is the time after which a promotion call is repeated with a higher token.
	promoteTimeout = 800 * time.Millisecond
	// confirmTimeout is how long a candidate may take to lead after the platform took the order.
	confirmTimeout = 4 * time.Second
)

// attempt is one promotion of a group. It is finished or abandoned, never undone: an
// order to let a replica receive again could arrive late and lift a later pause.
type attempt struct {
	monitor          *monitor
	reason           string
	formerPrimary    model.InstanceID
	term             model.Term
	phase            phase
	phaseStartedAt   time.Duration // when the phase began
	startedAt        time.Duration
	chosen           model.InstanceID
	unansweredOrders map[model.InstanceID]time.Duration // when the order without an answer was sent
	paused           map[model.InstanceID]bool
	steppedDownAt    time.Duration // when the former primary had stepped down, or 0
	waitReason       string        // why there is no candidate yet
	// inDoubtInstance is the instance of an order that might be carried out when the attempt
	// began. What was reported since may be older than that promotion.
	inDoubtInstance model.InstanceID
}

func newAttempt(watch *monitor, reason string) *attempt {
	return &attempt{
		monitor:          watch,
		reason:           reason,
		formerPrimary:    watch.lastPrimary,
		inDoubtInstance:  watch.elect.lease.outstandingOrder(watch.group),
		startedAt:        watch.now(),
		unansweredOrders: make(map[model.InstanceID]time.Duration),
		paused:           make(map[model.InstanceID]bool),
	}
}

func (attempt *attempt) enterPhase(next phase) {
	attempt.phase = next
	attempt.phaseStartedAt = attempt.monitor.now()
}

// start stops the group.
func (attempt *attempt) start() {
	attempt.monitor.log("promotion_started", attempt.formerPrimary, attempt.reason)
	attempt.enterPhase(phaseStopping)
	attempt.stopCommits()
}

// tick repeats what was not answered.
func (attempt *attempt) tick() {
	waited := attempt.monitor.now() - attempt.phaseStartedAt
	switch attempt.phase {
	case phaseStopping:
		if attempt.inDoubtInstance != "" && attempt.monitor.elect.lease.outstandingOrder(attempt.monitor.group) == "" {
			attempt.abandon("the order for instance " + string(attempt.inDoubtInstance) + " cannot be carried out any more")
			return
		}
		if attempt.chosen == "" {
			attempt.stopCommits()
		} else if waited >= stopAgainTimeout {
			attempt.abandon("the group is no longer stopped")
			return
		}
		attempt.choose()
	case phaseOrdering:
		if waited >= promoteTimeout+orderTimeout {
			attempt.chooseAgain()
		}
	case phaseConfirming:
		if waited >= confirmTimeout {
			attempt.chooseAgain()
		}
	}
}

// chooseAgain goes back to the choice after an order without an answer. Only the same
// instance may be ordered again, and only if the group is still stopped.
func (attempt *attempt) chooseAgain() {
	attempt.inDoubtInstance = attempt.chosen
	attempt.enterPhase(phaseStopping)
}

// highestTerm returns the highest term that any instance reported.
func (attempt *attempt) highestTerm() model.Term {
	newest := model.Term(0)
	if view := attempt.monitor.elect.context.State().Group(attempt.monitor.group); view != nil {
		newest = view.Term()
	}
	for _, sight := range attempt.monitor.observations {
		newest = max(newest, sight.status.Fence(), sight.status.Tail().Term(), sight.status.PausedTerm())
	}
	return newest
}

// stopCommits makes sure that nothing more is acknowledged: the primary steps down, or
// every replica is paused where it does not answer.
func (attempt *attempt) stopCommits() {
	if attempt.term == 0 {
		attempt.term = attempt.highestTerm() + 1
	}
	if attempt.steppedDownAt > 0 {
		return
	}
	if _, ok := attempt.monitor.counted[attempt.formerPrimary]; ok {
		sight := attempt.monitor.observation(attempt.formerPrimary)
		waits := sight.failures == 0 && sight.reported && attempt.monitor.now()-attempt.phaseStartedAt < stepDownTimeout
		if waits && attempt.monitor.now()-sight.statusAt > maxPrimaryStatusAge {
			return // its stepping down counts only if it was seen to lead lately
		}
		attempt.sendOrder(attempt.formerPrimary, event.NewStepDown(attempt.term))
		if waits {
			return
		}
	}
	for _, id := range attempt.monitor.countedIDs() {
		if id != attempt.formerPrimary && !attempt.paused[id] {
			attempt.sendOrder(id, event.NewPause(attempt.term))
		}
	}
}

// sendOrder gives an order to an instance unless an earlier one is not answered yet.
func (attempt *attempt) sendOrder(instance model.InstanceID, body event.Order) {
	listing := attempt.monitor.counted[instance]
	if _, ok := attempt.unansweredOrders[instance]; ok || listing.ID() == "" {
		return
	}
	elect := attempt.monitor.elect
	order := model.OrderID(elect.context.NextID())
	elect.orders[order] = attempt
	attempt.unansweredOrders[instance] = attempt.monitor.now()
	elect.context.Emit(event.NewSendOrder(order, instance, listing.Instance().Address(), body, orderTimeout))
}

// orderAnswered takes an instance's answer to an order.
func (attempt *attempt) orderAnswered(done event.OrderAnswered) {
	sentAt := attempt.unansweredOrders[done.Instance()]
	delete(attempt.unansweredOrders, done.Instance())
	if attempt.monitor.attempt != attempt || attempt.phase != phaseStopping {
		return
	}
	if !done.Accepted() {
		// Another term is in force; the next order names a higher one.
		attempt.monitor.log("order_refused", done.Instance(), "term "+strconv.FormatUint(uint64(attempt.term), 10))
		attempt.term = max(attempt.term, attempt.highestTerm()) + 1
		return
	}
	sight := attempt.monitor.observation(done.Instance())
	led := sight.reported && sight.status.Role() == model.RolePrimary && attempt.monitor.now()-sight.statusAt <= maxPrimaryStatusAge
	attempt.monitor.recordStatus(done.Instance(), done.Status(), sentAt)
	switch {
	case done.Status().Role() == model.RolePrimary:
		attempt.observePrimary(done.Instance())
	case done.Instance() == attempt.formerPrimary && led:
		attempt.steppedDownAt = attempt.monitor.now()
		attempt.monitor.log("primary_stepped_down", attempt.formerPrimary, "at "+done.Status().Tail().String())
	case done.Instance() == attempt.formerPrimary:
		// It had lost the lead before, so its log proves no more than another one.
		attempt.formerPrimary = ""
	case done.Status().PausedTerm() > 0:
		attempt.paused[done.Instance()] = true
	}
	attempt.choose()
}

func (attempt *attempt) orderFailed(instance model.InstanceID) {
	delete(attempt.unansweredOrders, instance)
}

// statusReported takes a status that the instance reported by itself.
func (attempt *attempt) statusReported(instance model.InstanceID) {
	leads := attempt.monitor.observation(instance).status.Role() == model.RolePrimary
	if instance == attempt.chosen && leads {
		attempt.confirm()
		return
	}
	if attempt.phase == phaseStopping {
		if leads {
			attempt.observePrimary(instance)
		}
		if instance != attempt.formerPrimary {
			attempt.paused[instance] = attempt.monitor.observation(instance).status.PausedTerm() > 0
		}
		attempt.choose()
	}
}

// observePrimary takes note of a primary that is back, or that was not known when the attempt
// began: it is the one that has to step down.
func (attempt *attempt) observePrimary(instance model.InstanceID) {
	if attempt.steppedDownAt == 0 {
		attempt.formerPrimary = instance
	}
}

// choose orders the promotion once a candidate is safe.
func (attempt *attempt) choose() {
	if attempt.phase != phaseStopping {
		return
	}
	view := attempt.monitor.elect.context.State().Group(attempt.monitor.group)
	if view == nil {
		attempt.abandon("the group is listed no more")
		return
	}
	replication, _ := view.Replication().(model.PrimaryAcknowledged)
	settled := attempt.steppedDownAt > 0 && attempt.monitor.now()-attempt.steppedDownAt >= logTransitTime
	chosen, reason := heir.Choose(attempt.candidates(), replication.Replicas(), settled)
	if chosen == "" {
		if reason != attempt.waitReason {
			attempt.waitReason = reason
			attempt.monitor.log("promotion_waits", "", reason)
		}
		return
	}
	attempt.monitor.log("promotion_chosen", chosen, reason+", at "+attempt.monitor.observation(chosen).status.Tail().String())
	attempt.chosen = chosen
	attempt.orderPromotion()
}

// primaryBeforeAttempt returns the instance that led before the attempt, or the empty name. One that this
// proxy never saw lead is taken from what the lease says, unless an instance has heard of a
// newer term.
func (attempt *attempt) primaryBeforeAttempt() model.InstanceID {
	led := attempt.monitor.reportedPrimary
	if attempt.formerPrimary != "" || led.Instance == "" {
		return attempt.formerPrimary
	}
	for _, id := range attempt.monitor.countedIDs() {
		status := attempt.monitor.observation(id).status
		if max(status.Fence(), status.Tail().Term()) > led.Term {
			return ""
		}
	}
	return led.Instance
}

func (attempt *attempt) candidates() []heir.Candidate {
	former := attempt.primaryBeforeAttempt()
	readings := make([]heir.Candidate, 0, len(attempt.monitor.counted))
	for _, id := range attempt.monitor.countedIDs() {
		listing := attempt.monitor.counted[id]
		sight := attempt.monitor.observation(id)
		fresh := sight.reported && attempt.monitor.now()-sight.statusAt <= maxCandidateStatusAge
		paused := attempt.paused[id] && fresh
		since := attempt.steppedDownAt > 0 && sight.reported && sight.statusAt >= attempt.steppedDownAt
		stepped := id == attempt.formerPrimary && attempt.steppedDownAt > 0 && fresh
		readings = append(readings, heir.Candidate{
			Instance:      id,
			Tail:          sight.status.Tail(),
			TailKnown:     paused || stepped || since,
			Paused:        paused,
			SteppedDown:   id == attempt.formerPrimary && attempt.steppedDownAt > 0,
			LogLost:       sight.logLost,
			Leaving:       listing.Leaving(),
			FormerPrimary: id == former,
			OrderPending:  id == attempt.inDoubtInstance,
		})
	}
	return readings
}

// orderPromotion sends the order to promote, with a token of its own: the platform then
// carries out no earlier one.
func (attempt *attempt) orderPromotion() {
	attempt.enterPhase(phaseOrdering)
	elect := attempt.monitor.elect
	elect.lease.drawToken(attempt.monitor.group, attempt.chosen, func(token uint64, ok bool) {
		switch {
		case attempt.monitor.attempt != attempt || attempt.phase != phaseOrdering:
		case !ok:
			attempt.abandon("no token is left or the lease has ended")
		default:
			attempt.sendPromotion(token)
		}
	})
}

func (attempt *attempt) sendPromotion(token uint64) {
	elect := attempt.monitor.elect
	attempt.phaseStartedAt = attempt.monitor.now()
	query := model.PlatformCallID(elect.context.NextID())
	elect.platformCalls[query] = attempt
	attempt.monitor.log("promotion_ordered", attempt.chosen, "token "+strconv.FormatUint(token, 10))
	elect.context.Emit(event.NewPromoteInstance(query, attempt.monitor.group, attempt.chosen, token, promoteTimeout))
}

// promotionAnswered takes the platform's answer.
func (attempt *attempt) promotionAnswered(outcome model.PromotionOutcome) {
	if attempt.monitor.attempt != attempt || attempt.phase != phaseOrdering {
		return
	}
	switch outcome {
	case model.PromotionAccepted:
		attempt.monitor.elect.lease.orderAnswered(attempt.monitor.group)
		attempt.enterPhase(phaseConfirming)
	case model.PromotionRefused:
		attempt.monitor.elect.lease.orderAnswered(attempt.monitor.group)
		attempt.promotionRefused()
	default:
		attempt.chooseAgain()
	}
}

// promotionRefused stops the attempt. If another proxy has used a higher token, it holds
// the lease; otherwise the candidate is not running, and the group is looked at anew.
func (attempt *attempt) promotionRefused() {
	attempt.monitor.elect.lease.nextPollAt = 0
	attempt.abandon("the platform refused the order")
}

func (attempt *attempt) confirm() {
	elect := attempt.monitor.elect
	attempt.monitor.log("promotion_done", attempt.chosen, attempt.reason)
	if view := elect.context.State().Group(attempt.monitor.group); view != nil {
		view.SetPrimary(attempt.chosen)
		elect.context.Publish(event.NewGroupObserved(attempt.monitor.group))
	}
	elect.fleet.SetComplaint(attempt.formerPrimary, false)
	attempt.monitor.endAttempt(retryDelay)
}

// abandon ends the attempt; if the group still needs a primary, another one follows.
func (attempt *attempt) abandon(reason string) {
	attempt.monitor.log("promotion_abandoned", attempt.chosen, reason)
	attempt.monitor.endAttempt(retryDelay)
}
