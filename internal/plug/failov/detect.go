package failov

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/state"
)

// loss tells why a group needs a promotion.
type loss int

const (
	lossNone loss = iota
	// lossSuspected means that the primary is silent, not yet for long enough.
	lossSuspected
	// lossProcessGone means that the primary's process is gone.
	lossProcessGone
	// lossSilent means that nobody hears the primary.
	lossSilent
	// lossIsolated means that no replica hears the primary, though this proxy does.
	lossIsolated
	// lossDemoted means that the primary itself reports that it does not lead.
	lossDemoted
	// lossFenced means that an instance is fenced with a term that nobody leads.
	lossFenced
	// lossUnknown means that no instance is known to lead.
	lossUnknown
)

// String returns the reason for the log.
func (loss loss) String() string {
	switch loss {
	case lossProcessGone:
		return "the primary's process is gone"
	case lossSilent:
		return "the primary is silent"
	case lossIsolated:
		return "no replica hears the primary"
	case lossDemoted:
		return "the primary does not lead any more"
	case lossFenced:
		return "nobody leads the highest term"
	case lossUnknown:
		return "no primary is known"
	default:
		return ""
	}
}

// excludesPrimary reports whether another instance shall take the primary's place.
func (loss loss) excludesPrimary() bool {
	return loss == lossProcessGone || loss == lossSilent || loss == lossIsolated
}

const (
	// minGoneFailures is how many probes in a row must be refused or reset.
	minGoneFailures = 2
	// goneSilentIntervals is the silence, in probe intervals, after which a replica no
	// longer hears a primary whose process is gone.
	goneSilentIntervals = 2
	// freshIntervals is the age, in probe intervals, up to which a report counts.
	freshIntervals = 4
	// takeoverDelay is how long a promoter that has fenced instances may take
	// before another one starts.
	takeoverDelay = 200 * time.Millisecond
	// unknownPrimaryDelay is how long a group may be without a known primary.
	unknownPrimaryDelay = time.Second
)

// detect decides whether the group has lost its primary.
func (failover *Failover) detect(watch *monitor) loss {
	now := failover.context.Now()
	primary := watch.group.Primary()
	switch {
	case primary == nil:
		return failover.detectUnknown(watch)
	case watch.highestFence > watch.group.Term():
		return lossFenced
	case failover.demoted(watch, primary):
		return lossDemoted
	}
	limit := failover.context.Settings().SilenceLimit()
	interval := failover.context.Settings().ProbeInterval()
	gone := primary.Failures() >= minGoneFailures && isProcessGone(primary.Failure())
	silence := watch.silence(primary.ID(), now)
	switch {
	case gone && failover.confirmedByReplicas(watch, primary, goneSilentIntervals*interval):
		return lossProcessGone
	case silence >= limit && failover.confirmedByReplicas(watch, primary, limit):
		return lossSilent
	case failover.isolated(watch, primary, limit):
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

// detectUnknown waits for a majority of reports and for the time in which a
// primary should have been found.
func (failover *Failover) detectUnknown(watch *monitor) loss {
	now := failover.context.Now()
	fresh := 0
	for _, member := range watch.group.Members() {
		if failover.hasRecentReport(watch, member) {
			fresh++
		}
	}
	if fresh >= watch.group.Majority() && now-watch.monitoredSince >= unknownPrimaryDelay {
		return lossUnknown
	}
	return lossNone
}

// demoted reports whether the primary of the current term reported, since the
// term began, that it does not lead it.
func (failover *Failover) demoted(watch *monitor, primary *state.Member) bool {
	status := primary.Status()
	return failover.hasRecentReport(watch, primary) && primary.SentAt() > watch.monitoredSince &&
		status.Fence() == watch.group.Term() && status.Role() != model.RolePrimary
}

// confirmedByReplicas reports whether the replicas agree that the primary is lost: none
// that was heard lately heard the primary within limit, and at least one was
// heard. Replicas that do not follow this primary yet know nothing about it.
func (failover *Failover) confirmedByReplicas(watch *monitor, primary *state.Member, limit time.Duration) bool {
	heard := 0
	for _, member := range watch.group.Members() {
		if member == primary || !failover.hasRecentReport(watch, member) {
			continue
		}
		heard++
		if follows(member, watch.group) && member.Status().PrimarySilence() < limit {
			return false
		}
	}
	return heard > 0
}

// isolated reports whether so many replicas do not hear the primary that it
// cannot have a majority.
func (failover *Failover) isolated(watch *monitor, primary *state.Member, limit time.Duration) bool {
	deaf := 0
	for _, member := range watch.group.Members() {
		if member == primary || !failover.hasRecentReport(watch, member) || !follows(member, watch.group) {
			continue
		}
		if member.Status().PrimarySilence() >= limit {
			deaf++
		}
	}
	return deaf >= watch.group.Majority()
}

// hasRecentReport reports whether the last report of an instance is recent.
func (failover *Failover) hasRecentReport(watch *monitor, member *state.Member) bool {
	heardAt, ok := watch.reportedAt[member.ID()]
	age := failover.context.Now() - heardAt
	return ok && member.Failures() == 0 && age <= freshIntervals*failover.context.Settings().ProbeInterval()
}

// follows reports whether a replica copies from the group's primary.
func follows(member *state.Member, group *state.Group) bool {
	primary := group.Primary()
	status := member.Status()
	return primary != nil && status.Role() == model.RoleReplica && status.Fence() == group.Term() && status.Upstream() == primary.ID()
}

// promotionDueAt returns when this proxy promotes: each proxy waits longer by the stagger
// than the one that comes before it.
func (failover *Failover) promotionDueAt(watch *monitor, loss loss) time.Duration {
	state := failover.context.State()
	place := rank.Of("promote/"+string(watch.group.ID()), state.Self().ID(), state.Proxies())
	stagger := time.Duration(place) * failover.context.Settings().PromotionStagger()
	due := max(watch.lostSince+stagger, watch.backoffUntil)
	if loss == lossFenced {
		due = max(due, watch.fenceSeenAt+takeoverDelay+stagger)
	}
	return due
}
