package elect

import (
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

type phase int

const (
	// phaseStopping stops commits: the primary is ordered to step down, or the replicas
	// are paused.
	phaseStopping phase = iota
	// phaseOrdering waits for the platform's answer to the promotion order.
	phaseOrdering
	// phaseConfirming waits until the chosen instance reports that it is the primary,
	// after the platform has accepted the order.
	phaseConfirming
)

const (
	// stepDownTimeout is the time for which a reachable primary may take to step down
	// before its replicas are paused.
	stepDownTimeout = 300 * time.Millisecond
	// logTransitTime is the time after a step-down for which log entries of the former
	// primary may still be in transit to the replicas.
	logTransitTime = 200 * time.Millisecond
	// stopReportTimeout limits the wait for reports that commits are still stopped, which
	// are needed before a promotion order is repeated.
	stopReportTimeout = time.Second
	// maxCandidateStatusAge is the maximum age of the status of a paused replica or of a
	// primary that stepped down. A paused replica that restarts receives log entries again.
	maxCandidateStatusAge = 300 * time.Millisecond
	// orderTimeout is the time after which an order to an instance is repeated.
	orderTimeout = 500 * time.Millisecond
	// minListWait is the time for which an order waits for the list of instances in any case, unless it
	// is confirmed.
	minListWait = 300 * time.Millisecond
	// entryDelay is the time that the entry of an instance which has started may take to reach the store
	// after its first commit.
	entryDelay = 100 * time.Millisecond
	// promoteTimeout is the timeout of a promotion call. The call is repeated with a higher
	// token.
	promoteTimeout = 800 * time.Millisecond
	// confirmTimeout is the time within which the chosen instance must become primary after
	// the platform accepted the order.
	confirmTimeout = 4 * time.Second
)

// attempt is one attempt to promote an instance of a group. It is completed or abandoned
// but never rolled back: a delayed order to resume replication could undo the pause of a
// later attempt.
type attempt struct {
	monitor          *monitor
	reason           string
	formerPrimary    model.InstanceID
	term             model.Term
	phase            phase
	phaseStartedAt   time.Duration // when the current phase began
	orderSent        bool          // the promotion order of the current phase was sent
	startedAt        time.Duration
	chosen           model.InstanceID
	promotionTerm    model.Term                         // the term that the chosen instance is to lead
	unansweredOrders map[model.InstanceID]time.Duration // when each unanswered order was sent
	paused           map[model.InstanceID]bool
	steppedDownAt    time.Duration // when the step-down of the former primary was confirmed, or 0
	listRefreshed    bool          // the store was asked for changes of the list of instances
	refreshedAt      time.Duration // when it was asked last
	waitReason       string        // the last logged reason why no instance is safe to promote
	// inDoubtInstance is the instance of an earlier promotion order that may still be
	// carried out. Statuses reported since then may predate that promotion.
	inDoubtInstance model.InstanceID
}

func newAttempt(monitor *monitor, reason string) *attempt {
	return &attempt{
		monitor:          monitor,
		reason:           reason,
		formerPrimary:    monitor.lastPrimary,
		inDoubtInstance:  monitor.elect.lease.outstandingOrder(monitor.groupID),
		startedAt:        monitor.now(),
		unansweredOrders: make(map[model.InstanceID]time.Duration),
		paused:           make(map[model.InstanceID]bool),
	}
}

func (attempt *attempt) enterPhase(next phase) {
	attempt.phase, attempt.orderSent = next, false
	attempt.phaseStartedAt = attempt.monitor.now()
}

// start begins to stop commits in the group.
func (attempt *attempt) start() {
	attempt.monitor.log("promotion_started", attempt.formerPrimary, attempt.reason)
	attempt.enterPhase(phaseStopping)
	attempt.stopCommits()
}

// tick repeats unanswered orders and handles the timeouts of the current phase.
func (attempt *attempt) tick() {
	waited := attempt.monitor.now() - attempt.phaseStartedAt
	attempt.verifyStepDown()
	if attempt.chosen != "" {
		attempt.keepCommitsStopped()
	}
	switch attempt.phase {
	case phaseStopping:
		if attempt.inDoubtInstance != "" && attempt.monitor.elect.lease.outstandingOrder(attempt.monitor.groupID) == "" {
			attempt.abandon("the order to promote instance " + string(attempt.inDoubtInstance) + " can no longer be carried out")
			return
		}
		if attempt.chosen == "" {
			attempt.stopCommits()
		} else if waited >= stopReportTimeout {
			attempt.abandon("the reports that commits are still stopped did not arrive in time")
			return
		}
		attempt.choose()
	case phaseOrdering:
		if attempt.orderSent && waited >= promoteTimeout+orderTimeout {
			attempt.chooseAgain()
		}
	case phaseConfirming:
		if waited >= confirmTimeout {
			attempt.chooseAgain()
		}
	}
}

// chooseAgain returns to phaseStopping after a promotion order without an answer or
// without effect. Only the same instance may then be chosen, and only while commits are
// still stopped.
func (attempt *attempt) chooseAgain() {
	attempt.inDoubtInstance = attempt.chosen
	attempt.enterPhase(phaseStopping)
}

// choose orders a promotion once an instance can be promoted without losing an
// acknowledged commit.
func (attempt *attempt) choose() {
	if attempt.phase != phaseStopping {
		return
	}
	group := attempt.monitor.elect.context.State().Group(attempt.monitor.groupID)
	if group == nil {
		attempt.abandon("the group is no longer listed")
		return
	}
	chosen, reason := attempt.safeCandidate(group)
	if chosen == "" {
		attempt.logWait(reason)
		return
	}
	if attempt.chosen == "" {
		attempt.promotionTerm = attempt.monitor.newestTerm() + 1
	}
	attempt.monitor.log("promotion_chosen", chosen, reason+", at "+attempt.monitor.observation(chosen).status.Tail().String())
	attempt.chosen = chosen
	attempt.orderPromotion()
}

// safeCandidate returns the instance that can be promoted now without losing an acknowledged
// commit, or the empty ID and the reason why there is none.
func (attempt *attempt) safeCandidate(group *state.Group) (model.InstanceID, string) {
	attempt.verifyStepDown()
	replication, _ := group.Replication().(model.PrimaryAcknowledged)
	settled := attempt.steppedDownAt > 0 && attempt.monitor.now()-attempt.steppedDownAt >= logTransitTime
	chosen, reason := heir.Choose(attempt.candidates(), replication.Replicas(), settled)
	if last := attempt.restorable(); chosen == "" && last != "" {
		return last, "it was the last primary, and no other instance can have led since"
	}
	return chosen, reason
}

func (attempt *attempt) logWait(reason string) {
	if reason != attempt.waitReason {
		attempt.waitReason = reason
		attempt.monitor.log("promotion_waits", "", reason)
	}
}

func (attempt *attempt) candidates() []heir.Candidate {
	former := attempt.monitor.primaryOr(attempt.formerPrimary)
	candidates := make([]heir.Candidate, 0, len(attempt.monitor.counted))
	for _, id := range attempt.monitor.countedIDs() {
		listing := attempt.monitor.counted[id]
		observation := attempt.monitor.observation(id)
		if attempt.monitor.isLeftOut(id) {
			continue
		}
		fresh := observation.reported && observation.statusAt >= attempt.startedAt && attempt.monitor.now()-observation.statusAt <= maxCandidateStatusAge
		paused := attempt.paused[id] && fresh
		afterStepDown := attempt.steppedDownAt > 0 && observation.reported && observation.statusAt >= attempt.steppedDownAt
		steppedDown := id == attempt.formerPrimary && attempt.steppedDownAt > 0 && fresh
		candidates = append(candidates, heir.Candidate{
			Instance:      id,
			Tail:          observation.status.Tail(),
			TailKnown:     paused || steppedDown || afterStepDown,
			Paused:        paused,
			SteppedDown:   id == attempt.formerPrimary && attempt.steppedDownAt > 0,
			LogLost:       observation.logLost,
			Leaving:       listing.Leaving(),
			FormerPrimary: id == former,
			OrderPending:  id == attempt.inDoubtInstance,
		})
	}
	return candidates
}

// orderPromotion orders the promotion under a new token. The platform carries out no
// order with a lower token once it has seen this one.
func (attempt *attempt) orderPromotion() {
	attempt.enterPhase(phaseOrdering)
	elect := attempt.monitor.elect
	attempt.refreshedAt = attempt.monitor.now()
	if attempt.chosen != attempt.monitor.reportedPrimary.Instance {
		attempt.monitor.reportedPrimary.Only = false
	}
	attempt.listRefreshed = elect.mirror != nil && elect.mirror.Refresh(model.ListInstances)
	elect.lease.issueToken(attempt.monitor.groupID, attempt.chosen, func(token uint64, ok bool) {
		switch {
		case attempt.monitor.attempt != attempt || attempt.phase != phaseOrdering:
		case !ok:
			attempt.abandon("no fencing token is left or the lease has ended")
		default:
			attempt.awaitList(token)
		}
	})
}

// awaitList orders the promotion once the list of instances is known to be no older than the choice.
// Without the store, the order is sent after minListWait if no commit was confirmed since the list was
// last up to date: an instance that is not in the list may be the only one that has it.
func (attempt *attempt) awaitList(token uint64) {
	elect, now := attempt.monitor.elect, attempt.monitor.now()
	if attempt.monitor.attempt != attempt || attempt.phase != phaseOrdering {
		return
	}
	checkedAt, known := elect.context.State().ListCheckedAt(model.ListInstances)
	outdated := known && checkedAt < attempt.neededListAt()
	refreshing := checkedAt < attempt.phaseStartedAt && now < attempt.phaseStartedAt+minListWait
	if !attempt.listRefreshed || !outdated && !refreshing {
		attempt.sendPromotion(token)
		return
	}
	if attempt.refreshedAt < attempt.neededListAt() && now >= attempt.neededListAt() {
		attempt.refreshedAt = now
		elect.mirror.Refresh(model.ListInstances)
	}
	elect.context.Timers().After(busyRetryDelay, func() { attempt.awaitList(token) })
}

// neededListAt returns the time at which the list of instances must have been up to date, so that it has
// every instance that may have acknowledged a commit which was confirmed: by this proxy before the
// attempt, or on the word of an earlier holder of the lease.
func (attempt *attempt) neededListAt() time.Duration {
	confirmedAt := min(attempt.monitor.elect.settledAt, attempt.startedAt)
	if confirmedAt > 0 {
		confirmedAt += entryDelay
	}
	return max(confirmedAt, attempt.monitor.leaseHeldSince+entryDelay)
}

// sendPromotion orders the promotion if the chosen instance is still safe: others may have started
// while the order was recorded.
func (attempt *attempt) sendPromotion(token uint64) {
	elect := attempt.monitor.elect
	group := elect.context.State().Group(attempt.monitor.groupID)
	if group == nil {
		attempt.abandon("the group is no longer listed")
		return
	}
	if safe, reason := attempt.safeCandidate(group); safe != attempt.chosen {
		attempt.logWait(reason)
		attempt.withdraw()
		return
	}
	attempt.phaseStartedAt, attempt.orderSent = attempt.monitor.now(), true
	call := model.PlatformCallID(elect.context.NextID())
	elect.platformCalls[call] = attempt
	attempt.monitor.log("promotion_ordered", attempt.chosen, "token "+strconv.FormatUint(token, 10))
	elect.context.Emit(event.NewPromoteInstance(call, attempt.monitor.groupID, attempt.chosen, token, promoteTimeout))
}

// withdraw returns to phaseStopping before a promotion order was sent.
func (attempt *attempt) withdraw() {
	if attempt.inDoubtInstance == "" {
		attempt.monitor.elect.lease.promotionEnded(attempt.monitor.groupID)
		attempt.chosen = ""
	}
	attempt.enterPhase(phaseStopping)
}

// promotionAnswered handles the platform's answer to the promotion order.
func (attempt *attempt) promotionAnswered(outcome model.PromotionOutcome) {
	if attempt.monitor.attempt != attempt || attempt.phase != phaseOrdering {
		return
	}
	switch outcome {
	case model.PromotionAccepted:
		attempt.monitor.elect.lease.promotionAccepted(attempt.monitor.groupID)
		attempt.enterPhase(phaseConfirming)
	case model.PromotionRefused:
		attempt.monitor.elect.lease.promotionRefused(attempt.monitor.groupID)
		attempt.promotionRefused()
	default:
		attempt.chooseAgain()
	}
}

// promotionRefused abandons the attempt and reads the lease row at the next tick. Either
// another proxy has used a higher token and holds the lease, or the chosen instance is not
// running and a later attempt chooses again.
func (attempt *attempt) promotionRefused() {
	attempt.monitor.elect.lease.nextPollAt = 0
	attempt.abandon("the platform refused the promotion order")
}

func (attempt *attempt) confirm() {
	elect := attempt.monitor.elect
	attempt.monitor.log("promotion_done", attempt.chosen, attempt.reason)
	if group := elect.context.State().Group(attempt.monitor.groupID); group != nil {
		group.ConfirmPrimary(attempt.chosen)
		elect.context.Publish(event.NewGroupObserved(attempt.monitor.groupID))
	}
	elect.fleet.SetComplaint(attempt.formerPrimary, false)
	elect.lease.promotionEnded(attempt.monitor.groupID)
	attempt.monitor.endAttempt(retryDelay)
}

// abandon ends the attempt without a promotion. Another one starts after retryDelay if the group
// still needs a primary, and at once if a promotion order may still be carried out.
func (attempt *attempt) abandon(reason string) {
	attempt.monitor.log("promotion_abandoned", attempt.chosen, reason)
	delay := retryDelay
	if attempt.monitor.elect.lease.outstandingOrder(attempt.monitor.groupID) != "" {
		delay = 0
	}
	attempt.monitor.endAttempt(delay)
}
