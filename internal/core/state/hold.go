package state

import "time"

// hold keeps new writes of a group back while its primary is moved on purpose.
type hold struct {
	until time.Duration
	own   bool
}

// Hold keeps new writes back until the given time at the latest. own tells that
// this proxy moves the primary and tells the others.
func (group *Group) Hold(until time.Duration, own bool) {
	group.hold = hold{until: until, own: own}
}

// Release ends a hold.
func (group *Group) Release() { group.hold = hold{} }

// Held reports whether new writes wait for a new primary. Who holds a write
// back looks again at each GroupObserved and TermChanged.
func (group *Group) Held(now time.Duration) bool { return now < group.hold.until }

// HoldsOwn reports whether this proxy holds the writes of the group back.
func (group *Group) HoldsOwn(now time.Duration) bool { return group.hold.own && group.Held(now) }
