package relay

import (
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// awaitConfirmation returns the answer to a commit once no promotion can undo it.
func (task *task) awaitConfirmation(result route.ResultSpec) {
	if task.relay.confirmations == nil {
		task.finish(result)
		return
	}
	task.state = taskWithheld
	commit := route.Commit{Job: task.job, Instance: task.instance, Mark: result.Mark}
	task.confirmationID = task.relay.confirmations.Await(commit, func(confirmation route.Confirmation) {
		task.confirmationID = 0
		if confirmation == route.CommitConfirmed {
			task.finish(result)
			return
		}
		task.finishUnconfirmed("the primary was replaced before the commit was confirmed")
	})
}

// finishUnconfirmed reports that the effect of a commit is unknown that an instance has acknowledged.
func (task *task) finishUnconfirmed(reason string) {
	task.finish(route.ResultSpec{Outcome: model.OutcomeUnknown, Code: codes.OutcomeUnknown, Reason: reason})
}

// endConfirmation ends the wait for a confirmation.
func (task *task) endConfirmation() {
	if task.confirmationID != 0 {
		task.relay.confirmations.EndWait(task.confirmationID, "its request ended before it was confirmed")
		task.confirmationID = 0
	}
}

// refuseUnconfirmed refuses a write while the commits of the group cannot be confirmed, and reports
// whether it did.
func (task *task) refuseUnconfirmed() bool {
	if task.relay.confirmations == nil || task.requirement != requirePrimary {
		return false
	}
	retryAfter, refused := task.relay.confirmations.Refusal(task.job.Group())
	if refused {
		task.finish(route.ResultSpec{Outcome: model.OutcomeNotRun, Code: codes.NoPrimary, RetryAfter: retryAfter, Reason: "commits of the group cannot be confirmed"})
	}
	return refused
}
