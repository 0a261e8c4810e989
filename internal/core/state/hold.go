package state

import "time"

// hold delays new writes of a group during a planned switchover.
type hold struct {
	until time.Duration
	local bool
}

// HoldWrites delays new writes until the given time at the latest. local is true
// if this proxy runs the switchover and announces the hold to the other proxies.
func (group *Group) HoldWrites(until time.Duration, local bool) {
	group.hold = hold{until: until, local: local}
}

// ReleaseWrites ends the hold, if there is one.
func (group *Group) ReleaseWrites() { group.hold = hold{} }

// WritesHeld reports whether new writes must wait for the new primary. A waiting
// write checks again at each GroupObserved and TermChanged event.
func (group *Group) WritesHeld(now time.Duration) bool { return now < group.hold.until }

// HoldIsLocal reports whether this proxy started the hold that is in force.
func (group *Group) HoldIsLocal(now time.Duration) bool {
	return group.hold.local && group.WritesHeld(now)
}
