package quota

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

const (
	// maxMarkAge is the age up to which a lender tells its borrowers a mark.
	maxMarkAge = time.Second
	// maxMarks limits the marks in an answer.
	maxMarks = 64
)

// newestMarks returns the newest marks of the groups for the answer to a borrower. Many proxies
// that read a little of each group would ask its primary for marks all the time otherwise.
func (quota *Quota) newestMarks() []model.GroupMark {
	now := quota.context.Now()
	var marks []model.GroupMark
	for _, group := range quota.context.State().Groups() {
		mark, since, ok := group.NewestMark()
		if ok && now-since <= maxMarkAge && len(marks) < maxMarks {
			marks = append(marks, model.NewGroupMark(group.ID(), mark, now-since))
		}
	}
	return marks
}

// learnMarks records the marks of an answer. The lender made it after the call was sent, so that
// their age counts from there.
func (quota *Quota) learnMarks(marks []model.GroupMark, sentAt time.Duration) {
	for _, shared := range marks {
		group := quota.context.State().Group(shared.Group())
		if group == nil {
			continue
		}
		since := sentAt - shared.Age()
		if _, newest, ok := group.NewestMark(); ok && newest >= since {
			continue
		}
		group.ObserveSharedMark(shared.Mark(), since)
		quota.context.Publish(event.NewGroupObserved(shared.Group()))
	}
}
