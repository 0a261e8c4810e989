package front

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

const (
	severityError   = "ERROR"
	severityFatal   = "FATAL"
	severityNotice  = "NOTICE"
	severityWarning = "WARNING"
)

// callerError is an error that is sent to a caller: either an error of the proxy
// with a code, or the error response of the database.
type callerError struct {
	code             codes.Code
	detail           string
	retryAfter       time.Duration
	databaseResponse *pgproto3.ErrorResponse
}

func newCallerError(code codes.Code, detail string) *callerError {
	return &callerError{code: code, detail: detail}
}

func callerErrorf(code codes.Code, format string, args ...any) *callerError {
	return newCallerError(code, fmt.Sprintf(format, args...))
}

// withRetryAfter sets the time after which the caller may retry and returns the
// callerError.
func (callerError *callerError) withRetryAfter(retryAfter time.Duration) *callerError {
	callerError.retryAfter = retryAfter
	return callerError
}

// Error implements error.
func (callerError *callerError) Error() string {
	return callerError.code.String() + ": " + callerError.detail
}

// response returns the error message of the protocol. An error of the proxy has
// the result code at the start of Detail, its number in Routine, and in Hint the
// remedy or the time after which to retry.
func (callerError *callerError) response(severity string) *pgproto3.ErrorResponse {
	if callerError.databaseResponse != nil {
		return callerError.databaseResponse
	}
	response := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                callerError.code.SQLState(),
		Message:             callerError.code.String(),
		Detail:              callerError.code.String(),
		Routine:             fmt.Sprintf("AW%03d", int(callerError.code)),
	}
	if info, ok := codes.Lookup(callerError.code); ok {
		response.Message = info.Meaning()
		response.Hint = info.Remedy()
	}
	if callerError.detail != "" {
		response.Detail += ": " + callerError.detail
	}
	if callerError.retryAfter > 0 {
		response.Hint = "retry after " + callerError.retryAfter.String()
	}
	return response
}

// newReplyError returns a callerError with the code and detail of a reply. Without
// a detail it has the outcome.
func newReplyError(reply *model.Reply) *callerError {
	detail := reply.Detail()
	if detail == "" {
		detail = "outcome " + reply.Outcome().String()
	}
	return newCallerError(reply.Code(), detail).withRetryAfter(reply.RetryAfter())
}
