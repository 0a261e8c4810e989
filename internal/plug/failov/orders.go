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

// outcome is what became of an order. An order without an outcome may have taken effect.
type outcome struct {
	answered bool
	accepted bool
	status   model.Status
}

type pendingOrder struct {
	callback func(answer outcome)
	timeout  timer.ID
}

// orders sends orders to instances and calls back once for each.
type orders struct {
	context *kern.Context
	pending map[model.OrderID]pendingOrder
}

func newOrders(context *kern.Context) *orders {
	return &orders{context: context, pending: make(map[model.OrderID]pendingOrder)}
}

func (orders *orders) send(instance model.Instance, body event.Order, done func(answer outcome)) {
	id := model.OrderID(orders.context.NextID())
	limit := orders.context.Settings().OrderTimeout()
	timeout := orders.context.Timers().After(limit+answerMargin, func() { orders.complete(id, outcome{}) })
	orders.pending[id] = pendingOrder{callback: done, timeout: timeout}
	orders.context.Emit(event.NewSendOrder(id, instance.ID(), instance.Address(), body, limit))
}

func (orders *orders) handle(received event.Event) {
	switch received := received.(type) {
	case event.OrderAnswered:
		orders.complete(received.Order(), outcome{answered: true, accepted: received.Accepted(), status: received.Status()})
	case event.OrderFailed:
		orders.complete(received.Order(), outcome{})
	}
}

func (orders *orders) complete(id model.OrderID, answer outcome) {
	found, ok := orders.pending[id]
	if !ok {
		return
	}
	delete(orders.pending, id)
	orders.context.Timers().Cancel(found.timeout)
	found.callback(answer)
}
