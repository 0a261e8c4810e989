package conns

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/route"
)

type waiterState int

const (
	waiterNeedsSlot waiterState = iota
	waiterNeedsConn
	waiterEnded
)

// waiter is a wait for a slot and then for a connection. It implements route.Entrant.
type waiter struct {
	id      route.WaitID
	request route.SlotRequest
	user    route.ConnUser
	pool    *pool
	state   waiterState
}

// SlotRequest implements route.Entrant.
func (ticket *waiter) SlotRequest() route.SlotRequest { return ticket.request }

// SlotGranted implements route.Entrant.
func (ticket *waiter) SlotGranted() {
	ticket.state = waiterNeedsConn
	ticket.pool.grantOrQueue(ticket)
}

// SlotDenied implements route.Entrant.
func (ticket *waiter) SlotDenied(code codes.Code, retryAfter time.Duration) {
	ticket.end()
	ticket.user.ConnDenied(code, retryAfter)
}

func (ticket *waiter) end() {
	ticket.state = waiterEnded
	delete(ticket.pool.pools.waiters, ticket.id)
}
