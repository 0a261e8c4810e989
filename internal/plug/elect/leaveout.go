package elect

import (
	"almondway.dev/almondway/internal/core/heir"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// leaveOut determines which listed instances no promotion waits for. No process listens at their
// addresses: they have just ended, or another program has written the entry.
func (monitor *monitor) leaveOut(group *state.Group) {
	for _, member := range group.Members() {
		observation := monitor.observation(member.ID())
		switch {
		case observation.unlistedSince > 0:
		case observation.runs():
			observation.leftOut, observation.needed = false, model.Mark{}
		case !observation.leftOut:
			observation.leftOut = monitor.isNotNeeded(group, member.ID(), observation)
		}
	}
}

// isNotNeeded reports whether the log of a listed instance that does not run is not needed: another
// replica has every commit that it may have acknowledged, or it has never been an instance.
func (monitor *monitor) isNotNeeded(group *state.Group, id model.InstanceID, observation *observation) bool {
	if observation.needed.IsZero() {
		observation.needed, observation.neededFrom = monitor.primaryTail(group, observation.refusedAt)
	}
	if heir.CanDrop(observation.needed, monitor.listedBeside(group, observation.neededFrom, observation.refusedAt)) {
		monitor.log("instance_left_out", id, "it does not run, and the log of another replica covers "+observation.needed.String())
		return true
	}
	checkedAt, _ := monitor.elect.context.State().ListCheckedAt(model.ListInstances)
	if observation.answeredAt == 0 && checkedAt-observation.refusedAt >= monitor.elect.context.Settings().EntryLifetime() {
		monitor.log("instance_left_out", id, "it has never answered, and its entry stays though no instance writes it")
		return true
	}
	return false
}

// neverRan reports whether a listed instance is left out and has never answered, so that it can never
// have been the primary.
func (monitor *monitor) neverRan(id model.InstanceID) bool {
	observation, ok := monitor.observations[id]
	return ok && observation.leftOut && observation.answeredAt == 0
}

// awaitsProof reports whether a listed instance does not run and it is not known whether its log is needed.
func (monitor *monitor) awaitsProof(group *state.Group) bool {
	for _, member := range group.Members() {
		if observation := monitor.observation(member.ID()); member != group.Primary() && !observation.runs() && !observation.leftOut {
			return true
		}
	}
	return false
}

// isLeftOut reports whether an instance did not run at its last probe and no promotion waits for its log.
// An instance that has started again since counts as soon as it answers.
func (monitor *monitor) isLeftOut(id model.InstanceID) bool {
	observation := monitor.observation(id)
	return observation.leftOut && !observation.runs() && monitor.now()-observation.failedAt <= maxCandidateStatusAge
}

// recordedIDs returns the IDs of the instances that the next holder of the lease has to count.
func (monitor *monitor) recordedIDs() []model.InstanceID {
	var recorded []model.InstanceID
	for _, id := range monitor.countedIDs() {
		if !monitor.observation(id).leftOut {
			recorded = append(recorded, id)
		}
	}
	return recorded
}
