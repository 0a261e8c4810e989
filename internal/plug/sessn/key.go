package sessn

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// keyMoved is the reason for which a transaction ends whose key another team holds now. The
// instance runs it under the name of the team that opened it.
const keyMoved = "the key of the caller belongs to another team now"

// identify returns the team that holds a key at present, or the reason why requests with the
// key are refused. deployment is nil if it is not known.
func (sessions *Sessions) identify(deployment *model.Deployment, key model.KeyDigest) (*model.Team, refusal) {
	state := sessions.context.State()
	now := sessions.context.Now()
	team, code := state.Identify(deployment, key, now, sessions.context.Settings().MaxKeyAge())
	switch code {
	case codes.UnknownKey:
		revision, _ := state.Revision()
		return nil, refusal{code, "no team holds the key in revision " + strconv.FormatUint(revision, 10)}
	case codes.RevisionUnconfirmed:
		checkedAt, _ := state.ListCheckedAt(model.ListConfiguration)
		return nil, refusal{code, "the configuration was last known to be current " + (now - checkedAt).Round(time.Millisecond).String() + " ago"}
	default:
		return team, refusal{}
	}
}

// closeWithdrawn closes the sessions whose keys no team holds any more.
func (sessions *Sessions) closeWithdrawn() {
	if sessions.context.State().Teams() == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sessions.callers)) {
		sessions.closeIfWithdrawn(sessions.callers[id])
	}
}

// closeIfWithdrawn closes a session without a running request if no team holds its key, and
// rolls its transaction back. A request that an instance runs is answered first.
func (sessions *Sessions) closeIfWithdrawn(caller *caller) {
	if caller.job != nil || caller.closing {
		return
	}
	deployment, _ := sessions.context.State().Deployment(caller.deployment)
	_, refused := sessions.identify(deployment, caller.key)
	if refused.code != codes.UnknownKey {
		return
	}
	caller.closing = true
	sessions.rollbackTx(caller)
	if caller.inTx {
		caller.txFailed = true
		caller.tx = nil
	}
	sessions.context.Emit(event.NewLogDecision(model.Decision{
		Name:       "close_session",
		Caller:     caller.id,
		Deployment: caller.deployment,
		Reason:     refused.detail,
		Code:       refused.code,
	}))
	sessions.context.Emit(event.NewCloseCaller(caller.id, refused.code))
}
