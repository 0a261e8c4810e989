package check

import (
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
)

// promoter is the product's promotion rule or a variant of it.
type promoter struct {
	name string
	// pausesReplicas stops commits before a candidate is chosen: the primary steps down or
	// replicas are paused.
	pausesReplicas bool
	choose         func(candidates []heir.Candidate) model.InstanceID
	// losesLogs lets an instance restart without its log.
	losesLogs bool
	// losesCommits is set if the search must find a lost commit.
	losesCommits bool
	// ignoresPendingOrder hides the pending order of an earlier promoter.
	ignoresPendingOrder bool
	// storeRestored lets the store come back from a copy that lacks the last order and the
	// last token.
	storeRestored bool
	// stopsBeforeOrdersEnd lets an attempt stop the commits, though not order a promotion,
	// while an earlier order that the copy lacks could still be executed.
	stopsBeforeOrdersEnd bool
	// trustsCopy takes the lease row of a restored store for complete.
	trustsCopy bool
	// tokensWithoutEra takes the tokens from the lease row alone.
	tokensWithoutEra bool
	// reusesTokens is set if the search must find a token that was used twice.
	reusesTokens bool
	// instancesEnd lets an instance leave for good, at any step.
	instancesEnd bool
	// canDrop is the rule by which an instance that has ended is dropped, heir.CanDrop or a variant.
	canDrop func(needed model.Mark, others []heir.Candidate) bool
	// instancesStart lets an instance start for the first time, paused replicas restart, and a
	// primary that has stepped down restart as the primary, at any step.
	instancesStart bool
	// verifiesStepDown forgets a step-down if the instance stops answering.
	verifiesStepDown bool
	// stopsUntilPromotion stops commits until an order was executed: a primary that is back steps
	// down, and a replica that starts is paused. It is assumed to do so before the first commit.
	stopsUntilPromotion bool
	// countsReporter lets the instance that reported the end of the primary's log count as the one
	// that has the log up to there.
	countsReporter bool
	// attempts is the number of attempts, defaultAttempts if it is 0.
	attempts uint8
}

func (promoter promoter) maxAttempts() uint8 {
	if promoter.attempts == 0 {
		return defaultAttempts
	}
	return promoter.attempts
}

func chooseByProduct(candidates []heir.Candidate) model.InstanceID {
	chosen, _ := heir.Choose(candidates, 1, true)
	return chosen
}

// chooseAnyKnown chooses the most advanced known log, even if an unknown one may contain more.
func chooseAnyKnown(candidates []heir.Candidate) model.InstanceID {
	var best heir.Candidate
	for _, candidate := range candidates {
		if candidate.TailKnown && !candidate.FormerPrimary && (best.Instance == "" || candidate.Tail.Covers(best.Tail)) {
			best = candidate
		}
	}
	return best.Instance
}

// chooseIgnoringLogLoss treats the logs of instances that lost theirs as complete.
func chooseIgnoringLogLoss(candidates []heir.Candidate) model.InstanceID {
	for index := range candidates {
		candidates[index].LogLost = false
	}
	return chooseByProduct(candidates)
}
