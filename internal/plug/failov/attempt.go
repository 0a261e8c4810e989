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
	restartPause    = 20 * time.Millisecond
	// A promoter that meets a higher fence waits between these limits.
	yieldMin = 150 * time.Millisecond
	yieldMax = 400 * time.Millisecond
	// targetPatience is how long a switchover waits for the fence of its target.
	targetPatience = 200 * time.Millisecond
	// avoidPatience is how long a promotion does without the lost primary.
	avoidPatience = 300 * time.Millisecond
)

// attempt is a promotion that this proxy drives. Its term belongs to it alone,
// and at most one instance is ever ordered to lead it.
type attempt struct {
	term      model.Term
	startedAt time.Duration
	target    model.InstanceID // the wanted primary of a switchover, or empty
	avoid     model.InstanceID // the lost primary, which the others shall replace, or empty
	fenced    map[model.InstanceID]model.Status
	candidate model.InstanceID // the instance that was ordered to lead, or empty
}

// replace starts a promotion after a loss.
func (failover *Failover) replace(watch *watch, loss loss) {
	attempt := &attempt{}
	if primary := watch.group.Primary(); primary != nil && loss.replaces() {
		attempt.avoid = primary.ID()
	}
	failover.begin(watch, attempt, loss.String())
}

// begin starts a promotion with a term above all that were seen.
func (failover *Failover) begin(watch *watch, attempt *attempt, reason string) {
	shared := failover.context.State()
	if shared.Promoter() == 0 || shared.Draining() {
		return
	}
	watch.count = watch.nextCount()
	attempt.term = model.NewTerm(watch.count, shared.Promoter())
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
func (failover *Failover) fence(watch *watch, attempt *attempt, member *state.Member, retry time.Duration) {
	failover.orders.send(member.Instance(), event.NewFence(attempt.term), func(answer answer) {
		if watch.attempt != attempt || attempt.candidate != "" {
			return
		}
		if answer.answered && answer.status.Fence() > attempt.term {
			failover.yield(watch, answer.status.Fence())
			return
		}
		if counts(member, answer) {
			attempt.fenced[member.ID()] = answer.status
			failover.choose(watch, attempt)
			return
		}
		failover.context.Timers().After(retry, func() {
			if watch.attempt == attempt && attempt.candidate == "" {
				failover.fence(watch, attempt, member, min(2*retry, fenceRetryLimit))
			}
		})
	})
}

// counts reports whether the answer to a fence makes the instance a member of
// the fenced majority. One that lost its log does not count before it has caught up.
func counts(member *state.Member, answer answer) bool {
	return answer.answered && answer.accepted && !answer.status.Tail().IsZero() && member.LogCompleteAt(answer.status.Tail())
}

// choose orders the fenced instance with the highest tail to lead once a
// majority is fenced. It waits a little for the fence of a switchover's target,
// and for a majority without the lost primary.
func (failover *Failover) choose(watch *watch, attempt *attempt) {
	if watch.attempt != attempt || attempt.candidate != "" || len(attempt.fenced) < watch.group.Majority() {
		return
	}
	left := attempt.startedAt + attempt.patience(watch.group) - failover.context.Now()
	if left > 0 {
		failover.context.Timers().After(left, func() { failover.choose(watch, attempt) })
		return
	}
	if attempt.majorityWithout(watch.group, attempt.avoid) {
		delete(attempt.fenced, attempt.avoid)
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

// patience returns how long after its start the attempt waits for more fences.
func (attempt *attempt) patience(group *state.Group) time.Duration {
	switch {
	case attempt.target != "" && len(attempt.fenced) < len(group.Members()):
		return targetPatience
	case attempt.avoid != "" && !attempt.majorityWithout(group, attempt.avoid):
		return avoidPatience
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
		if best == nil || precedes(group, attempt, member, best) {
			best = member
		}
	}
	return best
}

func precedes(group *state.Group, attempt *attempt, left, right *state.Member) bool {
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
func (failover *Failover) promote(watch *watch, attempt *attempt, candidate *state.Member, tries int) {
	failover.orders.send(candidate.Instance(), event.NewPromote(attempt.term), func(answer answer) {
		switch {
		case watch.attempt != attempt:
		case answer.answered && answer.accepted:
			failover.succeed(watch, attempt, candidate)
		case answer.answered && answer.status.Fence() > attempt.term:
			failover.yield(watch, answer.status.Fence())
		case !answer.answered && tries > 1:
			failover.promote(watch, attempt, candidate, tries-1)
		default:
			failover.restart(watch, "the candidate did not take the lead")
		}
	})
}

// succeed makes the new primary known, unless the answer to the order has done
// so. The event that goes with it ends the attempt.
func (failover *Failover) succeed(watch *watch, attempt *attempt, candidate *state.Member) {
	watch.fence = max(watch.fence, attempt.term)
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

// end drops an attempt whose term or a higher one has a primary.
func (failover *Failover) end(watch *watch, changed event.TermChanged) {
	own := changed.Term() == watch.attempt.term
	attempt := watch.attempt
	watch.attempt = nil
	if !own {
		failover.log(watch, model.Decision{Name: "promotion_stopped", Term: attempt.term, Instance: changed.Primary(), Reason: "another proxy promoted"})
		return
	}
	failover.followAll(watch)
}

// yield stops because another promoter has fenced with a higher term, and gives
// it time to finish.
func (failover *Failover) yield(watch *watch, fence model.Term) {
	failover.log(watch, model.Decision{Name: "promotion_stopped", Term: watch.attempt.term, Reason: "an instance is fenced with a higher term"})
	now := failover.context.Now()
	watch.attempt = nil
	if fence > watch.fence {
		watch.fence = fence
		watch.fenceAt = now
	}
	jitter := time.Duration(failover.context.Random().Int64N(int64(yieldMax - yieldMin)))
	watch.quietUntil = now + yieldMin + jitter
	failover.demand(watch, failover.context.Now())
}

// restart ends an attempt that has no majority any more. The next check begins
// another one with a higher term if the group still has no primary.
func (failover *Failover) restart(watch *watch, reason string) {
	failover.log(watch, model.Decision{Name: "promotion_stopped", Term: watch.attempt.term, Reason: reason})
	watch.attempt = nil
	watch.quietUntil = failover.context.Now() + restartPause
	failover.demand(watch, failover.context.Now())
}
