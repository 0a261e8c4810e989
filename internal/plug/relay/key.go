package relay

import (
	"maps"
	"slices"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// refuseWithdrawn refuses the statements that were not sent yet and whose keys were withdrawn.
func (relay *Relay) refuseWithdrawn() {
	if relay.context.State().Teams() == nil {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(relay.runningBySeq)) {
		running, ok := relay.runningBySeq[seq]
		if !ok || running.resumed || running.state != taskAwaitingInstance && running.state != taskAcquiring {
			continue
		}
		if code, reason := route.CheckKey(relay.context, running.job); code == codes.UnknownKey {
			running.refuseKey(code, reason)
		}
	}
}

// refuseKey ends a statement that was not sent.
func (task *task) refuseKey(code codes.Code, reason string) {
	task.stop()
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, Reason: reason}
	if code != codes.UnknownKey {
		result.RetryAfter = route.UnconfirmedRetryAfter
	}
	task.finish(result)
}
