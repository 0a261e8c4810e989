package sessn

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// Finish implements route.Sessions. It ignores a Job whose caller has disconnected or
// that is already finished.
func (sessions *Sessions) Finish(job *route.Job, result route.ResultSpec) {
	caller, ok := sessions.callers[job.Request().Caller()]
	if !ok || caller.job != job {
		return
	}
	sessions.context.Timers().Cancel(caller.deadlineTimer)
	caller.job = nil
	if result.Code == codes.OK {
		caller.token = caller.token.With(job.Group(), result.Mark)
	}
	result = sessions.withEndReason(result)
	sessions.updateTx(caller, job, result)
	sessions.log(caller, job, result)
	sessions.answer(caller, job.Request(), result)
	sessions.closeIfWithdrawn(caller)
	sessions.startNext(caller)
}

// updateTx updates the caller's transaction after a Job: a commit ends it, an error marks
// it as failed, and any other result starts its idle timer.
func (sessions *Sessions) updateTx(caller *caller, job *route.Job, result route.ResultSpec) {
	switch {
	case job.Request().Op() == model.OpCommit:
		caller.endTx()
	case caller.inTx && result.Code != codes.OK:
		caller.txFailed = true
	case caller.inTx && job.Kind().TxIdleTimeout() > 0:
		sessions.startIdleTimer(caller, job.Kind().TxIdleTimeout())
	}
}

// startIdleTimer rolls back the caller's transaction if no statement follows within limit,
// so that its backend connection and its locks are released.
func (sessions *Sessions) startIdleTimer(caller *caller, limit time.Duration) {
	caller.idleTimer = sessions.context.Timers().After(limit, func() {
		if caller.job != nil || caller.tx == nil || caller.txFailed {
			return
		}
		sessions.rollbackTx(caller)
		caller.txFailed = true
		sessions.context.Emit(event.NewLogDecision(model.Decision{
			Name:       "end_idle_transaction",
			Caller:     caller.id,
			Deployment: caller.deployment,
			Team:       caller.tx.Team(),
			Group:      caller.tx.Group(),
			Instance:   caller.tx.Instance(),
			Reason:     "no statement for " + limit.String(),
		}))
	})
}

// reply answers a request that needs no runner.
func (sessions *Sessions) reply(caller *caller, request *model.Request, result route.ResultSpec) {
	sessions.answer(caller, request, result)
	sessions.startNext(caller)
}

func (sessions *Sessions) refuse(caller *caller, request *model.Request, refused refusal) {
	info := model.Decision{
		Name:       "refuse",
		Caller:     caller.id,
		Seq:        request.Seq(),
		RequestID:  request.RequestID(),
		Session:    request.Session(),
		Deployment: caller.deployment,
		Kind:       request.Kind(),
		Reason:     refused.detail,
		Code:       refused.code,
	}
	sessions.context.Emit(event.NewLogDecision(info))
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: refused.code, Detail: refused.detail}
	if refused.code == codes.RevisionUnconfirmed || refused.code == codes.Draining {
		result.RetryAfter = refusedRetryAfter
	}
	sessions.reply(caller, request, result)
}

func (sessions *Sessions) answer(caller *caller, request *model.Request, result route.ResultSpec) {
	sessions.context.Emit(event.NewAnswerCaller(model.NewReply(model.ReplySpec{
		Seq:        request.Seq(),
		Caller:     caller.id,
		Outcome:    result.Outcome,
		Code:       result.Code,
		Detail:     result.Detail,
		RetryAfter: result.RetryAfter,
		Replayed:   result.Replayed,
		Token:      caller.token,
		TxState:    caller.txState(),
		Answer:     result.Answer,
	})))
}

// startNext starts the next queued request of a caller.
func (sessions *Sessions) startNext(caller *caller) {
	if len(caller.queue) == 0 || caller.job != nil {
		return
	}
	request := caller.queue[0]
	caller.queue = caller.queue[1:]
	sessions.dispatch(caller, request)
}

func (sessions *Sessions) log(caller *caller, job *route.Job, result route.ResultSpec) {
	sessions.context.Emit(event.NewLogDecision(model.Decision{
		Name:       decisionName(caller, job),
		Caller:     caller.id,
		Seq:        job.Seq(),
		RequestID:  job.LoggedID(),
		Session:    job.Request().Session(),
		Deployment: caller.deployment,
		Team:       job.Team().Name(),
		Kind:       job.Kind().Name(),
		Group:      job.Group(),
		Instance:   result.Instance,
		Term:       result.Mark.Term(),
		Revision:   job.Deployment().Revision(),
		Outcome:    result.Outcome,
		After:      result.After,
		Age:        result.Age,
		Waited:     result.Waited,
		Took:       sessions.context.Now() - job.Arrived(),
		RetryAfter: result.RetryAfter,
		Reason:     result.Reason,
		Code:       result.Code,
	}))
}

func decisionName(caller *caller, job *route.Job) string {
	switch {
	case job.Request().Op() == model.OpDescribe:
		return "route_describe"
	case caller.access == model.AccessWrite:
		return "route_write"
	case caller.access == model.AccessEither:
		return "route_statement"
	default:
		return "route_read"
	}
}
