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

// fault is an error that a caller is told: one of the proxy with a code, or
// that of the database.
type fault struct {
	code       codes.Code
	detail     string
	retryAfter time.Duration
	database   *pgproto3.ErrorResponse
}

func newFault(code codes.Code, detail string) *fault { return &fault{code: code, detail: detail} }

func faultf(code codes.Code, format string, args ...any) *fault {
	return newFault(code, fmt.Sprintf(format, args...))
}

// after returns the fault with the time after which the caller may come back.
func (fault *fault) after(retryAfter time.Duration) *fault {
	fault.retryAfter = retryAfter
	return fault
}

// Error implements error.
func (fault *fault) Error() string { return fault.code.String() + ": " + fault.detail }

// response returns the error message of the protocol. Its Detail starts with
// the result code, its Routine is the number, its Hint tells when to come back.
func (fault *fault) response(severity string) *pgproto3.ErrorResponse {
	if fault.database != nil {
		return fault.database
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

// replyFault returns the fault that a reply reports.
func replyFault(reply *model.Reply) *fault {
	detail := reply.Detail()
	if detail == "" {
		detail = "outcome " + reply.Outcome().String()
	}
	return newFault(reply.Code(), detail).after(reply.RetryAfter())
}
