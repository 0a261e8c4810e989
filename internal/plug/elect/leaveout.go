package elect

import (
	"slices"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// leaveOut determines which listed instances no promotion waits for: another program has written their
// entries. One that has run counts as long as it is listed, since it may refuse the proxies only.
func (monitor *monitor) leaveOut(group *state.Group) {
	for _, member := range group.Members() {
		observation := monitor.observation(member.ID())
		switch {
		case observation.unlistedSince > 0:
		case observation.ran || observation.runs():
			observation.leftOut = false
		case !observation.leftOut && monitor.entryStays(observation):
			monitor.log("instance_left_out", member.ID(), "it has never answered, and its entry stays though no instance writes it")
			observation.leftOut = true
		}
	}
}

// entryStays reports whether the entry of an instance that does not run is listed for longer than the
// platform keeps that of an instance.
func (monitor *monitor) entryStays(observation *observation) bool {
	checkedAt, _ := monitor.elect.context.State().ListCheckedAt(model.ListInstances)
	return checkedAt-observation.refusedAt >= monitor.elect.context.Settings().EntryLifetime()
}

// neverRan reports whether a listed instance is left out, so that it can never have been the primary.
func (monitor *monitor) neverRan(id model.InstanceID) bool {
	observation, ok := monitor.observations[id]
	return ok && observation.leftOut
}

// awaitsDecision reports whether a listed instance does not run and is not left out yet, though it has
// never run.
func (monitor *monitor) awaitsDecision(group *state.Group) bool {
	for _, member := range group.Members() {
		if observation := monitor.observation(member.ID()); !observation.ran && !observation.runs() && !observation.leftOut {
			return true
		}
	}
	return false
}

// isLeftOut reports whether an instance did not run at its last probe and no promotion waits for its log.
// It counts as soon as it answers.
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

// unreachedIDs returns the IDs among the recorded ones of the instances that have never answered.
func (monitor *monitor) unreachedIDs() []model.InstanceID {
	return slices.DeleteFunc(monitor.recordedIDs(), func(id model.InstanceID) bool { return monitor.observation(id).ran })
}
