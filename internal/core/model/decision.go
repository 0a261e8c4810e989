package model

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

// Decision is a routing or placement decision for the log. It lists its fields
// openly, as the log entry does; empty fields are left out of the line.
type Decision struct {
	Name       string
	Caller     CallerID
	Seq        RequestSeq
	RequestID  string
	Session    string
	Deployment string
	Kind       string
	Group      GroupID
	Instance   InstanceID
	Proxy      ProxyID
	Term       Term
	Revision   uint64
	// Outcome is what is known about the effect of a request that was not done.
	Outcome Outcome
	// After is the mark that the instance's log had to cover, and Age how old it was.
	After Mark
	Age   time.Duration
	// Waited is the time before the statement was sent, Took that until its answer.
	Waited     time.Duration
	Took       time.Duration
	RetryAfter time.Duration
	Reason     string
	Code       codes.Code
}

// IsRouting reports whether the decision concerns one request, so that its line may be sampled.
func (decision Decision) IsRouting() bool { return decision.Seq != 0 }
