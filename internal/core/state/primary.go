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
	isNew := mark.Term() != group.term || group.primary != instance
	group.term = mark.Term()
	group.recordPrimary(instance, true)
	return isNew
}

func (group *Group) recordPrimary(instance model.InstanceID, answered bool) {
	group.primary, group.answered, group.primaryWasKnown = instance, answered, true
}

// PrimaryAnswered reports whether the known primary has answered as such. Else it is known from the
// platform's list only.
func (group *Group) PrimaryAnswered() bool { return group.answered }

// PrimaryWasKnown reports whether the group had a known primary at any time.
func (group *Group) PrimaryWasKnown() bool { return group.primaryWasKnown }

// ObserveSharedMark records a mark that another proxy has told in its answer to a call. The answer was
// made after the call was sent, so that the age of the mark counts from there. It reports whether
// the mark is newer than the known ones.
func (group *Group) ObserveSharedMark(shared model.GroupMark, sentAt time.Duration) bool {
	since := sentAt - shared.Age()
	if _, newest, ok := group.NewestMark(); ok && newest >= since {
		return false
	}
	if shared.Mark().Term() >= group.term {
		group.history.add(readIndex{since: since, mark: shared.Mark()})
	}
	return true
}

// SharedMark returns the newest mark to tell other proxies. It returns false if there is none or if
// it is too old to be of use.
func (group *Group) SharedMark(now time.Duration) (model.GroupMark, bool) {
	mark, since, ok := group.NewestMark()
	if !ok || now-since > maxSharedMarkAge {
		return model.GroupMark{}, false
	}
	return model.NewGroupMark(group.id, mark, now-since), true
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

// SetPrimary records an instance that the platform lists as the primary, and clears an earlier
// refutation. It does not change the term.
func (group *Group) SetPrimary(instance model.InstanceID) {
	delete(group.refuted, instance)
	group.recordPrimary(instance, group.answered && group.primary == instance)
}

// ConfirmPrimary records an instance that reports that it is the primary, as SetPrimary does.
func (group *Group) ConfirmPrimary(instance model.InstanceID) {
	delete(group.refuted, instance)
	group.recordPrimary(instance, true)
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
