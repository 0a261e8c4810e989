package writes

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

// confirm holds a result until a majority of the instances is known to have mark, in
// the term in which the primary answered.
func (write *write) confirm(mark model.Mark, result route.ResultSpec) {
	write.mark = mark
	write.result = result
	write.state = writeConfirming
	group := write.groupState()
	if group == nil || mark.Term() != write.term {
		write.resolve()
		return
	}
	group.ObserveWrite(write.instance, mark)
	write.checkAcknowledged(group)
}

// checkAcknowledged delivers the result once a majority has its mark. If a newer term
// began before that, the log entry may be lost, and the outcome is determined in the new
// term.
func (write *write) checkAcknowledged(group *state.Group) {
	switch {
	case group.Acknowledged(write.mark):
		write.deliverAcknowledged()
	case group.Term() > write.mark.Term():
		write.log("ack_refused", codes.PrimaryChanged, "a newer term began before a majority had the mark")
		write.resolve()
	default:
		write.requestReports()
	}
}

// deliverAcknowledged delivers an acknowledged result. A single statement that was
// settled as not run under a generated request id runs again under a new one, because no
// caller knows the old id.
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

// resolve determines in the current term whether the write ran. A single statement is
// sent again under its request id: the ledger row ensures that it runs at most once. A
// commit cannot be sent again and is settled instead.
func (write *write) resolve() {
	if write.job.Tx() != nil || write.settling {
		write.settle()
		return
	}
	write.attemptInDoubt = true
	write.fencedTerm = 0
	write.backOff()
}

// settle determines in the current term whether the write ran. If it did not, a
// tombstone in the ledger prevents it from running later.
func (write *write) settle() {
	write.log("settle", codes.OK, "the outcome is unknown")
	write.settling = true
	write.attemptInDoubt = true
	write.fencedTerm = 0
	write.acquire()
}

// notRunResult returns the result of a write that did not run and cannot run any more
// under its request id.
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

// ranResult returns the result of a write whose row is in the ledger. The answer is
// included if an earlier attempt received it before the term changed.
func (write *write) ranResult() route.ResultSpec {
	switch {
	case write.attemptInDoubt && write.result.Answer != nil:
		return route.ResultSpec{Answer: write.result.Answer, Reason: "the ledger confirms the answer"}
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
