package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// answerMargin is the time beyond the order's timeout after which an order
// counts as failed though the adapter reported nothing.
const answerMargin = 50 * time.Millisecond

// answer is what became of an order. An order without an answer may have taken effect.
type answer struct {
	answered bool
	accepted bool
	status   model.Status
}

type pendingOrder struct {
	done    func(answer answer)
	timeout timer.ID
}

// orders sends orders to instances and calls back once for each.
type orders struct {
	context *kern.Context
	pending map[model.OrderID]pendingOrder
}

func newOrders(context *kern.Context) *orders {
	return &orders{context: context, pending: make(map[model.OrderID]pendingOrder)}
}

func (orders *orders) send(instance model.Instance, body event.Order, done func(answer answer)) {
	id := model.OrderID(orders.context.NextID())
	limit := orders.context.Settings().OrderTimeout()
	timeout := orders.context.Timers().After(limit+answerMargin, func() { orders.finish(id, answer{}) })
	orders.pending[id] = pendingOrder{done: done, timeout: timeout}
	orders.context.Emit(event.NewSendOrder(id, instance.ID(), instance.Address(), body, limit))
}

func (orders *orders) handle(received event.Event) {
	switch received := received.(type) {
	case event.OrderAnswered:
		orders.finish(received.Order(), answer{answered: true, accepted: received.Accepted(), status: received.Status()})
	case event.OrderFailed:
		orders.finish(received.Order(), answer{})
	}
}

func (orders *orders) finish(id model.OrderID, answer answer) {
	found, ok := orders.pending[id]
	if !ok {
		return
	}
	delete(orders.pending, id)
	orders.context.Timers().Cancel(found.timeout)
	found.done(answer)
}
