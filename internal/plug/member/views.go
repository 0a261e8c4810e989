package member

import (
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// groupViews returns the state of all groups as this proxy knows it.
func (membership *Membership) groupViews() event.Groups {
	state := membership.context.State()
	views := make([]model.GroupView, 0, len(state.Groups()))
	for _, group := range state.Groups() {
		views = append(views, group.View(membership.context.Now()))
	}
	return event.NewGroups(views)
}
