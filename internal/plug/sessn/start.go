package sessn

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const refusedRetryAfter = 250 * time.Millisecond

// refusal is the reason why a request is refused. The code of the zero refusal is
// codes.OK: the request is accepted.
type refusal struct {
	code   codes.Code
	detail string
}

func (sessions *Sessions) dispatch(caller *caller, request *model.Request) {
	sessions.context.Timers().Cancel(caller.idleTimer)
	switch request.Op() {
	case model.OpBegin:
		sessions.begin(caller, request)
	case model.OpCommit:
		sessions.commit(caller, request)
	case model.OpRollback:
		sessions.rollback(caller, request)
	default:
		sessions.runStatement(caller, request)
	}
}

// begin opens a transaction. It is sent to an instance together with its first statement.
func (sessions *Sessions) begin(caller *caller, request *model.Request) {
	if _, refused := sessions.checkServing(caller); refused.code != codes.OK {
		sessions.refuse(caller, request, refused)
		return
	}
	if !caller.inTx {
		caller.beginTx(request.RequestID(), request.ReadOnly())
	}
	sessions.reply(caller, request, route.ResultSpec{Reason: "begin"})
}

func (sessions *Sessions) commit(caller *caller, request *model.Request) {
	switch {
	case caller.txFailed:
		sessions.rollbackTx(caller)
		caller.endTx()
		sessions.refuse(caller, request, refusal{codes.TransactionState, "the transaction failed and was rolled back"})
	case caller.tx == nil && caller.inTx && request.Statement() != nil:
		sessions.commitEmpty(caller, request)
	case caller.tx == nil:
		caller.endTx()
		sessions.reply(caller, request, route.ResultSpec{Reason: "empty commit"})
	default:
		sessions.commitTx(caller, request)
	}
}

// commitTx commits the caller's transaction unless its key does not allow that any more.
func (sessions *Sessions) commitTx(caller *caller, request *model.Request) {
	deployment, _ := sessions.context.State().Deployment(caller.deployment)
	team, refused := sessions.identify(deployment, caller.key)
	if refused.code == codes.OK && team.Name() != caller.tx.Team() {
		refused = refusal{codes.TransactionLost, keyMoved}
	}
	if refused.code != codes.OK {
		sessions.rollbackTx(caller)
		caller.endTx()
		sessions.refuse(caller, request, refused)
		return
	}
	sessions.startJob(caller, sessions.commitJob(caller, team, request), caller.tx.Access())
}

// commitEmpty sends a transaction without statements to an instance, for callers that
// need the answer of an instance to their commit.
func (sessions *Sessions) commitEmpty(caller *caller, request *model.Request) {
	job, refused := sessions.validate(caller, request)
	if refused.code != codes.OK {
		caller.endTx()
		sessions.refuse(caller, request, refused)
		return
	}
	caller.tx = job.Tx()
	sessions.startJob(caller, job, runnerAccess(job))
}

func (sessions *Sessions) rollback(caller *caller, request *model.Request) {
	sessions.rollbackTx(caller)
	caller.endTx()
	sessions.reply(caller, request, route.ResultSpec{Reason: "rollback"})
}

func (sessions *Sessions) rollbackTx(caller *caller) {
	if caller.tx != nil {
		sessions.runner(caller.tx.Access()).Rollback(caller.tx)
	}
}

func (sessions *Sessions) runStatement(caller *caller, request *model.Request) {
	job, refused := sessions.validate(caller, request)
	if refused.code != codes.OK {
		caller.txFailed = caller.inTx
		sessions.refuse(caller, request, refused)
		return
	}
	caller.lastDeployment = job.Deployment()
	caller.lastClass = job.Class()
	caller.lastKind = job.Kind()
	if job.Tx() != nil {
		caller.tx = job.Tx()
	}
	sessions.startJob(caller, job, runnerAccess(job))
}

// runnerAccess returns the access mode whose runner executes a Job. A describe request
// outside a transaction executes nothing, so any instance may answer it, whatever the kind
// of the request.
func runnerAccess(job *route.Job) model.Access {
	switch {
	case job.Tx() != nil:
		return job.Tx().Access()
	case job.Request().Op() == model.OpDescribe:
		return model.AccessRead
	default:
		return job.Kind().Access()
	}
}

// startJob starts the deadline timer of a Job and passes the Job to its runner once its team may
// start an operation.
func (sessions *Sessions) startJob(caller *caller, job *route.Job, access model.Access) {
	caller.job = job
	caller.access = access
	delay := job.Deadline() - sessions.context.Now()
	caller.deadlineTimer = sessions.context.Timers().After(delay, caller.expire)
	sessions.admit(caller, job)
}

// expire ends the running request of a caller when its deadline has passed.
func (sessions *Sessions) expire(caller *caller) {
	switch {
	case caller.tokenWait != 0:
		sessions.cancelTokenWait(caller)
		sessions.Finish(caller.job, route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.TeamLimit, Reason: "deadline before the lender of the team answered"})
	case caller.job != nil:
		sessions.runner(caller.access).Expire(caller.job)
	}
}

// commitJob returns the Job that commits the caller's transaction.
func (sessions *Sessions) commitJob(caller *caller, team *model.Team, request *model.Request) *route.Job {
	kind := model.Kind{}
	if caller.tx.Access() == model.AccessEither {
		kind = caller.lastKind
	}
	return route.NewJob(route.JobSpec{
		Request:     request,
		Deployment:  caller.lastDeployment,
		Class:       caller.lastClass,
		Kind:        kind,
		Group:       caller.tx.Group(),
		RequestID:   caller.tx.RequestID(),
		GeneratedID: caller.tx.HasGeneratedID(),
		Seen:        caller.token.Mark(caller.tx.Group()),
		Tx:          caller.tx,
		Team:        team,
		Key:         caller.key,
		Arrived:     sessions.context.Now(),
		Deadline:    sessions.deadline(request, kind),
	})
}

// deadline returns the deadline of a request that arrives now. A shutdown ends it by then.
func (sessions *Sessions) deadline(request *model.Request, kind model.Kind) time.Duration {
	deadline := sessions.context.Now() + sessions.timeout(request, kind)
	if sessions.drainEnd > 0 {
		deadline = min(deadline, sessions.drainEnd)
	}
	return deadline
}

func (sessions *Sessions) timeout(request *model.Request, kind model.Kind) time.Duration {
	switch {
	case request.Timeout() > 0:
		return request.Timeout()
	case kind.Timeout() > 0:
		return kind.Timeout()
	default:
		return sessions.context.Settings().DefaultTimeout()
	}
}
