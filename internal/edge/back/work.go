package back

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/wire"
)

const (
	sqlStateFailedTransaction   = "25P02"
	sqlStateQueryCanceled       = "57014"
	sqlStateFeatureNotSupported = "0A000"
	sqlStateCompletionUnknown   = "40003"
	sqlStateClassConnection     = "08"
	severityFatal               = "FATAL"
	severityPanic               = "PANIC"
	severityError               = "ERROR"
)

// outcome is the result of a Work. If succeeded is false, class tells how it
// failed. reusable tells whether the connection can be used again, after a reset
// if a transaction is open.
type outcome struct {
	succeeded bool
	class     model.FailureClass
	reusable  bool
	mark      model.Mark
	answer    model.Payload
}

// runWork runs a Work and classifies its outcome. A Work whose answer is
// incomplete or has no mark is reported as lost: it may have run.
func (conn *conn) runWork(work *model.Work) outcome {
	messages, skipResults := workMessages(work)
	if messages == nil {
		return statementFailure(sqlStateFeatureNotSupported, "the request has no statement", true)
	}
	timeout := work.Timeout()
	if timeout <= 0 {
		timeout = conn.backend.spec.ExecuteTimeout
	}
	if !conn.noUnreadInput() {
		return outcome{class: model.FailureNotSent}
	}
	if err := conn.send(messages, timeout); err != nil {
		if pgconn.SafeToRetry(err) {
			return outcome{class: model.FailureNotSent}
		}
		return outcome{class: model.FailureLost}
	}
	reader := newReader(conn.hijacked, skipResults, conn.backend.spec.MaxAnswerBytes)
	err := reader.readUntilReady()
	switch {
	case reader.failure != nil:
		return failedOutcome(reader, err == nil)
	case err != nil, !reader.hasMark:
		return outcome{class: model.FailureLost}
	}
	return completedOutcome(work.Step(), conn.hijacked.TxStatus, reader)
}

// failedOutcome classifies an error that the instance reported.
func failedOutcome(reader *reader, complete bool) outcome {
	failure := reader.failure
	fatal := failure.Severity == severityFatal || failure.Severity == severityPanic
	result := outcome{
		class:    failureClass(failure.Code),
		reusable: complete && !fatal,
		mark:     reader.mark,
	}
	if result.class == model.FailureStatement {
		result.answer = wire.NewFailure(failure)
	}
	return result
}

func failureClass(state string) model.FailureClass {
	switch state {
	case wire.SQLStateFenced:
		return model.FailureFenced
	case wire.SQLStateReplay:
		return model.FailureReplay
	case wire.SQLStateTombstone:
		return model.FailureTombstone
	case wire.SQLStateMismatch:
		return model.FailureMismatch
	case wire.SQLStateTooManyConnections:
		return model.FailureBusy
	case wire.SQLStateAdminShutdown:
		return model.FailureLeaving
	case sqlStateCompletionUnknown:
		return model.FailureLost
	}
	if strings.HasPrefix(state, sqlStateClassConnection) {
		return model.FailureLost
	}
	return model.FailureStatement
}

// completedOutcome checks that the transaction state is the one that the step
// results in. A statement that opened or ended a transaction by itself has
// bypassed the fencing check of its Work, so its connection is not reused.
func completedOutcome(step model.Step, txStatus byte, reader *reader) outcome {
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
		return statementFailure(sqlStateFeatureNotSupported, "the statement opened a transaction, which was rolled back", false)
	default:
		return outcome{class: model.FailureLost}
	}
	if step == model.StepCommit && wasRolledBack(reader) {
		return statementFailure(sqlStateFailedTransaction, "the transaction had failed and was rolled back", true)
	}
	return outcome{succeeded: true, reusable: true, mark: reader.mark, answer: payload(step, reader)}
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

func statementFailure(state string, message string, reusable bool) outcome {
	response := &pgproto3.ErrorResponse{
		Severity:            severityError,
		SeverityUnlocalized: severityError,
		Code:                state,
		Message:             message,
	}
	return outcome{class: model.FailureStatement, reusable: reusable, answer: wire.NewFailure(response)}
}
