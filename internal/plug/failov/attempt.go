package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

const (
	fenceRetry      = 50 * time.Millisecond
	fenceRetryLimit = time.Second
	promoteTries    = 2
	restartDelay    = 20 * time.Millisecond
	// A promoter that meets a higher fence waits between these limits.
	backoffMin = 150 * time.Millisecond
	backoffMax = 400 * time.Millisecond
	// targetFenceTimeout is how long a switchover waits for the fence of its target.
	targetFenceTimeout = 200 * time.Millisecond
	// otherMajorityTimeout is how long a promotion does without the lost primary.
	otherMajorityTimeout = 300 * time.Millisecond
)

// attempt is a promotion that this proxy drives. Its term belongs to it alone,
// and at most one instance is ever ordered to lead it.
type attempt struct {
	term        model.Term
	startedAt   time.Duration
	target      model.InstanceID // the wanted primary of a switchover, or empty
	lostPrimary model.InstanceID // the lost primary, which the others shall replace, or empty
	fenced      map[model.InstanceID]model.Status
	candidate   model.InstanceID // the instance that was ordered to lead, or empty
}

// startFailover starts a promotion after a loss.
func (failover *Failover) startFailover(watch *monitor, loss loss) {
	attempt := &attempt{}
	if primary := watch.group.Primary(); primary != nil && loss.excludesPrimary() {
		attempt.lostPrimary = primary.ID()
	}
	failover.startAttempt(watch, attempt, loss.String())
}

// startAttempt starts a promotion with a term above all that were seen.
func (failover *Failover) startAttempt(watch *monitor, attempt *attempt, reason string) {
	shared := failover.context.State()
	if shared.Promoter() == 0 || shared.Draining() {
		return
	}
	watch.usedCount = watch.nextCount()
	attempt.term = model.NewTerm(watch.usedCount, shared.Promoter())
	attempt.startedAt = failover.context.Now()
	attempt.fenced = make(map[model.InstanceID]model.Status)
	watch.attempt = attempt
	failover.log(watch, model.Decision{Name: "promotion_started", Term: watch.attempt.term, Reason: reason})
	for _, member := range watch.group.Members() {
		failover.fence(watch, watch.attempt, member, fenceRetry)
	}
}

// fence orders an instance to accept nothing of a lower term, again and again
// until it answers or the attempt has enough answers.
func (failover *Failover) fence(watch *monitor, attempt *attempt, member *state.Member, retry time.Duration) {
	failover.orders.send(member.Instance(), event.NewFence(attempt.term), func(answer outcome) {
		if watch.attempt != attempt || attempt.candidate != "" {
			return
		}
		if answer.answered && answer.status.Fence() > attempt.term {
			failover.backOff(watch, answer.status.Fence())
			return
		}
		if countsTowardMajority(member, answer) {
			attempt.fenced[member.ID()] = answer.status
			failover.chooseCandidate(watch, attempt)
			return
		}
		failover.context.Timers().After(retry, func() {
			if watch.attempt == attempt && attempt.candidate == "" {
				failover.fence(watch, attempt, member, min(2*retry, fenceRetryLimit))
			}
		})
	})
}

// countsTowardMajority reports whether the answer to a fence makes the instance a member of
// the fenced majority. One that lost its log does not count before it has caught up.
func countsTowardMajority(member *state.Member, answer outcome) bool {
	return answer.answered && answer.accepted && !answer.status.Tail().IsZero() && member.LogCompleteAt(answer.status.Tail())
}

// chooseCandidate orders the fenced instance with the highest tail to lead once a
// majority is fenced. It waits a little for the fence of a switchover's target,
// and for a majority without the lost primary.
func (failover *Failover) chooseCandidate(watch *monitor, attempt *attempt) {
	if watch.attempt != attempt || attempt.candidate != "" || len(attempt.fenced) < watch.group.Majority() {
		return
	}
	left := attempt.startedAt + attempt.fenceWait(watch.group) - failover.context.Now()
	if left > 0 {
		failover.context.Timers().After(left, func() { failover.chooseCandidate(watch, attempt) })
		return
	}
	if attempt.majorityWithout(watch.group, attempt.lostPrimary) {
		delete(attempt.fenced, attempt.lostPrimary)
	}
	best := bestCandidate(watch.group, attempt)
	attempt.candidate = best.ID()
	failover.log(watch, model.Decision{
		Name:     "promotion_fenced",
		Term:     attempt.term,
		Instance: best.ID(),
		Reason:   "highest tail " + attempt.fenced[best.ID()].Tail().String() + " of the fenced majority",
	})
	failover.promote(watch, attempt, best, promoteTries)
}

// fenceWait returns how long after its start the attempt waits for more fences.
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

// majorityWithout reports whether a majority is fenced without the instance. Any
// fenced majority has every acknowledged write.
func (attempt *attempt) majorityWithout(group *state.Group, avoid model.InstanceID) bool {
	count := len(attempt.fenced)
	if _, ok := attempt.fenced[avoid]; ok {
		count--
	}
	return count >= group.Majority()
}

// bestCandidate returns the fenced instance with the highest tail. Among equals
// come first the target, those that stay, the data centre of the last primary,
// and the lower name.
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
		home := primary.Instance().DataCenter()
		leftHome := left.Instance().DataCenter() == home
		rightHome := right.Instance().DataCenter() == home
		if leftHome != rightHome {
			return leftHome
		}
	}
	return left.ID() < right.ID()
}

// promote orders the candidate to lead the term. Without an answer the same
// order is repeated; another instance is only ever ordered to lead another term.
func (failover *Failover) promote(watch *monitor, attempt *attempt, candidate *state.Member, tries int) {
	failover.orders.send(candidate.Instance(), event.NewPromote(attempt.term), func(answer outcome) {
		switch {
		case watch.attempt != attempt:
		case answer.answered && answer.accepted:
			failover.succeed(watch, attempt, candidate)
		case answer.answered && answer.status.Fence() > attempt.term:
			failover.backOff(watch, answer.status.Fence())
		case !answer.answered && tries > 1:
			failover.promote(watch, attempt, candidate, tries-1)
		default:
			failover.stopAttempt(watch, "the candidate did not take the lead")
		}
	})
}

// succeed makes the new primary known, unless the answer to the order has done
// so. The event that goes with it ends the attempt.
func (failover *Failover) succeed(watch *monitor, attempt *attempt, candidate *state.Member) {
	watch.highestFence = max(watch.highestFence, attempt.term)
	if watch.group.ObservePrimary(attempt.term, candidate.ID()) {
		failover.context.Publish(event.NewTermChanged(watch.group.ID(), attempt.term, candidate.ID()))
	}
	failover.log(watch, model.Decision{
		Name:     "promoted",
		Term:     attempt.term,
		Instance: candidate.ID(),
		Reason:   "after " + (failover.context.Now() - attempt.startedAt).String(),
	})
}

// endAttempt drops an attempt whose term or a higher one has a primary.
func (failover *Failover) endAttempt(watch *monitor, changed event.TermChanged) {
	own := changed.Term() == watch.attempt.term
	attempt := watch.attempt
	watch.attempt = nil
	if !own {
		failover.log(watch, model.Decision{Name: "promotion_stopped", Term: attempt.term, Instance: changed.Primary(), Reason: "another proxy promoted"})
		return
	}
	failover.followAll(watch)
}

// backOff stops because another promoter has fenced with a higher term, and gives
// it time to finish.
func (failover *Failover) backOff(watch *monitor, fence model.Term) {
	failover.log(watch, model.Decision{Name: "promotion_stopped", Term: watch.attempt.term, Reason: "an instance is fenced with a higher term"})
	now := failover.context.Now()
	watch.attempt = nil
	if fence > watch.highestFence {
		watch.highestFence = fence
		watch.fenceSeenAt = now
	}
	jitter := time.Duration(failover.context.Random().Int64N(int64(backoffMax - backoffMin)))
	watch.backoffUntil = now + backoffMin + jitter
	failover.requestReports(watch, failover.context.Now())
}

// stopAttempt ends an attempt that has no majority any more. The next check begins
// another one with a higher term if the group still has no primary.
func (failover *Failover) stopAttempt(watch *monitor, reason string) {
	failover.log(watch, model.Decision{Name: "promotion_stopped", Term: watch.attempt.term, Reason: reason})
	watch.attempt = nil
	watch.backoffUntil = failover.context.Now() + restartDelay
	failover.requestReports(watch, failover.context.Now())
}
