package state

import "time"

// hold keeps new writes of a group back while its primary is moved on purpose.
type hold struct {
	until time.Duration
	local bool
}

// HoldWrites keeps new writes back until the given time at the latest. own tells that
// this proxy moves the primary and tells the others.
func (group *Group) HoldWrites(until time.Duration, own bool) {
	group.hold = hold{until: until, local: own}
}

// ReleaseWrites ends a hold.
func (group *Group) ReleaseWrites() { group.hold = hold{} }

// WritesHeld reports whether new writes wait for a new primary. Who holds a write
// back looks again at each GroupObserved and TermChanged.
func (group *Group) WritesHeld(now time.Duration) bool { return now < group.hold.until }

// HoldIsLocal reports whether this proxy holds the writes of the group back.
func (group *Group) HoldIsLocal(now time.Duration) bool {
	return group.hold.local && group.WritesHeld(now)
}
