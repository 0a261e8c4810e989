package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// ObservePrimaryTail records that an instance led the term of mark at some moment after
// sentAt and that its log then ended at mark, so that mark covers every commit
// that was acknowledged before sentAt. It reports whether the term is new. It
// applies to groups whose instances acknowledge commits themselves.
func (group *Group) ObservePrimaryTail(instance model.InstanceID, mark model.Mark, sentAt time.Duration) bool {
	if mark.Term() < group.term {
		return false
	}
	group.history.add(readIndex{since: sentAt, mark: mark})
	delete(group.refuted, instance)
	if mark.Term() == group.term && group.primary == instance {
		return false
	}
	group.term = mark.Term()
	group.primary = instance
	return true
}

// RefutePrimary records that an instance said at the given time that it does not lead.
func (group *Group) RefutePrimary(instance model.InstanceID, now time.Duration) {
	if group.refuted == nil {
		group.refuted = make(map[model.InstanceID]time.Duration)
	}
	group.refuted[instance] = now
	if group.primary == instance {
		group.primary = ""
	}
}

// RefutedSince reports whether an instance said at since or later that it does not lead.
func (group *Group) RefutedSince(instance model.InstanceID, since time.Duration) bool {
	at, ok := group.refuted[instance]
	return ok && at >= since
}

// SetPrimary records that the platform lists an instance as the primary.
func (group *Group) SetPrimary(instance model.InstanceID) {
	delete(group.refuted, instance)
	group.primary = instance
}

// MarkSince returns the lowest known mark that covers every commit that was
// acknowledged before oldest, and when the statement that brought it was sent.
func (group *Group) MarkSince(oldest time.Duration) (model.Mark, time.Duration, bool) {
	for _, round := range group.history.list {
		if round.since >= oldest {
			return round.mark, round.since, true
		}
	}
	return model.Mark{}, 0, false
}

// MarkAge returns how long ago the statement behind the newest mark was sent.
func (group *Group) MarkAge(now time.Duration) (time.Duration, bool) {
	last := len(group.history.list) - 1
	if last < 0 {
		return 0, false
	}
	return now - group.history.list[last].since, true
}
