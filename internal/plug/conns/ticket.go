package conns

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/route"
)

type ticketState int

const (
	ticketEntering ticketState = iota
	ticketAdmitted
	ticketEnded
)

// ticket is a wait for a slot and then for a connection. It implements route.Entrant.
type ticket struct {
	id    route.WaitID
	ask   route.SlotRequest
	taker route.ConnUser
	pool  *pool
	state ticketState
}

// SlotRequest implements route.Entrant.
func (ticket *ticket) SlotRequest() route.SlotRequest { return ticket.ask }

// SlotGranted implements route.Entrant.
func (ticket *ticket) SlotGranted() {
	ticket.state = ticketAdmitted
	ticket.pool.take(ticket)
}

// SlotDenied implements route.Entrant.
func (ticket *ticket) SlotDenied(code codes.Code, retryAfter time.Duration) {
	ticket.end()
	ticket.taker.ConnDenied(code, retryAfter)
}

func (ticket *ticket) end() {
	ticket.state = ticketEnded
	delete(ticket.pool.pools.tickets, ticket.id)
}
