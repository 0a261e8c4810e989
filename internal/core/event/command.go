package event

import (
	"almondway.dev/almondway/internal/core/model"
)

// ApplyDeployment asks to create or to change a deployment.
type ApplyDeployment struct {
	deployment       *model.Deployment
	expectedRevision uint64
	changeID         string
	operator         string
}

// NewApplyDeployment returns a ApplyDeployment.
func NewApplyDeployment(deployment *model.Deployment, expected uint64, changeID string, operator string) ApplyDeployment {
	return ApplyDeployment{
		deployment:       deployment,
		expectedRevision: expected,
		changeID:         changeID,
		operator:         operator,
	}
}

// Deployment returns the deployment; its revision is ignored.
func (applyDeployment ApplyDeployment) Deployment() *model.Deployment {
	return applyDeployment.deployment
}

// ExpectedRevision returns the revision that the operator saw, or 0 to create.
func (applyDeployment ApplyDeployment) ExpectedRevision() uint64 {
	return applyDeployment.expectedRevision
}

// ChangeID returns the operator's idempotency key for the change.
func (applyDeployment ApplyDeployment) ChangeID() string { return applyDeployment.changeID }

// Operator returns who asks.
func (applyDeployment ApplyDeployment) Operator() string { return applyDeployment.operator }

func (ApplyDeployment) isCommand() {}

// DeleteDeployment asks to delete a deployment.
type DeleteDeployment struct {
	name             string
	expectedRevision uint64
	changeID         string
	operator         string
}

// NewDeleteDeployment returns a DeleteDeployment.
func NewDeleteDeployment(name string, expected uint64, changeID string, operator string) DeleteDeployment {
	return DeleteDeployment{name: name, expectedRevision: expected, changeID: changeID, operator: operator}
}

// Name returns the name of the deployment.
func (deleteDeployment DeleteDeployment) Name() string { return deleteDeployment.name }

// ExpectedRevision returns the revision that the operator saw.
func (deleteDeployment DeleteDeployment) ExpectedRevision() uint64 {
	return deleteDeployment.expectedRevision
}

// ChangeID returns the operator's idempotency key for the change.
func (deleteDeployment DeleteDeployment) ChangeID() string { return deleteDeployment.changeID }

// Operator returns who asks.
func (deleteDeployment DeleteDeployment) Operator() string { return deleteDeployment.operator }

func (DeleteDeployment) isCommand() {}

// GetDeployments asks for the deployments in force.
type GetDeployments struct{}

// NewGetDeployments returns a GetDeployments.
func NewGetDeployments() GetDeployments { return GetDeployments{} }

func (GetDeployments) isCommand() {}

// GetHistory asks for the accepted changes of a deployment.
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

// GetGroups asks for the view of all groups.
type GetGroups struct{}

// NewGetGroups returns a GetGroups.
func NewGetGroups() GetGroups { return GetGroups{} }

func (GetGroups) isCommand() {}

// GetProxies asks for the proxies that are known.
type GetProxies struct{}

// NewGetProxies returns a GetProxies.
func NewGetProxies() GetProxies { return GetProxies{} }

func (GetProxies) isCommand() {}

// DrainInstance asks that an instance takes no new work, or takes work again.
type DrainInstance struct {
	instance model.InstanceID
	drain    bool
}

// NewDrainInstance returns a DrainInstance.
func NewDrainInstance(instance model.InstanceID, drain bool) DrainInstance {
	return DrainInstance{instance: instance, drain: drain}
}

// Instance returns the instance.
func (drainInstance DrainInstance) Instance() model.InstanceID { return drainInstance.instance }

// Drain returns whether to drain.
func (drainInstance DrainInstance) Drain() bool { return drainInstance.drain }

func (DrainInstance) isCommand() {}

// Switchover asks to move the primary of a group on purpose.
type Switchover struct {
	group  model.GroupID
	target model.InstanceID
}

// NewSwitchover returns a Switchover.
func NewSwitchover(group model.GroupID, target model.InstanceID) Switchover {
	return Switchover{group: group, target: target}
}

// Group returns the group.
func (switchover Switchover) Group() model.GroupID { return switchover.group }

// Target returns the new primary, or empty for the most advanced replica.
func (switchover Switchover) Target() model.InstanceID { return switchover.target }

func (Switchover) isCommand() {}
