// Package schema converts between model values and the Protocol Buffers messages
// of the administration API.
package schema

import (
	"math"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/proto/admpb"
)

// FromDeployment returns the message for a deployment, or nil for nil.
func FromDeployment(deployment *model.Deployment) *admpb.Deployment {
	if deployment == nil {
		return nil
	}
	message := &admpb.Deployment{
		Name:        deployment.Name(),
		Revision:    deployment.Revision(),
		DefaultKind: deployment.DefaultKind(),
		LagPolicy:   fromLagPolicy(deployment.LagPolicy()),
		Weight:      clampInt32(deployment.Weight()),
		MaxWaiting:  clampInt32(deployment.MaxWaiting()),
	}
	for _, group := range deployment.Groups() {
		message.Groups = append(message.Groups, string(group))
	}
	for _, kind := range deployment.Kinds() {
		message.Kinds = append(message.Kinds, &admpb.Kind{
			Name:       kind.Name(),
			Access:     fromAccess(kind.Access()),
			Staleness:  fromDuration(kind.Staleness()),
			Idempotent: kind.Idempotent(),
			Group:      string(kind.Group()),
			Timeout:    fromDuration(kind.Timeout()),
		})
	}
	for _, class := range deployment.Classes() {
		message.Callers = append(message.Callers, &admpb.CallerClass{
			Name:           class.Name(),
			ReadYourWrites: class.ReadYourWrites(),
			MaxConcurrent:  clampInt32(class.MaxConcurrent()),
		})
	}
	return message
}

// FromDeployments returns the messages for deployments, in the same order.
func FromDeployments(deployments []*model.Deployment) []*admpb.Deployment {
	messages := make([]*admpb.Deployment, 0, len(deployments))
	for _, deployment := range deployments {
		messages = append(messages, FromDeployment(deployment))
	}
	return messages
}

// ToDeployment returns the deployment that a message describes, or nil for nil.
// It does not validate the values; see model.Validate.
func ToDeployment(message *admpb.Deployment) *model.Deployment {
	if message == nil {
		return nil
	}
	spec := model.DeploymentSpec{
		Name:        message.GetName(),
		Revision:    message.GetRevision(),
		DefaultKind: message.GetDefaultKind(),
		LagPolicy:   toLagPolicy(message.GetLagPolicy()),
		Weight:      int(message.GetWeight()),
		MaxWaiting:  int(message.GetMaxWaiting()),
	}
	for _, group := range message.GetGroups() {
		spec.Groups = append(spec.Groups, model.GroupID(group))
	}
	for _, kind := range message.GetKinds() {
		spec.Kinds = append(spec.Kinds, model.NewKind(model.KindSpec{
			Name:       kind.GetName(),
			Access:     toAccess(kind.GetAccess()),
			Staleness:  kind.GetStaleness().AsDuration(),
			Idempotent: kind.GetIdempotent(),
			Group:      model.GroupID(kind.GetGroup()),
			Timeout:    kind.GetTimeout().AsDuration(),
		}))
	}
	for _, class := range message.GetCallers() {
		spec.Classes = append(spec.Classes, model.NewCallerClass(model.CallerClassSpec{
			Name:           class.GetName(),
			ReadYourWrites: class.GetReadYourWrites(),
			MaxConcurrent:  int(class.GetMaxConcurrent()),
		}))
	}
	return model.NewDeployment(spec)
}

// FromChanges returns the messages for accepted changes, in the same order.
func FromChanges(changes []model.Change) []*admpb.Change {
	messages := make([]*admpb.Change, 0, len(changes))
	for _, change := range changes {
		messages = append(messages, &admpb.Change{
			Revision:   change.Revision(),
			Name:       change.Name(),
			ChangeId:   change.ChangeID(),
			Operator:   change.Operator(),
			Time:       timestamppb.New(change.At()),
			Deleted:    change.Deleted(),
			Deployment: FromDeployment(change.Deployment()),
		})
	}
	return messages
}

func clampInt32(number int) int32 {
	return int32(min(max(number, math.MinInt32), math.MaxInt32))
}

func fromAccess(access model.Access) admpb.Access {
	switch access {
	case model.AccessRead:
		return admpb.Access_ACCESS_READ
	case model.AccessWrite:
		return admpb.Access_ACCESS_WRITE
	default:
		return admpb.Access_ACCESS_UNSPECIFIED
	}
}

func toAccess(access admpb.Access) model.Access {
	switch access {
	case admpb.Access_ACCESS_READ:
		return model.AccessRead
	case admpb.Access_ACCESS_WRITE:
		return model.AccessWrite
	default:
		return ""
	}
}

func fromLagPolicy(lagPolicy model.LagPolicy) admpb.LagPolicy {
	switch lagPolicy {
	case model.LagWait:
		return admpb.LagPolicy_LAG_POLICY_WAIT
	case model.LagPrimary:
		return admpb.LagPolicy_LAG_POLICY_PRIMARY
	default:
		return admpb.LagPolicy_LAG_POLICY_UNSPECIFIED
	}
}

func toLagPolicy(lagPolicy admpb.LagPolicy) model.LagPolicy {
	switch lagPolicy {
	case admpb.LagPolicy_LAG_POLICY_WAIT:
		return model.LagWait
	case admpb.LagPolicy_LAG_POLICY_PRIMARY:
		return model.LagPrimary
	default:
		return ""
	}
}

func fromDuration(duration time.Duration) *durationpb.Duration {
	if duration == 0 {
		return nil
	}
	return durationpb.New(duration)
}
