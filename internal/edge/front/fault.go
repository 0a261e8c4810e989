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

// callerError is an error that a caller is told: one of the proxy with a code, or
// that of the database.
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

// withRetryAfter returns the fault with the time after which the caller may come back.
func (fault *callerError) withRetryAfter(retryAfter time.Duration) *callerError {
	fault.retryAfter = retryAfter
	return fault
}

// Error implements error.
func (fault *callerError) Error() string { return fault.code.String() + ": " + fault.detail }

// response returns the error message of the protocol. Its Detail starts with
// the result code, its Routine is the number, its Hint tells when to come back.
func (fault *callerError) response(severity string) *pgproto3.ErrorResponse {
	if fault.databaseResponse != nil {
		return fault.databaseResponse
	}
	response := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                fault.code.SQLState(),
		Message:             fault.code.String(),
		Detail:              fault.code.String(),
		Routine:             fmt.Sprintf("AW%03d", int(fault.code)),
	}
	if info, ok := codes.Lookup(fault.code); ok {
		response.Message = info.Meaning()
		response.Hint = info.Remedy()
	}
	if fault.detail != "" {
		response.Detail += ": " + fault.detail
	}
	if fault.retryAfter > 0 {
		response.Hint = "retry after " + fault.retryAfter.String()
	}
	return response
}

// newReplyError returns the fault that a reply reports.
func newReplyError(reply *model.Reply) *callerError {
	detail := reply.Detail()
	if detail == "" {
		detail = "outcome " + reply.Outcome().String()
	}
	return newCallerError(reply.Code(), detail).withRetryAfter(reply.RetryAfter())
}
