package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// CommandFailed reports that an operator's command was refused or failed. The command has
// changed nothing, except that with codes.AcceptanceUnknown the change may be in force.
type CommandFailed struct {
	code       codes.Code
	detail     string
	retryAfter time.Duration
}

// NewCommandFailed returns a CommandFailed. retryAfter is 0 for no retry hint.
func NewCommandFailed(code codes.Code, detail string, retryAfter time.Duration) CommandFailed {
	return CommandFailed{code: code, detail: detail, retryAfter: retryAfter}
}

// Code returns the result code that states the reason.
func (commandFailed CommandFailed) Code() codes.Code { return commandFailed.code }

// Detail returns information for the operator beyond the meaning of the code.
func (commandFailed CommandFailed) Detail() string { return commandFailed.detail }

// RetryAfter returns the delay after which the operator may try again, or 0 for no hint.
func (commandFailed CommandFailed) RetryAfter() time.Duration { return commandFailed.retryAfter }

func (CommandFailed) isResult() {}

// ChangeAccepted reports that a change of the deployments is accepted.
type ChangeAccepted struct {
	revision uint64
	inForce  int
	proxies  int
}

// NewChangeAccepted returns a ChangeAccepted. inForce and proxies count live proxies.
func NewChangeAccepted(revision uint64, inForce int, proxies int) ChangeAccepted {
	return ChangeAccepted{revision: revision, inForce: inForce, proxies: proxies}
}

// Revision returns the revision of the change.
func (changeAccepted ChangeAccepted) Revision() uint64 { return changeAccepted.revision }

// InForce returns the number of live proxies that have the revision in force.
func (changeAccepted ChangeAccepted) InForce() int { return changeAccepted.inForce }

// Proxies returns the number of known live proxies.
func (changeAccepted ChangeAccepted) Proxies() int { return changeAccepted.proxies }

func (ChangeAccepted) isResult() {}

// Deployments lists the deployments in force.
type Deployments struct {
	revision    uint64
	deployments []*model.Deployment
}

// NewDeployments returns a Deployments.
func NewDeployments(revision uint64, deployments []*model.Deployment) Deployments {
	return Deployments{revision: revision, deployments: deployments}
}

// Revision returns the revision in force.
func (deployments Deployments) Revision() uint64 { return deployments.revision }

// Deployments returns the deployments, in ascending order of their names.
func (deployments Deployments) Deployments() []*model.Deployment { return deployments.deployments }

func (Deployments) isResult() {}

// History lists the accepted changes of a deployment.
type History struct {
	changes []model.Change
}

// NewHistory returns a History. The changes are in order, newest first.
func NewHistory(changes []model.Change) History {
	return History{changes: changes}
}

// Changes returns the changes, newest first.
func (history History) Changes() []model.Change { return history.changes }

func (History) isResult() {}

// Groups lists the views of the groups.
type Groups struct {
	groups []model.GroupView
}

// NewGroups returns a Groups.
func NewGroups(groups []model.GroupView) Groups {
	return Groups{groups: groups}
}

// Groups returns the views, in ascending order of their names.
func (groups Groups) Groups() []model.GroupView { return groups.groups }

func (Groups) isResult() {}

// Proxies lists the known proxies.
type Proxies struct {
	proxies []model.ProxyView
}

// NewProxies returns a Proxies.
func NewProxies(proxies []model.ProxyView) Proxies {
	return Proxies{proxies: proxies}
}

// Proxies returns the proxies, in ascending order of their names.
func (proxies Proxies) Proxies() []model.ProxyView { return proxies.proxies }

func (Proxies) isResult() {}

// PlacementChanged reports that a group has a new primary, or that the drain state of
// an instance changed.
type PlacementChanged struct {
	term     model.Term
	instance model.InstanceID
}

// NewPlacementChanged returns a PlacementChanged. term is 0 for a change of a drain
// state.
func NewPlacementChanged(term model.Term, instance model.InstanceID) PlacementChanged {
	return PlacementChanged{term: term, instance: instance}
}

// Term returns the new term, or 0 for a change of a drain state.
func (placementChanged PlacementChanged) Term() model.Term { return placementChanged.term }

// Instance returns the new primary, or the instance whose drain state changed.
func (placementChanged PlacementChanged) Instance() model.InstanceID {
	return placementChanged.instance
}

func (PlacementChanged) isResult() {}
