package writes

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// recheck evaluates the write again after the state of its group has changed.
func (write *write) recheck(group *state.Group) {
	replaced := group.Term() > write.term
	switch write.state {
	case writeAwaitingPrimary:
		write.acquire()
	case writeAcquiring:
		if replaced || write.writes.writablePrimary(group) == nil {
			write.writes.conns.CancelWait(write.waitID)
			write.waitID = 0
			write.acquire()
		}
	case writeExecuting:
		if replaced {
			write.abortExecution()
		}
	case writeCheckingRead:
		write.checkRead(group)
	case writeConfirming:
		write.checkAcknowledged(group)
	case writeEnded:
	}
}

// abortExecution closes the connection of a running execution whose primary was replaced
// and handles its answer as lost.
func (write *write) abortExecution() {
	write.writes.conns.Discard(write.conn)
	write.conn = 0
	if tx := write.job.Tx(); tx != nil && !write.settling {
		tx.Close()
	}
	write.answerLost()
}

// expire finishes the write when its deadline has passed.
func (write *write) expire() {
	inDoubt := write.inDoubt()
	awaitingPrimary := write.state == writeAwaitingPrimary
	write.stop()
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.DeadlineExceeded, Instance: write.instance, Reason: "deadline"}
	result.RetryAfter = write.writes.admission.RetryAfter(write.instance)
	switch {
	case inDoubt:
		result.Outcome = model.OutcomeUnknown
		result.Code = codes.OutcomeUnknown
	case awaitingPrimary:
		result.Code = codes.NoPrimary
	}
	write.writes.sessions.Finish(write.job, result)
}

// cancel handles the caller's request to cancel. A running execution is canceled at the
// instance, and its answer decides the outcome. A write that cannot have taken effect is
// finished immediately. A write in doubt continues.
func (write *write) cancel() {
	switch {
	case write.state == writeExecuting && !write.settling:
		write.writes.conns.Cancel(write.conn)
	case !write.inDoubt():
		write.stop()
		write.writes.sessions.Finish(write.job, route.ResultSpec{
			Outcome:  model.OutcomeNotRun,
			Code:     codes.Canceled,
			Instance: write.instance,
			Reason:   "canceled",
		})
	}
}

// inDoubt reports whether the write may have taken effect. A transaction has no effect
// before its commit is sent.
func (write *write) inDoubt() bool {
	if write.attemptInDoubt || write.state == writeConfirming {
		return true
	}
	return write.state == writeExecuting && (write.step == model.StepSingle || write.step == model.StepCommit)
}

// stop ends the write without a result. A statement that may commit continues to run, and
// its connection is released when it ends. The connection of another statement of an open
// transaction is closed.
func (write *write) stop() {
	switch {
	case write.state == writeAcquiring:
		write.writes.conns.CancelWait(write.waitID)
	case write.state == writeExecuting && !write.inDoubt():
		write.writes.conns.Discard(write.conn)
		write.job.Tx().Close()
	case write.state == writeExecuting && write.step == model.StepCommit:
		write.job.Tx().Close()
	}
	write.end()
}
