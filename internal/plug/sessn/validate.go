package sessn

import (
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/ident"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// retentionMargin is how long before the end of the ledger's retention a request id
	// is treated as expired.
	retentionMargin = time.Hour
	// maxClockSkew is how far ahead of this proxy's clock a request id may be.
	maxClockSkew = 5 * time.Minute
)

// checkServing returns the team of the caller, or the reason why its requests are not accepted at
// present.
func (sessions *Sessions) checkServing(caller *caller) (*model.Team, refusal) {
	state := sessions.context.State()
	if state.Draining() && !caller.inTx {
		return nil, refusal{code: codes.Draining}
	}
	if sessions.ended {
		return nil, refusal{codes.TransactionLost, endReason}
	}
	if !state.Confirmed() {
		return nil, refusal{code: codes.RevisionUnconfirmed}
	}
	deployment, ok := state.Deployment(caller.deployment)
	team, refused := sessions.identify(deployment, caller.key)
	if refused.code == codes.OK && !ok {
		refused = refusal{codes.UnknownDeployment, caller.deployment}
	}
	return team, refused
}

// validate returns the Job of a statement, or the reason why it is refused.
func (sessions *Sessions) validate(caller *caller, request *model.Request) (*route.Job, refusal) {
	team, refused := sessions.checkServing(caller)
	if refused.code != codes.OK {
		return nil, refused
	}
	if caller.txFailed {
		return nil, refusal{codes.TransactionState, "the transaction has failed"}
	}
	deployment, _ := sessions.context.State().Deployment(caller.deployment)
	class, ok := deployment.Class(caller.class)
	if !ok {
		return nil, refusal{codes.UnknownCaller, caller.class}
	}
	kind, refused := selectKind(deployment, request)
	if refused.code != codes.OK {
		return nil, refused
	}
	group, refused := selectGroup(deployment, kind, request, caller.tx)
	if refused.code != codes.OK {
		return nil, refused
	}
	spec := route.JobSpec{
		Request:    request,
		Deployment: deployment,
		Class:      class,
		Kind:       kind,
		Group:      group,
		Team:       team,
		Key:        caller.key,
		Arrived:    sessions.context.Now(),
	}
	spec.Deadline = sessions.deadline(request, kind)
	caller.token = caller.token.Merge(request.Token())
	spec.Seen = caller.token.Mark(group)
	if refused := sessions.setTxAndRequestID(caller, &spec); refused.code != codes.OK {
		return nil, refused
	}
	return route.NewJob(spec), refusal{}
}

// selectKind returns the kind that the request names, or the default kind. A describe
// request needs no kind.
func selectKind(deployment *model.Deployment, request *model.Request) (model.Kind, refusal) {
	name := request.Kind()
	if name == "" {
		name = deployment.DefaultKind()
	}
	kind, ok := deployment.Kind(name)
	if ok || (request.Op() == model.OpDescribe && request.Kind() == "") {
		return kind, refusal{}
	}
	if name == "" {
		return kind, refusal{codes.UnknownKind, "the request names no kind and the deployment has no default kind"}
	}
	return kind, refusal{codes.UnknownKind, name}
}

// setTxAndRequestID sets the transaction and the request id in spec.
func (sessions *Sessions) setTxAndRequestID(caller *caller, spec *route.JobSpec) refusal {
	if spec.Request.Op() == model.OpDescribe {
		spec.Tx = caller.tx
		return refusal{}
	}
	if caller.tx != nil {
		if caller.tx.Team() != spec.Team.Name() {
			return refusal{codes.TransactionLost, keyMoved}
		}
		return continueTx(caller.tx, spec)
	}
	if spec.Kind.Access() == model.AccessWrite {
		if refused := sessions.setRequestID(caller, spec); refused.code != codes.OK {
			return refused
		}
	}
	if caller.inTx {
		spec.Tx = route.NewTx(route.TxSpec{
			Caller:      caller.id,
			Group:       spec.Group,
			Access:      spec.Kind.Access(),
			RequestID:   spec.RequestID,
			GeneratedID: spec.GeneratedID,
			Digest:      spec.Request.Digest(),
			ReadOnly:    caller.txReadOnly,
			Team:        spec.Team.Name(),
		})
	}
	return refusal{}
}

func continueTx(tx *route.Tx, spec *route.JobSpec) refusal {
	spec.Tx = tx
	spec.RequestID = tx.RequestID()
	spec.GeneratedID = tx.HasGeneratedID()
	if spec.Kind.Access() != model.AccessWrite {
		return refusal{}
	}
	if tx.Access() != model.AccessWrite {
		return refusal{codes.KindMismatch, "the transaction began with a read kind"}
	}
	if !spec.Kind.Idempotent() && tx.HasGeneratedID() {
		return refusal{codes.RequestIDMissing, spec.Kind.Name()}
	}
	return refusal{}
}

// setRequestID checks the request id of a write, which may be that of the request that
// began the transaction. Without any, it generates one if the kind is idempotent.
func (sessions *Sessions) setRequestID(caller *caller, spec *route.JobSpec) refusal {
	text := spec.Request.RequestID()
	if text == "" {
		text = caller.txRequestID
	}
	wallTime := sessions.context.WallTime()
	if text == "" {
		if !spec.Kind.Idempotent() {
			return refusal{codes.RequestIDMissing, spec.Kind.Name()}
		}
		spec.RequestID = ident.New(wallTime, sessions.context.Random())
		spec.GeneratedID = true
		return refusal{}
	}
	id, origin, err := ident.Parse(text)
	if err != nil {
		return refusal{codes.MalformedRequestID, err.Error()}
	}
	oldest := wallTime.Add(retentionMargin - sessions.context.Settings().LedgerRetention())
	if origin.Before(oldest) || origin.After(wallTime.Add(maxClockSkew)) {
		return refusal{codes.RequestIDExpired, id}
	}
	spec.RequestID = id
	return refusal{}
}
