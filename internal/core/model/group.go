package model

import "time"

// Role is the role that an instance reports for itself within its group.
type Role int

// The roles of an instance.
const (
	RoleReplica Role = iota
	RolePrimary
)

// String returns the lower-case name of the Role.
func (role Role) String() string {
	if role == RolePrimary {
		return "primary"
	}
	return "replica"
}

// Instance is a member of a database group, as the platform lists it.
type Instance struct {
	id         InstanceID
	address    string
	dataCenter DataCenter
	slots      int
	maxConns   int
}

// NewInstance returns an Instance that listens at address, an "ip:port".
func NewInstance(id InstanceID, address string, dataCenter DataCenter) Instance {
	return Instance{id: id, address: address, dataCenter: dataCenter}
}

// ID returns the name of the Instance.
func (instance Instance) ID() InstanceID { return instance.id }

// Address returns the "ip:port" at which the Instance listens.
func (instance Instance) Address() string { return instance.address }

// DataCenter returns the data centre of the Instance.
func (instance Instance) DataCenter() DataCenter { return instance.dataCenter }

// WithCapacity returns a copy that runs up to slots concurrent statements and
// accepts up to maxConns connections from all proxies together; 0 selects the
// proxy's own setting.
func (instance Instance) WithCapacity(slots, maxConns int) Instance {
	instance.slots = slots
	instance.maxConns = maxConns
	return instance
}

// Slots returns the maximum number of concurrent statements of the Instance, or 0 if unknown.
func (instance Instance) Slots() int { return instance.slots }

// MaxConns returns the maximum number of connections that the Instance accepts from all proxies together, or 0 if unknown.
func (instance Instance) MaxConns() int { return instance.maxConns }

// Group is a database group, as the platform lists it.
type Group struct {
	id          GroupID
	instances   []Instance
	replication Replication
	maxConns    int
}

// NewGroup returns a Group of the given instances with ProxyAcknowledged replication.
func NewGroup(id GroupID, instances []Instance) Group {
	return Group{id: id, instances: instances, replication: ProxyAcknowledged{}}
}

// WithReplication returns a copy with the given replication.
func (group Group) WithReplication(replication Replication) Group {
	group.replication = replication
	return group
}

// WithMaxConns returns a copy in which each instance accepts up to maxConns
// connections from all proxies together.
func (group Group) WithMaxConns(maxConns int) Group {
	group.maxConns = maxConns
	return group
}

// MaxConns returns the maximum number of connections that each instance accepts
// from all proxies together, or 0 if unknown.
func (group Group) MaxConns() int { return group.maxConns }

// Replication returns how the Group replicates and acknowledges commits.
func (group Group) Replication() Replication { return group.replication }

// ID returns the name of the Group.
func (group Group) ID() GroupID { return group.id }

// Instances returns the members in the platform's order. The slice must not be modified.
func (group Group) Instances() []Instance { return group.instances }

// Status is an instance's report about itself.
type Status struct {
	fence          Term
	role           Role
	tail           Mark
	upstream       InstanceID
	primarySilence time.Duration
	leaving        bool
	pausedTerm     Term
}

// NewStatus returns a Status. The fence is the highest term that the instance
// accepted, the tail is the end of its log, upstream is the primary that it
// replicates from (empty on a primary), and primarySilence is the time since the
// last message of that primary.
func NewStatus(fence Term, role Role, tail Mark, upstream InstanceID, primarySilence time.Duration, leaving bool) Status {
	return Status{
		fence:          fence,
		role:           role,
		tail:           tail,
		upstream:       upstream,
		primarySilence: primarySilence,
		leaving:        leaving,
	}
}

// WithPausedTerm returns a copy for a replica whose replication was paused by an
// order of the given term; 0 means that replication is not paused.
func (status Status) WithPausedTerm(term Term) Status {
	status.pausedTerm = term
	return status
}

// PausedTerm returns the term of the order that paused the replication of a
// replica, or 0 if it is not paused.
func (status Status) PausedTerm() Term { return status.pausedTerm }

// Fence returns the highest term that the instance accepted. It rejects orders of lower terms.
func (status Status) Fence() Term { return status.fence }

// Role returns the role that the instance reports for itself.
func (status Status) Role() Role { return status.role }

// Tail returns the Mark of the last entry in the instance's log.
func (status Status) Tail() Mark { return status.tail }

// Upstream returns the primary that a replica replicates from. It is empty on a primary.
func (status Status) Upstream() InstanceID { return status.upstream }

// PrimarySilence returns the time since a replica last received a message from its primary.
func (status Status) PrimarySilence() time.Duration { return status.primarySilence }

// Leaving reports whether the instance's backend server is shutting down.
func (status Status) Leaving() bool { return status.leaving }

// InTerm reports whether the instance has the log of term: its fence is term
// and the last entry of its log was written in term.
func (status Status) InTerm(term Term) bool {
	return status.fence == term && status.tail.Term() == term
}

// Host is an entry in the platform's list of backend servers. The list may be out of date.
type Host struct {
	instance InstanceID
	leaving  bool
}

// NewHost returns the list entry of the host on which instance runs.
func NewHost(instance InstanceID, leaving bool) Host {
	return Host{instance: instance, leaving: leaving}
}

// Instance returns the instance that runs on the Host.
func (host Host) Instance() InstanceID { return host.instance }

// Leaving reports whether the list marks the Host as shutting down.
func (host Host) Leaving() bool { return host.leaving }
