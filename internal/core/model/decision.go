package model

import "almondway.dev/almondway/internal/core/codes"

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
	Reason     string
	Code       codes.Code
}

// IsRouting reports whether the decision concerns one request, so that its line may be sampled.
func (decision Decision) IsRouting() bool { return decision.Seq != 0 }
