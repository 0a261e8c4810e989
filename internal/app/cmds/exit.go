package cmds

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/proto/admpb"
)

// The exit codes of the command line.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means that it did not, for a reason that has no code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a file has a fault. Nothing was changed.
	ExitUsage = 2
	// ExitConflict means that another operator changed the deployment, or that the change id belongs to another change.
	ExitConflict = 3
	// ExitNotFound means that the deployment, group or instance does not exist.
	ExitNotFound = 4
	// ExitAccess means that the token is missing or does not allow the call.
	ExitAccess = 5
	// ExitUnavailable means that the proxy or the platform's store did not answer. Come back later.
	ExitUnavailable = 6
	// ExitUnknown means that the change may be accepted. Send it again with the same change id.
	ExitUnknown = 7
	// ExitDiffers means that diff found a difference.
	ExitDiffers = 8
)

// exitError is an error with its exit code.
type exitError struct {
	code  int
	cause error
}

// Error implements error.
func (exitError exitError) Error() string { return exitError.cause.Error() }

// Unwrap returns the cause.
func (exitError exitError) Unwrap() error { return exitError.cause }

func usageError(cause error) error { return exitError{code: ExitUsage, cause: cause} }

func failedError(cause error) error { return exitError{code: ExitFailed, cause: cause} }

// withExitCode gives the error of a call of the administration API its exit code.
// An error that has one keeps it.
func withExitCode(err error) error {
	var exit exitError
	if err == nil || errors.As(err, &exit) {
		return err
	}
	failed := new(connect.Error)
	if !errors.As(err, &failed) {
		return failedError(err)
	}
	return exitError{code: exitCode(failed), cause: errors.New(failed.Message())}
}

func exitCode(failed *connect.Error) int {
	switch resultCode(failed) {
	case codes.RevisionConflict, codes.ChangeIDReused:
		return ExitConflict
	case codes.DeploymentNotFound, codes.UnknownGroup, codes.UnknownDeployment:
		return ExitNotFound
	case codes.Unauthenticated, codes.PermissionDenied:
		return ExitAccess
	case codes.AcceptanceUnknown:
		return ExitUnknown
	case codes.InvalidDeployment, codes.SettingInvalid:
		return ExitUsage
	case codes.StoreUnavailable, codes.RevisionUnconfirmed, codes.Draining, codes.DeadlineExceeded, codes.NoPrimary, codes.Overloaded:
		return ExitUnavailable
	}
	if failed.Code() == connect.CodeUnavailable || failed.Code() == connect.CodeDeadlineExceeded {
		return ExitUnavailable
	}
	return ExitFailed
}

// resultCode returns the result code that a failed call carries, or OK if it carries none.
func resultCode(err error) codes.Code {
	failed := new(connect.Error)
	if !errors.As(err, &failed) {
		return codes.OK
	}
	for _, detail := range failed.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if result, ok := value.(*admpb.ResultCode); ok {
			return codes.Code(result.GetNumber())
		}
	}
	return codes.OK
}

// outcomeUnknown reports whether a change may have been accepted although its call failed.
func outcomeUnknown(err error) bool {
	if resultCode(err) == codes.AcceptanceUnknown {
		return true
	}
	if resultCode(err) != codes.OK {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown:
		return true
	default:
		return errors.Is(err, context.DeadlineExceeded)
	}
}
