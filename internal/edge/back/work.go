package back

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const (
	stateTxFailed          = "25P02"
	stateCanceled          = "57014"
	stateNotSupported      = "0A000"
	stateCompletionUnknown = "40003"
	classConnection        = "08"
	severityFatal          = "FATAL"
	severityPanic          = "PANIC"
	severityError          = "ERROR"
)

// outcome is the result of a Work. If done is not set, class tells what is known.
// alive tells whether the connection may be used again, after a reset if a
// transaction is open.
type outcome struct {
	done   bool
	class  model.FailureClass
	alive  bool
	mark   model.Mark
	answer model.Payload
}

// runWork runs a Work and classifies how it ended.
func (conn *conn) runWork(work *model.Work) outcome {
	messages, hidden := workMessages(work)
	if messages == nil {
		return statementFailure(stateNotSupported, "the request holds no statement", true)
	}
	timeout := work.Timeout()
	if timeout <= 0 {
		timeout = conn.backend.spec.ExecuteTimeout
	}
	if !conn.clean() {
		return outcome{class: model.FailureNotSent}
	}
	if err := conn.send(messages, timeout); err != nil {
		if pgconn.SafeToRetry(err) {
			return outcome{class: model.FailureNotSent}
		}
		return outcome{class: model.FailureLost}
	}
	reader := newReader(conn.hijacked, hidden, conn.backend.spec.MaxAnswer)
	err := reader.run()
	switch {
	case reader.failure != nil:
		return failedOutcome(reader, err == nil)
	case err != nil, !reader.marked:
		return outcome{class: model.FailureLost}
	}
	return concludedOutcome(work.Step(), conn.hijacked.TxStatus, reader)
}

// failedOutcome classifies an error that the instance reported.
func failedOutcome(reader *reader, complete bool) outcome {
	failure := reader.failure
	fatal := failure.Severity == severityFatal || failure.Severity == severityPanic
	result := outcome{
		class: failureClass(failure.Code),
		alive: complete && !fatal,
		mark:  reader.mark,
	}
	if result.class == model.FailureStatement {
		result.answer = wire.NewFailure(failure)
	}
	return result
}

func failureClass(state string) model.FailureClass {
	switch state {
	case wire.StateFenced:
		return model.FailureFenced
	case wire.StateReplay:
		return model.FailureReplay
	case wire.StateTombstone:
		return model.FailureTombstone
	case wire.StateMismatch:
		return model.FailureMismatch
	case wire.StateTooManyConnections:
		return model.FailureBusy
	case wire.StateShutdown:
		return model.FailureLeaving
	case stateCompletionUnknown:
		return model.FailureLost
	}
	if strings.HasPrefix(state, classConnection) {
		return model.FailureLost
	}
	return model.FailureStatement
}

// concludedOutcome checks that the transaction is in the state that the step
// leaves it in. A statement that opened or ended a transaction by itself has
// escaped the guard of its Work, so its connection is spoiled.
func concludedOutcome(step model.Step, txStatus byte, reader *reader) outcome {
	expected := byte(txIdle)
	switch step {
	case model.StepFirst, model.StepNext:
		expected = txOpen
	case model.StepDescribe:
		expected = txStatus
	}
	switch {
	case txStatus == expected:
	case expected == txIdle:
		return statementFailure(stateNotSupported, "the statement opened a transaction, which was rolled back", false)
	default:
		return outcome{class: model.FailureLost}
	}
	if step == model.StepCommit && wasRolledBack(reader) {
		return statementFailure(stateTxFailed, "the transaction had failed and was rolled back", true)
	}
	return outcome{done: true, alive: true, mark: reader.mark, answer: payload(step, reader)}
}

func wasRolledBack(reader *reader) bool {
	return len(reader.results) == 1 && reader.results[0].Tag() == sqlRollback
}

func payload(step model.Step, reader *reader) model.Payload {
	switch step {
	case model.StepDescribe:
		return wire.NewDescription(reader.paramTypes, reader.fields)
	case model.StepSettle, model.StepTrim:
		return nil
	default:
		return reader.answer()
	}
}

func statementFailure(state string, message string, alive bool) outcome {
	response := &pgproto3.ErrorResponse{
		Severity:            severityError,
		SeverityUnlocalized: severityError,
		Code:                state,
		Message:             message,
	}
	return outcome{class: model.FailureStatement, alive: alive, answer: wire.NewFailure(response)}
}
