package member

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// remoteHoldTimeout is how long new writes are held back for another proxy that says
// nothing more.
const remoteHoldTimeout = 500 * time.Millisecond

// remoteHolds keeps new writes back while another proxy moves a primary.
type remoteHolds struct {
	context *kern.Context
	holders map[model.GroupID]model.ProxyID
}

func newRemoteHolds(context *kern.Context) *remoteHolds {
	return &remoteHolds{context: context, holders: make(map[model.GroupID]model.ProxyID)}
}

// handleHeartbeat begins the holds that a heartbeat names and ends those that it does not
// name any more.
func (holds *remoteHolds) handleHeartbeat(heartbeat event.Heartbeat) {
	now := holds.context.Now()
	for _, group := range holds.context.State().Groups() {
		named := slices.Contains(heartbeat.Holding(), group.ID())
		ours := holds.holders[group.ID()] == heartbeat.Proxy()
		switch {
		case named && !ours && !group.HoldIsLocal(now):
			holds.holders[group.ID()] = heartbeat.Proxy()
			group.HoldWrites(now+remoteHoldTimeout, false)
		case !named && ours:
			delete(holds.holders, group.ID())
			group.ReleaseWrites()
			holds.context.Publish(event.NewGroupObserved(group.ID()))
		}
	}
}
