package admin

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/proto/admpb"
)

// newError returns the connect error for a result code. The error carries the code as
// a ResultCode detail. A retryAfter of zero gives no retry hint.
func newError(code codes.Code, detail string, retryAfter time.Duration) *connect.Error {
	return newErrorWithStatus(connectCode(code), code, detail, retryAfter)
}

func newErrorWithStatus(status connect.Code, code codes.Code, detail string, retryAfter time.Duration) *connect.Error {
	text := code.String()
	if detail != "" {
		text = fmt.Sprintf("%s: %s", code, detail)
	}
	connectErr := connect.NewError(status, errors.New(text))
	message := &admpb.ResultCode{Number: int32(code), Detail: detail}
	if info, ok := codes.Lookup(code); ok {
		message.Name = info.Name()
	}
	if retryAfter > 0 {
		message.RetryAfter = durationpb.New(retryAfter)
	}
	if errorDetail, err := connect.NewErrorDetail(message); err == nil {
		connectErr.AddDetail(errorDetail)
	}
	return connectErr
}

func newCommandError(failed event.CommandFailed) *connect.Error {
	return newError(failed.Code(), failed.Detail(), failed.RetryAfter())
}

func connectCode(code codes.Code) connect.Code {
	switch code {
	case codes.RevisionConflict, codes.PrimaryChanged:
		return connect.CodeAborted
	case codes.InvalidDeployment, codes.SettingInvalid:
		return connect.CodeInvalidArgument
	case codes.DeploymentNotFound, codes.UnknownGroup, codes.UnknownDeployment:
		return connect.CodeNotFound
	case codes.Unauthenticated:
		return connect.CodeUnauthenticated
	case codes.PermissionDenied:
		return connect.CodePermissionDenied
	case codes.ChangeIDReused:
		return connect.CodeAlreadyExists
	case codes.SwitchoverFailed:
		return connect.CodeFailedPrecondition
	case codes.AcceptanceUnknown:
		return connect.CodeUnknown
	case codes.DeadlineExceeded:
		return connect.CodeDeadlineExceeded
	case codes.Internal:
		return connect.CodeInternal
	default:
		return connect.CodeUnavailable
	}
}
