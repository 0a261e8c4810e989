package model

import (
	"slices"
	"time"
)

// Access tells whether a kind of request may write.
type Access string

// The accesses of a kind.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
	// AccessEither leaves it to each statement whether it writes.
	AccessEither Access = "either"
)

// LagPolicy tells what a read does when no replica is recent enough.
type LagPolicy string

// The policies for lagging replicas.
const (
	// LagWait waits for a replica until the deadline nears and spares the primary.
	LagWait LagPolicy = "wait"
	// LagPrimary reads from the primary at once.
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

// Kind is a kind of request of a deployment. It is immutable.
type Kind struct {
	spec KindSpec
}

// NewKind returns the Kind that spec describes.
func NewKind(spec KindSpec) Kind { return Kind{spec: spec} }

// Name returns the name by which requests name the Kind.
func (kind Kind) Name() string { return kind.spec.Name }

// Access returns whether the Kind may write.
func (kind Kind) Access() Access { return kind.spec.Access }

// Staleness returns the age of data that a read accepts; 0 accepts none.
func (kind Kind) Staleness() time.Duration { return kind.spec.Staleness }

// SeesOwnWrites reports whether a read that accepts staleness sees all the same what
// its own session committed.
func (kind Kind) SeesOwnWrites() bool { return kind.spec.SeesOwnWrites }

// TargetLatency returns the time within which callers want the answer, or 0 if they do not say.
func (kind Kind) TargetLatency() time.Duration { return kind.spec.TargetLatency }

// TxIdleTimeout returns how long a transaction may rest between two statements; 0 sets no bound.
func (kind Kind) TxIdleTimeout() time.Duration { return kind.spec.TxIdleTimeout }

// Idempotent reports whether a write may run more than once.
func (kind Kind) Idempotent() bool { return kind.spec.Idempotent }

// Group returns the group of the Kind, or the empty text if the request selects it.
func (kind Kind) Group() GroupID { return kind.spec.Group }

// Timeout returns the time after which a request of the Kind gets its final answer.
func (kind Kind) Timeout() time.Duration { return kind.spec.Timeout }

// CallerClassSpec lists the fields of a new Class.
type CallerClassSpec struct {
	Name           string
	ReadYourWrites bool
	MaxConcurrent  int
}

// CallerClass is a class of caller of a deployment, such as registrar or student. It is immutable.
type CallerClass struct {
	spec CallerClassSpec
}

// NewCallerClass returns the Class that spec describes.
func NewCallerClass(spec CallerClassSpec) CallerClass { return CallerClass{spec: spec} }

// Name returns the user name with which callers of the Class connect.
func (class CallerClass) Name() string { return class.spec.Name }

// ReadYourWrites reports whether each read of the Class sees every write that
// was acknowledged before, whichever proxy served it.
func (class CallerClass) ReadYourWrites() bool { return class.spec.ReadYourWrites }

// MaxConcurrent returns how many requests of the Class may run at once in one
// proxy; 0 sets no limit.
func (class CallerClass) MaxConcurrent() int { return class.spec.MaxConcurrent }

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
}

// Deployment names database groups, the kinds of request and the classes of
// caller of one user. It is immutable.
type Deployment struct {
	spec    DeploymentSpec
	kinds   map[string]Kind
	classes map[string]CallerClass
}

// NewDeployment returns the Deployment that spec describes. It does not check
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

// Name returns the name, which callers give as the database name.
func (deployment *Deployment) Name() string { return deployment.spec.Name }

// Revision returns the revision of the change that made the Deployment.
func (deployment *Deployment) Revision() uint64 { return deployment.spec.Revision }

// Groups returns the groups over which keys are spread. Callers must not change it.
func (deployment *Deployment) Groups() []GroupID { return deployment.spec.Groups }

// HasGroup reports whether the Deployment has the group.
func (deployment *Deployment) HasGroup(group GroupID) bool {
	return slices.Contains(deployment.spec.Groups, group)
}

// Kinds returns the kinds in the order of the file. Callers must not change it.
func (deployment *Deployment) Kinds() []Kind { return deployment.spec.Kinds }

// Kind returns the kind of the given name.
func (deployment *Deployment) Kind(name string) (Kind, bool) {
	kind, ok := deployment.kinds[name]
	return kind, ok
}

// Classes returns the classes of caller. Callers must not change it.
func (deployment *Deployment) Classes() []CallerClass { return deployment.spec.Classes }

// Class returns the class of caller of the given name.
func (deployment *Deployment) Class(name string) (CallerClass, bool) {
	class, ok := deployment.classes[name]
	return class, ok
}

// DefaultKind returns the kind of a request that names none, or the empty text
// if such a request is refused.
func (deployment *Deployment) DefaultKind() string { return deployment.spec.DefaultKind }

// LagPolicy returns what a read does when no replica is recent enough.
func (deployment *Deployment) LagPolicy() LagPolicy { return deployment.spec.LagPolicy }

// Weight returns the share of the Deployment when deployments compete; at least 1.
func (deployment *Deployment) Weight() int { return max(1, deployment.spec.Weight) }

// Priority returns the rank of the Deployment when it competes; 0 goes first.
func (deployment *Deployment) Priority() int { return deployment.spec.Priority }

// MaxWaiting returns how many requests may wait in one proxy; 0 means the proxy's own limit.
func (deployment *Deployment) MaxWaiting() int { return deployment.spec.MaxWaiting }

// WithRevision returns a copy of the Deployment with the given revision.
func (deployment *Deployment) WithRevision(revision uint64) *Deployment {
	spec := deployment.spec
	spec.Revision = revision
	return NewDeployment(spec)
}
