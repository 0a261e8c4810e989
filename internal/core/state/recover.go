package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// recovery notices an instance that lost its log, and decides when it holds all
// entries again that were acknowledged before the loss. Until then it is no
// member of a majority.
type recovery struct {
	top       model.Mark // the highest tail that was reported since the last loss
	lost      bool
	noticedAt time.Duration // the probe that showed the loss was sent at
	dated     bool
	lostFrom  time.Duration // the log was lost before
	known     bool
	needed    model.Mark // the lowest read index that was taken after the loss
}

// note takes a report and tells whether the instance lost its log, perhaps once
// more. A report that shows the loss may have crossed it, so the loss is dated by
// the next one. An empty log is a lost one, since each log starts with the first
// entry of a term.
func (recovery *recovery) note(tail model.Mark, sentAt time.Duration) {
	fell := !tail.Covers(recovery.top) || (tail.IsZero() && !recovery.lost)
	switch {
	case fell:
		*recovery = newRecovery(sentAt)
	case recovery.lost && !recovery.dated:
		recovery.dated = true
		recovery.lostFrom = sentAt
	}
	recovery.top = tail
}

func newRecovery(noticedAt time.Duration) recovery {
	return recovery{lost: true, noticedAt: noticedAt}
}

// require takes a read index that was taken after the loss. Each of them covers
// everything that was acknowledged before it, so the lowest one is enough.
func (recovery *recovery) require(index model.Mark) {
	if !recovery.known || recovery.needed.Covers(index) {
		recovery.known = true
		recovery.needed = index
	}
}

// settle ends the recovery if a log that ends at tail holds what is needed.
func (recovery *recovery) settle(tail model.Mark) {
	if recovery.known && tail.Covers(recovery.needed) {
		recovery.lost = false
	}
}

// Recovering reports whether the instance lost its log and may lack
// acknowledged entries.
func (member *Member) Recovering() bool { return member.recovery.lost }

// LacksIndex reports whether a read index is needed that was taken after the
// instance lost its log, and when the loss was noticed.
func (member *Member) LacksIndex() (time.Duration, bool) {
	return member.recovery.noticedAt, member.recovery.lost && !member.recovery.known
}

// Holds reports whether a log that ends at tail holds all that the instance
// reported before, so that the instance counts as a member of a majority.
func (member *Member) Holds(tail model.Mark) bool {
	return !member.recovery.lost && tail.Covers(member.recovery.top)
}

// recover takes the reports at hand into account for every instance that lost
// its log. The reports of such instances do not count in the read index.
func (group *Group) recover() {
	for _, member := range group.members {
		recovery := &member.recovery
		if !recovery.lost || !recovery.dated {
			continue
		}
		if index, ok := group.ReadIndex(recovery.lostFrom); ok {
			recovery.require(index)
		}
		recovery.settle(member.status.Tail())
	}
}

// indexWithout is ReadIndex without the reports of one member.
