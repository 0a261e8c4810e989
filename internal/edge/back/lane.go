package back

import (
	"context"
	"sync"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// pipelineKind parts the control connections of an instance, so that probes that
// hang do not hold up an order.
type pipelineKind int

const (
	probePipeline pipelineKind = iota
	orderPipeline
)

type pipelineKey struct {
	kind    pipelineKind
	address string
}

// pipeline carries the probes or the orders of one instance over one connection,
// which it opens when it is needed. Queries are sent without waiting for the
// answers to those before. One goroutine runs the lane.
type pipeline struct {
	backend       *Backend
	address       string
	context       context.Context
	cancelContext context.CancelFunc

	mutex    sync.Mutex
	enqueued []*controlQuery
	wake     chan struct{}

	dialed  chan dialResult
	answers chan controlAnswer
	dialing bool
	conn    *controlConn
	// unsent holds the tasks that were not sent, flight those that were.
	unsent   []*controlQuery
	inFlight []*controlQuery
}

type dialResult struct {
	conn *controlConn
	err  error
}

func (backend *Backend) pipelineFor(kind pipelineKind, address string) *pipeline {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	key := pipelineKey{kind: kind, address: address}
	if found, ok := backend.pipelines[key]; ok {
		return found
	}
	ctx, end := context.WithCancel(context.Background())
	opened := &pipeline{
		backend:       backend,
		address:       address,
		context:       ctx,
		cancelContext: end,
		wake:          make(chan struct{}, 1),
		dialed:        make(chan dialResult),
		answers:       make(chan controlAnswer),
	}
	backend.pipelines[key] = opened
	go opened.run()
	return opened
}

func (lane *pipeline) enqueue(given *controlQuery) {
	lane.mutex.Lock()
	lane.enqueued = append(lane.enqueued, given)
	lane.mutex.Unlock()
	select {
	case lane.wake <- struct{}{}:
	default:
	}
}

func (lane *pipeline) stop() { lane.cancelContext() }

func (lane *pipeline) run() {
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	defer lane.closeConn()
	for {
		select {
		case <-lane.context.Done():
			return
		case <-lane.wake:
			lane.collectEnqueued()
		case result := <-lane.dialed:
			lane.handleDialed(result)
		case answer := <-lane.answers:
			lane.handleAnswer(answer)
		case <-expiry.C:
		}
		lane.expire(time.Now())
		lane.sendUnsent()
		if next, ok := lane.nextDeadline(); ok {
			expiry.Reset(time.Until(next))
		}
	}
}

func (lane *pipeline) collectEnqueued() {
	lane.mutex.Lock()
	defer lane.mutex.Unlock()
	lane.unsent = append(lane.unsent, lane.enqueued...)
	lane.enqueued = nil
}

func (lane *pipeline) handleDialed(result dialResult) {
	lane.dialing = false
	if result.err == nil {
		lane.conn = result.conn
		go lane.conn.readAnswers(lane.answers, lane.context.Done())
		return
	}
	if reason := connFailure(result.err); reason != model.ConnFailureTimeout {
		lane.fail(lane.unsent, reason)
		lane.unsent = nil
	}
}

func (lane *pipeline) handleAnswer(answer controlAnswer) {
	if answer.conn != lane.conn {
		return
	}
	if answer.err != nil {
		lane.failConn(connFailure(answer.err))
		return
	}
	if len(lane.inFlight) == 0 {
		return
	}
	answered := lane.inFlight[0]
	lane.inFlight = lane.inFlight[1:]
	lane.backend.inbox.Post(answered.answerEvent(answer.status, answer.accepted))
}

// expire fails the tasks whose time is over. A link that lets one expire is
// broken, and with it the tasks that were sent after that one.
func (lane *pipeline) expire(now time.Time) {
	if len(lane.inFlight) > 0 && !lane.inFlight[0].deadline.After(now) {
		lane.failConn(model.ConnFailureTimeout)
	}
	for len(lane.unsent) > 0 && !lane.unsent[0].deadline.After(now) {
		lane.fail(lane.unsent[:1], model.ConnFailureTimeout)
		lane.unsent = lane.unsent[1:]
	}
}

// sendUnsent sends what waits, and opens a connection for it where there is none.
func (lane *pipeline) sendUnsent() {
	switch {
	case len(lane.unsent) == 0:
	case lane.conn != nil:
		sent := lane.unsent
		lane.inFlight = append(lane.inFlight, sent...)
		lane.unsent = nil
		if err := lane.conn.send(sent); err != nil {
			lane.failConn(connFailure(err))
		}
	case !lane.dialing:
		lane.dialing = true
		go lane.dial()
	}
}

func (lane *pipeline) dial() {
	ctx, cancel := context.WithTimeout(lane.context, lane.backend.spec.OpenTimeout)
	defer cancel()
	hijacked, err := dial(ctx, lane.backend.control, lane.address)
	result := dialResult{err: err}
	if err == nil {
		result.conn = &controlConn{hijacked: hijacked, maxAnswerBytes: lane.backend.spec.MaxAnswerBytes}
	}
	select {
	case lane.dialed <- result:
	case <-lane.context.Done():
		if result.conn != nil {
			result.conn.close()
		}
	}
}

func (lane *pipeline) failConn(reason model.ConnFailure) {
	lane.fail(lane.inFlight, reason)
	lane.inFlight = nil
	lane.closeConn()
}

func (lane *pipeline) closeConn() {
	if lane.conn != nil {
		lane.conn.close()
		lane.conn = nil
	}
}

func (lane *pipeline) fail(tasks []*controlQuery, reason model.ConnFailure) {
	for _, task := range tasks {
		lane.backend.inbox.Post(task.failureEvent(reason))
	}
}

func (lane *pipeline) nextDeadline() (time.Time, bool) {
	switch {
	case len(lane.inFlight) > 0:
		return lane.inFlight[0].deadline, true
	case len(lane.unsent) > 0:
		return lane.unsent[0].deadline, true
	default:
		return time.Time{}, false
	}
}
