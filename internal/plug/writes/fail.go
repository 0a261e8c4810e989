package writes

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/ident"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// ExecuteFailed implements route.ConnUser.
func (write *write) ExecuteFailed(failed event.ExecuteFailed) {
	conn := write.conn
	write.conn = 0
	tx := write.job.Tx()
	write.writes.conns.Release(conn, tx != nil && !write.settling)
	if write.state == writeEnded {
		return
	}
	if tx != nil && !write.settling {
		tx.Close()
	}
	switch failed.Class() {
	case model.FailureReplay:
		write.confirm(failed.Mark(), write.ranResult())
	case model.FailureTombstone:
		write.confirm(failed.Mark(), write.notRunResult("the ledger has a tombstone of the request"))
	case model.FailureMismatch:
		write.failDigestMismatch()
	case model.FailureLost:
		write.answerLost()
	case model.FailureStatement:
		write.statementFailed(failed)
	default:
		write.statementNotRun(failed.Class())
	}
}

// failDigestMismatch finishes a write whose request id belongs to another statement. The
// outcome stays unknown if the write was sent before.
func (write *write) failDigestMismatch() {
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.RequestIDReused, Reason: "the request id belongs to a statement with another digest"}
	if write.attemptInDoubt {
		result.Outcome = model.OutcomeUnknown
	}
	write.finish(result)
}

// statementFailed returns an error of the database to the caller. A failed settlement is
// retried. If the statement was sent before, the error does not show whether the earlier
// attempt still runs, so the request is settled.
func (write *write) statementFailed(failed event.ExecuteFailed) {
	switch {
	case write.settling:
		write.backOff()
		return
	case write.attemptInDoubt:
		write.settle()
		return
	}
	write.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.Statement, Answer: failed.Answer(), Reason: "primary"})
}

// answerLost handles an execution whose answer was lost. A transaction has no effect
// before its commit is sent.
func (write *write) answerLost() {
	switch write.step {
	case model.StepNext, model.StepDescribe:
		write.failTx("connection lost")
	case model.StepFirst:
		write.retry()
	case model.StepSettle:
		write.backOff()
	default:
		write.resolve()
	}
}

// statementNotRun finishes or retries an execution that the instance refused before
// anything ran.
func (write *write) statementNotRun(class model.FailureClass) {
	if class == model.FailureFenced {
		write.fencedTerm = write.term
	}
	switch {
	case write.continuesTx() || write.isCommit() && !write.settling:
		write.failTx("the instance refused before the commit")
	case write.settling:
		write.backOff()
	default:
		write.retry()
	}
}

// failTx finishes a request of a transaction that is lost before its commit was sent.
func (write *write) failTx(reason string) {
	if tx := write.job.Tx(); tx.Conn() != 0 {
		write.writes.conns.Discard(tx.Conn())
		tx.Close()
	}
	write.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TransactionLost, Reason: reason})
}

// retry sends a write again after an attempt that did not run. A write in doubt is
// exempt from the retry budget: its outcome would stay unknown without the retry.
func (write *write) retry() {
	if !write.attemptInDoubt && !write.writes.admission.TakeRetry(write.job.Group()) {
		write.finish(route.ResultSpec{
			Outcome:    model.OutcomeNotRun,
			Code:       codes.Overloaded,
			RetryAfter: write.writes.admission.RetryAfter(write.instance),
			Reason:     "retry budget exhausted",
		})
		return
	}
	if tx := write.job.Tx(); tx != nil {
		tx.Restart()
	}
	write.log("retry", codes.OK, "the write did not run")
	write.backOff()
}

// backOff tries the primary again after a delay that doubles with each failure. Half of
// the delay is random.
func (write *write) backOff() {
	context := write.writes.context
	delay := min(maxBackoff, initialBackoff<<min(write.retries, 8))
	delay = delay/2 + time.Duration(context.Random().Int64N(int64(delay)))
	write.retries++
	write.notBefore = context.Now() + delay
	write.state = writeAwaitingPrimary
	write.requestReports()
	context.Timers().After(delay, func() {
		if write.state == writeAwaitingPrimary {
			write.acquire()
		}
	})
}

// rerunWithNewID runs the write again under a new generated request id.
func (write *write) rerunWithNewID() {
	context := write.writes.context
	write.requestID = ident.New(context.WallTime(), context.Random())
	write.settling = false
	write.attemptInDoubt = false
	write.result = route.ResultSpec{}
	write.retry()
}
