package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	initialFenceRetryDelay = 50 * time.Millisecond
	maxFenceRetryDelay     = time.Second
	maxPromoteTries        = 2
	attemptRetryDelay      = 20 * time.Millisecond
	// A promoter that finds a higher fence backs off for a random time between these limits.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// targetFenceTimeout is how long a switchover waits for its target to be fenced.
	targetFenceTimeout = 200 * time.Millisecond
	// otherMajorityTimeout is how long a promotion waits for a fenced majority without the
	// lost primary.
	otherMajorityTimeout = 300 * time.Millisecond
)

// attempt is a promotion attempt of this proxy. No other attempt uses its term, and at most
// one instance is ever ordered to become primary of that term.
type attempt struct {
	term        model.Term
	startedAt   time.Duration
	target      model.InstanceID // the target of a switchover, or empty
	lostPrimary model.InstanceID // the lost primary, which is not promoted if the others are a majority, or empty
	fenced      map[model.InstanceID]model.Status
	candidate   model.InstanceID // the instance that was ordered to become primary, or empty
}

// startFailover starts a promotion attempt after the loss of the primary.
func (failover *Failover) startFailover(monitor *monitor, loss loss) {
	attempt := &attempt{}
	if primary := monitor.group.Primary(); primary != nil && loss.excludesPrimary() {
		attempt.lostPrimary = primary.ID()
	}
	failover.startAttempt(monitor, attempt, loss.String())
}

// startAttempt starts a promotion attempt with a term above all known ones. It does nothing
// if this proxy has no promoter number or is shutting down.
func (failover *Failover) startAttempt(monitor *monitor, attempt *attempt, reason string) {
	shared := failover.context.State()
	if shared.Promoter() == 0 || shared.Draining() {
		return
	}
	monitor.usedCount = monitor.nextCount()
	attempt.term = model.NewTerm(monitor.usedCount, shared.Promoter())
	attempt.startedAt = failover.context.Now()
	attempt.fenced = make(map[model.InstanceID]model.Status)
	monitor.attempt = attempt
	failover.log(monitor, model.Decision{Name: "promotion_started", Term: monitor.attempt.term, Reason: reason})
	for _, member := range monitor.group.Members() {
		failover.fence(monitor, monitor.attempt, member, initialFenceRetryDelay)
	}
}

// fence orders an instance to reject all lower terms. The order is repeated with exponential
// back-off until the instance counts toward the majority or the attempt has chosen its
// candidate.
func (failover *Failover) fence(monitor *monitor, attempt *attempt, member *state.Member, retry time.Duration) {
	failover.orders.send(member.Instance(), event.NewFence(attempt.term), func(outcome outcome) {
		if monitor.attempt != attempt || attempt.candidate != "" {
			return
		}
		if outcome.answered && outcome.status.Fence() > attempt.term {
			failover.backOff(monitor, outcome.status.Fence())
			return
		}
		if countsTowardMajority(member, outcome) {
			attempt.fenced[member.ID()] = outcome.status
			failover.chooseCandidate(monitor, attempt)
			return
		}
		failover.context.Timers().After(retry, func() {
			if monitor.attempt == attempt && attempt.candidate == "" {
				failover.fence(monitor, attempt, member, min(2*retry, maxFenceRetryDelay))
			}
		})
	})
}

// countsTowardMajority reports whether the answer to a fence makes the instance part of the
// fenced majority. An instance that lost its log is excluded until it has caught up.
func countsTowardMajority(member *state.Member, outcome outcome) bool {
	return outcome.answered && outcome.accepted && !outcome.status.Tail().IsZero() && member.LogCompleteAt(outcome.status.Tail())
}

// chooseCandidate orders the fenced instance with the highest tail to become primary, once a
// majority is fenced. It waits up to fenceWait for the target of a switchover, or for a
// majority without the lost primary.
func (failover *Failover) chooseCandidate(monitor *monitor, attempt *attempt) {
	if monitor.attempt != attempt || attempt.candidate != "" || len(attempt.fenced) < monitor.group.Majority() {
		return
	}
	remaining := attempt.startedAt + attempt.fenceWait(monitor.group) - failover.context.Now()
	if remaining > 0 {
		failover.context.Timers().After(remaining, func() { failover.chooseCandidate(monitor, attempt) })
		return
	}
	if attempt.majorityWithout(monitor.group, attempt.lostPrimary) {
		delete(attempt.fenced, attempt.lostPrimary)
	}
	best := bestCandidate(monitor.group, attempt)
	attempt.candidate = best.ID()
	failover.log(monitor, model.Decision{
		Name:     "promotion_fenced",
		Term:     attempt.term,
		Instance: best.ID(),
		Reason:   "highest tail " + attempt.fenced[best.ID()].Tail().String() + " of the fenced majority",
	})
	failover.promote(monitor, attempt, best, maxPromoteTries)
}

// fenceWait returns how long after its start the attempt waits for further fences.
func (attempt *attempt) fenceWait(group *state.Group) time.Duration {
	switch {
	case attempt.target != "" && len(attempt.fenced) < len(group.Members()):
		return targetFenceTimeout
	case attempt.lostPrimary != "" && !attempt.majorityWithout(group, attempt.lostPrimary):
		return otherMajorityTimeout
	default:
		return 0
	}
}

// majorityWithout reports whether a majority is fenced without the instance. Every fenced
// majority has all acknowledged writes.
func (attempt *attempt) majorityWithout(group *state.Group, excluded model.InstanceID) bool {
	count := len(attempt.fenced)
	if _, ok := attempt.fenced[excluded]; ok {
		count--
	}
	return count >= group.Majority()
}

// bestCandidate returns the fenced instance with the highest tail. Ties go first to the
// target, then to instances that are not leaving, then to the data centre of the last
// primary, then to the lowest instance ID.
func bestCandidate(group *state.Group, attempt *attempt) *state.Member {
	var best *state.Member
	for _, member := range group.Members() {
		if _, ok := attempt.fenced[member.ID()]; !ok {
			continue
		}
		if best == nil || preferred(group, attempt, member, best) {
			best = member
		}
	}
	return best
}

func preferred(group *state.Group, attempt *attempt, left, right *state.Member) bool {
	leftTail := attempt.fenced[left.ID()].Tail()
	rightTail := attempt.fenced[right.ID()].Tail()
	if leftTail != rightTail {
		return leftTail.Covers(rightTail)
	}
	if (left.ID() == attempt.target) != (right.ID() == attempt.target) {
		return left.ID() == attempt.target
	}
	if left.Leaving() != right.Leaving() {
		return right.Leaving()
	}
	if primary := group.Primary(); primary != nil {
		dataCenter := primary.Instance().DataCenter()
		leftNear := left.Instance().DataCenter() == dataCenter
		rightNear := right.Instance().DataCenter() == dataCenter
		if leftNear != rightNear {
			return leftNear
		}
	}
	return left.ID() < right.ID()
}

// promote orders the candidate to become primary of the term. If the order is not answered,
// the same order is repeated. Another instance is ordered only in another term.
func (failover *Failover) promote(monitor *monitor, attempt *attempt, candidate *state.Member, triesLeft int) {
	failover.orders.send(candidate.Instance(), event.NewPromote(attempt.term), func(outcome outcome) {
		switch {
		case monitor.attempt != attempt:
		case outcome.answered && outcome.accepted:
			failover.succeed(monitor, attempt, candidate)
		case outcome.answered && outcome.status.Fence() > attempt.term:
			failover.backOff(monitor, outcome.status.Fence())
		case !outcome.answered && triesLeft > 1:
			failover.promote(monitor, attempt, candidate, triesLeft-1)
		default:
			failover.stopAttempt(monitor, "the candidate did not become primary")
		}
	})
}

// succeed publishes the new primary, unless the answer to the order has already done so. The
// TermChanged event then ends the attempt.
func (failover *Failover) succeed(monitor *monitor, attempt *attempt, candidate *state.Member) {
	monitor.highestFence = max(monitor.highestFence, attempt.term)
	if monitor.group.ObservePrimary(attempt.term, candidate.ID()) {
		failover.context.Publish(event.NewTermChanged(monitor.group.ID(), attempt.term, candidate.ID()))
	}
	failover.log(monitor, model.Decision{
		Name:     "promoted",
		Term:     attempt.term,
		Instance: candidate.ID(),
		Reason:   "after " + (failover.context.Now() - attempt.startedAt).String(),
	})
}

// endAttempt ends the attempt because its term or a higher one has a primary. If it is the
// attempt's own term, the other instances are ordered to follow the new primary.
func (failover *Failover) endAttempt(monitor *monitor, changed event.TermChanged) {
	ownTerm := changed.Term() == monitor.attempt.term
	attempt := monitor.attempt
	monitor.attempt = nil
	if !ownTerm {
		failover.log(monitor, model.Decision{Name: "promotion_stopped", Term: attempt.term, Instance: changed.Primary(), Reason: "another proxy completed a promotion"})
		return
	}
	failover.followAll(monitor)
}

// backOff ends the attempt because another promoter has fenced with a higher term, and gives
// that promoter time to finish.
func (failover *Failover) backOff(monitor *monitor, fence model.Term) {
	failover.log(monitor, model.Decision{Name: "promotion_stopped", Term: monitor.attempt.term, Reason: "an instance is fenced with a higher term"})
	now := failover.context.Now()
	monitor.attempt = nil
	if fence > monitor.highestFence {
		monitor.highestFence = fence
		monitor.fenceSeenAt = now
	}
	jitter := time.Duration(failover.context.Random().Int64N(int64(maxBackoff - minBackoff)))
	monitor.backoffUntil = now + minBackoff + jitter
	failover.requestReports(monitor, failover.context.Now())
}

// stopAttempt ends the attempt because its candidate did not become primary. If the group
// still has no primary, a later check starts another attempt with a higher term.
func (failover *Failover) stopAttempt(monitor *monitor, reason string) {
	failover.log(monitor, model.Decision{Name: "promotion_stopped", Term: monitor.attempt.term, Reason: reason})
	monitor.attempt = nil
	monitor.backoffUntil = failover.context.Now() + attemptRetryDelay
	failover.requestReports(monitor, failover.context.Now())
}
