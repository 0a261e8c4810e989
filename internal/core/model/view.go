package model

import "time"

// TermView is a proxy's view of the current term and primary of a group.
type TermView struct {
	group   GroupID
	term    Term
	primary InstanceID
}

// NewTermView returns a TermView.
func NewTermView(group GroupID, term Term, primary InstanceID) TermView {
	return TermView{
		group:   group,
		term:    term,
		primary: primary,
	}
}

// Group returns the group.
func (termView TermView) Group() GroupID { return termView.group }

// Term returns the highest term whose primary is known.
func (termView TermView) Term() Term { return termView.term }

// Primary returns the primary of the term.
func (termView TermView) Primary() InstanceID { return termView.primary }

// InstanceView is a proxy's view of an instance.
type InstanceView struct {
	instance  Instance
	status    Status
	age       time.Duration
	reachable bool
	leaving   bool
}

// NewInstanceView returns an InstanceView.
func NewInstanceView(instance Instance, status Status, age time.Duration, reachable bool, leaving bool) InstanceView {
	return InstanceView{
		instance:  instance,
		status:    status,
		age:       age,
		reachable: reachable,
		leaving:   leaving,
	}
}

// Instance returns the instance.
func (instanceView InstanceView) Instance() Instance { return instanceView.instance }

// Status returns the last status that the instance reported.
func (instanceView InstanceView) Status() Status { return instanceView.status }

// Age returns the time since the probe for the last status was sent.
func (instanceView InstanceView) Age() time.Duration { return instanceView.age }

// Reachable reports whether the last probe was answered.
func (instanceView InstanceView) Reachable() bool { return instanceView.reachable }

// Leaving reports whether the instance accepts no new work.
func (instanceView InstanceView) Leaving() bool { return instanceView.leaving }

// GroupView is a proxy's view of a group.
type GroupView struct {
	id        GroupID
	term      Term
	primary   InstanceID
	instances []InstanceView
}

// NewGroupView returns a GroupView.
func NewGroupView(id GroupID, term Term, primary InstanceID, instances []InstanceView) GroupView {
	return GroupView{
		id:        id,
		term:      term,
		primary:   primary,
		instances: instances,
	}
}

// ID returns the ID of the group.
func (groupView GroupView) ID() GroupID { return groupView.id }

// Term returns the highest term whose primary is known.
func (groupView GroupView) Term() Term { return groupView.term }

// Primary returns the primary of the term, or the empty string if none is known.
func (groupView GroupView) Primary() InstanceID { return groupView.primary }

// Instances returns the views of the group's instances.
func (groupView GroupView) Instances() []InstanceView { return groupView.instances }

// ProxyView is a proxy's view of another proxy or of itself.
type ProxyView struct {
	id         ProxyID
	address    string
	dataCenter DataCenter
	revision   uint64
	draining   bool
	age        time.Duration
	cores      float64
}

// NewProxyView returns a ProxyView.
func NewProxyView(id ProxyID, address string, dataCenter DataCenter, revision uint64, draining bool, age time.Duration) ProxyView {
	return ProxyView{
		id:         id,
		address:    address,
		dataCenter: dataCenter,
		revision:   revision,
		draining:   draining,
		age:        age,
	}
}

// WithCores returns a copy with the number of processor cores that the proxy may use.
func (proxyView ProxyView) WithCores(cores float64) ProxyView {
	proxyView.cores = cores
	return proxyView
}

// Cores returns the number of processor cores that the proxy may use, or 0 if it is unknown.
func (proxyView ProxyView) Cores() float64 { return proxyView.cores }

// ID returns the ID of the proxy.
func (proxyView ProxyView) ID() ProxyID { return proxyView.id }

// Address returns the "ip:port" at which the proxy accepts messages of other proxies.
func (proxyView ProxyView) Address() string { return proxyView.address }

// DataCenter returns the data centre.
func (proxyView ProxyView) DataCenter() DataCenter { return proxyView.dataCenter }

// Revision returns the revision of the deployments that the proxy applies.
func (proxyView ProxyView) Revision() uint64 { return proxyView.revision }

// Draining reports whether the proxy is shutting down.
func (proxyView ProxyView) Draining() bool { return proxyView.draining }

// Age returns the time since the last message of the proxy.
func (proxyView ProxyView) Age() time.Duration { return proxyView.age }

// Change is an accepted change to a deployment.
type Change struct {
	revision   uint64
	name       string
	changeID   string
	operator   string
	at         time.Time
	deleted    bool
	deployment *Deployment
}

// NewChange returns a Change.
func NewChange(revision uint64, name string, changeID string, operator string, at time.Time, deleted bool, deployment *Deployment) Change {
	return Change{
		revision:   revision,
		name:       name,
		changeID:   changeID,
		operator:   operator,
		at:         at,
		deleted:    deleted,
		deployment: deployment,
	}
}

// Revision returns the revision that the change created.
func (change Change) Revision() uint64 { return change.revision }

// Name returns the name of the deployment.
func (change Change) Name() string { return change.name }

// ChangeID returns the operator's idempotency key.
func (change Change) ChangeID() string { return change.changeID }

// Operator returns the name of the operator that made the change.
func (change Change) Operator() string { return change.operator }

// At returns the time at which the change was accepted.
func (change Change) At() time.Time { return change.at }

// Deleted reports whether the change deleted the deployment.
func (change Change) Deleted() bool { return change.deleted }

// Deployment returns the deployment after the change, or nil if it was deleted.
func (change Change) Deployment() *Deployment { return change.deployment }
