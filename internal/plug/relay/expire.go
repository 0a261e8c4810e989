package relay

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// expire finishes the task because its deadline has passed.
func (task *task) expire() {
	lastState := task.state
	task.stop()
	switch {
	case lastState == taskWithheld:
		task.finishUnconfirmed("deadline before the commit was confirmed")
	case lastState == taskExecuting && task.inDoubt():
		if !task.forwarded { // else the holder of the connection may be the one that is silent
			task.relay.monitor(task.job.Group()).recordStall(task.instance)
		}
		task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.OutcomeUnknown, Reason: "deadline while the statement ran"})
	case lastState == taskExecuting && task.job.Tx() != nil:
		// stop closed the connection, which ended the transaction.
		task.failTx("deadline while a statement of the transaction ran")
	case lastState == taskExecuting:
		task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.DeadlineExceeded, Reason: "deadline while the statement ran"})
	case task.requirement == requireMark:
		task.refuse(codes.NoReplica, "deadline: "+task.reason)
	default:
		task.refuse(codes.NoPrimary, "deadline while no primary accepted the statement")
	}
}

// inDoubt reports whether the effect of the running statement is unknown until its answer
// arrives. A statement within a transaction has no effect before the commit.
func (task *task) inDoubt() bool {
	switch task.step {
	case model.StepCommit:
		return task.job.Tx().Wrote()
	case model.StepSingle:
		return task.writes()
	default:
		return false
	}
}

func (task *task) refuse(code codes.Code, reason string) {
	task.finish(route.ResultSpec{
		Outcome:    model.OutcomeNotRun,
		Code:       code,
		RetryAfter: task.relay.admission.RetryAfter(task.instance),
		Reason:     reason,
	})
}

// stop ends the task's wait for a connection or closes the connection on which the task
// runs.
func (task *task) stop() {
	task.recordEnded(false)
	switch task.state {
	case taskAcquiring:
		task.relay.conns.CancelWait(task.waitID)
	case taskConfirmingPrimary, taskExecuting:
		task.relay.conns.Discard(task.conn)
		if tx := task.job.Tx(); tx != nil {
			tx.Close()
		}
	case taskWithheld:
		task.endConfirmation()
	case taskAwaitingInstance, taskEnded:
	}
	task.conn = 0
	task.state = taskEnded
}
