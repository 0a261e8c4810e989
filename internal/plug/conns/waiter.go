package conns

import (
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

type waiterState int

const (
	waiterNeedsSlot waiterState = iota
	waiterNeedsConn
	waiterEnded
)

// waiter is a request that waits for a slot and then for a connection. It implements
// route.SlotWaiter.
type waiter struct {
	id      route.WaitID
	request route.SlotRequest
	user    route.ConnUser
	pool    *pool
	state   waiterState
}

// SlotRequest implements route.SlotWaiter.
func (waiter *waiter) SlotRequest() route.SlotRequest { return waiter.request }

// SlotGranted implements route.SlotWaiter.
func (waiter *waiter) SlotGranted() {
	waiter.state = waiterNeedsConn
	waiter.pool.grantOrQueue(waiter)
}

// SlotDenied implements route.SlotWaiter.
func (waiter *waiter) SlotDenied(denial route.Denial) {
	waiter.end()
	waiter.user.ConnDenied(denial)
}

func (waiter *waiter) end() {
	waiter.state = waiterEnded
	delete(waiter.pool.pools.waiters, waiter.id)
}

// team returns the team whose connection the request needs. It is empty if the request has none.
func (waiter *waiter) team() model.TeamName {
	if waiter.request.Job == nil {
		return ""
	}
	return waiter.request.Job.Team().Name()
}
