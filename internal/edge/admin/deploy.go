package admin

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

// maxFieldBytes limits a change ID and an operator's name.
const maxFieldBytes = 200

// ApplyDeployment implements admpb.AdminServiceHandler.
func (admin *Admin) ApplyDeployment(ctx context.Context, request *connect.Request[admpb.ApplyDeploymentRequest]) (*connect.Response[admpb.ApplyDeploymentResponse], error) {
	message := request.Msg
	if err := checkChangeFields(message.GetChangeId(), message.GetOperator()); err != nil {
		return nil, err
	}
	if message.GetDeployment() == nil {
		return nil, newError(codes.InvalidDeployment, "deployment: missing", 0)
	}
	deployment := schema.ToDeployment(message.GetDeployment())
	if err := admin.checkDeployment(ctx, deployment); err != nil {
		return nil, err
	}
	operator := operatorName(ctx, message.GetOperator())
	command := event.NewApplyDeployment(deployment, message.GetExpectedRevision(), message.GetChangeId(), operator)
	accepted, err := admin.applyChange(ctx, command)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&admpb.ApplyDeploymentResponse{
		Revision: accepted.Revision(),
		InForce:  int32(accepted.InForce()),
		Proxies:  int32(accepted.Proxies()),
	}), nil
}

// DeleteDeployment implements admpb.AdminServiceHandler.
func (admin *Admin) DeleteDeployment(ctx context.Context, request *connect.Request[admpb.DeleteDeploymentRequest]) (*connect.Response[admpb.DeleteDeploymentResponse], error) {
	message := request.Msg
	if err := checkChangeFields(message.GetChangeId(), message.GetOperator()); err != nil {
		return nil, err
	}
	operator := operatorName(ctx, message.GetOperator())
	command := event.NewDeleteDeployment(message.GetName(), message.GetExpectedRevision(), message.GetChangeId(), operator)
	accepted, err := admin.applyChange(ctx, command)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&admpb.DeleteDeploymentResponse{
		Revision: accepted.Revision(),
		InForce:  int32(accepted.InForce()),
		Proxies:  int32(accepted.Proxies()),
	}), nil
}

// GetDeployment implements admpb.AdminServiceHandler.
func (admin *Admin) GetDeployment(ctx context.Context, request *connect.Request[admpb.GetDeploymentRequest]) (*connect.Response[admpb.GetDeploymentResponse], error) {
	var found *model.Deployment
	err := admin.inspect(ctx, func(shared *state.State) { found, _ = shared.Deployment(request.Msg.GetName()) })
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, newError(codes.DeploymentNotFound, request.Msg.GetName(), 0)
	}
	return connect.NewResponse(&admpb.GetDeploymentResponse{Deployment: schema.FromDeployment(found)}), nil
}

// ListDeployments implements admpb.AdminServiceHandler.
func (admin *Admin) ListDeployments(ctx context.Context, _ *connect.Request[admpb.ListDeploymentsRequest]) (*connect.Response[admpb.ListDeploymentsResponse], error) {
	revision, deployments, err := admin.catalog(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&admpb.ListDeploymentsResponse{
		Revision:    revision,
		Deployments: schema.FromDeployments(deployments),
	}), nil
}

// ListChanges implements admpb.AdminServiceHandler.
func (admin *Admin) ListChanges(ctx context.Context, request *connect.Request[admpb.ListChangesRequest]) (*connect.Response[admpb.ListChangesResponse], error) {
	result, err := admin.execute(ctx, event.NewGetHistory(request.Msg.GetName()), codes.DeadlineExceeded)
	if err != nil {
		return nil, err
	}
	history, ok := result.(event.History)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return connect.NewResponse(&admpb.ListChangesResponse{Changes: schema.FromChanges(history.Changes())}), nil
}

// WatchDeployments implements admpb.AdminServiceHandler.
func (admin *Admin) WatchDeployments(ctx context.Context, _ *connect.Request[admpb.WatchDeploymentsRequest], stream *connect.ServerStream[admpb.WatchDeploymentsResponse]) error {
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	for lastSent, first := uint64(0), true; ; first = false {
		revision, deployments, err := admin.catalog(ctx)
		if err != nil {
			return err
		}
		if first || revision > lastSent {
			lastSent = revision
			message := &admpb.WatchDeploymentsResponse{Revision: revision, Deployments: schema.FromDeployments(deployments)}
			if err := stream.Send(message); err != nil {
				return err
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (admin *Admin) applyChange(ctx context.Context, command event.Command) (event.ChangeAccepted, error) {
	result, err := admin.execute(ctx, command, codes.AcceptanceUnknown)
	if err != nil {
		return event.ChangeAccepted{}, err
	}
	accepted, ok := result.(event.ChangeAccepted)
	if !ok {
		return event.ChangeAccepted{}, unexpectedResult(result)
	}
	return accepted, nil
}

func (admin *Admin) catalog(ctx context.Context) (uint64, []*model.Deployment, error) {
	var revision uint64
	var deployments []*model.Deployment
	err := admin.inspect(ctx, func(shared *state.State) {
		revision, _ = shared.Revision()
		deployments = shared.Deployments()
	})
	return revision, deployments, err
}

// checkDeployment returns an error that lists all violations of an invalid deployment,
// including groups that the platform does not list.
func (admin *Admin) checkDeployment(ctx context.Context, deployment *model.Deployment) error {
	var violations []string
	for _, violation := range model.Validate(deployment) {
		violations = append(violations, violation.Error())
	}
	err := admin.inspect(ctx, func(shared *state.State) {
		for _, group := range deployment.Groups() {
			if shared.Group(group) == nil {
				violations = append(violations, "groups: the platform does not list group "+string(group))
			}
		}
	})
	if err != nil {
		return err
	}
	if len(violations) > 0 {
		return newError(codes.InvalidDeployment, strings.Join(violations, "; "), 0)
	}
	return nil
}

func checkChangeFields(changeID, operator string) error {
	if changeID == "" || len(changeID) > maxFieldBytes {
		return newError(codes.InvalidDeployment, "change_id: must be 1 to 200 bytes long", 0)
	}
	if len(operator) > maxFieldBytes {
		return newError(codes.InvalidDeployment, "operator: must be at most 200 bytes long", 0)
	}
	return nil
}
