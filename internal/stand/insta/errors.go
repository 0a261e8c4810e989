package insta

import "fmt"

const (
	stateCanceled     = "57014"
	stateLockTimeout  = "55P03"
	stateUnique       = "23505"
	stateSyntax       = "42601"
	stateBadValue     = "22P02"
	stateReadOnly     = "25006"
	stateFailedTx     = "25P02"
	stateProtocol     = "08P01"
	stateNoStatement  = "26000"
	stateNoPortal     = "34000"
	stateUnsupported  = "0A000"
	stateNotPermitted = "42501"
)

// sqlError is an error with a SQLSTATE.
type sqlError struct {
	state   string
	message string
}

func newError(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (sqlError *sqlError) Error() string { return sqlError.message + " (" + sqlError.state + ")" }
