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
	// lossGone means that the primary's process is gone.
	lossGone
	// lossSilent means that nobody hears the primary.
	lossSilent
	// lossDeserted means that no replica hears the primary, though this proxy does.
	lossDeserted
	// lossResigned means that the primary itself reports that it does not lead.
	lossResigned
	// lossFenced means that an instance is fenced with a term that nobody leads.
	lossFenced
	// lossUnknown means that no instance is known to lead.
	lossUnknown
)

// String returns the reason for the log.
func (loss loss) String() string {
	switch loss {
	case lossGone:
		return "the primary's process is gone"
	case lossSilent:
		return "the primary is silent"
	case lossDeserted:
		return "no replica hears the primary"
	case lossResigned:
		return "the primary does not lead any more"
	case lossFenced:
		return "nobody leads the highest term"
	case lossUnknown:
		return "no primary is known"
	default:
		return ""
	}
}

// replaces reports whether another instance shall take the primary's place.
func (loss loss) replaces() bool {
	return loss == lossGone || loss == lossSilent || loss == lossDeserted
}

const (
	// goneFailures is how many probes in a row must be refused or reset.
	goneFailures = 2
	// deafProbes is the silence, in probe intervals, after which a replica no
	// longer hears a primary whose process is gone.
	deafProbes = 2
	// freshProbes is the age, in probe intervals, up to which a report counts.
	freshProbes = 4
	// takeoverDelay is how long a promoter that has fenced instances may take
	// before another one starts.
	takeoverDelay = 200 * time.Millisecond
	// unknownDelay is how long a group may be without a known primary.
	unknownDelay = time.Second
)

// detect decides whether the group has lost its primary.
func (failover *Failover) detect(watch *watch) loss {
	now := failover.context.Now()
	primary := watch.group.Primary()
	switch {
	case primary == nil:
		return failover.detectUnknown(watch)
	case watch.fence > watch.group.Term():
		return lossFenced
	case failover.resigned(watch, primary):
		return lossResigned
	}
	limit := failover.context.Settings().SilenceLimit()
	interval := failover.context.Settings().ProbeInterval()
	gone := primary.Failures() >= goneFailures && isGone(primary.Failure())
	silence := watch.silence(primary.ID(), now)
	switch {
	case gone && failover.corroborated(watch, primary, deafProbes*interval):
		return lossGone
	case silence >= limit && failover.corroborated(watch, primary, limit):
		return lossSilent
	case failover.deserted(watch, primary, limit):
		return lossDeserted
	case primary.Failures() > 0 || silence >= limit/2:
		return lossSuspected
	default:
		return lossNone
	}
}

func isGone(reason model.ConnFailure) bool {
	return reason == model.ConnFailureRefused || reason == model.ConnFailureReset
}

// detectUnknown waits for a majority of reports and for the time in which a
// primary should have been found.
func (failover *Failover) detectUnknown(watch *watch) loss {
	now := failover.context.Now()
	fresh := 0
	for _, member := range watch.group.Members() {
		if failover.fresh(watch, member) {
			fresh++
		}
	}
	if fresh >= watch.group.Majority() && now-watch.baseline >= unknownDelay {
		return lossUnknown
	}
	return lossNone
}

// resigned reports whether the primary of the current term reported, since the
// term began, that it does not lead it.
func (failover *Failover) resigned(watch *watch, primary *state.Member) bool {
	status := primary.Status()
	return failover.fresh(watch, primary) && primary.SentAt() > watch.baseline &&
		status.Fence() == watch.group.Term() && status.Role() != model.RolePrimary
}

// corroborated reports whether the replicas agree that the primary is lost: none
// that was heard lately heard the primary within limit, and at least one was
// heard. Replicas that do not follow this primary yet know nothing about it.
func (failover *Failover) corroborated(watch *watch, primary *state.Member, limit time.Duration) bool {
	heard := 0
	for _, member := range watch.group.Members() {
		if member == primary || !failover.fresh(watch, member) {
			continue
		}
		heard++
		if follows(member, watch.group) && member.Status().PrimarySilence() < limit {
			return false
		}
	}
	return heard > 0
}

// deserted reports whether so many replicas do not hear the primary that it
// cannot have a majority.
func (failover *Failover) deserted(watch *watch, primary *state.Member, limit time.Duration) bool {
	deaf := 0
	for _, member := range watch.group.Members() {
		if member == primary || !failover.fresh(watch, member) || !follows(member, watch.group) {
			continue
		}
		if member.Status().PrimarySilence() >= limit {
			deaf++
		}
	}
	return deaf >= watch.group.Majority()
}

// fresh reports whether the last report of an instance is recent.
func (failover *Failover) fresh(watch *watch, member *state.Member) bool {
	heardAt, ok := watch.heard[member.ID()]
	age := failover.context.Now() - heardAt
	return ok && member.Failures() == 0 && age <= freshProbes*failover.context.Settings().ProbeInterval()
}

// follows reports whether a replica copies from the group's primary.
func follows(member *state.Member, group *state.Group) bool {
	primary := group.Primary()
	status := member.Status()
	return primary != nil && status.Role() == model.RoleReplica && status.Fence() == group.Term() && status.Upstream() == primary.ID()
}

// dueAt returns when this proxy promotes: each proxy waits longer by the stagger
// than the one that comes before it.
func (failover *Failover) dueAt(watch *watch, loss loss) time.Duration {
	state := failover.context.State()
	place := rank.Of("promote/"+string(watch.group.ID()), state.Self().ID(), state.Proxies())
	stagger := time.Duration(place) * failover.context.Settings().PromotionStagger()
	due := max(watch.lostSince+stagger, watch.quietUntil)
	if loss == lossFenced {
		due = max(due, watch.fenceAt+takeoverDelay+stagger)
	}
	return due
}
