package model

import (
	"slices"
	"time"
)

// Access is the access mode of a kind of request.
type Access string

// The access modes of a kind.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
	// AccessEither permits reads and writes; each statement determines whether it writes.
	AccessEither Access = "either"
)

// LagPolicy determines how a read proceeds when no replica is recent enough.
type LagPolicy string

// The policies for lagging replicas.
const (
	// LagWait waits for a replica until shortly before the deadline, which keeps load off the primary.
	LagWait LagPolicy = "wait"
	// LagPrimary reads from the primary without waiting.
	LagPrimary LagPolicy = "primary"
)

// KindSpec lists the fields of a new Kind.
type KindSpec struct {
	Name          string
	Access        Access
	Staleness     time.Duration
	SeesOwnWrites bool
	Idempotent    bool
	Group         GroupID
	Timeout       time.Duration
	TargetLatency time.Duration
	TxIdleTimeout time.Duration
}

// Kind is a kind of request that a deployment defines. It is immutable.
type Kind struct {
	spec KindSpec
}

// NewKind returns the Kind that spec describes.
func NewKind(spec KindSpec) Kind { return Kind{spec: spec} }

// Name returns the name by which requests refer to the Kind.
func (kind Kind) Name() string { return kind.spec.Name }

// Access returns the access mode of the Kind.
func (kind Kind) Access() Access { return kind.spec.Access }

// Staleness returns the maximum age of the data that a read may return; 0 permits no stale data.
func (kind Kind) Staleness() time.Duration { return kind.spec.Staleness }

// SeesOwnWrites reports whether a read that permits stale data still sees every
// write that its own session committed.
func (kind Kind) SeesOwnWrites() bool { return kind.spec.SeesOwnWrites }

// TargetLatency returns the time within which callers expect the answer, or 0 if none is configured.
func (kind Kind) TargetLatency() time.Duration { return kind.spec.TargetLatency }

// TxIdleTimeout returns how long a transaction may be idle between two statements; 0 sets no limit.
func (kind Kind) TxIdleTimeout() time.Duration { return kind.spec.TxIdleTimeout }

// Idempotent reports whether a write may be executed more than once.
func (kind Kind) Idempotent() bool { return kind.spec.Idempotent }

// Group returns the group of the Kind, or the empty string if the request selects the group.
func (kind Kind) Group() GroupID { return kind.spec.Group }

// Timeout returns the time within which a request of the Kind gets its final answer.
func (kind Kind) Timeout() time.Duration { return kind.spec.Timeout }

// CallerClassSpec lists the fields of a new CallerClass.
type CallerClassSpec struct {
	Name           string
	ReadYourWrites bool
	MaxConcurrent  int
}

// CallerClass is a class of callers of a deployment, such as registrar or student. It is immutable.
type CallerClass struct {
	spec CallerClassSpec
}

// NewCallerClass returns the CallerClass that spec describes.
func NewCallerClass(spec CallerClassSpec) CallerClass { return CallerClass{spec: spec} }

// Name returns the user name with which callers of the class connect.
func (callerClass CallerClass) Name() string { return callerClass.spec.Name }

// ReadYourWrites reports whether each read of the class sees every write that
// was acknowledged before the read, regardless of which proxy served the write.
func (callerClass CallerClass) ReadYourWrites() bool { return callerClass.spec.ReadYourWrites }

// MaxConcurrent returns the maximum number of concurrent requests of the
// class in one proxy; 0 sets no limit.
func (callerClass CallerClass) MaxConcurrent() int { return callerClass.spec.MaxConcurrent }

// DeploymentSpec lists the fields of a new Deployment.
type DeploymentSpec struct {
	Name        string
	Revision    uint64
	Groups      []GroupID
	Kinds       []Kind
	Classes     []CallerClass
	DefaultKind string
	LagPolicy   LagPolicy
	Weight      int
	Priority    int
	MaxWaiting  int
	Public      bool
}

// Deployment is the configuration of one team: its database groups, kinds of
// request and classes of callers. It is immutable.
type Deployment struct {
	spec    DeploymentSpec
	kinds   map[string]Kind
	classes map[string]CallerClass
}

// NewDeployment returns the Deployment that spec describes. It does not validate
// the spec; see Validate.
func NewDeployment(spec DeploymentSpec) *Deployment {
	deployment := &Deployment{
		spec:    spec,
		kinds:   make(map[string]Kind, len(spec.Kinds)),
		classes: make(map[string]CallerClass, len(spec.Classes)),
	}
	for _, kind := range spec.Kinds {
		deployment.kinds[kind.Name()] = kind
	}
	for _, class := range spec.Classes {
		deployment.classes[class.Name()] = class
	}
	return deployment
}

// Name returns the name, which callers use as the database name when they connect.
func (deployment *Deployment) Name() string { return deployment.spec.Name }

// Revision returns the revision of the change that created this version of the Deployment.
func (deployment *Deployment) Revision() uint64 { return deployment.spec.Revision }

// Public reports whether callers need no key.
func (deployment *Deployment) Public() bool { return deployment.spec.Public }

// Groups returns the groups over which keys are distributed. The slice must not be modified.
func (deployment *Deployment) Groups() []GroupID { return deployment.spec.Groups }

// HasGroup reports whether group belongs to the Deployment.
func (deployment *Deployment) HasGroup(group GroupID) bool {
	return slices.Contains(deployment.spec.Groups, group)
}

// Kinds returns the kinds in the order of the deployment file. The slice must not be modified.
func (deployment *Deployment) Kinds() []Kind { return deployment.spec.Kinds }

// Kind returns the kind with the given name. It reports false if there is none.
func (deployment *Deployment) Kind(name string) (Kind, bool) {
	kind, ok := deployment.kinds[name]
	return kind, ok
}

// Classes returns the classes of callers in the order of the deployment file. The slice must not be modified.
func (deployment *Deployment) Classes() []CallerClass { return deployment.spec.Classes }

// Class returns the class of callers with the given name. It reports false if there is none.
func (deployment *Deployment) Class(name string) (CallerClass, bool) {
	class, ok := deployment.classes[name]
	return class, ok
}

// DefaultKind returns the name of the kind that applies to requests without a
// kind, or the empty string if such requests are rejected.
func (deployment *Deployment) DefaultKind() string { return deployment.spec.DefaultKind }

// LagPolicy returns the policy for reads when no replica is recent enough.
func (deployment *Deployment) LagPolicy() LagPolicy { return deployment.spec.LagPolicy }

// Weight returns the relative share of the Deployment when deployments compete for capacity; at least 1.
func (deployment *Deployment) Weight() int { return max(1, deployment.spec.Weight) }

// Priority returns the priority of the Deployment when deployments compete for capacity; 0 is the highest.
func (deployment *Deployment) Priority() int { return deployment.spec.Priority }

// MaxWaiting returns the maximum number of queued requests in one proxy; 0 selects the proxy's own limit.
func (deployment *Deployment) MaxWaiting() int { return deployment.spec.MaxWaiting }

// WithRevision returns a copy of the Deployment with the given revision.
func (deployment *Deployment) WithRevision(revision uint64) *Deployment {
	spec := deployment.spec
	spec.Revision = revision
	return NewDeployment(spec)
}
