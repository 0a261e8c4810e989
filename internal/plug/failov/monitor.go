package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// monitor is the state that the plug-in keeps for a group. Times are on the kernel's
// clock.
type monitor struct {
	group            *state.Group
	reportedAt       map[model.InstanceID]time.Duration // when the last report of the instance arrived
	monitoredSince   time.Duration                      // start of the current term here; silence is counted from then at the earliest
	lostSince        time.Duration                      // when the loss was detected, or 0
	suspectedSince   time.Duration                      // when the loss was first suspected, or 0
	backoffUntil     time.Duration                      // no promotion is started before this time
	highestFence     model.Term                         // the highest fence that an instance reported
	fenceSeenAt      time.Duration                      // when highestFence was first reported
	usedCount        uint64                             // the highest promotion count that this proxy has used
	attempt          *attempt
	switchover       *switchover
	nextSwitchoverAt time.Duration // no switchover from a leaving primary is started before this time
	followOrderedAt  map[model.InstanceID]time.Duration
}

func newMonitor(group *state.Group, now time.Duration) *monitor {
	return &monitor{
		group:           group,
		reportedAt:      make(map[model.InstanceID]time.Duration),
		monitoredSince:  now,
		followOrderedAt: make(map[model.InstanceID]time.Duration),
	}
}

// startTerm resets the loss detection for a new primary, whose silence counts from now.
func (monitor *monitor) startTerm(now time.Duration) {
	monitor.monitoredSince = now
	monitor.lostSince = 0
	monitor.backoffUntil = 0
}

// recordFences records the highest reported fence and when it was first reported. A fence
// above the group's term shows that a promotion is in progress.
func (monitor *monitor) recordFences(now time.Duration) {
	for _, member := range monitor.group.Members() {
		if fence := member.Status().Fence(); fence > monitor.highestFence {
			monitor.highestFence = fence
			monitor.fenceSeenAt = now
		}
	}
}

// silence returns the time since the last report of an instance, or since the start of the
// term if that is later.
func (monitor *monitor) silence(instance model.InstanceID, now time.Duration) time.Duration {
	return now - max(monitor.reportedAt[instance], monitor.monitoredSince)
}

// nextCount returns a promotion count that is higher than all known ones.
func (monitor *monitor) nextCount() uint64 {
	count := max(monitor.usedCount, monitor.group.Term().Count(), monitor.highestFence.Count())
	return count + 1
}
