package back

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// request is a probe or an order, and the events that answer it.
type request struct {
	sql          string
	deadline     time.Time
	answerEvent  func(status model.Status, accepted bool) event.Event
	failureEvent func(reason model.ConnFailure) event.Event
}

func newProbeRequest(action event.Probe) *request {
	return &request{
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

func newOrderRequest(action event.SendOrder) *request {
	return &request{
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
