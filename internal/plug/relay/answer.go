package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// stallMargin is the time before the deadline of a write in which the loss of its answer
// counts as a stall of the primary.
const stallMargin = 20 * time.Millisecond

// ExecuteDone implements route.ConnUser.
func (task *task) ExecuteDone(done event.ExecuteDone) {
	task.relay.clearFailure(task.instance)
	task.recordEnded(true)
	task.observeMark(done.Mark())
	conn := task.conn
	switch {
	case task.step == model.StepConfirmPrimary:
		task.executeFirst()
	case !task.isCommit() && (task.step == model.StepFirst || task.step == model.StepNext):
		task.conn = 0
		task.relay.conns.Park(conn)
		task.finish(route.ResultSpec{Answer: done.Answer(), Reason: task.reason})
	case task.isCommit():
		task.conn = 0
		task.relay.conns.Release(conn, false)
		task.job.Tx().Close()
		task.succeed(done, task.job.Tx().Wrote())
	default:
		task.conn = 0
		task.relay.conns.Release(conn, false)
		task.succeed(done, task.writes())
	}
}

// succeed returns an answer to the caller. After a commit, the result contains the mark of
// the instance's log, which later reads of the session must cover.
func (task *task) succeed(done event.ExecuteDone, committed bool) {
	result := route.ResultSpec{Answer: done.Answer(), Reason: task.reason}
	if committed {
		task.relay.monitor(task.job.Group()).recordWrite(task.instance)
		result.Mark = done.Mark()
		task.awaitConfirmation(result)
		return
	}
	task.finish(result)
}

// observeMark records the mark of an answer that only the primary gives.
func (task *task) observeMark(mark model.Mark) {
	fromPrimary := task.step == model.StepConfirmPrimary || task.confirmed || task.requirement == requirePrimary && (task.step != model.StepCommit || task.job.Tx().Wrote())
	if group := task.groupState(); fromPrimary && group != nil {
		task.relay.observePrimary(group, task.instance, mark, task.sentAt)
	}
}

// ExecuteFailed implements route.ConnUser.
func (task *task) ExecuteFailed(failed event.ExecuteFailed) {
	task.conn = 0
	step := task.step
	task.releaseConn(failed.Conn(), step)
	task.recordEnded(failed.Class() == model.FailureStatement)
	if failed.Usable() {
		task.relay.answeredAt[task.instance] = task.relay.context.Now()
	}
	switch failed.Class() {
	case model.FailureStatement:
		task.statementFailed(failed)
		return
	case model.FailureLost:
		task.relay.recordFailure(task.instance)
		task.answerLost(step, true)
		return
	case model.FailureForwardLost:
		task.answerLost(step, false)
		return
	case model.FailureFenced:
		if group := task.groupState(); group != nil {
			task.relay.refutePrimary(group, task.instance)
		}
	case model.FailureBusy:
		task.recordRefused()
	case model.FailureLagging:
		task.relay.recordMissingMark(task.instance, task.after)
	case model.FailureNotSent:
		task.relay.recordFailure(task.instance)
	}
	task.statementNotRun(failed.Class(), step)
}

// releaseConn returns the connection of a failed execution to the pool, which ends an open
// transaction. The connection is reset before reuse if a transaction or a primary
// confirmation ran on it.
func (task *task) releaseConn(conn model.ConnID, step model.Step) {
	tx := task.job.Tx()
	inTx := tx != nil && step != model.StepConfirmPrimary
	task.relay.conns.Release(conn, inTx || step == model.StepConfirmPrimary)
	if inTx {
		tx.Close()
	}
}

// statementFailed returns the error that the instance gave for the statement to the caller.
// A single read is repeated once on another instance first, because the error may be
// specific to the instance.
func (task *task) statementFailed(failed event.ExecuteFailed) {
	if task.requirement == requireMark && task.step == model.StepSingle && !task.reran && task.hasAlternative() {
		task.reran = true
		task.relay.recordFailure(task.instance)
		task.retryElsewhere("the instance returned an error for the read")
		return
	}
	task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.Statement, Answer: failed.Answer(), Reason: task.reason})
}

// answerLost finishes or retries the statement after its answer was lost. byInstance reports
// whether the instance is known not to have answered.
func (task *task) answerLost(step model.Step, byInstance bool) {
	switch {
	case task.inDoubt():
		if byInstance && task.relay.context.Now() >= task.job.Deadline()-stallMargin {
			task.relay.monitor(task.job.Group()).recordStall(task.instance)
		}
		task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.OutcomeUnknown, Reason: "the answer was lost"})
	case task.resumed:
		task.failTx("connection lost")
	case task.requirement == requireMark && !task.relay.admission.TakeRetry(task.job.Group()):
		task.mayHaveRun = true
		task.refuse(codes.Overloaded, "retry budget exhausted")
	default:
		task.mayHaveRun = step != model.StepConfirmPrimary
		task.restart("the answer was lost", step)
	}
}

// statementNotRun finishes or retries a statement that the instance did not run.
func (task *task) statementNotRun(class model.FailureClass, step model.Step) {
	if task.resumed {
		task.failTx("refused within the transaction")
		return
	}
	elsewhere := task.requirement == requireMark && task.hasAlternative()
	if class == model.FailureBusy && !elsewhere {
		task.refuse(codes.Overloaded, "the instance has no slot")
		return
	}
	task.restart(failureReason(class), step)
}

// restart runs a statement again that has had no effect.
func (task *task) restart(reason string, step model.Step) {
	if tx := task.job.Tx(); tx != nil && step != model.StepConfirmPrimary {
		tx.Restart()
	}
	task.retryElsewhere(reason)
}

// failTx reports to the caller that a transaction was lost before its commit ran.
func (task *task) failTx(reason string) {
	task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TransactionLost, Reason: reason})
}

func failureReason(class model.FailureClass) string {
	switch class {
	case model.FailureLagging:
		return "the log of the instance lacks the mark"
	case model.FailureFenced:
		return "the instance is not the primary"
	case model.FailureBusy:
		return "the instance has no slot"
	case model.FailureLeaving:
		return "the instance is shutting down"
	case model.FailureForwardNotRun:
		return "the holder of the connection refused it"
	default:
		return "nothing was sent"
	}
}
