package insta

import "fmt"

const (
	sqlStateQueryCanceled             = "57014"
	sqlStateLockNotAvailable          = "55P03"
	sqlStateUniqueViolation           = "23505"
	sqlStateSyntaxError               = "42601"
	sqlStateInvalidTextRepresentation = "22P02"
	sqlStateReadOnlyTransaction       = "25006"
	sqlStateFailedTransaction         = "25P02"
	sqlStateProtocolViolation         = "08P01"
	sqlStateInvalidStatementName      = "26000"
	sqlStateInvalidCursorName         = "34000"
	sqlStateFeatureNotSupported       = "0A000"
	sqlStateInsufficientPrivilege     = "42501"
)

// sqlError is an error with its SQLSTATE.
type sqlError struct {
	state   string
	message string
}

func newSQLError(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (sqlError *sqlError) Error() string { return sqlError.message + " (" + sqlError.state + ")" }
