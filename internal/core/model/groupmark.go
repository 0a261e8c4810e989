package model

import "time"

// GroupMark is a mark that covers every commit of a group that was acknowledged before a time.
type GroupMark struct {
	group GroupID
	mark  Mark
	age   time.Duration
}

// NewGroupMark returns a GroupMark. age is how long ago that time is.
func NewGroupMark(group GroupID, mark Mark, age time.Duration) GroupMark {
	return GroupMark{group: group, mark: mark, age: age}
}

// Group returns the group.
func (groupMark GroupMark) Group() GroupID { return groupMark.group }

// Mark returns the mark.
func (groupMark GroupMark) Mark() Mark { return groupMark.mark }

// Age returns how long ago the time is before which all acknowledged commits are covered.
func (groupMark GroupMark) Age() time.Duration { return groupMark.age }
