package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// stallMargin is how long before a deadline an answer that is missing counts as late.
const stallMargin = 20 * time.Millisecond

// ExecuteDone implements route.Taker.
func (task *task) ExecuteDone(done event.ExecuteDone) {
	task.relay.clearFailure(task.instance)
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

// succeed passes an answer on. After a commit the session is owed what the
// instance's log held then.
func (task *task) succeed(done event.ExecuteDone, committed bool) {
	result := route.ResultSpec{Answer: done.Answer(), Reason: task.reason}
	if committed {
		task.relay.monitor(task.job.Group()).recordWrite(task.instance)
		result.Mark = done.Mark()
	}
	task.finish(result)
}

// observeMark takes the mark of an answer that only the leader gives.
func (task *task) observeMark(mark model.Mark) {
	led := task.step == model.StepConfirmPrimary || task.requirement == requirePrimary && (task.step != model.StepCommit || task.job.Tx().Wrote())
	if view := task.view(); led && view != nil {
		task.relay.observePrimary(view, task.instance, mark, task.sentAt)
	}
}

// ExecuteFailed implements route.Taker.
func (task *task) ExecuteFailed(failed event.ExecuteFailed) {
	task.conn = 0
	step := task.step
	task.releaseConn(failed.Conn(), step)
	switch failed.Class() {
	case model.FailureStatement:
		task.statementFailed(failed)
		return
	case model.FailureLost:
		task.relay.recordFailure(task.instance)
		task.answerLost(step)
		return
	case model.FailureFenced:
		if view := task.view(); view != nil {
			task.relay.refutePrimary(view, task.instance)
		}
	case model.FailureLagging:
		task.relay.recordMissingMark(task.instance, task.after)
	case model.FailureNotSent:
		task.relay.recordFailure(task.instance)
	}
	task.statementNotRun(failed.Class(), step)
}

// releaseConn returns the connection of a failed execution. A transaction ends with it.
func (task *task) releaseConn(conn model.ConnID, step model.Step) {
	tx := task.job.Tx()
	inTx := tx != nil && step != model.StepConfirmPrimary
	task.relay.conns.Release(conn, inTx || step == model.StepConfirmPrimary)
	if inTx {
		tx.Close()
	}
}

// statementFailed passes an error on that the instance gave after it ran the statement. A
// single read is run once more elsewhere, since the fault may be the instance's.
func (task *task) statementFailed(failed event.ExecuteFailed) {
	if task.requirement == requireMark && task.step == model.StepSingle && !task.reran && task.hasAlternative() {
		task.reran = true
		task.relay.recordFailure(task.instance)
		task.retryElsewhere("the instance failed the read")
		return
	}
	task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.Statement, Answer: failed.Answer(), Reason: task.reason})
}

// answerLost decides what follows from a answerLost answer.
func (task *task) answerLost(step model.Step) {
	switch {
	case task.inDoubt():
		if task.relay.context.Now() >= task.job.Deadline()-stallMargin {
			task.relay.monitor(task.job.Group()).recordStall(task.instance)
		}
		task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.OutcomeUnknown, Reason: "the answer was lost"})
	case task.resumed:
		task.loseTx("connection lost")
	default:
		task.restart("the answer was lost", step)
	}
}

// statementNotRun decides what follows when nothing ran.
func (task *task) statementNotRun(class model.FailureClass, step model.Step) {
	if task.resumed {
		task.loseTx("refused within the transaction")
		return
	}
	elsewhere := task.requirement == requireMark && task.hasAlternative()
	if class == model.FailureBusy && !elsewhere {
		task.refuse(codes.Overloaded, "the instance has no slot")
		return
	}
	task.restart(failureReason(class), step)
}

// restart runs a statement again of which nothing stands.
func (task *task) restart(reason string, step model.Step) {
	if tx := task.job.Tx(); tx != nil && step != model.StepConfirmPrimary {
		tx.Restart()
	}
	task.retryElsewhere(reason)
}

// loseTx ends a transaction whose commit did not run.
func (task *task) loseTx(reason string) {
	task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TransactionLost, Reason: reason})
}

func failureReason(class model.FailureClass) string {
	switch class {
	case model.FailureLagging:
		return "the log of the instance lacks the mark"
	case model.FailureFenced:
		return "the instance does not lead"
	case model.FailureBusy:
		return "the instance has no slot"
	case model.FailureLeaving:
		return "the instance is shutting down"
	default:
		return "nothing was sent"
	}
}
