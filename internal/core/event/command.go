package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// ApplyDeployment creates or changes a deployment. The result is ChangeAccepted or
// CommandFailed.
type ApplyDeployment struct {
	deployment       *model.Deployment
	expectedRevision uint64
	changeID         string
	operator         string
}

// NewApplyDeployment returns an ApplyDeployment. expectedRevision is 0 to create the
// deployment.
func NewApplyDeployment(deployment *model.Deployment, expectedRevision uint64, changeID string, operator string) ApplyDeployment {
	return ApplyDeployment{
		deployment:       deployment,
		expectedRevision: expectedRevision,
		changeID:         changeID,
		operator:         operator,
	}
}

// Deployment returns the new state of the deployment. Its revision is ignored.
func (applyDeployment ApplyDeployment) Deployment() *model.Deployment {
	return applyDeployment.deployment
}

// ExpectedRevision returns the revision on which the operator based the change, or 0 to
// create the deployment.
func (applyDeployment ApplyDeployment) ExpectedRevision() uint64 {
	return applyDeployment.expectedRevision
}

// ChangeID returns the operator's idempotency key for the change.
func (applyDeployment ApplyDeployment) ChangeID() string { return applyDeployment.changeID }

// Operator returns the name of the operator.
func (applyDeployment ApplyDeployment) Operator() string { return applyDeployment.operator }

func (ApplyDeployment) isCommand() {}

// DeleteDeployment deletes a deployment. The result is ChangeAccepted or CommandFailed.
type DeleteDeployment struct {
	name             string
	expectedRevision uint64
	changeID         string
	operator         string
}

// NewDeleteDeployment returns a DeleteDeployment.
func NewDeleteDeployment(name string, expectedRevision uint64, changeID string, operator string) DeleteDeployment {
	return DeleteDeployment{name: name, expectedRevision: expectedRevision, changeID: changeID, operator: operator}
}

// Name returns the name of the deployment.
func (deleteDeployment DeleteDeployment) Name() string { return deleteDeployment.name }

// ExpectedRevision returns the revision on which the operator based the change.
func (deleteDeployment DeleteDeployment) ExpectedRevision() uint64 {
	return deleteDeployment.expectedRevision
}

// ChangeID returns the operator's idempotency key for the change.
func (deleteDeployment DeleteDeployment) ChangeID() string { return deleteDeployment.changeID }

// Operator returns the name of the operator.
func (deleteDeployment DeleteDeployment) Operator() string { return deleteDeployment.operator }

func (DeleteDeployment) isCommand() {}

// GetDeployments requests the deployments in force. The result is Deployments.
type GetDeployments struct{}

// NewGetDeployments returns a GetDeployments.
func NewGetDeployments() GetDeployments { return GetDeployments{} }

func (GetDeployments) isCommand() {}

// GetHistory requests the accepted changes of a deployment. The result is History or
// CommandFailed.
type GetHistory struct {
	name string
}

// NewGetHistory returns a GetHistory.
func NewGetHistory(name string) GetHistory {
	return GetHistory{name: name}
}

// Name returns the name of the deployment.
func (getHistory GetHistory) Name() string { return getHistory.name }

func (GetHistory) isCommand() {}

// GetGroups requests the views of all groups. The result is Groups.
type GetGroups struct{}

// NewGetGroups returns a GetGroups.
func NewGetGroups() GetGroups { return GetGroups{} }

func (GetGroups) isCommand() {}

// GetProxies requests the list of known proxies. The result is Proxies.
type GetProxies struct{}

// NewGetProxies returns a GetProxies.
func NewGetProxies() GetProxies { return GetProxies{} }

func (GetProxies) isCommand() {}

// DrainInstance starts or ends the drain of an instance. A drained instance gets no new
// work. The result is PlacementChanged or CommandFailed.
type DrainInstance struct {
	instance model.InstanceID
	drain    bool
}

// NewDrainInstance returns a DrainInstance. drain is false to end the drain.
func NewDrainInstance(instance model.InstanceID, drain bool) DrainInstance {
	return DrainInstance{instance: instance, drain: drain}
}

// Instance returns the instance.
func (drainInstance DrainInstance) Instance() model.InstanceID { return drainInstance.instance }

// Drain returns whether the drain starts (true) or ends (false).
func (drainInstance DrainInstance) Drain() bool { return drainInstance.drain }

func (DrainInstance) isCommand() {}

// Switchover moves the primary of a group as a planned operation. The result is
// PlacementChanged or CommandFailed.
type Switchover struct {
	group  model.GroupID
	target model.InstanceID
}

// NewSwitchover returns a Switchover. An empty target selects the most advanced replica.
func NewSwitchover(group model.GroupID, target model.InstanceID) Switchover {
	return Switchover{group: group, target: target}
}

// Group returns the group.
func (switchover Switchover) Group() model.GroupID { return switchover.group }

// Target returns the new primary, or an empty identifier for the most advanced replica.
func (switchover Switchover) Target() model.InstanceID { return switchover.target }

func (Switchover) isCommand() {}
