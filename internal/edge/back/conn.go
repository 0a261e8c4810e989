package back

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/peek"
)

// commandQueueSize is the capacity of a connection's command queue. The kernel
// sends a connection one command at a time.
const commandQueueSize = 4

// commandKind selects the operation that the goroutine of a connection runs.
type commandKind int

const (
	commandExecute commandKind = iota
	commandReset
	commandCheck
)

type command struct {
	kind    commandKind
	execute event.Execute
}

// conn is a data connection. A single goroutine reads and writes it.
type conn struct {
	backend       *Backend
	id            model.ConnID
	address       string
	commands      chan command
	context       context.Context
	cancelContext context.CancelFunc

	hijacked *pgconn.HijackedConn
	peeker   *peek.Peeker

	// idle is true while the goroutine waits for a command.
	idle atomic.Bool

	mutex  sync.Mutex
	closed bool

	// cancelMutex guards running and canceled. It is held while a cancel request
	// is in progress, so that the request cannot cancel the next execution.
	cancelMutex sync.Mutex
	running     model.ExecID
	// canceled is the last execution that was canceled while it was not running.
	canceled model.ExecID
}

func newConn(backend *Backend, action event.OpenConn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		backend:       backend,
		id:            action.Conn(),
		address:       action.Address(),
		commands:      make(chan command, commandQueueSize),
		context:       ctx,
		cancelContext: cancel,
	}
}

// enqueue queues a command. It returns false if the connection is closed or the
// queue is full; the connection then posts no answer to the command.
func (conn *conn) enqueue(queued command) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closed {
		return false
	}
	select {
	case conn.commands <- queued:
		return true
	default:
		return false
	}
}

// checkIdle queues a check of the connection unless the connection is in use.
func (conn *conn) checkIdle() {
	if conn.idle.Load() && len(conn.commands) == 0 {
		conn.enqueue(command{kind: commandCheck})
	}
}

// stop closes the connection without a ConnClosed event.
func (conn *conn) stop() { conn.cancelContext() }

func (conn *conn) run() {
	defer conn.backend.removeConn(conn.id)
	if !conn.open() {
		conn.failQueued()
		return
	}
	release := context.AfterFunc(conn.context, func() { _ = conn.hijacked.Conn.Close() })
	defer release()
	conn.backend.inbox.Post(event.NewConnOpened(conn.id))
	conn.serve()
	conn.failQueued()
	_ = conn.hijacked.Conn.Close()
	if conn.context.Err() == nil {
		conn.backend.inbox.Post(event.NewConnClosed(conn.id))
	}
}

func (conn *conn) open() bool {
	ctx, cancel := context.WithTimeout(conn.context, conn.backend.spec.OpenTimeout)
	defer cancel()
	hijacked, err := dial(ctx, conn.backend.data, conn.address)
	if err != nil {
		conn.backend.inbox.Post(event.NewConnFailed(conn.id, connFailure(err)))
		return false
	}
	conn.hijacked, conn.peeker = hijacked, peek.New(hijacked.Conn)
	return true
}

// serve runs commands until the connection is unusable or stopped.
func (conn *conn) serve() {
	for {
		conn.idle.Store(true)
		select {
		case <-conn.context.Done():
			return
		case queued := <-conn.commands:
			conn.idle.Store(false)
			if !conn.handle(queued) {
				return
			}
		}
	}
}

// handle runs a command. It returns false if the connection is unusable afterwards.
func (conn *conn) handle(queued command) bool {
	switch queued.kind {
	case commandCheck:
		return conn.noUnreadInput()
	case commandReset:
		return conn.reset()
	default:
		return conn.execute(queued.execute)
	}
}

// noUnreadInput reports whether the connection is open and has no input beyond
// the answers that were read. Unsolicited input could be mistaken for the answer
// to the next execution.
func (conn *conn) noUnreadInput() bool {
	return conn.hijacked.Frontend.ReadBufferLen() == 0 && conn.peeker.OpenWithoutInput()
}

func (conn *conn) reset() bool {
	messages := resetMessages(conn.hijacked.TxStatus)
	err := conn.send(messages, conn.backend.spec.OpenTimeout)
	if err == nil {
		err = conn.readResetAnswers(len(messages))
	}
	ok := err == nil
	conn.backend.inbox.Post(event.NewResetDone(conn.id, ok))
	return ok
}

// readResetAnswers reads the given number of answers to resetMessages.
func (conn *conn) readResetAnswers(answers int) error {
	for range answers {
		reader := newReader(conn.hijacked, 0, conn.backend.spec.MaxAnswerBytes)
		if err := reader.readUntilReady(); err != nil {
			return err
		}
		if reader.failure != nil {
			return errors.Errorf("reset connection: %s", reader.failure.Message)
		}
	}
	return nil
}

// execute runs a Work and posts its answer. It returns false if the connection
// is unusable afterwards.
func (conn *conn) execute(execute event.Execute) bool {
	var result outcome
	if conn.startExecution(execute.Exec()) {
		result = conn.runWork(execute.Work())
	} else {
		result = statementFailure(sqlStateQueryCanceled, "the statement was canceled before it ran", true)
	}
	conn.endExecution()
	if result.succeeded {
		conn.backend.inbox.Post(event.NewExecuteDone(execute.Exec(), conn.id, result.mark, result.answer))
	} else {
		conn.backend.inbox.Post(event.NewExecuteFailed(
			execute.Exec(), conn.id, result.class, result.reusable && conn.hijacked.TxStatus == txIdle, result.mark, result.answer))
	}
	return result.reusable
}

// send writes messages and sets a deadline that also covers reading the answer.
func (conn *conn) send(messages []pgproto3.FrontendMessage, timeout time.Duration) error {
	if err := conn.hijacked.Conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "set deadline of execution")
	}
	for _, message := range messages {
		conn.hijacked.Frontend.Send(message)
	}
	return errors.Wrap(conn.hijacked.Frontend.Flush(), "send execution")
}

// startExecution returns false if the execution has already been canceled.
func (conn *conn) startExecution(exec model.ExecID) bool {
	conn.cancelMutex.Lock()
	defer conn.cancelMutex.Unlock()
	if conn.canceled == exec {
		return false
	}
	conn.running = exec
	return true
}

func (conn *conn) endExecution() {
	conn.cancelMutex.Lock()
	defer conn.cancelMutex.Unlock()
	conn.running = 0
}

// failQueued closes the command queue and fails the commands in it.
func (conn *conn) failQueued() {
	conn.mutex.Lock()
	conn.closed = true
	conn.mutex.Unlock()
	for {
		select {
		case queued := <-conn.commands:
			conn.failCommand(queued)
		default:
			return
		}
	}
}

func (conn *conn) failCommand(queued command) {
	switch queued.kind {
	case commandCheck:
	case commandReset:
		conn.backend.inbox.Post(event.NewResetDone(conn.id, false))
	default:
		conn.backend.inbox.Post(event.NewExecuteFailed(
			queued.execute.Exec(), conn.id, model.FailureNotSent, false, model.Mark{}, nil))
	}
}

// cancel sends a cancel request to the instance if the execution is running, and
// otherwise prevents the execution from starting.
func (conn *conn) cancel(exec model.ExecID) {
	conn.cancelMutex.Lock()
	defer conn.cancelMutex.Unlock()
	if conn.running != exec {
		conn.canceled = exec
		return
	}
	_ = sendCancel(conn.hijacked, conn.backend.spec.CancelTimeout)
}
