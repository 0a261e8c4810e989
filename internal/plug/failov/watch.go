package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// monitor is what the plug-in keeps of a group. Times are those of the kernel's clock.
type monitor struct {
	group            *state.Group
	reportedAt       map[model.InstanceID]time.Duration // when the last report arrived
	monitoredSince   time.Duration                      // silence is counted from here at the earliest
	lostSince        time.Duration                      // when the loss was noticed, or 0
	suspectedSince   time.Duration                      // when the primary was suspected first, or 0
	backoffUntil     time.Duration                      // another promoter has the word until then
	highestFence     model.Term                         // the highest fence seen
	fenceSeenAt      time.Duration                      // when it was seen first
	usedCount        uint64                             // the highest promotion count that this proxy used
	attempt          *attempt
	switchover       *switchover
	nextSwitchoverAt time.Duration // no switchover away from a leaving primary is started before
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

// startTerm begins to watch a new primary, whose silence counts from now.
func (watch *monitor) startTerm(now time.Duration) {
	watch.monitoredSince = now
	watch.lostSince = 0
	watch.backoffUntil = 0
}

// recordFences remembers when the highest fence was seen first. A fence above
// the group's term shows that somebody is promoting.
func (watch *monitor) recordFences(now time.Duration) {
	for _, member := range watch.group.Members() {
		if fence := member.Status().Fence(); fence > watch.highestFence {
			watch.highestFence = fence
			watch.fenceSeenAt = now
		}
	}
}

// silence returns how long nothing was heard from an instance.
func (watch *monitor) silence(instance model.InstanceID, now time.Duration) time.Duration {
	return now - max(watch.reportedAt[instance], watch.monitoredSince)
}

// nextCount returns a promotion count above all that were seen.
func (watch *monitor) nextCount() uint64 {
	count := max(watch.usedCount, watch.group.Term().Count(), watch.highestFence.Count())
	return count + 1
}
