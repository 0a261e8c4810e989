package affirm

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

// group holds the commits of a group that wait, in the order of their arrival.
type group struct {
	affirm  *Affirm
	id      model.GroupID
	commits []*waiting
	// unanswered is set while the holder cannot say whether the group is settled.
	unanswered bool
	// refusing is set while further writes are refused.
	refusing   bool
	probedAt   time.Duration // when replicas were last asked
	probeDelay time.Duration // from then until they are asked again
	probeTimer timer.ID      // or 0
}

func (affirm *Affirm) group(id model.GroupID) *group {
	found, ok := affirm.groups[id]
	if !ok {
		found = &group{affirm: affirm, id: id}
		affirm.groups[id] = found
	}
	return found
}

// waitingGroups returns the groups with commits that wait, in ascending order of their IDs.
func (affirm *Affirm) waitingGroups() []*group {
	var found []*group
	for _, id := range slices.Sorted(maps.Keys(affirm.groups)) {
		if len(affirm.groups[id].commits) > 0 {
			found = append(found, affirm.groups[id])
		}
	}
	return found
}

// startRefusal logs that further writes are refused, once commits have waited for too long.
func (group *group) startRefusal(now time.Duration) {
	if !group.refusing && now-group.commits[0].since >= refuseAfter {
		group.refusing = true
		group.log("writes_refused", "a commit cannot be confirmed: "+group.commits[0].reason)
	}
}

func (group *group) endRefusal() {
	if group.refusing {
		group.refusing = false
		group.log("writes_allowed", "no commit waits to be confirmed")
	}
}

func (group *group) log(name, reason string) {
	group.affirm.context.Emit(event.NewLogDecision(model.Decision{Name: name, Group: group.id, Reason: reason}))
}
