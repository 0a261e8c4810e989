package elect

import (
	"maps"
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// maxRowAge is the maximum age of a lease row that a holder adopts: the store is restored from
// copies that are some seconds old, and holders renew their row every second.
const maxRowAge = time.Minute

// minHolderDelay is the time after which an instance that is listed to this proxy is known to the
// holder of the lease, too.
const minHolderDelay = 3 * time.Second

// updateCounted updates the list of instances that may hold acknowledged commits. It
// adopts the list in the lease row once, when this proxy holds the lease.
func (monitor *monitor) updateCounted(group *state.Group) {
	for _, member := range group.Members() {
		monitor.recordStart(member.Listing())
		monitor.counted[member.ID()] = member.Listing()
		monitor.observation(member.ID()).listedAgain()
	}
	if !monitor.rowAdopted {
		monitor.followHolder(group)
	}
	if monitor.elect.lease.held() && !monitor.rowAdopted {
		monitor.adoptRow()
	}
	if primary := monitor.primary(group); primary != "" && !monitor.neverRan(primary) {
		monitor.lastPrimary = primary
	}
	monitor.leaveOut(group)
	monitor.dropEnded(group)
}

// adoptRow adopts what the holder of the lease before knew of the group's instances.
func (monitor *monitor) adoptRow() {
	row := &monitor.elect.lease.row
	for _, id := range row.Counted[monitor.groupID] {
		_, known := monitor.counted[id]
		if _, dropped := monitor.dropped[id]; !known && !dropped {
			monitor.counted[id] = model.Listing{}
		}
		if !slices.Contains(row.Unreached[monitor.groupID], id) {
			monitor.observation(id).ran = true
		}
	}
	monitor.adoptPrimary(row.Led[monitor.groupID])
	monitor.rowAdopted = true
}

// recordStart records when an instance was first listed, or listed with a later start of its process.
func (monitor *monitor) recordStart(listing model.Listing) {
	before, known := monitor.counted[listing.ID()]
	observation := monitor.observation(listing.ID())
	if !known || before.Born() != listing.Born() {
		observation.countedSince = monitor.now()
	}
	if listing.Born() > before.Born() || listing.WarmUpRemaining() > before.WarmUpRemaining() {
		observation.startedAgain()
	}
}

// followHolder drops the instances that the holder of the lease has dropped: they are no longer
// listed, and its row, which was written when it had known them for long, lacks them.
func (monitor *monitor) followHolder(group *state.Group) {
	lease := monitor.elect.lease
	counted, ok := lease.row.Counted[monitor.groupID]
	if !ok {
		return
	}
	for id := range monitor.counted {
		knownFor := lease.changedAt - monitor.observation(id).countedSince
		if group.Member(id) == nil && knownFor >= minHolderDelay && !slices.Contains(counted, id) {
			monitor.drop(id)
		}
	}
}

// unlistedCounted returns the counted instances that are no longer listed.
func (monitor *monitor) unlistedCounted(group *state.Group) []model.InstanceID {
	var unlisted []model.InstanceID
	for _, id := range monitor.countedIDs() {
		if group.Member(id) == nil {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted
}

// watchesEnded reports whether this proxy probes the group, also without the lease, to find out
// whether an instance that has left can be dropped. The first standby proxies do so, since the holder
// may be lost at that time, and the primary before there is a next one.
func (monitor *monitor) watchesEnded(group *state.Group) bool {
	hasLeft := slices.ContainsFunc(monitor.unlistedCounted(group), func(id model.InstanceID) bool { return monitor.counted[id].Leaving() })
	return hasLeft && monitor.elect.lease.rank() <= maxFrequentStandbys
}

// awaitLog reports whether the log of a replica that has ended may be the only one beside that of
// the primary that has the last acknowledged commits. No replica can be promoted then: an attempt
// would only replace the primary by itself, so none starts unless a promotion order may still be
// carried out.
func (monitor *monitor) awaitLog(group *state.Group) bool {
	if monitor.elect.lease.outstandingOrder(monitor.groupID) != "" || monitor.awaitsRestore(group) {
		return false
	}
	awaited := monitor.awaitedReplica(group)
	if awaited != "" && !monitor.waitsForLog {
		monitor.log("promotion_waits", awaited, "it has ended, and no other replica is known to have all of its log")
	}
	monitor.waitsForLog = awaited != ""
	return monitor.waitsForLog
}

// awaitedReplica returns a counted replica that has ended, or the empty ID.
func (monitor *monitor) awaitedReplica(group *state.Group) model.InstanceID {
	if replication, _ := group.Replication().(model.PrimaryAcknowledged); replication.Replicas() == 0 {
		return ""
	}
	primary := monitor.primaryOr(monitor.lastPrimary)
	for _, id := range monitor.unlistedCounted(group) {
		if _, ended := monitor.observation(id).endedAt(monitor.counted[id].Leaving(), monitor.now()); ended && id != primary {
			return id
		}
	}
	return ""
}

// dropEnded removes the instances that have ended from the counted ones, once another replica has
// every commit that they may have acknowledged.
func (monitor *monitor) dropEnded(group *state.Group) {
	for _, id := range monitor.unlistedCounted(group) {
		observation := monitor.observation(id)
		if observation.leftOut && !observation.runs() {
			monitor.drop(id)
			continue
		}
		if observation.unlistedSince == 0 {
			observation.unlistedSince = monitor.now()
		}
		endedAt, ended := observation.endedAt(monitor.counted[id].Leaving(), monitor.now())
		if !ended {
			observation.needed = model.Mark{}
			continue
		}
		if observation.needed.IsZero() {
			observation.needed, observation.neededFrom = monitor.primaryTail(group, endedAt)
		}
		if heir.CanDrop(observation.needed, monitor.listedBeside(group, observation.neededFrom, endedAt)) {
			monitor.log("instance_left_out", id, "it has ended, and the log of another replica covers "+observation.needed.String())
			if observation.refusals == 0 {
				monitor.silentDroppedAt = monitor.now()
			}
			monitor.drop(id)
		}
	}
}

// drop removes an instance from the counted ones.
func (monitor *monitor) drop(instance model.InstanceID) {
	delete(monitor.counted, instance)
	delete(monitor.observations, instance)
	now := monitor.now()
	maps.DeleteFunc(monitor.dropped, func(_ model.InstanceID, droppedAt time.Duration) bool {
		return now-droppedAt > maxRowAge
	})
	monitor.dropped[instance] = now
}

// primaryTail returns the end of the primary's log that it reported after since, and the primary. It
// returns the zero Mark if there is no such report.
func (monitor *monitor) primaryTail(group *state.Group, since time.Duration) (model.Mark, model.InstanceID) {
	primary := monitor.primary(group)
	observation, ok := monitor.observations[primary]
	if !ok || !observation.reported || observation.statusAt < since || observation.status.Role() != model.RolePrimary {
		return model.Mark{}, ""
	}
	return observation.status.Tail(), primary
}

// listedBeside returns the listed instances but one, with what they reported after since.
func (monitor *monitor) listedBeside(group *state.Group, excluded model.InstanceID, since time.Duration) []heir.Candidate {
	var others []heir.Candidate
	for _, member := range group.Members() {
		if member.ID() == excluded {
			continue
		}
		observation := monitor.observation(member.ID())
		others = append(others, heir.Candidate{
			Instance:  member.ID(),
			Tail:      observation.status.Tail(),
			TailKnown: observation.reported && observation.statusAt >= since,
			LogLost:   observation.logLost,
		})
	}
	return others
}
