package member

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// heldLimit is how long new writes are held back for another proxy that says
// nothing more.
const heldLimit = 500 * time.Millisecond

// holds keeps new writes back while another proxy moves a primary.
type holds struct {
	context *kern.Context
	by      map[model.GroupID]model.ProxyID
}

func newHolds(context *kern.Context) *holds {
	return &holds{context: context, by: make(map[model.GroupID]model.ProxyID)}
}

// hear begins the holds that a heartbeat names and ends those that it does not
// name any more.
func (holds *holds) hear(heartbeat event.Heartbeat) {
	now := holds.context.Now()
	for _, group := range holds.context.State().Groups() {
		named := slices.Contains(heartbeat.Holding(), group.ID())
		ours := holds.by[group.ID()] == heartbeat.Proxy()
		switch {
		case named && !ours && !group.HoldIsLocal(now):
			holds.by[group.ID()] = heartbeat.Proxy()
			group.HoldWrites(now+heldLimit, false)
		case !named && ours:
			delete(holds.by, group.ID())
			group.ReleaseWrites()
			holds.context.Publish(event.NewGroupObserved(group.ID()))
		}
	}
}
