package holder

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// maxMarkAge is the age up to which a holder tells a mark with its answers. A proxy that asked the
// primary itself would open a connection for it.
const maxMarkAge = time.Second

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

// newestMark returns the newest mark of the statement's group, or the zero GroupMark if it is old.
func (statement *statement) newestMark() model.GroupMark {
	context := statement.served.holder.context
	group := context.State().GroupOf(statement.body.Instance())
	if group == nil {
		return model.GroupMark{}
	}
	mark, since, ok := group.NewestMark()
	age := context.Now() - since
	if !ok || age > maxMarkAge {
		return model.GroupMark{}
	}
	return model.NewGroupMark(group.ID(), mark, age)
}

// learnMark records the newest mark of an answer. The answer was made after the call was sent, so
// that the age counts from there.
func (lease *lease) learnMark(newest model.GroupMark, sentAt time.Duration) {
	group := lease.holder.context.State().Group(lease.request.Job.Group())
	if group == nil || newest.Mark().IsZero() {
		return
	}
	since := sentAt - newest.Age()
	if _, known, ok := group.NewestMark(); !ok || known < since {
		group.ObserveSharedMark(newest.Mark(), since)
	}
}
