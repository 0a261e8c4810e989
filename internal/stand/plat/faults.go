package plat

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/proto/platpb"
)

type faults struct {
	outage      bool
	silent      bool
	slowness    time.Duration
	loseAnswers uint32
}

// SetPlatformFaults implements ctrlpb.PlatformControlServiceHandler.
func (platform *Platform) SetPlatformFaults(
	_ context.Context, request *connect.Request[ctrlpb.SetPlatformFaultsRequest],
) (*connect.Response[ctrlpb.SetPlatformFaultsResponse], error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults{
		outage:      request.Msg.GetOutage(),
		silent:      request.Msg.GetSilent(),
		slowness:    request.Msg.GetSlowness().AsDuration(),
		loseAnswers: request.Msg.GetLoseAnswers(),
	}
	if request.Msg.GetHostListLag() != nil {
		platform.hosts.lag = request.Msg.GetHostListLag().AsDuration()
	}
	return connect.NewResponse(&ctrlpb.SetPlatformFaultsResponse{}), nil
}

// MarkHost implements ctrlpb.PlatformControlServiceHandler.
func (platform *Platform) MarkHost(
	_ context.Context, request *connect.Request[ctrlpb.MarkHostRequest],
) (*connect.Response[ctrlpb.MarkHostResponse], error) {
	if _, _, err := platform.spec.FindInstance(request.Msg.GetInstanceId()); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.hosts.setLeaving(request.Msg.GetInstanceId(), request.Msg.GetLeaving(), time.Now())
	return connect.NewResponse(&ctrlpb.MarkHostResponse{}), nil
}

// faultInterceptor applies the configured faults to calls of the platform service.
type faultInterceptor struct {
	platform *Platform
}

// WrapUnary implements connect.Interceptor.
func (interceptor faultInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if err := interceptor.platform.applyFaults(ctx); err != nil {
			return nil, err
		}
		response, err := next(ctx, request)
		if err == nil && request.Spec().Procedure == platpb.PlatformServiceWriteRowsProcedure && interceptor.platform.takeLostAnswer() {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		return response, err
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (faultInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (faultInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// applyFaults delays or fails a call before it takes effect.
func (platform *Platform) applyFaults(ctx context.Context) error {
	platform.mu.Lock()
	faults := platform.faults
	platform.mu.Unlock()
	if faults.outage {
		return connect.NewError(connect.CodeUnavailable, errors.New("platform unavailable"))
	}
	if faults.silent {
		<-ctx.Done()
		return connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
	timer := time.NewTimer(faults.slowness)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeUnavailable, ctx.Err())
	}
}

// takeLostAnswer reports whether the response of a successful write is to be lost,
// and decrements the number of such responses.
func (platform *Platform) takeLostAnswer() bool {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.faults.loseAnswers == 0 {
		return false
	}
	platform.faults.loseAnswers--
	return true
}
