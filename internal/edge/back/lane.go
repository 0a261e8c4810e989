package back

import (
	"context"
	"sync"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// laneKind parts the control connections of an instance, so that probes that
// hang do not hold up an order.
type laneKind int

const (
	laneProbe laneKind = iota
	laneOrder
)

type laneKey struct {
	kind    laneKind
	address string
}

// lane carries the probes or the orders of one instance over one connection,
// which it opens when it is needed. Queries are sent without waiting for the
// answers to those before. One goroutine runs the lane.
type lane struct {
	backend *Backend
	address string
	context context.Context
	end     context.CancelFunc

	mutex   sync.Mutex
	offered []*task
	wake    chan struct{}

	dialed  chan dialResult
	answers chan linkAnswer
	dialing bool
	link    *link
	// waiting holds the tasks that were not sent, flight those that were.
	waiting []*task
	flight  []*task
}

type dialResult struct {
	link *link
	err  error
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
		dialed:  make(chan dialResult),
		answers: make(chan linkAnswer),
	}
	backend.lanes[key] = opened
	go opened.run()
	return opened
}

func (lane *lane) offer(given *task) {
	lane.mutex.Lock()
	lane.offered = append(lane.offered, given)
	lane.mutex.Unlock()
	select {
	case lane.wake <- struct{}{}:
	default:
	}
}

func (lane *lane) stop() { lane.end() }

func (lane *lane) run() {
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	defer lane.hangUp()
	for {
		select {
		case <-lane.context.Done():
			return
		case <-lane.wake:
			lane.takeOffered()
		case result := <-lane.dialed:
			lane.takeDialed(result)
		case answer := <-lane.answers:
			lane.takeAnswer(answer)
		case <-expiry.C:
		}
		lane.expire(time.Now())
		lane.advance()
		if next, ok := lane.nextDeadline(); ok {
			expiry.Reset(time.Until(next))
		}
	}
}

func (lane *lane) takeOffered() {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.waiting = append(lane.waiting, lane.offered...)
	lane.offered = nil
}

func (lane *lane) takeDialed(result dialResult) {
	lane.dialing = false
	if result.err == nil {
		lane.link = result.link
		go lane.link.read(lane.answers, lane.context.Done())
		return
	}
	if reason := failReason(result.err); reason != model.ConnFailureTimeout {
		lane.fail(lane.waiting, reason)
		lane.waiting = nil
	}
}

func (lane *lane) takeAnswer(answer linkAnswer) {
	if answer.link != lane.link {
		return
	}
	if answer.err != nil {
		lane.breakLink(failReason(answer.err))
		return
	}
	if len(lane.flight) == 0 {
		return
	}
	answered := lane.flight[0]
	lane.flight = lane.flight[1:]
	lane.backend.inbox.Post(answered.done(answer.status, answer.accepted))
}

// expire fails the tasks whose time is over. A link that lets one expire is
// broken, and with it the tasks that were sent after that one.
func (lane *lane) expire(now time.Time) {
	if len(lane.flight) > 0 && !lane.flight[0].deadline.After(now) {
		lane.breakLink(model.ConnFailureTimeout)
	}
	for len(lane.waiting) > 0 && !lane.waiting[0].deadline.After(now) {
		lane.fail(lane.waiting[:1], model.ConnFailureTimeout)
		lane.waiting = lane.waiting[1:]
	}
}

// advance sends what waits, and opens a connection for it where there is none.
func (lane *lane) advance() {
	switch {
	case len(lane.waiting) == 0:
	case lane.link != nil:
		sent := lane.waiting
		lane.flight = append(lane.flight, sent...)
		lane.waiting = nil
		if err := lane.link.send(sent); err != nil {
			lane.breakLink(failReason(err))
		}
	case !lane.dialing:
		lane.dialing = true
		go lane.dial()
	}
}

func (lane *lane) dial() {
	ctx, cancel := context.WithTimeout(lane.context, lane.backend.spec.OpenTimeout)
	defer cancel()
	hijacked, err := dial(ctx, lane.backend.control, lane.address)
	result := dialResult{err: err}
	if err == nil {
		result.link = &link{hijacked: hijacked, limit: lane.backend.spec.MaxAnswer}
	}
	select {
	case lane.dialed <- result:
	case <-lane.context.Done():
		if result.link != nil {
			result.link.close()
		}
	}
}

func (lane *lane) breakLink(reason model.ConnFailure) {
	lane.fail(lane.flight, reason)
	lane.flight = nil
	lane.hangUp()
}

func (lane *lane) hangUp() {
	if lane.link != nil {
		lane.link.close()
		lane.link = nil
	}
}

func (lane *lane) fail(tasks []*task, reason model.ConnFailure) {
	for _, task := range tasks {
		lane.backend.inbox.Post(task.failed(reason))
	}
}

func (lane *lane) nextDeadline() (time.Time, bool) {
	switch {
	case len(lane.flight) > 0:
		return lane.flight[0].deadline, true
	case len(lane.waiting) > 0:
		return lane.waiting[0].deadline, true
	default:
		return time.Time{}, false
	}
}
