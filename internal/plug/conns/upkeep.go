package conns

import "almondway.dev/almondway/internal/core/event"

// maintain keeps the warm reserve of every listed instance and closes
// connections that were idle for long.
func (pools *Pools) maintain() {
	for _, group := range pools.context.State().Groups() {
		for _, member := range group.Members() {
			pool := pools.pool(member.ID())
			pool.instance = member.Instance()
			pool.closeIdle()
			if !member.Leaving() && member.Heard() && member.Failures() == 0 {
				pool.fill()
			}
		}
	}
}

func (pool *pool) closeIdle() {
	context := pool.pools.context
	oldest := context.Now() - context.Settings().ConnIdle()
	for len(pool.idle) > minWarm && pool.idle[0].since < oldest {
		idle := pool.idle[0]
		context.Emit(event.NewCloseConn(idle.id))
		pool.pools.drop(idle)
	}
}
