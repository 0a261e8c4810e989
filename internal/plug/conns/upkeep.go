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
// late requests. It returns the time until the next maintenance.
func (pools *Pools) maintain() time.Duration {
	groups := pools.context.State().Groups()
	pools.listedCount = 0
	for _, group := range groups {
		pools.listedCount += len(group.Members())
	}
	busy := len(pools.execs) > 0 // they may become overdue
	for _, group := range groups {
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
			busy = busy || len(pool.waiting) > 0 || len(pool.idle) > 0 && pool.total > pool.minOpen()
		}
	}
	pools.releaseOverdue()
	pools.closeUnlisted()
	if busy {
		return maintainInterval
	}
	return idleMaintainInterval
}

// closeUnlisted closes the idle connections to instances that are no longer listed and denies the
// requests that wait for one, since none is opened. It removes a pool once it has no connections
// left.
func (pools *Pools) closeUnlisted() {
	for _, id := range slices.Sorted(maps.Keys(pools.pools)) {
		if pools.context.State().GroupOf(id) != nil {
			continue
		}
		pool := pools.pools[id]
		pool.blockedUntil = forever
		pool.denyWaiting()
		for len(pool.idle) > 0 {
			pool.closeIdle(pool.idle[0])
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
		if !ok && member.Reported() {
			pools.pace.Wake() // the first report of an instance
		}
	}
}

// handleInstanceRestarted closes the idle connections to an instance that has started again. They
// lead to the process before, and may be silent where the network was cut. The back-off ends.
func (pools *Pools) handleInstanceRestarted(instance model.InstanceID) {
	pool, ok := pools.pools[instance]
	if !ok {
		return
	}
	for len(pool.idle) > 0 {
		pool.closeIdle(pool.idle[0])
	}
	pool.failures, pool.blockedUntil = 0, 0
	pool.fill()
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
