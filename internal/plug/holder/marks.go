package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// observeMark records the mark of an answer that only the primary gives.
func (statement *statement) observeMark(mark model.Mark) {
	body, context := statement.body, statement.served.holder.context
	group := context.State().GroupOf(body.Instance())
	fromPrimary := body.Confirm() || body.Write() && body.Step() != model.StepCommit
	if !fromPrimary || group == nil || !group.ObservePrimaryTail(body.Instance(), mark, statement.direct.sentAt) {
		return
	}
	context.Emit(event.NewLogDecision(model.Decision{
		Name:     "primary_seen",
		Group:    group.ID(),
		Instance: body.Instance(),
		Term:     mark.Term(),
		Reason:   "it answered a forwarded statement as the primary",
	}))
	context.Publish(event.NewTermChanged(group.ID(), mark.Term(), body.Instance()))
}

// newestMark returns the newest mark of the statement's group, or the zero GroupMark if it is old. A
// proxy that asked the primary itself would open a connection for it.
func (statement *statement) newestMark() model.GroupMark {
	context := statement.served.holder.context
	group := context.State().GroupOf(statement.body.Instance())
	if group == nil {
		return model.GroupMark{}
	}
	newest, _ := group.SharedMark(context.Now())
	return newest
}

// learnMark records the newest mark of an answer.
func (lease *lease) learnMark(newest model.GroupMark, sentAt time.Duration) {
	if group := lease.holder.context.State().Group(lease.request.Job.Group()); group != nil && !newest.Mark().IsZero() {
		group.ObserveSharedMark(newest, sentAt)
	}
}
