package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// recovery notices an instance that lost its log, and decides when it holds all
// acknowledged entries again. Until then it is no member of a majority.
type recovery struct {
	top      model.Mark // the highest tail that the instance reported
	lost     bool
	dated    bool
	lostFrom time.Duration // the log was lost before
}

// note takes a report and tells whether the instance lost its log. A report that
// shows the loss may have crossed it, so the loss is dated by the next one. An
// empty log is a lost one, since each log starts with the first entry of a term.
func (recovery *recovery) note(tail model.Mark, sentAt time.Duration) {
	switch {
	case recovery.lost && !recovery.dated:
		recovery.dated = true
		recovery.lostFrom = sentAt
	case !recovery.lost && (tail.IsZero() || !tail.Covers(recovery.top)):
		recovery.lost = true
		recovery.dated = false
	case !recovery.lost:
		recovery.top = tail
	}
}

// settle ends the recovery if the log covers index, which covers everything that
// was acknowledged before the loss.
func (recovery *recovery) settle(tail, index model.Mark) {
	if tail.Covers(index) {
		recovery.top = tail
		recovery.lost = false
	}
}

// Recovering reports whether the instance lost its log and may lack
// acknowledged entries.
func (member *Member) Recovering() bool { return member.recovery.lost }

// Holds reports whether a log that ends at tail holds all that the instance
// reported before, so that the instance counts as a member of a majority.
func (member *Member) Holds(tail model.Mark) bool {
	return !member.recovery.lost && tail.Covers(member.recovery.top)
}

// recover takes a report into account. The read index after the loss covers
// everything that the instance may have lost, since the reports of instances
// that lost their logs do not count in it.
func (group *Group) recover(member *Member) {
	tail := member.status.Tail()
	member.recovery.note(tail, member.sentAt)
	if !member.recovery.lost || !member.recovery.dated {
		return
	}
	if index, ok := group.ReadIndex(member.recovery.lostFrom); ok {
		member.recovery.settle(tail, index)
	}
}

// indexWithout is ReadIndex without the reports of one member.
