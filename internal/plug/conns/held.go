package conns

import (
	"time"
)

const (
	// heldIdleTimeout is how long a connection within the share of a holder may be idle. It runs the
	// statements that the team sends through all proxies.
	heldIdleTimeout = 10 * time.Second
	// holderReserveDivisor sets the part of the connections of an instance that its holders leave to
	// the pings of the other proxies, to those that reach no holder, and to the next processes of the
	// holders: after a loss of power, an instance holds the old connections for seconds. With an
	// eighth in reserve, the load model serves 0.54 in time in the 4 s after it, with a third 0.96.
	holderReserveDivisor = 3
	// maxHeldBackoff limits the back-off of a holder while the instance is full: the statements of
	// all proxies wait for it.
	maxHeldBackoff = 80 * time.Millisecond
	// roomDelay is the time in which a full instance notices that a connection was closed.
	roomDelay = 5 * time.Millisecond
)

// held reports whether this proxy and few others hold the connections of the instance.
func (pool *pool) held() bool { return pool.pools.context.State().Holds(pool.instance.ID()) }

// makeRoom closes a connection of another team if the instance accepts no further one and a request
// waits for one. The next attempt to open one follows as soon as the instance has seen that.
func (pool *pool) makeRoom() {
	context := pool.pools.context
	if !pool.full() || context.Now() >= pool.blockedUntil || pool.roomMade || !pool.held() {
		return
	}
	if team, needed := pool.neededTeam(); !needed || !pool.closeIdleOfOthers(team) {
		return
	}
	pool.roomMade = true
	if until := context.Now() + roomDelay; until < pool.blockedUntil {
		pool.blockedUntil = until
		context.Timers().Cancel(pool.retryTimer)
		pool.retryTimer = context.Timers().After(roomDelay, pool.fill)
	}
}
