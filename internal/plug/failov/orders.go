package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// answerMargin is the time beyond an order's timeout after which the order counts as failed
// although the adapter has reported neither an answer nor a failure.
const answerMargin = 50 * time.Millisecond

// outcome is the result of an order. An order without an answer may have taken effect.
type outcome struct {
	answered bool
	accepted bool
	status   model.Status
}

type pendingOrder struct {
	callback func(outcome outcome)
	timeout  timer.ID
}

// orders sends orders to instances and calls back exactly once for each.
type orders struct {
	context *kern.Context
	pending map[model.OrderID]pendingOrder
}

func newOrders(context *kern.Context) *orders {
	return &orders{context: context, pending: make(map[model.OrderID]pendingOrder)}
}

func (orders *orders) send(instance model.Instance, body event.Order, callback func(outcome outcome)) {
	id := model.OrderID(orders.context.NextID())
	limit := orders.context.Settings().OrderTimeout()
	timeout := orders.context.Timers().After(limit+answerMargin, func() { orders.complete(id, outcome{}) })
	orders.pending[id] = pendingOrder{callback: callback, timeout: timeout}
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

func (orders *orders) complete(id model.OrderID, outcome outcome) {
	order, ok := orders.pending[id]
	if !ok {
		return
	}
	delete(orders.pending, id)
	orders.context.Timers().Cancel(order.timeout)
	order.callback(outcome)
}
