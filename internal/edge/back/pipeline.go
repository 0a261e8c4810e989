package back

import (
	"context"
	"sync"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// pipelineKind selects one of the two control connections of an instance.
// Probes and orders use separate connections, so that a probe without an answer
// does not delay an order.
type pipelineKind int

const (
	probePipeline pipelineKind = iota
	orderPipeline
)

type pipelineKey struct {
	kind    pipelineKind
	address string
}

// pipeline sends the probes or the orders for one instance over one control
// connection, which it opens on demand. Queries are pipelined: each is sent
// without waiting for the answers to earlier ones. One goroutine runs the
// pipeline and is the only user of the fields from dialing on.
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
	// unsent holds the queries that wait for a connection, inFlight the queries
	// that were sent and not answered, both in order of arrival.
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
	ctx, cancel := context.WithCancel(context.Background())
	opened := &pipeline{
		backend:       backend,
		address:       address,
		context:       ctx,
		cancelContext: cancel,
		wake:          make(chan struct{}, 1),
		dialed:        make(chan dialResult),
		answers:       make(chan controlAnswer),
	}
	backend.pipelines[key] = opened
	go opened.run()
	return opened
}

func (pipeline *pipeline) enqueue(queued *controlQuery) {
	pipeline.mutex.Lock()
	pipeline.enqueued = append(pipeline.enqueued, queued)
	pipeline.mutex.Unlock()
	select {
	case pipeline.wake <- struct{}{}:
	default:
	}
}

func (pipeline *pipeline) stop() { pipeline.cancelContext() }

func (pipeline *pipeline) run() {
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	defer pipeline.closeConn()
	for {
		select {
		case <-pipeline.context.Done():
			return
		case <-pipeline.wake:
			pipeline.collectEnqueued()
		case result := <-pipeline.dialed:
			pipeline.handleDialed(result)
		case answer := <-pipeline.answers:
			pipeline.handleAnswer(answer)
		case <-expiry.C:
		}
		pipeline.expire(time.Now())
		pipeline.sendUnsent()
		if next, ok := pipeline.nextDeadline(); ok {
			expiry.Reset(time.Until(next))
		}
	}
}

func (pipeline *pipeline) collectEnqueued() {
	pipeline.mutex.Lock()
	defer pipeline.mutex.Unlock()
	pipeline.unsent = append(pipeline.unsent, pipeline.enqueued...)
	pipeline.enqueued = nil
}

func (pipeline *pipeline) handleDialed(result dialResult) {
	pipeline.dialing = false
	if result.err == nil {
		pipeline.conn = result.conn
		go pipeline.conn.readAnswers(pipeline.answers, pipeline.context.Done())
		return
	}
	if reason := connFailure(result.err); reason != model.ConnFailureTimeout {
		pipeline.fail(pipeline.unsent, reason)
		pipeline.unsent = nil
	}
}

func (pipeline *pipeline) handleAnswer(answer controlAnswer) {
	if answer.conn != pipeline.conn {
		return
	}
	if answer.err != nil {
		pipeline.failConn(connFailure(answer.err))
		return
	}
	if len(pipeline.inFlight) == 0 {
		return
	}
	answered := pipeline.inFlight[0]
	pipeline.inFlight = pipeline.inFlight[1:]
	pipeline.backend.inbox.Post(answered.answerEvent(answer.status, answer.accepted))
}

// expire fails the queries whose deadline has passed. If the oldest query in
// flight expires, the connection is closed and all queries in flight fail,
// because answers arrive in order.
func (pipeline *pipeline) expire(now time.Time) {
	if len(pipeline.inFlight) > 0 && !pipeline.inFlight[0].deadline.After(now) {
		pipeline.failConn(model.ConnFailureTimeout)
	}
	for len(pipeline.unsent) > 0 && !pipeline.unsent[0].deadline.After(now) {
		pipeline.fail(pipeline.unsent[:1], model.ConnFailureTimeout)
		pipeline.unsent = pipeline.unsent[1:]
	}
}

// sendUnsent sends the unsent queries, or starts to open a connection if there is none.
func (pipeline *pipeline) sendUnsent() {
	switch {
	case len(pipeline.unsent) == 0:
	case pipeline.conn != nil:
		sent := pipeline.unsent
		pipeline.inFlight = append(pipeline.inFlight, sent...)
		pipeline.unsent = nil
		if err := pipeline.conn.send(sent); err != nil {
			pipeline.failConn(connFailure(err))
		}
	case !pipeline.dialing:
		pipeline.dialing = true
		go pipeline.dial()
	}
}

func (pipeline *pipeline) dial() {
	ctx, cancel := context.WithTimeout(pipeline.context, pipeline.backend.spec.OpenTimeout)
	defer cancel()
	hijacked, err := dial(ctx, pipeline.backend.control, pipeline.address)
	result := dialResult{err: err}
	if err == nil {
		result.conn = &controlConn{hijacked: hijacked, maxAnswerBytes: pipeline.backend.spec.MaxAnswerBytes}
	}
	select {
	case pipeline.dialed <- result:
	case <-pipeline.context.Done():
		if result.conn != nil {
			result.conn.close()
		}
	}
}

func (pipeline *pipeline) failConn(reason model.ConnFailure) {
	pipeline.fail(pipeline.inFlight, reason)
	pipeline.inFlight = nil
	pipeline.closeConn()
}

func (pipeline *pipeline) closeConn() {
	if pipeline.conn != nil {
		pipeline.conn.close()
		pipeline.conn = nil
	}
}

func (pipeline *pipeline) fail(queries []*controlQuery, reason model.ConnFailure) {
	for _, query := range queries {
		pipeline.backend.inbox.Post(query.failureEvent(reason))
	}
}

func (pipeline *pipeline) nextDeadline() (time.Time, bool) {
	switch {
	case len(pipeline.inFlight) > 0:
		return pipeline.inFlight[0].deadline, true
	case len(pipeline.unsent) > 0:
		return pipeline.unsent[0].deadline, true
	default:
		return time.Time{}, false
	}
}
