package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/timer"
)

// statement is a statement of another proxy that waits or runs here. It implements directUser.
type statement struct {
	served     *served
	id         model.ForwardID
	key        callKey
	body       *model.Forward
	job        *route.Job
	tx         *tx // which the statement continues, or nil
	direct     *direct
	receivedAt time.Duration
	deadline   time.Duration
	timeout    timer.ID
	// givenUp is set if nobody waits for the answer.
	givenUp bool
}

func (statement *statement) work() directWork {
	body := statement.body
	return directWork{
		step:      body.Step(),
		write:     body.Write(),
		confirm:   body.Confirm(),
		after:     body.After(),
		statement: body.Statement(),
		deadline:  statement.deadline,
	}
}

// RequestID implements route.IdentifiedUser.
func (statement *statement) RequestID() string { return statement.body.RequestID() }

// answer ends the statement and sends its answer to the proxy that forwarded it.
func (statement *statement) answer(spec model.ForwardReplySpec) {
	statement.served.remove(statement)
	context, body := statement.served.holder.context, statement.body
	decision := model.Decision{
		Name:       "forwarded",
		RequestID:  body.RequestID(),
		Deployment: body.Deployment(),
		Kind:       body.Kind(),
		Instance:   body.Instance(),
		Proxy:      body.From().ID(),
		Waited:     body.Waited() + context.Now() - statement.receivedAt - spec.Held,
		After:      body.After(),
		RetryAfter: spec.RetryAfter,
		Reason:     statement.reason(spec),
		Code:       spec.Code,
	}
	if statement.job != nil {
		decision.Team, decision.Group = statement.job.Team().Name(), statement.job.Group()
	}
	decision.Seq = model.RequestSeq(body.Number())
	context.Emit(event.NewLogDecision(decision))
	spec.Newest = statement.newestMark()
	context.Emit(event.NewAnswerForward(statement.id, model.NewForwardReply(spec)))
}

// reason returns the reason for the log.
func (statement *statement) reason(spec model.ForwardReplySpec) string {
	switch spec.Outcome {
	case model.ForwardDone:
		return "answered"
	case model.ForwardDenied:
		return spec.Reason
	default:
		return "failed: " + failureName(spec.Class)
	}
}

func failureName(class model.FailureClass) string {
	switch class {
	case model.FailureNotSent:
		return "nothing was sent"
	case model.FailureStatement:
		return "error of the instance"
	case model.FailureFenced:
		return "the instance is not the primary"
	case model.FailureLagging:
		return "the log of the instance lacks the mark"
	case model.FailureBusy:
		return "the instance has no slot"
	case model.FailureLeaving:
		return "the instance is shutting down"
	case model.FailureForwardNotRun:
		return "the transaction is not open here"
	default:
		return "the answer was lost"
	}
}

// expire ends the statement at its deadline.
func (statement *statement) expire() {
	waiting := statement.direct.state == directWaiting
	statement.direct.discard()
	if waiting {
		retryAfter := statement.served.holder.admission.RetryAfter(statement.body.Instance())
		statement.directDenied(route.Denial{Code: codes.Overloaded, RetryAfter: retryAfter, Reason: "deadline while the statement waited at the holder"})
		return
	}
	if statement.tx != nil {
		statement.tx.remove()
	}
	statement.answer(model.ForwardReplySpec{Outcome: model.ForwardFailed, Class: model.FailureLost})
}

// giveUp ends the statement if it waits. One that runs goes on, so that its connection can be used
// again, and its transaction is rolled back after it.
func (statement *statement) giveUp() {
	if statement.direct.state != directWaiting {
		statement.givenUp = true
		return
	}
	statement.direct.discard()
	statement.directDenied(route.Denial{Code: codes.Canceled, Reason: "the forwarding proxy has given it up"})
}

// directDenied implements directUser.
func (statement *statement) directDenied(denial route.Denial) {
	if denial.Code == codes.RevisionUnconfirmed {
		denial.RetryAfter = route.UnconfirmedRetryAfter
	}
	statement.answer(model.ForwardReplySpec{Outcome: model.ForwardDenied, Code: denial.Code, Reason: denial.Reason, RetryAfter: denial.RetryAfter})
}

// directDone implements directUser.
func (statement *statement) directDone(mark model.Mark, answer model.Payload, held time.Duration) {
	statement.observeMark(mark)
	spec := model.ForwardReplySpec{Outcome: model.ForwardDone, Mark: mark, Answer: answer, Held: held}
	switch step := statement.body.Step(); {
	case step == model.StepSingle:
		statement.direct.release(false)
	case step == model.StepCommit:
		statement.tx.remove()
		statement.direct.release(false)
	case statement.givenUp:
		statement.endTx()
	default:
		spec.Tx = statement.park()
	}
	statement.answer(spec)
}

// endTx rolls back the transaction of a statement that was given up.
func (statement *statement) endTx() {
	if statement.tx != nil {
		statement.tx.remove()
	}
	statement.direct.release(true)
}

// park keeps the transaction open until its next statement.
func (statement *statement) park() model.ForwardTx {
	if statement.tx == nil {
		statement.tx = newTx(statement)
	}
	statement.direct.park()
	statement.tx.wait()
	return statement.tx.id
}

// directFailed implements directUser. A failure ends the transaction.
func (statement *statement) directFailed(failed event.ExecuteFailed, held time.Duration) {
	inTx := statement.body.Step() != model.StepSingle
	if statement.tx != nil {
		statement.tx.remove()
	}
	statement.direct.release(inTx)
	if failed.Class() != model.FailureStatement {
		held = 0 // a refused or lost statement says nothing of how long the others hold a slot
	}
	statement.answer(model.ForwardReplySpec{Outcome: model.ForwardFailed, Class: failed.Class(), Mark: failed.Mark(), Answer: failed.Answer(), Held: held})
}

// directLost implements directUser. The connection of an idle transaction was lost; its next
// statement fails.
func (statement *statement) directLost() {
	if statement.tx != nil {
		statement.tx.remove()
	}
}
