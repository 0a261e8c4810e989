package back

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

// laneKind parts the control connections of an instance, so that a probe that
// hangs does not hold up an order.
type laneKind int

const (
	laneProbe laneKind = iota
	laneOrder
)

type laneKey struct {
	kind    laneKind
	address string
}

// task is a probe or an order and its answers.
type task struct {
	sql      string
	deadline time.Time
	done     func(status model.Status, accepted bool) event.Event
	failed   func(reason model.FailReason) event.Event
}

func newProbeTask(action event.Probe) *task {
	return &task{
		sql:      wire.StatusSQL,
		deadline: time.Now().Add(action.Timeout()),
		done: func(status model.Status, _ bool) event.Event {
			return event.NewStatusReported(action.Probe(), action.Instance(), status)
		},
		failed: func(reason model.FailReason) event.Event {
			return event.NewStatusFailed(action.Probe(), action.Instance(), reason)
		},
	}
}

func newOrderTask(action event.SendOrder) *task {
	return &task{
		sql:      orderSQL(action.Body()),
		deadline: time.Now().Add(action.Timeout()),
		done: func(status model.Status, accepted bool) event.Event {
			return event.NewOrderDone(action.Order(), action.Instance(), accepted, status)
		},
		failed: func(reason model.FailReason) event.Event {
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

// lane is a control connection. One goroutine uses it.
type lane struct {
	backend *Backend
	address string
	context context.Context
	end     context.CancelFunc

	mutex   sync.Mutex
	waiting []*task
	wake    chan struct{}

	hijacked *pgconn.HijackedConn
}

func (backend *Backend) lane(kind laneKind, address string) *lane {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	key := laneKey{kind: kind, address: address}
	if found, ok := backend.lanes[key]; ok {
		return found
	}
	ctx, end := context.WithCancel(context.Background())
	opened := &lane{
		backend: backend,
		address: address,
		context: ctx,
		end:     end,
		wake:    make(chan struct{}, 1),
	}
	backend.lanes[key] = opened
	go opened.run()
	return opened
}

func (lane *lane) offer(given *task) {
	lane.mutex.Lock()
	lane.waiting = append(lane.waiting, given)
	lane.mutex.Unlock()
	select {
	case lane.wake <- struct{}{}:
	default:
	}
}

func (lane *lane) stop() { lane.end() }

func (lane *lane) run() {
	defer lane.hangUp()
	for {
		select {
		case <-lane.context.Done():
			return
		case <-lane.wake:
		}
		for next := lane.next(); next != nil; next = lane.next() {
			lane.carryOut(next)
		}
	}
}

func (lane *lane) next() *task {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	if len(lane.waiting) == 0 {
		return nil
	}
	next := lane.waiting[0]
	lane.waiting = lane.waiting[1:]
	return next
}

func (lane *lane) carryOut(given *task) {
	status, accepted, err := lane.ask(given)
	if err != nil {
		lane.hangUp()
		lane.backend.inbox.Post(given.failed(failReason(err)))
		return
	}
	lane.backend.inbox.Post(given.done(status, accepted))
}

func (lane *lane) ask(given *task) (model.Status, bool, error) {
	if err := lane.connect(given.deadline); err != nil {
		return model.Status{}, false, err
	}
	if err := lane.hijacked.Conn.SetDeadline(given.deadline); err != nil {
		return model.Status{}, false, errors.Wrap(err, "set deadline of control connection")
	}
	lane.hijacked.Frontend.Send(&pgproto3.Query{String: given.sql})
	if err := lane.hijacked.Frontend.Flush(); err != nil {
		return model.Status{}, false, errors.Wrap(err, "send to control connection")
	}
	reader := newReader(lane.hijacked, 0, lane.backend.spec.MaxAnswer)
	if err := reader.run(); err != nil {
		return model.Status{}, false, err
	}
	return readStatus(reader)
}

func readStatus(reader *reader) (model.Status, bool, error) {
	if reader.failure != nil {
		return model.Status{}, false, pgconn.ErrorResponseToPgError(reader.failure)
	}
	if len(reader.results) != 1 || len(reader.results[0].Rows()) != 1 {
		return model.Status{}, false, errors.New("answer of control connection is not one row")
	}
	return wire.ParseStatus(reader.results[0].Rows()[0])
}

func (lane *lane) connect(deadline time.Time) error {
	if lane.hijacked != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(lane.context, deadline)
	defer cancel()
	hijacked, err := dial(ctx, lane.backend.control, lane.address)
	if err != nil {
		return err
	}
	lane.hijacked = hijacked
	return nil
}

func (lane *lane) hangUp() {
	if lane.hijacked != nil {
		_ = lane.hijacked.Conn.Close()
		lane.hijacked = nil
	}
}
