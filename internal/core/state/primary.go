package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// ObservePrimaryTail records that instance was the primary of the term of mark at
// some moment after sentAt and that its log then ended at mark, so that mark covers
// every commit acknowledged before sentAt. It returns true if the term or its
// primary changes. It applies to groups whose instances acknowledge commits
// themselves.
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

// ObserveSharedMark records that another proxy knows a mark that covers every commit acknowledged
// before since.
func (group *Group) ObserveSharedMark(mark model.Mark, since time.Duration) {
	if mark.Term() >= group.term {
		group.history.add(readIndex{since: since, mark: mark})
	}
}

// NewestMark returns the mark of the newest answer of a primary, and when the statement that
// returned it was sent. It returns false if none is known.
func (group *Group) NewestMark() (model.Mark, time.Duration, bool) {
	last := len(group.history.list) - 1
	if last < 0 {
		return model.Mark{}, 0, false
	}
	return group.history.list[last].mark, group.history.list[last].since, true
}

// RefutePrimary records that an instance reported at the given time that it is not
// the primary.
func (group *Group) RefutePrimary(instance model.InstanceID, now time.Duration) {
	if group.refuted == nil {
		group.refuted = make(map[model.InstanceID]time.Duration)
	}
	group.refuted[instance] = now
	if group.primary == instance {
		group.primary = ""
	}
}

// RefutedSince reports whether an instance reported at since or later that it is
// not the primary.
func (group *Group) RefutedSince(instance model.InstanceID, since time.Duration) bool {
	at, ok := group.refuted[instance]
	return ok && at >= since
}

// SetPrimary records an instance that the platform lists as the primary, or that
// reports this role, and clears an earlier refutation. It does not change the term.
func (group *Group) SetPrimary(instance model.InstanceID) {
	delete(group.refuted, instance)
	group.primary = instance
}

// MarkSince returns the lowest known mark that covers every commit acknowledged
// before oldest, and when the statement that returned it was sent.
func (group *Group) MarkSince(oldest time.Duration) (model.Mark, time.Duration, bool) {
	for _, recorded := range group.history.list {
		if recorded.since >= oldest {
			return recorded.mark, recorded.since, true
		}
	}
	return model.Mark{}, 0, false
}

// MarkAge returns how long ago the statement that returned the newest mark was
// sent. It returns false if no mark is known.
func (group *Group) MarkAge(now time.Duration) (time.Duration, bool) {
	last := len(group.history.list) - 1
	if last < 0 {
		return 0, false
	}
	return now - group.history.list[last].since, true
}
