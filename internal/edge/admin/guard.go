package admin

import (
	"context"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/proto/admpb"
)

// operatorProcedures are the calls that change something.
var operatorProcedures = []string{
	admpb.AdminServiceApplyDeploymentProcedure,
	admpb.AdminServiceDeleteDeploymentProcedure,
	admpb.AdminServiceSwitchoverProcedure,
	admpb.AdminServiceDrainProxyProcedure,
	admpb.AdminServiceDrainInstanceProcedure,
	admpb.AdminServiceSetLoggingProcedure,
}

// guard lets calls pass that carry a token of a sufficient role.
type guard struct {
	tokens *Tokens
}

type identityKey struct{}

// WrapUnary implements connect.Interceptor.
func (guard guard) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		caller, err := guard.check(request.Spec().Procedure, request.Header().Get("Authorization"))
		if err != nil {
			return nil, err
		}
		return next(context.WithValue(ctx, identityKey{}, caller), request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (guard guard) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (guard guard) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		caller, err := guard.check(conn.Spec().Procedure, conn.RequestHeader().Get("Authorization"))
		if err != nil {
			return err
		}
		return next(context.WithValue(ctx, identityKey{}, caller), conn)
	}
}

func (guard guard) check(procedure, header string) (identity, error) {
	caller := guard.tokens.identify(header)
	if caller.role == RoleNone {
		return identity{}, fault(codes.Unauthenticated, "", 0)
	}
	if caller.role < neededRole(procedure) {
		return identity{}, fault(codes.PermissionDenied, "the call needs a token of the role operator", 0)
	}
	return caller, nil
}

func neededRole(procedure string) Role {
	for _, changing := range operatorProcedures {
		if procedure == changing {
			return RoleOperator
		}
	}
	return RoleReader
}

// operatorName returns the name that goes with the token, or the one that the caller gives.
func operatorName(ctx context.Context, given string) string {
	if caller, ok := ctx.Value(identityKey{}).(identity); ok && caller.name != "" {
		return caller.name
	}
	return given
}
