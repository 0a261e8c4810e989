package conns

import (
	"maps"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// fill opens the connections that the waiters and the minimum require, except during
// back-off.
func (pool *pool) fill() {
	for pool.mayOpen() {
		team, needed := pool.neededTeam()
		if !needed {
			return
		}
		if pool.total >= pool.maxOpen() && !pool.closeIdleOfOthers(team) {
			return
		}
		pool.open(team)
	}
	pool.makeRoom()
}

// mayOpen reports whether a connection may be opened now.
func (pool *pool) mayOpen() bool {
	return pool.opening < maxOpening && pool.pools.context.Now() >= pool.blockedUntil
}

// neededTeam returns the team for which the next connection is opened: that of the first waiter
// for which none is being opened, or no team if the minimum is not reached or the instance could not be
// reached: it gets no reads until one is open. It returns false if no connection is needed.
func (pool *pool) neededTeam() (model.TeamName, bool) {
	if pool.opening < len(pool.waiting) {
		opening := maps.Clone(pool.openingByTeam)
		for _, waiter := range pool.waiting {
			if opening[waiter.team()] == 0 {
				return waiter.team(), true
			}
			opening[waiter.team()]--
		}
	}
	return "", pool.total < pool.minOpen() || pool.unreachable() && pool.total == 0
}

// closeIdleOfOthers closes the connection of another team that has been idle for longest, to
// make room. It reports false if there is none.
func (pool *pool) closeIdleOfOthers(team model.TeamName) bool {
	for _, idle := range pool.idle {
		if idle.team != team {
			pool.closeIdle(idle)
			return true
		}
	}
	return false
}

func (pool *pool) closeIdle(idle *conn) {
	pool.pools.context.Emit(event.NewCloseConn(idle.id))
	delete(pool.pools.conns, idle.id)
	pool.remove(idle)
	idle.state = connClosed
}

func (pool *pool) open(team model.TeamName) {
	context := pool.pools.context
	pool.roomMade = false
	added := &conn{id: model.ConnID(context.NextID()), pool: pool, team: team, state: connOpening, since: context.Now()}
	pool.pools.conns[added.id] = added
	pool.total++
	pool.opening++
	pool.openingByTeam[team]++
	opened := event.NewOpenConn(added.id, pool.instance.ID(), pool.instance.Address()).WithTeam(team)
	if group := context.State().GroupOf(pool.instance.ID()); group != nil {
		opened = opened.WithGroup(group.ID())
	}
	context.Emit(opened)
}

// endOpening records that a connection is open, or could not be opened.
func (pool *pool) endOpening(conn *conn) {
	pool.opening--
	if pool.openingByTeam[conn.team]--; pool.openingByTeam[conn.team] == 0 {
		delete(pool.openingByTeam, conn.team)
	}
}

// openFailed starts an exponential back-off for opening connections. If no connection to
// the instance is open, all waiters are denied so that reads can use another instance;
// they keep waiting if the instance is full.
func (pool *pool) openFailed(failed *conn, reason model.ConnFailure) {
	failed.state = connClosed
	pool.total--
	pool.endOpening(failed)
	if pool.failures == 0 {
		pool.log("instance_unreachable", reason.String())
	}
	pool.failedAt = pool.pools.context.Now()
	pool.lastFailure = reason
	pool.backOff()
	pool.roomMade = false
	pool.makeRoom()
	if reason == model.ConnFailureLeaving {
		pool.pools.context.Publish(event.NewLeavingChanged(pool.instance.ID(), true))
	}
	if reason != model.ConnFailureFull && !pool.connected() {
		pool.denyWaiting()
	}
}

// log logs that the instance became unreachable or reachable.
func (pool *pool) log(name, reason string) {
	pool.pools.context.Emit(event.NewLogDecision(model.Decision{Name: name, Instance: pool.instance.ID(), Reason: reason}))
}

func (pool *pool) backOff() {
	context := pool.pools.context
	backoff := min(maxBackoff, initialBackoff<<min(pool.failures, maxDoublings))
	if pool.lastFailure == model.ConnFailureFull && pool.held() {
		backoff = min(backoff, maxHeldBackoff)
	}
	backoff = backoff/2 + time.Duration(context.Random().Int64N(int64(backoff)))
	pool.failures++
	pool.blockedUntil = context.Now() + backoff
	context.Timers().Cancel(pool.retryTimer)
	pool.retryTimer = context.Timers().After(backoff, pool.fill)
}

// endBackOff ends the back-off after the instance answered a probe that was sent at
// sentAt. The probe must have been sent after the last failure. The back-off of a full
// instance continues.
func (pool *pool) endBackOff(sentAt time.Duration) {
	if pool.failures == 0 || sentAt <= pool.failedAt || pool.lastFailure == model.ConnFailureFull {
		return
	}
	pool.blockedUntil = 0
	pool.fill()
}
