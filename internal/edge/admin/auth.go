package admin

import (
	"context"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/proto/admpb"
)

// operatorProcedures are the calls that change state and require RoleOperator.
var operatorProcedures = []string{
	admpb.AdminServiceApplyDeploymentProcedure,
	admpb.AdminServiceDeleteDeploymentProcedure,
	admpb.AdminServiceSwitchoverProcedure,
	admpb.AdminServiceDrainProxyProcedure,
	admpb.AdminServiceDrainInstanceProcedure,
	admpb.AdminServiceSetLoggingProcedure,
}

// authInterceptor rejects calls without a valid token and calls whose token has an
// insufficient role.
type authInterceptor struct {
	tokens *Tokens
}

type identityKey struct{}

// WrapUnary implements connect.Interceptor.
func (authInterceptor authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		authenticated, err := authInterceptor.authorize(request.Spec().Procedure, request.Header().Get("Authorization"))
		if err != nil {
			return nil, err
		}
		return next(context.WithValue(ctx, identityKey{}, authenticated), request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (authInterceptor authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (authInterceptor authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		authenticated, err := authInterceptor.authorize(conn.Spec().Procedure, conn.RequestHeader().Get("Authorization"))
		if err != nil {
			return err
		}
		return next(context.WithValue(ctx, identityKey{}, authenticated), conn)
	}
}

func (authInterceptor authInterceptor) authorize(procedure, header string) (identity, error) {
	authenticated := authInterceptor.tokens.identify(header)
	if authenticated.role == RoleNone {
		return identity{}, newError(codes.Unauthenticated, "", 0)
	}
	if authenticated.role < requiredRole(procedure) {
		return identity{}, newError(codes.PermissionDenied, "the call requires a token with the role operator", 0)
	}
	return authenticated, nil
}

func requiredRole(procedure string) Role {
	for _, restricted := range operatorProcedures {
		if procedure == restricted {
			return RoleOperator
		}
	}
	return RoleReader
}

// operatorName returns the name of the client's token. If the token has no name, it
// returns requested, the name in the request.
func operatorName(ctx context.Context, requested string) string {
	if authenticated, ok := ctx.Value(identityKey{}).(identity); ok && authenticated.name != "" {
		return authenticated.name
	}
	return requested
}
