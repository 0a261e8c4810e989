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

// authInterceptor lets calls pass that carry a token of a sufficient role.
type authInterceptor struct {
	tokens *Tokens
}

type identityKey struct{}

// WrapUnary implements connect.Interceptor.
func (guard authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		caller, err := guard.authorize(request.Spec().Procedure, request.Header().Get("Authorization"))
		if err != nil {
			return nil, err
		}
		return next(context.WithValue(ctx, identityKey{}, caller), request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (guard authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (guard authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		caller, err := guard.authorize(conn.Spec().Procedure, conn.RequestHeader().Get("Authorization"))
		if err != nil {
			return err
		}
		return next(context.WithValue(ctx, identityKey{}, caller), conn)
	}
}

func (guard authInterceptor) authorize(procedure, header string) (identity, error) {
	caller := guard.tokens.identify(header)
	if caller.role == RoleNone {
		return identity{}, newError(codes.Unauthenticated, "", 0)
	}
	if caller.role < requiredRole(procedure) {
		return identity{}, newError(codes.PermissionDenied, "the call needs a token of the role operator", 0)
	}
	return caller, nil
}

func requiredRole(procedure string) Role {
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
