package route

import (
	"cmp"
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// JobSpec lists the fields of a new Job.
type JobSpec struct {
	Request     *model.Request
	Deployment  *model.Deployment
	Class       model.CallerClass
	Kind        model.Kind
	Group       model.GroupID
	RequestID   string
	GeneratedID bool
	Seen        model.Mark
	Tx          *Tx
	Team        *model.Team
	Key         model.KeyDigest
	Arrived     time.Duration
	Deadline    time.Duration
}

// Job is a validated request in execution. It is immutable.
type Job struct {
	spec JobSpec
}

// NewJob returns the Job that spec describes.
func NewJob(spec JobSpec) *Job { return &Job{spec: spec} }

// Request returns the caller's request.
func (job *Job) Request() *model.Request { return job.spec.Request }

// Seq returns the sequence number of the request.
func (job *Job) Seq() model.RequestSeq { return job.spec.Request.Seq() }

// Deployment returns the deployment under which the request runs.
func (job *Job) Deployment() *model.Deployment { return job.spec.Deployment }

// Class returns the class of the caller.
func (job *Job) Class() model.CallerClass { return job.spec.Class }

// Kind returns the kind of the request; it is the zero Kind for OpCommit, OpRollback and OpDescribe.
func (job *Job) Kind() model.Kind { return job.spec.Kind }

// Group returns the group that the request concerns.
func (job *Job) Group() model.GroupID { return job.spec.Group }

// RequestID returns the key of the request's ledger row.
func (job *Job) RequestID() string { return job.spec.RequestID }

// LoggedID returns the request id for the decision log: the key of the ledger row, or else the id
// that the caller sent.
func (job *Job) LoggedID() string {
	return cmp.Or(job.spec.RequestID, job.spec.Request.RequestID())
}

// HasGeneratedID reports whether the proxy generated the request id. The caller doesn't
// know such an id and can't retry under it.
func (job *Job) HasGeneratedID() bool { return job.spec.GeneratedID }

// Seen returns the newest Mark that the session has observed in the group.
func (job *Job) Seen() model.Mark { return job.spec.Seen }

// Tx returns the transaction that the request belongs to, or nil.
func (job *Job) Tx() *Tx { return job.spec.Tx }

// Team returns the team of the caller, or nil.
func (job *Job) Team() *model.Team { return job.spec.Team }

// Key returns the digest of the caller's key.
func (job *Job) Key() model.KeyDigest { return job.spec.Key }

// Arrived returns the arrival time of the request on the kernel's clock.
func (job *Job) Arrived() time.Duration { return job.spec.Arrived }

// Deadline returns the time on the kernel's clock by which the request must be answered.
func (job *Job) Deadline() time.Duration { return job.spec.Deadline }

// RequiresFresh reports whether the request tolerates no staleness.
func (job *Job) RequiresFresh() bool {
	return job.spec.Kind.Staleness() == 0 || job.spec.Class.ReadYourWrites()
}
