package writes

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// recheck takes new reports of the group into account.
func (write *write) recheck(view *state.Group) {
	replaced := view.Term() > write.term
	switch write.state {
	case writeAwaitingPrimary:
		write.acquireConn()
	case writeAcquiring:
		if replaced || write.writes.writablePrimary(view) == nil {
			write.writes.conns.CancelWait(write.waitID)
			write.waitID = 0
			write.acquireConn()
		}
	case writeExecuting:
		if replaced {
			write.abortExecution()
		}
	case writeCheckingRead:
		write.checkRead(view)
	case writeConfirming:
		write.checkAcknowledged(view)
	case writeEnded:
	}
}

// abortExecution gives up an execution whose primary was replaced.
func (write *write) abortExecution() {
	write.writes.conns.Discard(write.conn)
	write.conn = 0
	if tx := write.job.Tx(); tx != nil && !write.settling {
		tx.Close()
	}
	write.answerLost()
}

// expire finishes the write at its deadline.
func (write *write) expire() {
	doubt := write.inDoubt()
	seeking := write.state == writeAwaitingPrimary
	write.stop()
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.DeadlineExceeded, Instance: write.instance, Reason: "deadline"}
	result.RetryAfter = write.writes.admission.RetryAfter(write.instance)
	switch {
	case doubt:
		result.Outcome = model.OutcomeUnknown
		result.Code = codes.OutcomeUnknown
	case seeking:
		result.Code = codes.NoPrimary
	}
	write.writes.sessions.Finish(write.job, result)
}

// cancel ends a write that was not sent. What runs is canceled at the instance
// and answers for itself; a result that is on its way is awaited.
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

// inDoubt reports whether the write may have taken effect. Nothing of a
// transaction whose commit was not sent has.
func (write *write) inDoubt() bool {
	if write.attemptInDoubt || write.state == writeConfirming {
		return true
	}
	return write.state == writeExecuting && (write.step == model.StepSingle || write.step == model.StepCommit)
}

// stop ends the write without a result. A statement that may commit runs on and
// its connection is given back after it; one of an open transaction is cut off.
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
