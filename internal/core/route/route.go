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
	// Demand asks every instance of a group for a report whose probe is sent at
	// since or later. began is when the wait began; the longer it lasts, the
	// rarer the probes.
	Demand(group model.GroupID, since, began time.Duration)
}

// Ask is what a request needs of an instance. Job is nil for the proxy's own upkeep.
type Ask struct {
	Instance model.InstanceID
	Job      *Job
	// Urgent asks for a slot beyond the limit, for upkeep that takes no slot of the instance.
	Urgent bool
}

// Entrant waits for a slot of an instance.
type Entrant interface {
	// Ask returns what the Entrant needs.
	Ask() Ask
	// SlotGranted gives the Entrant a slot, which it gives back with Admission.Leave.
	SlotGranted()
	// SlotDenied tells the Entrant that it gets no slot.
	SlotDenied(code codes.Code, retryAfter time.Duration)
}

// Admission bounds the statements that run at once on an instance and for a
// class of caller.
type Admission interface {
	// Enter grants a slot at once or later, or denies it.
	Enter(entrant Entrant)
	// Withdraw ends the wait of an Entrant that has no slot yet.
	Withdraw(entrant Entrant)
	// Force takes a slot beyond the limit, for the next statement of an open transaction.
	Force(ask Ask)
	// Leave gives a slot back that was held for a time. busy reports that the
	// instance refused for lack of slots.
	Leave(ask Ask, held time.Duration, busy bool)
	// Load returns how many statements run or wait at an instance.
	Load(instance model.InstanceID) int
	// Delay returns how long one more statement is expected to take at an instance.
	Delay(instance model.InstanceID) time.Duration
	// Retry takes one retry out of the budget of a group. It reports false if none is left.
	Retry(group model.GroupID) bool
	// RetryAfter returns when a request that is refused now may come back.
	RetryAfter(instance model.InstanceID) time.Duration
}

// Taker uses a backend connection.
type Taker interface {
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

// Ticket identifies a wait for a connection. The zero Ticket identifies none.
type Ticket uint64

// Conns shares the backend connections of this proxy.
type Conns interface {
	// Acquire grants a connection and a slot, at once or later, or denies them.
	// The Ticket is zero if the answer was given at once.
	Acquire(ask Ask, taker Taker) Ticket
	// Withdraw ends a wait.
	Withdraw(ticket Ticket)
	// Execute runs a Work on a granted connection.
	Execute(conn model.ConnID, work *model.Work)
	// Cancel asks the instance to cancel what runs on a connection.
	Cancel(conn model.ConnID)
	// Park keeps a granted connection and gives its slot back until Resume.
	Park(conn model.ConnID)
	// Resume takes a slot again for a parked connection. taker takes its answers
	// from now on. It reports false if the connection is gone.
	Resume(conn model.ConnID, taker Taker) bool
	// Unreachable reports whether no connection to an instance stands and the last
	// one failed to open for another reason than that the instance is full.
	Unreachable(instance model.InstanceID) bool
	// Connecting returns how long a statement is expected to wait for a connection to an
	// instance because none stands, and 0 where one does.
	Connecting(instance model.InstanceID) time.Duration
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
	// Drop rolls back a transaction on which no Job runs.
	Drop(tx *Tx)
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
