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
	// readAwaitingInstance: no instance is known to be able to serve the read.
	readAwaitingInstance readState = iota
	// readAcquiring: the read waits for a connection.
	readAcquiring
	// readExecuting: the instance runs the statement.
	readExecuting
	// readVerifying: the answer is held back until status reports confirm it.
	readVerifying
	// readCatchingUp: the read waits until the instance of its transaction has caught up.
	readCatchingUp
	readEnded
)

const (
	// minTimeout is the lower bound of an execution's timeout.
	minTimeout = time.Millisecond
	// acquireRetryDelay is the delay before another instance is chosen after the chosen
	// one could not be reached.
	acquireRetryDelay = 2 * time.Millisecond
	// reasonOpenTransaction is the logged reason for the instance of a further statement
	// of a transaction.
	reasonOpenTransaction = "open transaction"
)

// read is a running read. It implements route.ConnUser and route.RunningRequest.
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
	// avoided is the instance that last failed this read. It counts as more heavily loaded.
	avoided model.InstanceID
	mark    model.Mark
	answer  model.Payload
	// reason is the logged reason for the choice of the instance.
	reason string
	// silentSince is when the instance was first found silent during the execution, or 0.
	silentSince time.Duration
}

// Group implements route.RunningRequest.
func (read *read) Group() model.GroupID { return read.job.Group() }

// ListIndex implements route.RunningRequest.
func (read *read) ListIndex() int { return read.listIndex }

// RequestID implements route.IdentifiedUser.
func (read *read) RequestID() string { return read.job.LoggedID() }

// SetListIndex implements route.RunningRequest.
func (read *read) SetListIndex(index int) { read.listIndex = index }

func (read *read) isDescribe() bool { return read.job.Request().Op() == model.OpDescribe }

// groupState returns the state of the group, or nil if the group is not listed.
func (read *read) groupState() *state.Group {
	return read.reads.context.State().Group(read.job.Group())
}

// acquire chooses an instance and requests a connection to it. If there is none, the read
// waits for new reports.
func (read *read) acquire() {
	instance, reason := read.reads.chooseInstance(read)
	if instance == "" {
		read.state = readAwaitingInstance
		read.requestReports()
		return
	}
	read.instance = instance
	read.term = read.groupState().Term()
	read.reason = reason
	read.state = readAcquiring
	waitID := read.reads.conns.Acquire(route.SlotRequest{Instance: instance, Job: read.job}, read)
	if waitID != 0 {
		read.waitID = waitID
	}
}

// requestReports requests reports whose probes are sent from now on.
func (read *read) requestReports() {
	read.reads.probes.RequestReports(read.job.Group(), read.reads.context.Now(), read.job.Arrived())
}

// resume runs a further statement of an open transaction on the transaction's connection.
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

// ConnGranted implements route.ConnUser.
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

// ConnDenied implements route.ConnUser.
func (read *read) ConnDenied(denial route.Denial) {
	read.waitID = 0
	if denial.Code == codes.NoReplica {
		read.avoided = read.instance
		read.state = readAwaitingInstance
		read.requestReports()
		read.reads.context.Timers().After(acquireRetryDelay, read.retryAcquire)
		return
	}
	read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: denial.Code, RetryAfter: denial.RetryAfter, Reason: denial.Reason})
}

func (read *read) retryAcquire() {
	if read.state == readAwaitingInstance {
		read.acquire()
	}
}

// ConnLost implements route.ConnUser.
func (read *read) ConnLost(model.ConnID) {
	if tx := read.job.Tx(); tx != nil {
		tx.Close()
	}
}

// ExecuteDone implements route.ConnUser.
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
	if group := read.groupState(); group != nil {
		read.verify(group)
		return
	}
	read.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.NoReplica, Reason: "group is no longer listed"})
}

// ExecuteFailed implements route.ConnUser.
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

// releaseConn returns the connection of a failed execution to the pool and closes the
// transaction. The connection of a transaction is reset before reuse.
func (read *read) releaseConn(conn model.ConnID) {
	tx := read.job.Tx()
	read.reads.conns.Release(conn, tx != nil)
	if tx != nil {
		tx.Close()
	}
}

// retry runs a read whose answer was lost again, on another instance if possible. A further
// statement of a transaction is bound to its connection and fails instead.
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
			Reason:     "retry budget exhausted",
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

// log logs a decision that is not visible in the result.
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
