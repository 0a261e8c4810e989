package cmds

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/proto/admpb"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for a reason without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a file is invalid. Nothing was changed.
	ExitUsage = 2
	// ExitConflict means that the deployment has another revision than expected, or that the change id belongs to another change.
	ExitConflict = 3
	// ExitNotFound means that the deployment, group or instance does not exist.
	ExitNotFound = 4
	// ExitAccess means that the token is missing or does not allow the call.
	ExitAccess = 5
	// ExitUnavailable means that the proxy or the platform's store did not answer. A later attempt may succeed.
	ExitUnavailable = 6
	// ExitUnknown means that the outcome of the change is unknown. Sending it again with the same change id resolves it.
	ExitUnknown = 7
	// ExitDiffers means that the deployment file differs from the deployment in force.
	ExitDiffers = 8
)

// exitError is an error with an exit code.
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

// withExitCode returns the error of an administration API call with its exit
// code. An error that already has an exit code is returned unchanged.
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

// resultCode returns the result code in the details of a failed call, or OK if there is none.
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
