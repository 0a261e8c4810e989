package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// recovery detects that an instance lost its log, and determines when the instance
// again holds all entries that were acknowledged before the loss. Until then the
// instance does not count towards a majority.
type recovery struct {
	highestTail     model.Mark // the tail of the last report, the highest since the last loss
	lost            bool
	noticedAt       time.Duration // when the probe that revealed the loss was sent
	lostBeforeKnown bool
	lostBefore      time.Duration // the log was lost before this time
	neededKnown     bool
	needed          model.Mark // the lowest read index taken after the loss
}

// observe checks a report for a loss of the log, which may occur again during a
// recovery. The probe of a report that reveals a loss may have been sent before the
// loss, so the send time of the next report's probe is the bound for the time of
// the loss. An empty log counts as lost, since each log starts with the first entry
// of a term.
func (recovery *recovery) observe(tail model.Mark, sentAt time.Duration) {
	lost := !tail.Covers(recovery.highestTail) || (tail.IsZero() && !recovery.lost)
	switch {
	case lost:
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

// requireIndex adds a read index taken after the loss. Each read index covers every
// write acknowledged before the loss, so the lowest one is sufficient.
func (recovery *recovery) requireIndex(index model.Mark) {
	if !recovery.neededKnown || recovery.needed.Covers(index) {
		recovery.neededKnown = true
		recovery.needed = index
	}
}

// complete ends the recovery if a log that ends at tail covers the needed mark.
func (recovery *recovery) complete(tail model.Mark) {
	if recovery.neededKnown && tail.Covers(recovery.needed) {
		recovery.lost = false
	}
}

// Recovering reports whether the instance lost its log and may lack
// acknowledged entries.
func (member *Member) Recovering() bool { return member.recovery.lost }

// NeedsReadIndex returns when the probe that revealed the loss of the instance's log
// was sent, and whether the recovery still needs a read index taken after the loss.
func (member *Member) NeedsReadIndex() (time.Duration, bool) {
	return member.recovery.noticedAt, member.recovery.lost && !member.recovery.neededKnown
}

// LogCompleteAt reports whether a log that ends at tail holds every entry that the
// instance reported before, so that the instance counts towards a majority.
func (member *Member) LogCompleteAt(tail model.Mark) bool {
	return !member.recovery.lost && tail.Covers(member.recovery.highestTail)
}

// updateRecoveries applies the last reports to the recovery of every instance that
// lost its log. The reports of such instances do not count in the read index.
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
