package relay

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// checkKey returns the reason why the statement must not be sent under the name of the team
// that its caller had when it arrived, or codes.OK.
func (task *task) checkKey() (codes.Code, string) {
	context := task.relay.context
	team, code := context.State().Identify(task.job.Deployment(), task.job.Key(), context.Now(), context.Settings().MaxKeyAge())
	switch {
	case code == codes.UnknownKey:
		return code, "the key was withdrawn before the statement was sent"
	case code == codes.RevisionUnconfirmed:
		return code, "the configuration became too old before the statement was sent"
	case team.Name() != task.job.Team().Name():
		return codes.UnknownKey, "the key was given to another team before the statement was sent"
	default:
		return codes.OK, ""
	}
}

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
		if code, reason := running.checkKey(); code == codes.UnknownKey {
			running.refuseKey(code, reason)
		}
	}
}

// refuseKey ends a statement that was not sent.
func (task *task) refuseKey(code codes.Code, reason string) {
	task.stop()
	result := route.ResultSpec{Outcome: model.OutcomeNotRun, Code: code, Reason: reason}
	if code != codes.UnknownKey {
		result.RetryAfter = unconfirmedRetryAfter
	}
	task.finish(result)
}

// unconfirmedRetryAfter is when a caller may come back whose request was refused because the
// configuration was too old.
const unconfirmedRetryAfter = 250 * time.Millisecond

// sendBefore returns the time by which a statement of the job must be sent, or 0.
func (task *task) sendBefore() time.Duration {
	if task.job.Team() == nil {
		return 0
	}
	until, _ := task.relay.context.State().KeysValidUntil(task.relay.context.Settings().MaxKeyAge())
	return until
}
