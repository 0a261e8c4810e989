// Package route defines what the plug-ins of the request path offer to each
// other: running requests, transactions and the services between them.
package route

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// The names of the services.
const (
	ProbesService    = "probes"
	AdmissionService = "admission"
	ConnsService     = "conns"
	SessionsService  = "sessions"
)

// Probes asks instances for their status.
type Probes interface {
	// RequestReports asks every instance of a group for a report whose probe is sent at
	// since or later. began is when the wait began; the longer it lasts, the
	// rarer the probes.
	RequestReports(group model.GroupID, since, began time.Duration)
}

// SlotRequest is what a request needs of an instance. Job is nil for the proxy's own upkeep.
type SlotRequest struct {
	Instance model.InstanceID
	Job      *Job
	// BypassLimit asks for a slot beyond the limit, for upkeep that takes no slot of the instance.
	BypassLimit bool
}

// SlotWaiter waits for a slot of an instance.
type SlotWaiter interface {
	// SlotRequest returns what the Entrant needs.
	SlotRequest() SlotRequest
	// SlotGranted gives the Entrant a slot, which it gives back with Admission.Leave.
	SlotGranted()
	// SlotDenied tells the Entrant that it gets no slot.
	SlotDenied(code codes.Code, retryAfter time.Duration)
}

// Admission bounds the statements that run at once on an instance and for a
// class of caller.
type Admission interface {
	// Acquire grants a slot at once or later, or denies it.
	Acquire(entrant SlotWaiter)
	// CancelWait ends the wait of an Entrant that has no slot yet.
	CancelWait(entrant SlotWaiter)
	// ForceAcquire takes a slot beyond the limit, for the next statement of an open transaction.
	ForceAcquire(ask SlotRequest)
	// Release gives a slot back that was held for a time. busy reports that the
	// instance refused for lack of slots.
	Release(ask SlotRequest, held time.Duration, busy bool)
	// Load returns how many statements run or wait at an instance.
	Load(instance model.InstanceID) int
	// ExpectedDelay returns how long one more statement is expected to take at an instance.
	ExpectedDelay(instance model.InstanceID) time.Duration
	// TakeRetry takes one retry out of the budget of a group. It reports false if none is left.
	TakeRetry(group model.GroupID) bool
	// RetryAfter returns when a request that is refused now may come back.
	RetryAfter(instance model.InstanceID) time.Duration
}

// ConnUser uses a backend connection.
type ConnUser interface {
	// ConnGranted gives the Taker a connection, which it gives back with Release or Discard.
	ConnGranted(conn model.ConnID)
	// ConnDenied tells the Taker that it gets no connection. codes.NoReplica
	// means that the instance cannot be reached.
	ConnDenied(code codes.Code, retryAfter time.Duration)
	// ExecuteDone hands over the answer of the Taker's execution.
	ExecuteDone(done event.ExecuteDone)
	// ExecuteFailed tells that the Taker's execution gave no result. An unusable
	// connection is closed already.
	ExecuteFailed(failed event.ExecuteFailed)
	// ConnLost tells that the Taker's connection is gone while nothing ran on it.
	ConnLost(conn model.ConnID)
}

// WaitID identifies a wait for a connection. The zero WaitID identifies none.
type WaitID uint64

// Conns shares the backend connections of this proxy.
type Conns interface {
	// Acquire grants a connection and a slot, at once or later, or denies them.
	// The Ticket is zero if the answer was given at once.
	Acquire(ask SlotRequest, taker ConnUser) WaitID
	// CancelWait ends a wait.
	CancelWait(ticket WaitID)
	// Execute runs a Work on a granted connection.
	Execute(conn model.ConnID, work *model.Work)
	// Cancel asks the instance to cancel what runs on a connection.
	Cancel(conn model.ConnID)
	// Park keeps a granted connection and gives its slot back until Resume.
	Park(conn model.ConnID)
	// Resume takes a slot again for a parked connection. taker takes its answers
	// from now on. It reports false if the connection is gone.
	Resume(conn model.ConnID, taker ConnUser) bool
	// Unreachable reports whether no connection to an instance stands and the last
	// one failed to open for another reason than that the instance is full.
	Unreachable(instance model.InstanceID) bool
	// ConnectDelay returns how long a statement is expected to wait for a connection to an
	// instance because none stands, and 0 where one does.
	ConnectDelay(instance model.InstanceID) time.Duration
	// Release gives a connection back. A dirty one is reset before it is used again.
	Release(conn model.ConnID, dirty bool)
	// Discard closes a connection whose answer nobody waits for any more.
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
	// After is the mark that the instance's log had to cover, and Age how old it was.
	After model.Mark
	Age   time.Duration
	// Waited is the time from the arrival until the statement was sent.
	Waited time.Duration
}

// Runner runs the requests of one access.
type Runner interface {
	// Start runs a Job and gives it one result through Sessions.Finish.
	Start(job *Job)
	// Expire finishes a Job at once: its deadline has passed.
	Expire(job *Job)
	// Cancel ends a Job early if that is safe: its caller asked for it.
	Cancel(job *Job)
	// Abandon ends a Job without a result: its caller is gone.
	Abandon(job *Job)
	// Rollback rolls back a transaction on which no Job runs.
	Rollback(tx *Tx)
}

// Sessions answers the callers.
type Sessions interface {
	// Serve makes runner run the requests of an access.
	Serve(access model.Access, runner Runner)
	// Finish gives a Job its result.
	Finish(job *Job, result ResultSpec)
	// InFlight returns how many requests run and transactions are open.
	InFlight() int
}
