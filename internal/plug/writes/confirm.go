package writes

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// confirm holds a result until a majority is known to have mark, in the term in
// which the primary answered.
func (write *write) confirm(mark model.Mark, result route.ResultSpec) {
	write.mark = mark
	write.result = result
	write.state = writeConfirming
	view := write.view()
	if view == nil || mark.Term() != write.term {
		write.resolve()
		return
	}
	view.ObserveWrite(write.instance, mark)
	write.checkAcknowledged(view)
}

// checkAcknowledged passes the result on once it is acknowledged. When the term was replaced
// before that, the entry may be lost, and the new term has to tell.
func (write *write) checkAcknowledged(view *state.Group) {
	switch {
	case view.Acknowledged(write.mark):
		write.deliverAcknowledged()
	case view.Term() > write.mark.Term():
		write.log("ack_refused", codes.PrimaryChanged, "the term was replaced before a majority had the mark")
		write.resolve()
	default:
		write.requestReports()
	}
}

// deliverAcknowledged passes an acknowledged result on. A write that was settled as not run
// under an id that no caller knows runs again.
func (write *write) deliverAcknowledged() {
	result := write.result
	if result.Outcome == model.OutcomeNotRun && write.job.HasGeneratedID() && write.job.Tx() == nil {
		write.rerunWithNewID()
		return
	}
	if result.Code == codes.OK {
		result.Mark = write.mark
	}
	write.finish(result)
}

// resolve finds out in the current term whether the write ran. A single
// statement is sent again under its request id: the ledger row lets it run at
// most once. A commit cannot be sent again and is settled.
func (write *write) resolve() {
	if write.job.Tx() != nil || write.settling {
		write.settle()
		return
	}
	write.attemptInDoubt = true
	write.fencedTerm = 0
	write.backOff()
}

// settle finds out in the current term whether the write ran, and makes sure
// that it never will if it did not.
func (write *write) settle() {
	write.log("settle", codes.OK, "the outcome is not known")
	write.settling = true
	write.attemptInDoubt = true
	write.fencedTerm = 0
	write.acquireConn()
}

// notRunResult returns the result of a write that can never run under its request id.
func (write *write) notRunResult(reason string) route.ResultSpec {
	code := codes.RequestIDSettled
	if write.job.Tx() != nil && write.job.HasGeneratedID() {
		code = codes.TransactionLost
	}
	return route.ResultSpec{
		Outcome:    model.OutcomeNotRun,
		Code:       code,
		RetryAfter: write.writes.admission.RetryAfter(write.instance),
		Reason:     reason,
	}
}

// ranResult returns the result of a write whose row is in the request ledger.
func (write *write) ranResult() route.ResultSpec {
	switch {
	case write.attemptInDoubt && write.result.Answer != nil:
		return route.ResultSpec{Answer: write.result.Answer, Reason: "found in the ledger"}
	case write.job.Tx() != nil && !write.isCommit():
		return route.ResultSpec{
			Outcome:  model.OutcomeDone,
			Code:     codes.TransactionDone,
			Replayed: true,
			Reason:   "the ledger has the transaction",
		}
	default:
		return route.ResultSpec{Replayed: true, Reason: "the ledger has the request"}
	}
}
