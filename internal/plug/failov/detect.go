package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/state"
)

// loss is the reason why a group needs a promotion.
type loss int

const (
	lossNone loss = iota
	// lossSuspected means that the primary may be lost, without sufficient evidence so far.
	lossSuspected
	// lossProcessGone means that the process of the primary has ended.
	lossProcessGone
	// lossSilent means that neither this proxy nor any replica receives messages from the
	// primary.
	lossSilent
	// lossIsolated means that so few replicas receive messages from the primary that it
	// cannot have a majority, although this proxy may reach it.
	lossIsolated
	// lossDemoted means that the primary of the current term reports the role of a replica.
	lossDemoted
	// lossFenced means that an instance is fenced with a term that has no primary.
	lossFenced
	// lossUnknown means that no instance is known to be primary.
	lossUnknown
)

// String returns the reason that is logged with the promotion.
func (loss loss) String() string {
	switch loss {
	case lossProcessGone:
		return "the process of the primary has ended"
	case lossSilent:
		return "the primary is silent"
	case lossIsolated:
		return "the primary is isolated from the replicas"
	case lossDemoted:
		return "the primary reports that it is no longer primary"
	case lossFenced:
		return "the highest term has no primary"
	case lossUnknown:
		return "no primary is known"
	default:
		return ""
	}
}

// excludesPrimary reports whether the promotion prefers a majority and a candidate without
// the lost primary.
func (loss loss) excludesPrimary() bool {
	return loss == lossProcessGone || loss == lossSilent || loss == lossIsolated
}

const (
	// minGoneFailures is the number of consecutive failed probes, the last one refused or
	// reset, from which the process of the primary counts as gone.
	minGoneFailures = 2
	// goneSilentIntervals is the silence, in probe intervals, from which a replica counts
	// as disconnected from a primary whose process is gone.
	goneSilentIntervals = 2
	// freshIntervals is the age, in probe intervals, up to which a report is recent.
	freshIntervals = 4
	// takeoverDelay is how long a promoter that has fenced instances may take to finish
	// before another one starts.
	takeoverDelay = 200 * time.Millisecond
	// unknownPrimaryDelay is how long a group may be without a known primary.
	unknownPrimaryDelay = time.Second
)

// detect returns whether the group has lost its primary, and why.
func (failover *Failover) detect(monitor *monitor) loss {
	now := failover.context.Now()
	primary := monitor.group.Primary()
	switch {
	case primary == nil:
		return failover.detectUnknown(monitor)
	case monitor.highestFence > monitor.group.Term():
		return lossFenced
	case failover.demoted(monitor, primary):
		return lossDemoted
	}
	limit := failover.context.Settings().SilenceLimit()
	interval := failover.context.Settings().ProbeInterval()
	gone := primary.Failures() >= minGoneFailures && isProcessGone(primary.Failure())
	silence := monitor.silence(primary.ID(), now)
	switch {
	case gone && failover.confirmedByReplicas(monitor, primary, goneSilentIntervals*interval):
		return lossProcessGone
	case silence >= limit && failover.confirmedByReplicas(monitor, primary, limit):
		return lossSilent
	case failover.isolated(monitor, primary, limit):
		return lossIsolated
	case primary.Failures() > 0 || silence >= limit/2:
		return lossSuspected
	default:
		return lossNone
	}
}

func isProcessGone(reason model.ConnFailure) bool {
	return reason == model.ConnFailureRefused || reason == model.ConnFailureReset
}

// detectUnknown handles a group without a known primary. The primary counts as lost once a
// majority has recent reports and unknownPrimaryDelay has passed.
func (failover *Failover) detectUnknown(monitor *monitor) loss {
	now := failover.context.Now()
	recent := 0
	for _, member := range monitor.group.Members() {
		if failover.hasRecentReport(monitor, member) {
			recent++
		}
	}
	if recent >= monitor.group.Majority() && now-monitor.monitoredSince >= unknownPrimaryDelay {
		return lossUnknown
	}
	return lossNone
}

// demoted reports whether the primary of the current term has reported, since the start of the
// term, that it is a replica in it.
func (failover *Failover) demoted(monitor *monitor, primary *state.Member) bool {
	status := primary.Status()
	return failover.hasRecentReport(monitor, primary) && primary.SentAt() > monitor.monitoredSince &&
		status.Fence() == monitor.group.Term() && status.Role() != model.RolePrimary
}

// confirmedByReplicas reports whether the replicas confirm the loss of the primary: at least
// one has a recent report, and none of those has received a message from the primary within
// limit. Replicas that do not follow this primary yet have no information about it.
func (failover *Failover) confirmedByReplicas(monitor *monitor, primary *state.Member, limit time.Duration) bool {
	recent := 0
	for _, member := range monitor.group.Members() {
		if member == primary || !failover.hasRecentReport(monitor, member) {
			continue
		}
		recent++
		if follows(member, monitor.group) && member.Status().PrimarySilence() < limit {
			return false
		}
	}
	return recent > 0
}

// isolated reports whether so many replicas have received no message from the primary for
// limit that it cannot have a majority.
func (failover *Failover) isolated(monitor *monitor, primary *state.Member, limit time.Duration) bool {
	disconnected := 0
	for _, member := range monitor.group.Members() {
		if member == primary || !failover.hasRecentReport(monitor, member) || !follows(member, monitor.group) {
			continue
		}
		if member.Status().PrimarySilence() >= limit {
			disconnected++
		}
	}
	return disconnected >= monitor.group.Majority()
}

// hasRecentReport reports whether an instance has a recent report and no failed probe since.
func (failover *Failover) hasRecentReport(monitor *monitor, member *state.Member) bool {
	reportedAt, ok := monitor.reportedAt[member.ID()]
	age := failover.context.Now() - reportedAt
	return ok && member.Failures() == 0 && age <= freshIntervals*failover.context.Settings().ProbeInterval()
}

// follows reports whether a replica replicates from the primary of the group.
func follows(member *state.Member, group *state.Group) bool {
	primary := group.Primary()
	status := member.Status()
	return primary != nil && status.Role() == model.RoleReplica && status.Fence() == group.Term() && status.Upstream() == primary.ID()
}

// promotionDueAt returns when this proxy may start a promotion. The proxies are ordered by
// rank, and each one waits longer by the stagger than the one before it.
func (failover *Failover) promotionDueAt(monitor *monitor, loss loss) time.Duration {
	state := failover.context.State()
	ownRank := rank.Of("promote/"+string(monitor.group.ID()), state.Self().ID(), state.Proxies())
	stagger := time.Duration(ownRank) * failover.context.Settings().PromotionStagger()
	due := max(monitor.lostSince+stagger, monitor.backoffUntil)
	if loss == lossFenced {
		due = max(due, monitor.fenceSeenAt+takeoverDelay+stagger)
	}
	return due
}
