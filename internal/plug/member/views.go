package member

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// groupViews returns what this proxy knows of every group.
func (member *Membership) groupViews() event.Groups {
	state := member.context.State()
	views := make([]model.GroupView, 0, len(state.Groups()))
	for _, group := range state.Groups() {
		views = append(views, group.View(member.context.Now()))
	}
	return event.NewGroups(views)
}
