package member

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

// remoteHoldTimeout is the time after which a hold ends if no heartbeat of its sender has
// ended it.
const remoteHoldTimeout = 500 * time.Millisecond

// remoteHolds holds new writes of a group during a switchover by another proxy.
type remoteHolds struct {
	context *kern.Context
	holders map[model.GroupID]model.ProxyID
}

func newRemoteHolds(context *kern.Context) *remoteHolds {
	return &remoteHolds{context: context, holders: make(map[model.GroupID]model.ProxyID)}
}

// handleHeartbeat starts a hold for each group that the heartbeat lists and ends the
// sender's holds of groups that it no longer lists.
func (remoteHolds *remoteHolds) handleHeartbeat(heartbeat event.Heartbeat) {
	now := remoteHolds.context.Now()
	for _, group := range remoteHolds.context.State().Groups() {
		listed := slices.Contains(heartbeat.Holding(), group.ID())
		heldBySender := remoteHolds.holders[group.ID()] == heartbeat.Proxy()
		switch {
		case listed && !heldBySender && !group.HoldIsLocal(now):
			remoteHolds.holders[group.ID()] = heartbeat.Proxy()
			group.HoldWrites(now+remoteHoldTimeout, false)
		case !listed && heldBySender:
			delete(remoteHolds.holders, group.ID())
			group.ReleaseWrites()
			remoteHolds.context.Publish(event.NewGroupObserved(group.ID()))
		}
	}
}
