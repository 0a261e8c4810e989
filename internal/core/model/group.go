package model

import "time"

// Role is what an instance believes it is within its group.
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

// WithCapacity returns a copy that runs slots statements at once and takes conns
// connections from all proxies together; 0 stands for the proxy's own settings.
func (instance Instance) WithCapacity(slots, conns int) Instance {
	instance.slots = slots
	instance.maxConns = conns
	return instance
}

// Slots returns how many statements the Instance runs at once, or 0 if it is not known.
func (instance Instance) Slots() int { return instance.slots }

// MaxConns returns how many connections the Instance takes, or 0 if it is not known.
func (instance Instance) MaxConns() int { return instance.maxConns }

// Group is a database group, as the platform lists it.
type Group struct {
	id          GroupID
	instances   []Instance
	replication Replication
	maxConns    int
}

// NewGroup returns a Group of the given instances that acknowledges by majority.
func NewGroup(id GroupID, instances []Instance) Group {
	return Group{id: id, instances: instances, replication: ProxyAcknowledged{}}
}

// WithReplication returns a copy with another kind of replication.
func (group Group) WithReplication(replication Replication) Group {
	group.replication = replication
	return group
}

// WithMaxConns returns a copy each of whose instances takes conns connections from
// all proxies together.
func (group Group) WithMaxConns(conns int) Group {
	group.maxConns = conns
	return group
}

// MaxConns returns how many connections an instance takes, or 0 if it is not known.
func (group Group) MaxConns() int { return group.maxConns }

// Replication returns how the instances make a commit safe.
func (group Group) Replication() Replication { return group.replication }

// ID returns the name of the Group.
func (group Group) ID() GroupID { return group.id }

// Instances returns the members in the platform's order. Callers must not change it.
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

// NewStatus returns a Status. fence is the highest term that the instance
// accepted, tail is the end of its log, upstream is the primary it copies from
// (empty on a primary), and primarySilence is the time since it last heard from it.
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

// WithPausedTerm returns a copy of the report of a replica that receives nothing by
// an order of the given term; 0 stands for none.
func (status Status) WithPausedTerm(term Term) Status {
	status.pausedTerm = term
	return status
}

// PausedTerm returns the term of the order by which a replica receives nothing, or 0.
func (status Status) PausedTerm() Term { return status.pausedTerm }

// Fence returns the highest term that the instance accepted. It refuses orders of lower terms.
func (status Status) Fence() Term { return status.fence }

// Role returns what the instance believes it is.
func (status Status) Role() Role { return status.role }

// Tail returns the Mark of the last entry in the instance's log.
func (status Status) Tail() Mark { return status.tail }

// Upstream returns the primary that a replica copies from.
func (status Status) Upstream() InstanceID { return status.upstream }

// PrimarySilence returns the time since a replica last heard from its primary.
func (status Status) PrimarySilence() time.Duration { return status.primarySilence }

// Leaving reports whether the instance's backend server is shutting down.
func (status Status) Leaving() bool { return status.leaving }

// InTerm reports whether the instance holds the log of term: it is fenced with
// term and its last entry was written in term.
func (status Status) InTerm(term Term) bool {
	return status.fence == term && status.tail.Term() == term
}

// Host is an entry of the platform's list of backend servers. The list lags.
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

// Leaving reports whether the Host is listed as leaving.
func (host Host) Leaving() bool { return host.leaving }
