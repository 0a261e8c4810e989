package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// recovery notices an instance that lost its log, and decides when it holds all
// entries again that were acknowledged before the loss. Until then it is no
// member of a majority.
type recovery struct {
	highestTail     model.Mark // the highest tail that was reported since the last loss
	lost            bool
	noticedAt       time.Duration // the probe that showed the loss was sent at
	lostBeforeKnown bool
	lostBefore      time.Duration // the log was lost before
	neededKnown     bool
	needed          model.Mark // the lowest read index that was taken after the loss
}

// observe takes a report and tells whether the instance lost its log, perhaps once
// more. A report that shows the loss may have crossed it, so the loss is dated by
// the next one. An empty log is a lost one, since each log starts with the first
// entry of a term.
func (recovery *recovery) observe(tail model.Mark, sentAt time.Duration) {
	fell := !tail.Covers(recovery.highestTail) || (tail.IsZero() && !recovery.lost)
	switch {
	case fell:
		*recovery = newRecovery(sentAt)
	case recovery.lost && !recovery.lostBeforeKnown:
		recovery.lostBeforeKnown = true
		recovery.lostBefore = sentAt
	}
	recovery.highestTail = tail
}

func newRecovery(noticedAt time.Duration) recovery {
	return recovery{lost: true, noticedAt: noticedAt}
}

// requireIndex takes a read index that was taken after the loss. Each of them covers
// everything that was acknowledged before it, so the lowest one is enough.
func (recovery *recovery) requireIndex(index model.Mark) {
	if !recovery.neededKnown || recovery.needed.Covers(index) {
		recovery.neededKnown = true
		recovery.needed = index
	}
}

// complete ends the recovery if a log that ends at tail holds what is needed.
func (recovery *recovery) complete(tail model.Mark) {
	if recovery.neededKnown && tail.Covers(recovery.needed) {
		recovery.lost = false
	}
}

// Recovering reports whether the instance lost its log and may lack
// acknowledged entries.
func (member *Member) Recovering() bool { return member.recovery.lost }

// NeedsReadIndex reports whether a read index is needed that was taken after the
// instance lost its log, and when the loss was noticed.
func (member *Member) NeedsReadIndex() (time.Duration, bool) {
	return member.recovery.noticedAt, member.recovery.lost && !member.recovery.neededKnown
}

// LogCompleteAt reports whether a log that ends at tail holds all that the instance
// reported before, so that the instance counts as a member of a majority.
func (member *Member) LogCompleteAt(tail model.Mark) bool {
	return !member.recovery.lost && tail.Covers(member.recovery.highestTail)
}

// updateRecoveries takes the reports at hand into account for every instance that lost
// its log. The reports of such instances do not count in the read index.
func (group *Group) updateRecoveries() {
	for _, member := range group.members {
		recovery := &member.recovery
		if !recovery.lost || !recovery.lostBeforeKnown {
			continue
		}
		if index, ok := group.ReadIndex(recovery.lostBefore); ok {
			recovery.requireIndex(index)
		}
		recovery.complete(member.status.Tail())
	}
}

// indexWithout is ReadIndex without the reports of one member.
