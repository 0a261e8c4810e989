package event

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
)

// CommandFailed tells an operator that nothing was done.
type CommandFailed struct {
	code       codes.Code
	detail     string
	retryAfter time.Duration
}

// NewCommandFailed returns a Refused.
func NewCommandFailed(code codes.Code, detail string, retryAfter time.Duration) CommandFailed {
	return CommandFailed{code: code, detail: detail, retryAfter: retryAfter}
}

// Code returns why.
func (refused CommandFailed) Code() codes.Code { return refused.code }

// Detail returns what an operator should know beyond the meaning of the code.
func (refused CommandFailed) Detail() string { return refused.detail }

// RetryAfter returns when to come back, or 0.
func (refused CommandFailed) RetryAfter() time.Duration { return refused.retryAfter }

func (CommandFailed) isResult() {}

// ChangeAccepted tells an operator that a change is accepted.
type ChangeAccepted struct {
	revision uint64
	inForce  int
	proxies  int
}

// NewChangeAccepted returns a Applied.
func NewChangeAccepted(revision uint64, inForce int, proxies int) ChangeAccepted {
	return ChangeAccepted{revision: revision, inForce: inForce, proxies: proxies}
}

// Revision returns the revision of the change.
func (applied ChangeAccepted) Revision() uint64 { return applied.revision }

// InForce returns how many live proxies have the revision in force.
func (applied ChangeAccepted) InForce() int { return applied.inForce }

// Proxies returns how many live proxies are known.
func (applied ChangeAccepted) Proxies() int { return applied.proxies }

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

// NewHistory returns a History.
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

// PlacementChanged tells an operator that a group has a new primary, or that an instance's drain state changed.
type PlacementChanged struct {
	term     model.Term
	instance model.InstanceID
}

// NewPlacementChanged returns a Moved.
func NewPlacementChanged(term model.Term, instance model.InstanceID) PlacementChanged {
	return PlacementChanged{term: term, instance: instance}
}

// Term returns the new term, or 0 for a drain.
func (moved PlacementChanged) Term() model.Term { return moved.term }

// Instance returns the new primary, or the drained instance.
func (moved PlacementChanged) Instance() model.InstanceID { return moved.instance }

func (PlacementChanged) isResult() {}
