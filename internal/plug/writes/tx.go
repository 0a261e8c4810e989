package writes

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// resume runs a further statement or the commit of an open transaction.
func (write *write) resume() {
	tx := write.job.Tx()
	view := write.view()
	write.instance = tx.Instance()
	write.term = tx.Term()
	if view == nil || view.Term() != tx.Term() {
		write.loseTx("primary replaced")
		return
	}
	if tx.Conn() == 0 || !write.writes.conns.Resume(tx.Conn(), write) {
		tx.Close()
		write.loseTx("connection lost")
		return
	}
	write.conn = tx.Conn()
	write.execute(write.nextStep())
}

func (write *write) nextStep() model.Step {
	switch write.job.Request().Op() {
	case model.OpCommit:
		return model.StepCommit
	case model.OpDescribe:
		return model.StepDescribe
	default:
		return model.StepNext
	}
}

// stepDone handles the answer to a statement of an open transaction. That of a
// read kind is held until it is proved.
func (write *write) stepDone(done event.ExecuteDone) {
	write.writes.conns.Park(write.conn)
	write.conn = 0
	write.result = route.ResultSpec{Answer: done.Answer(), Reason: "open transaction"}
	if write.step == model.StepDescribe || write.job.Kind().Access() == model.AccessWrite {
		write.finish(write.result)
		return
	}
	write.mark = done.Mark()
	write.state = writeProving
	write.prove(write.view())
}

// prove passes the answer of a read within the transaction on once it is proved.
// The primary of the current term is recent enough; an older one never is.
func (write *write) prove(view *state.Group) {
	switch {
	case view == nil || view.Term() != write.term:
		write.loseTx("primary replaced")
	case write.judge.Verdict(view, write.mark, write.writes.context.Now()) == route.VerdictProved:
		write.finish(write.result)
	default:
		write.demand()
	}
}

// observed takes new reports of the group into account.
func (write *write) observed(view *state.Group) {
	replaced := view.Term() > write.term
	switch write.state {
	case writeSeeking:
		write.seek()
	case writeAcquiring:
		if replaced || write.writes.primary(view) == nil {
			write.writes.conns.Withdraw(write.ticket)
			write.ticket = 0
			write.seek()
		}
	case writeExecuting:
		if replaced {
			write.cutOff()
		}
	case writeProving:
		write.prove(view)
	case writeConfirming:
		write.check(view)
	case writeEnded:
	}
}

// cutOff gives up an execution whose primary was replaced.
func (write *write) cutOff() {
	write.writes.conns.Discard(write.conn)
	write.conn = 0
	if tx := write.job.Tx(); tx != nil && !write.settles {
		tx.Close()
	}
	write.lost()
}

// expire finishes the write at its deadline.
func (write *write) expire() {
	doubt := write.inDoubt()
	seeking := write.state == writeSeeking
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
	case write.state == writeExecuting && !write.settles:
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
	if write.doubt || write.state == writeConfirming {
		return true
	}
	return write.state == writeExecuting && (write.step == model.StepSingle || write.step == model.StepCommit)
}

// stop ends the write without a result. A statement that may commit runs on and
// its connection is given back after it; one of an open transaction is cut off.
func (write *write) stop() {
	switch {
	case write.state == writeAcquiring:
		write.writes.conns.Withdraw(write.ticket)
	case write.state == writeExecuting && !write.inDoubt():
		write.writes.conns.Discard(write.conn)
		write.job.Tx().Close()
	case write.state == writeExecuting && write.step == model.StepCommit:
		write.job.Tx().Close()
	}
	write.end()
}
