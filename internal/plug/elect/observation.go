package elect

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// observation is the last known status of an instance and the results of its probes.
type observation struct {
	status         model.Status
	reported       bool
	probedAt       time.Duration
	statusAt       time.Duration // when the probe behind the status was sent
	answeredAt     time.Duration
	failures       int
	refusals       int
	firstFailureAt time.Duration
	failedAt       time.Duration // when a probe last failed
	probePending   bool
	// lastTail is the log position that the instance reported last. A lower one after a
	// restart shows that the instance lost its log.
	lastTail model.Mark
	// born is the start time of the instance's process according to its listing, as Unix
	// time in milliseconds.
	born int64
	// logLost is set from the loss of the instance's log until it has caught up.
	logLost   bool
	logLostAt time.Duration
	// countedSince is the time at which this proxy first had the instance in the list, or had it there
	// with a later start of its process.
	countedSince time.Duration
	guardedAt    time.Duration // when guard last paused the instance
	// unlistedSince is the time at which the instance was first missing from the list, or 0.
	unlistedSince time.Duration
	// refusedAt is the time of the first of refusals since the instance was unlisted.
	refusedAt time.Duration
	// needed is an end of the primary's log that neededFrom, the primary, reported after the
	// instance had ended. Another instance must have the log up to there before this one is dropped.
	needed     model.Mark
	neededFrom model.InstanceID
	// ran is set if the instance has answered this proxy or an earlier holder of the lease.
	ran bool
	// leftOut is set while no promotion waits for the log of the listed instance, which has never run.
	leftOut bool
	// unprobed is set from another start of the instance's process until it is probed.
	unprobed bool
}

// runs reports whether a process may listen at the address of the instance.
func (observation *observation) runs() bool { return observation.refusals < minFailures }

// startedAgain records that the entry of the instance shows another start of its process, which has not
// been probed yet.
func (observation *observation) startedAgain() {
	observation.refusals, observation.leftOut, observation.unprobed = 0, false, true
}

// endedAt returns a time from which on an unlisted instance takes part in no commit, or false if it
// may still run. A leaving instance does not come back, so it has ended once no process listens at
// its address.
func (observation *observation) endedAt(leaving bool, now time.Duration) (time.Duration, bool) {
	if leaving && observation.refusals > 0 && observation.refusedAt >= observation.unlistedSince {
		return observation.refusedAt, true
	}
	silentSince := max(observation.unlistedSince, observation.answeredAt)
	return silentSince + minUnlistedSilence, now-silentSince >= minUnlistedSilence
}

// listedAgain records that the instance is listed.
func (observation *observation) listedAgain() {
	if observation.unlistedSince > 0 {
		observation.unlistedSince = 0
		observation.needed = model.Mark{}
	}
}
