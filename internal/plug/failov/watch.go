package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/state"
)

// watch is what the plug-in keeps of a group. Times are those of the kernel's clock.
type watch struct {
	group      *state.Group
	heard      map[model.InstanceID]time.Duration // when the last report arrived
	baseline   time.Duration                      // silence is counted from here at the earliest
	lostSince  time.Duration                      // when the loss was noticed, or 0
	doubtSince time.Duration                      // when the primary was suspected first, or 0
	quietUntil time.Duration                      // another promoter has the word until then
	fence      model.Term                         // the highest fence seen
	fenceAt    time.Duration                      // when it was seen first
	count      uint64                             // the highest promotion count that this proxy used
	attempt    *attempt
	move       *move
	moveAfter  time.Duration // no switchover away from a leaving primary is started before
	followed   map[model.InstanceID]time.Duration
}

func newWatch(group *state.Group, now time.Duration) *watch {
	return &watch{
		group:    group,
		heard:    make(map[model.InstanceID]time.Duration),
		baseline: now,
		followed: make(map[model.InstanceID]time.Duration),
	}
}

// startTerm begins to watch a new primary, whose silence counts from now.
func (watch *watch) startTerm(now time.Duration) {
	watch.baseline = now
	watch.lostSince = 0
	watch.quietUntil = 0
}

// noticeFence remembers when the highest fence was seen first. A fence above
// the group's term shows that somebody is promoting.
func (watch *watch) noticeFence(now time.Duration) {
	for _, member := range watch.group.Members() {
		if fence := member.Status().Fence(); fence > watch.fence {
			watch.fence = fence
			watch.fenceAt = now
		}
	}
}

// silence returns how long nothing was heard from an instance.
func (watch *watch) silence(instance model.InstanceID, now time.Duration) time.Duration {
	return now - max(watch.heard[instance], watch.baseline)
}

// nextCount returns a promotion count above all that were seen.
func (watch *watch) nextCount() uint64 {
	count := max(watch.count, watch.group.Term().Count(), watch.fence.Count())
	return count + 1
}
