package reads

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

type readState int

const (
	// readAwaitingInstance: no instance can serve the read as far as is known.
	readAwaitingInstance readState = iota
	// readAcquiring: the read waits for a connection.
	readAcquiring
	// readExecuting: the instance runs the statement.
	readExecuting
	// readVerifying: the answer is held until it is proved.
	readVerifying
	// readCatchingUp: the instance of the open transaction has to catch up.
	readCatchingUp
	readEnded
)

const (
	// minTimeout is the least time that the adapter is given for an execution.
	minTimeout = time.Millisecond
	// acquireRetryDelay is the time after which a read looks for an instance again when
	// the one it chose cannot be connected to.
	acquireRetryDelay = 2 * time.Millisecond
	// reasonOpenTransaction is the reason for the instance of a further statement of a transaction.
	reasonOpenTransaction = "open transaction"
)

// read is a running read. It implements route.Taker and route.Item.
type read struct {
	reads     *Reads
	job       *route.Job
	readCheck route.ReadCheck
	state     readState
	listIndex int
	waitID    route.WaitID
	conn      model.ConnID
	instance  model.InstanceID
	term      model.Term
	avoided   model.InstanceID
	mark      model.Mark
	answer    model.Payload
	reason    string
	// silentSince is when the instance was first seen silent during the execution.
	silentSince time.Duration
}

// Group implements route.Item.
func (read *read) Group() model.GroupID { return read.job.Group() }

// ListIndex implements route.Item.
func (read *read) ListIndex() int { return read.listIndex }

// SetListIndex implements route.Item.
func (read *read) SetListIndex(place int) { read.listIndex = place }

func (read *read) isDescribe() bool { return read.job.Request().Op() == model.OpDescribe }

func (read *read) view() *state.Group { return read.reads.context.State().Group(read.job.Group()) }

// acquire chooses an instance and asks for a connection to it.
func (read *read) acquire() {
	instance, reason := read.reads.chooseInstance(read)
	if instance == "" {
		read.state = readAwaitingInstance
		read.requestReports()
		return
	}
	read.instance = instance
	read.term = read.view().Term()
	read.reason = reason
	read.state = readAcquiring
	ticket := read.reads.conns.Acquire(route.SlotRequest{Instance: instance, Job: read.job}, read)
	if ticket != 0 {
		read.waitID = ticket
	}
}

// requestReports asks for reports that are newer than all at hand.
func (read *read) requestReports() {
	read.reads.probes.RequestReports(read.job.Group(), read.reads.context.Now(), read.job.Arrived())
}

// resume runs a further statement of an open transaction.
func (read *read) resume() {
	tx := read.job.Tx()
	if tx.Conn() == 0 || !read.reads.conns.Resume(tx.Conn(), read) {
		tx.Close()
		read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TransactionLost, Reason: "connection lost"})
		return
	}
	read.conn = tx.Conn()
	read.instance = tx.Instance()
	read.reason = reasonOpenTransaction
	read.execute(model.StepNext)
}

// ConnGranted implements route.Taker.
func (read *read) ConnGranted(conn model.ConnID) {
	read.waitID = 0
	read.conn = conn
	step := model.StepSingle
	if tx := read.job.Tx(); tx != nil {
		tx.Open(conn, read.instance, read.term)
		step = model.StepFirst
	}
	read.execute(step)
}

func (read *read) execute(step model.Step) {
	if read.isDescribe() {
		step = model.StepDescribe
	}
	read.state = readExecuting
	read.silentSince = 0
	read.reads.conns.Execute(read.conn, model.NewWork(model.WorkSpec{
		Step:      step,
		Statement: read.job.Request().Statement(),
		Timeout:   max(minTimeout, read.job.Deadline()-read.reads.context.Now()),
	}))
}

// ConnDenied implements route.Taker.
func (read *read) ConnDenied(code codes.Code, retryAfter time.Duration) {
	read.waitID = 0
	if code == codes.NoReplica {
		read.avoided = read.instance
		read.state = readAwaitingInstance
		read.requestReports()
		read.reads.context.Timers().After(acquireRetryDelay, read.retryAcquire)
		return
	}
	read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, RetryAfter: retryAfter, Reason: "no connection"})
}

func (read *read) retryAcquire() {
	if read.state == readAwaitingInstance {
		read.acquire()
	}
}

// ConnLost implements route.Taker.
func (read *read) ConnLost(model.ConnID) {
	if tx := read.job.Tx(); tx != nil {
		tx.Close()
	}
}

// ExecuteDone implements route.Taker.
func (read *read) ExecuteDone(done event.ExecuteDone) {
	read.mark = done.Mark()
	read.answer = done.Answer()
	if read.job.Tx() != nil {
		read.reads.conns.Park(read.conn)
	} else {
		read.reads.conns.Release(read.conn, false)
	}
	read.conn = 0
	if read.isDescribe() {
		read.finish(route.ResultSpec{Answer: read.answer, Reason: read.reason})
		return
	}
	read.state = readVerifying
	if view := read.view(); view != nil {
		read.verify(view)
		return
	}
	read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.NoReplica, Reason: "group is listed no more"})
}

// ExecuteFailed implements route.Taker.
func (read *read) ExecuteFailed(failed event.ExecuteFailed) {
	conn := read.conn
	read.conn = 0
	if failed.Class() == model.FailureStatement {
		read.releaseConn(conn)
		read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.Statement, Answer: failed.Answer(), Reason: read.reason})
		return
	}
	read.releaseConn(conn)
	read.retry()
}

// releaseConn returns a usable connection after a failure and closes the transaction.
func (read *read) releaseConn(conn model.ConnID) {
	tx := read.job.Tx()
	read.reads.conns.Release(conn, tx != nil)
	if tx != nil {
		tx.Close()
	}
}

// retry runs a read whose answer was lost at another instance. A further
// statement of a transaction cannot move.
func (read *read) retry() {
	tx := read.job.Tx()
	if tx != nil && read.reason == reasonOpenTransaction {
		read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TransactionLost, Reason: "connection lost"})
		return
	}
	if !read.reads.admission.TakeRetry(read.job.Group()) {
		read.finish(route.ResultSpec{
			Outcome:    model.OutcomeNotRun,
			Code:       codes.Overloaded,
			RetryAfter: read.reads.admission.RetryAfter(read.instance),
			Reason:     "retry budget used up",
		})
		return
	}
	if tx != nil {
		tx.Restart()
	}
	read.log("retry", "the answer was lost")
	read.avoided = read.instance
	read.acquire()
}

// log writes a decision that the result alone does not show.
func (read *read) log(name, reason string) {
	read.reads.context.Emit(event.NewLogDecision(model.Decision{
		Name:       name,
		Caller:     read.job.Request().Caller(),
		Deployment: read.job.Deployment().Name(),
		Kind:       read.job.Kind().Name(),
		Group:      read.job.Group(),
		Instance:   read.instance,
		Term:       read.term,
		Reason:     reason,
	}))
}

func (read *read) finish(result route.ResultSpec) {
	result.Instance = read.instance
	read.end()
	read.reads.sessions.Finish(read.job, result)
}

func (read *read) end() {
	read.state = readEnded
	delete(read.reads.runningBySeq, read.job.Seq())
	read.reads.runningByGroup.Remove(read)
}
