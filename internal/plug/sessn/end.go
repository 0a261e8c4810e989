package sessn

import (
	"maps"
	"slices"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const endReason = "the proxy shuts down"

// EndRequests answers all unfinished requests and aborts the open transactions. Requests that
// arrive later are refused.
func (sessions *Sessions) EndRequests() {
	sessions.ended = true
	for _, id := range slices.Sorted(maps.Keys(sessions.callers)) {
		caller := sessions.callers[id]
		switch {
		case caller.job != nil:
			sessions.logEnd(caller, caller.job.Request(), caller.job.Group(), "a request is not finished")
			sessions.expire(caller)
		case caller.inTx && !caller.txFailed:
			sessions.logEnd(caller, &model.Request{}, "", "a transaction is open")
			sessions.rollbackTx(caller)
			caller.txFailed = true
			caller.tx = nil
		}
	}
}

// logEnd logs what the end of a drain interrupts.
func (sessions *Sessions) logEnd(caller *caller, request *model.Request, group model.GroupID, reason string) {
	decision := model.Decision{
		Name:       "end_at_shutdown",
		Caller:     caller.id,
		Seq:        request.Seq(),
		RequestID:  request.RequestID(),
		Deployment: caller.deployment,
		Group:      group,
		Reason:     reason,
	}
	if caller.tx != nil {
		decision.Group, decision.Instance = caller.tx.Group(), caller.tx.Instance()
	}
	sessions.context.Emit(event.NewLogDecision(decision))
}

// withEndReason adds to the result of a request that it was ended by the shutdown.
func (sessions *Sessions) withEndReason(result route.ResultSpec) route.ResultSpec {
	if !sessions.ended || result.Code == codes.OK || result.Answer != nil {
		return result
	}
	result.Reason = endReason + ": " + result.Reason
	if result.Detail == "" {
		result.Detail = endReason
	}
	return result
}
