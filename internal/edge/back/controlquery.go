package back

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// controlQuery is the SQL of a probe or an order, with the constructors of the
// event that answers it: answerEvent if the instance replied, else failureEvent.
type controlQuery struct {
	sql          string
	deadline     time.Time
	answerEvent  func(status model.Status, accepted bool) event.Event
	failureEvent func(reason model.ConnFailure) event.Event
}

func newProbeQuery(action event.Probe) *controlQuery {
	return &controlQuery{
		sql:      wire.StatusSQL,
		deadline: time.Now().Add(action.Timeout()),
		answerEvent: func(status model.Status, _ bool) event.Event {
			return event.NewStatusReported(action.Probe(), action.Instance(), status)
		},
		failureEvent: func(reason model.ConnFailure) event.Event {
			return event.NewProbeFailed(action.Probe(), action.Instance(), reason)
		},
	}
}

func newOrderQuery(action event.SendOrder) *controlQuery {
	return &controlQuery{
		sql:      orderSQL(action.Body()),
		deadline: time.Now().Add(action.Timeout()),
		answerEvent: func(status model.Status, accepted bool) event.Event {
			return event.NewOrderAnswered(action.Order(), action.Instance(), accepted, status)
		},
		failureEvent: func(reason model.ConnFailure) event.Event {
			return event.NewOrderFailed(action.Order(), action.Instance(), reason)
		},
	}
}

func orderSQL(order event.Order) string {
	switch order := order.(type) {
	case event.Fence:
		return wire.Fence(order.Term())
	case event.Promote:
		return wire.Promote(order.Term())
	case event.Follow:
		return wire.Follow(order.Term(), order.Primary(), order.Address())
	default:
		return ""
	}
}
