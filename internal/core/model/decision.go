package model

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
)

// Decision is a routing or placement decision that is written to the log. Its
// exported fields are those of the log entry; empty fields are omitted from the
// log line.
type Decision struct {
	Name       string
	Caller     CallerID
	Seq        RequestSeq
	RequestID  string
	Session    string
	Deployment string
	Team       TeamName
	Kind       string
	Group      GroupID
	Instance   InstanceID
	Proxy      ProxyID
	List       ListName
	Term       Term
	Revision   uint64
	// Outcome is the known effect of a request that did not complete.
	Outcome Outcome
	// After is the mark that the instance's log had to cover; Age is the age of that mark.
	After Mark
	Age   time.Duration
	// Waited is the time before the statement was sent; Took is the time from then until its answer.
	Waited     time.Duration
	Took       time.Duration
	RetryAfter time.Duration
	Reason     string
	Code       codes.Code
}

// IsRouting reports whether the decision concerns a single request. Only the
// log lines of such decisions may be sampled.
func (decision Decision) IsRouting() bool { return decision.Seq != 0 }
