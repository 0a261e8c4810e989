package quota

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// maxMarks limits the marks in an answer.
const maxMarks = 64

// newestMarks returns the newest marks of the groups for the answer to a borrower. Many proxies
// that read a little of each group would ask its primary for marks all the time otherwise.
func (quota *Quota) newestMarks() []model.GroupMark {
	now := quota.context.Now()
	var marks []model.GroupMark
	for _, group := range quota.context.State().Groups() {
		if mark, ok := group.SharedMark(now); ok && len(marks) < maxMarks {
			marks = append(marks, mark)
		}
	}
	return marks
}

// learnMarks records the marks of an answer.
func (quota *Quota) learnMarks(marks []model.GroupMark, sentAt time.Duration) {
	for _, shared := range marks {
		if group := quota.context.State().Group(shared.Group()); group != nil && group.ObserveSharedMark(shared, sentAt) {
			quota.context.Publish(event.NewGroupObserved(shared.Group()))
		}
	}
}
