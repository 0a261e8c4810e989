package conns

import (
	"maps"
	"math"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// forever is the value of blockedUntil that prevents new connections to an instance that
// is no longer listed.
const forever = time.Duration(math.MaxInt64)

// maintain keeps the minimum number of connections to every healthy listed instance open.
// It closes connections that exceed the maximum or have been idle for too long, and denies
// late requests.
func (pools *Pools) maintain() {
	for _, group := range pools.context.State().Groups() {
		for _, member := range group.Members() {
			pool := pools.pool(member.ID())
			pool.instance = member.Instance()
			if pool.blockedUntil == forever {
				pool.blockedUntil = 0
			}
			pool.denyLate()
			pool.closeExcess()
			if !member.Leaving() && member.Reported() && member.Failures() == 0 {
				pool.fill()
			}
		}
	}
	pools.closeUnlisted()
}

// closeUnlisted closes the idle connections to instances that are no longer listed. It
// removes a pool once it has no connections left.
func (pools *Pools) closeUnlisted() {
	for _, id := range slices.Sorted(maps.Keys(pools.pools)) {
		if pools.context.State().GroupOf(id) != nil {
			continue
		}
		pool := pools.pools[id]
		pool.blockedUntil = forever
		for len(pool.idle) > 0 {
			idle := pool.idle[0]
			pools.context.Emit(event.NewCloseConn(idle.id))
			pools.removeConn(idle)
		}
		if pool.total == 0 {
			pools.context.Timers().Cancel(pool.retryTimer)
			delete(pools.pools, id)
		}
	}
}

// handleGroupObserved ends the back-off for the healthy instances of a group that
// answered a probe.
func (pools *Pools) handleGroupObserved(id model.GroupID) {
	group := pools.context.State().Group(id)
	if group == nil {
		return
	}
	for _, member := range group.Members() {
		pool, ok := pools.pools[member.ID()]
		if ok && member.Reported() && member.Failures() == 0 && !member.Leaving() {
			pool.endBackOff(member.SentAt())
		}
	}
}

func (pool *pool) closeExcess() {
	context := pool.pools.context
	idle := context.Settings().ConnIdle()
	switch held := pool.held(); {
	case held && pool.total <= pool.share():
		idle = heldIdleTimeout
	case pool.instance.MaxConns() > 0:
		idle = min(idle, surplusIdleTimeout)
		if pool.total > pool.share() {
			idle = min(idle, excessIdleTimeout)
		}
	}
	oldest := context.Now() - idle
	for len(pool.idle) > 0 && (pool.total > pool.maxOpen() || pool.total > pool.minOpen() && pool.idle[0].since < oldest) {
		idle := pool.idle[0]
		context.Emit(event.NewCloseConn(idle.id))
		pool.pools.removeConn(idle)
	}
}
