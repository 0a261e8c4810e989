// Package route defines the types and service interfaces that the plug-ins of the
// request path share: running requests, transactions, admission and connections.
package route

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// The names under which the services are provided.
const (
	ProbesService    = "probes"
	AdmissionService = "admission"
	ConnsService     = "conns"
	SessionsService  = "sessions"
)

// Probes requests status reports from instances.
type Probes interface {
	// RequestReports requests from every instance of a group a report whose probe is
	// sent at since or later. began is the start of the wait; the interval between
	// probes grows with the length of the wait.
	RequestReports(group model.GroupID, since, began time.Duration)
}

// SlotRequest describes a slot that is requested. Job is nil for maintenance work of the
// proxy itself.
type SlotRequest struct {
	Instance model.InstanceID
	Job      *Job
	// BypassLimit grants the slot even if the limit is reached. It is for maintenance
	// work that takes no slot of the instance.
	BypassLimit bool
	// Forwarded is set if another proxy runs the statement, so that this one does not see the
	// beginning of its transaction.
	Forwarded bool
}

// Denial describes why a request for a slot or a connection is rejected.
type Denial struct {
	// Code is the result code; codes.NoReplica means that the instance cannot be reached.
	Code codes.Code
	// RetryAfter is the time after which the request may be repeated, or 0.
	RetryAfter time.Duration
	// Reason is for the decision log.
	Reason string
	// MayHaveRun states that the statement was sent before, to a proxy whose answer was lost.
	MayHaveRun bool
}

// SlotWaiter waits for a slot of an instance.
type SlotWaiter interface {
	// SlotRequest returns the slot that is requested.
	SlotRequest() SlotRequest
	// SlotGranted is called when the slot is granted. The SlotWaiter returns it with
	// Admission.Release.
	SlotGranted()
	// SlotDenied is called when the request for a slot is rejected.
	SlotDenied(denial Denial)
}

// Admission limits the number of statements that run concurrently on an instance and for
// a class of callers.
type Admission interface {
	// Acquire grants a slot immediately or later, or denies it.
	Acquire(waiter SlotWaiter)
	// CancelWait removes a SlotWaiter that has no slot yet from the queue.
	CancelWait(waiter SlotWaiter)
	// ForceAcquire takes a slot even if the limit is reached, for the next statement of
	// an open transaction.
	ForceAcquire(request SlotRequest)
	// Release returns a slot. held is how long the slot was in use.
	Release(request SlotRequest, held time.Duration, end SlotEnd)
	// Load returns the number of statements that run on an instance or wait for it.
	Load(instance model.InstanceID) int
	// ExpectedDelay returns the expected duration of one more statement on an instance,
	// including its wait.
	ExpectedDelay(instance model.InstanceID) time.Duration
	// Stalled reports whether a statement that has run for a time takes much longer than those
	// that the instance answered lately, and than those of its kind.
	Stalled(request SlotRequest, ran time.Duration) bool
	// TakeRetry takes one retry from the retry budget of a group. It reports false if the
	// budget is exhausted.
	TakeRetry(group model.GroupID) bool
	// RetryAfter returns the delay after which a request that is refused now may be
	// retried.
	RetryAfter(instance model.InstanceID) time.Duration
}

// SlotEnd says why a slot is returned.
type SlotEnd int

// The reasons why a slot is returned.
const (
	// SlotAnswered: the instance answered the statement.
	SlotAnswered SlotEnd = iota
	// SlotUnused: no statement ran, for example because the instance refused it for lack of
	// slots.
	SlotUnused
	// SlotUnanswered: the proxy waits no longer for the answer, or lost it.
	SlotUnanswered
)

// ConnUser requests a backend connection and runs statements on it. Its methods are
// callbacks of Conns.
type ConnUser interface {
	// ConnGranted is called when a connection is granted. The ConnUser returns it with
	// Conns.Release or Conns.Discard.
	ConnGranted(conn model.ConnID)
	// ConnDenied is called when the request for a connection is rejected.
	ConnDenied(denial Denial)
	// ExecuteDone delivers the answer of an execution.
	ExecuteDone(done event.ExecuteDone)
	// ExecuteFailed is called when an execution gave no result. If the connection is
	// unusable, it is already closed.
	ExecuteFailed(failed event.ExecuteFailed)
	// ConnLost is called when the connection is lost while no execution runs on it.
	ConnLost(conn model.ConnID)
}

// OverdueUser is a ConnUser that is told once that the statement on its connection is overdue. The
// statement goes on; Conns.Discard gives it up.
type OverdueUser interface {
	ExecuteOverdue()
}

// IdentifiedUser is a ConnUser that runs the statements of a caller's request.
type IdentifiedUser interface {
	// RequestID returns the request id for the decision log.
	RequestID() string
}

// WaitID identifies a wait for a connection. The zero WaitID identifies none.
type WaitID uint64

// Conns is the pool of backend connections of this proxy.
type Conns interface {
	// Acquire grants a connection and a slot, immediately or later, or denies them. The
	// WaitID is zero if the callback was called immediately.
	Acquire(request SlotRequest, user ConnUser) WaitID
	// CancelWait ends a wait.
	CancelWait(id WaitID)
	// Execute starts a Work on a granted connection.
	Execute(conn model.ConnID, work *model.Work)
	// Cancel asks the instance to cancel the execution on a connection.
	Cancel(conn model.ConnID)
	// Park keeps a granted connection but releases its slot until Resume.
	Park(conn model.ConnID)
	// Resume takes a slot for a parked connection again. user receives its callbacks from
	// now on. Resume reports false if the connection is lost.
	Resume(conn model.ConnID, user ConnUser) bool
	// Unreachable reports whether there is no connection to an instance and the last
	// attempt to open one failed for a reason other than a full instance.
	Unreachable(instance model.InstanceID) bool
	// ConnectDelay returns the expected wait for a new connection to an instance, or 0 if
	// a connection to it is open.
	ConnectDelay(instance model.InstanceID) time.Duration
	// Release returns a connection to the pool. A dirty connection is reset before it is
	// reused.
	Release(conn model.ConnID, dirty bool)
	// Discard closes a connection whose answer is no longer needed.
	Discard(conn model.ConnID)
}

// ResultSpec lists the fields of the result of a Job.
type ResultSpec struct {
	Outcome    model.Outcome
	Code       codes.Code
	Detail     string
	RetryAfter time.Duration
	Replayed   bool
	Instance   model.InstanceID
	Mark       model.Mark
	Answer     model.Payload
	Reason     string
	// After is the mark that the instance's log had to cover, and Age is the age of that
	// mark.
	After model.Mark
	Age   time.Duration
	// Waited is the time from the arrival until the statement was sent.
	Waited time.Duration
}

// Runner runs the requests of one access mode.
type Runner interface {
	// Start runs a Job and reports exactly one result through Sessions.Finish.
	Start(job *Job)
	// Expire finishes a Job immediately because its deadline has passed.
	Expire(job *Job)
	// Cancel ends a Job early, if that is safe, because its caller requested it.
	Cancel(job *Job)
	// Abandon ends a Job without a result because its caller has disconnected.
	Abandon(job *Job)
	// Rollback rolls back a transaction on which no Job runs and releases its connection.
	Rollback(tx *Tx)
}

// Sessions sends results to the callers.
type Sessions interface {
	// RegisterRunner registers runner for the requests of an access mode.
	RegisterRunner(access model.Access, runner Runner)
	// Finish sends the result of a Job to its caller.
	Finish(job *Job, result ResultSpec)
	// InFlight returns the number of running requests and open transactions.
	InFlight() int
}
