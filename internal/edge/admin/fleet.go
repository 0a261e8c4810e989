package admin

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

// ListGroups implements admpb.AdminServiceHandler.
func (admin *Admin) ListGroups(ctx context.Context, _ *connect.Request[admpb.ListGroupsRequest]) (*connect.Response[admpb.ListGroupsResponse], error) {
	result, err := admin.execute(ctx, event.NewGetGroups(), codes.DeadlineExceeded)
	if err != nil {
		return nil, err
	}
	groups, ok := result.(event.Groups)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return connect.NewResponse(&admpb.ListGroupsResponse{Groups: schema.FromGroups(groups.Groups())}), nil
}

// Switchover implements admpb.AdminServiceHandler.
func (admin *Admin) Switchover(ctx context.Context, request *connect.Request[admpb.SwitchoverRequest]) (*connect.Response[admpb.SwitchoverResponse], error) {
	command := event.NewSwitchover(model.GroupID(request.Msg.GetGroup()), model.InstanceID(request.Msg.GetTarget()))
	changed, err := admin.changePlacement(ctx, command)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&admpb.SwitchoverResponse{
		Term:    uint64(changed.Term()),
		Primary: string(changed.Instance()),
	}), nil
}

// ListProxies implements admpb.AdminServiceHandler.
func (admin *Admin) ListProxies(ctx context.Context, _ *connect.Request[admpb.ListProxiesRequest]) (*connect.Response[admpb.ListProxiesResponse], error) {
	result, err := admin.execute(ctx, event.NewGetProxies(), codes.DeadlineExceeded)
	if err != nil {
		return nil, err
	}
	proxies, ok := result.(event.Proxies)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return connect.NewResponse(&admpb.ListProxiesResponse{Proxies: schema.FromProxies(proxies.Proxies())}), nil
}

// DrainProxy implements admpb.AdminServiceHandler.
func (admin *Admin) DrainProxy(_ context.Context, request *connect.Request[admpb.DrainProxyRequest]) (*connect.Response[admpb.DrainProxyResponse], error) {
	if request.Msg.GetProxy() != string(admin.spec.Proxy) {
		detail := fmt.Sprintf("proxy: this is %q; send the call to the administration address of %q", admin.spec.Proxy, request.Msg.GetProxy())
		return nil, newErrorWithStatus(connect.CodeFailedPrecondition, codes.SettingInvalid, detail, 0)
	}
	admin.spec.Drain()
	return connect.NewResponse(&admpb.DrainProxyResponse{}), nil
}

// DrainInstance implements admpb.AdminServiceHandler.
func (admin *Admin) DrainInstance(ctx context.Context, request *connect.Request[admpb.DrainInstanceRequest]) (*connect.Response[admpb.DrainInstanceResponse], error) {
	command := event.NewDrainInstance(model.InstanceID(request.Msg.GetInstance()), !request.Msg.GetResume())
	if _, err := admin.changePlacement(ctx, command); err != nil {
		return nil, err
	}
	return connect.NewResponse(&admpb.DrainInstanceResponse{}), nil
}

// GetSettings implements admpb.AdminServiceHandler.
func (admin *Admin) GetSettings(context.Context, *connect.Request[admpb.GetSettingsRequest]) (*connect.Response[admpb.GetSettingsResponse], error) {
	return connect.NewResponse(&admpb.GetSettingsResponse{Settings: admin.spec.Settings}), nil
}

// GetStatus implements admpb.AdminServiceHandler.
func (admin *Admin) GetStatus(ctx context.Context, _ *connect.Request[admpb.GetStatusRequest]) (*connect.Response[admpb.GetStatusResponse], error) {
	message := &admpb.GetStatusResponse{
		Proxy:     string(admin.spec.Proxy),
		Version:   admin.spec.Version,
		Uptime:    durationpb.New(time.Since(admin.spec.Started).Round(time.Millisecond)),
		LogLevel:  admin.spec.Logging.Level(),
		LogSample: int32(admin.spec.Logging.Sample()),
	}
	err := admin.inspect(ctx, func(shared *state.State) { fillStatus(shared, message) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(message), nil
}

// SetLogging implements admpb.AdminServiceHandler.
func (admin *Admin) SetLogging(_ context.Context, request *connect.Request[admpb.SetLoggingRequest]) (*connect.Response[admpb.SetLoggingResponse], error) {
	logging := admin.spec.Logging
	if request.Msg.GetSample() < 0 {
		return nil, newError(codes.SettingInvalid, "sample: must not be negative", 0)
	}
	if level := request.Msg.GetLevel(); level != "" {
		if err := logging.SetLevel(level); err != nil {
			return nil, newError(codes.SettingInvalid, err.Error(), 0)
		}
	}
	if request.Msg.Sample != nil {
		if err := logging.SetSample(int(request.Msg.GetSample())); err != nil {
			return nil, newError(codes.SettingInvalid, err.Error(), 0)
		}
	}
	return connect.NewResponse(&admpb.SetLoggingResponse{
		Level:  logging.Level(),
		Sample: int32(logging.Sample()),
	}), nil
}

func (admin *Admin) changePlacement(ctx context.Context, command event.Command) (event.PlacementChanged, error) {
	result, err := admin.execute(ctx, command, codes.DeadlineExceeded)
	if err != nil {
		return event.PlacementChanged{}, err
	}
	changed, ok := result.(event.PlacementChanged)
	if !ok {
		return event.PlacementChanged{}, unexpectedResult(result)
	}
	return changed, nil
}

func fillStatus(shared *state.State, message *admpb.GetStatusResponse) {
	message.DataCenter = string(shared.Self().DataCenter())
	message.Revision, message.RevisionKnown = shared.Revision()
	message.Confirmed = shared.Confirmed()
	message.Draining = shared.Draining()
	message.MayPromote = shared.Promoter() != 0
	message.Deployments = int32(len(shared.Deployments()))
	message.Proxies = int32(len(shared.Proxies()))
	for _, group := range shared.Groups() {
		message.Groups++
		if group.Primary() == nil {
			message.GroupsWithoutPrimary++
		}
	}
}
