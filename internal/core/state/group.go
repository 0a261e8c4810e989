package state

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// Group is the view of a database group, derived from the reports of its
// instances. Times are those of the kernel's clock.
type Group struct {
	loadView LoadView
	id       model.GroupID
	members  []*Member
	term     model.Term
	primary  model.InstanceID
	history  readIndexHistory
	hold     hold
	refuted  map[model.InstanceID]time.Duration
	// answered is set if the primary has answered as such. Else it is known from its listing only.
	answered        bool
	primaryWasKnown bool
	replication     model.Replication
	maxConns        int
}

// NewGroup returns the view of a listed group before the first report.
func NewGroup(listed model.Group) *Group {
	group := &Group{id: listed.ID(), replication: listed.Replication(), maxConns: listed.MaxConns()}
	for _, instance := range listed.Instances() {
		group.members = append(group.members, &Member{instance: instance})
	}
	return group
}

// ID returns the name of the group.
func (group *Group) ID() model.GroupID { return group.id }

// Replication returns how the instances make a commit durable.
func (group *Group) Replication() model.Replication { return group.replication }

// Term returns the highest term whose primary is known, or 0 if none is.
func (group *Group) Term() model.Term { return group.term }

// Members returns the members in the platform's order. Callers must not change it.
func (group *Group) Members() []*Member { return group.members }

// Member returns the member with the given name, or nil.
func (group *Group) Member(instance model.InstanceID) *Member {
	for _, member := range group.members {
		if member.ID() == instance {
			return member
		}
	}
	return nil
}

// Primary returns the primary of Term, or nil if none is known.
func (group *Group) Primary() *Member { return group.Member(group.primary) }

// Majority returns how many members make a majority.
func (group *Group) Majority() int { return len(group.members)/2 + 1 }

// Observe records a status report whose probe was sent at sentAt. It returns true
// if the report identifies the primary of a higher term: either the instance
// itself, or the instance from which a replica copied entries of that term. A
// report that is older than the last one of the same instance is ignored.
func (group *Group) Observe(instance model.InstanceID, status model.Status, sentAt time.Duration) bool {
	member := group.Member(instance)
	if member == nil || (member.reported && sentAt < member.sentAt) {
		return false
	}
	member.status = status
	member.sentAt = sentAt
	member.reported = true
	member.failures = 0
	member.recovery.observe(status.Tail(), sentAt)
	group.updateRecoveries()
	if status.InTerm(status.Fence()) && !member.Recovering() {
		member.recordReplicated(status.Tail())
	}
	group.history.add(group.latestReadIndex())
	primary := instance
	if status.Role() == model.RoleReplica {
		primary = status.Upstream()
	}
	if !status.InTerm(status.Fence()) {
		return false
	}
	return group.ObservePrimary(status.Fence(), primary)
}

// ObserveFailure records a failed probe of an instance.
func (group *Group) ObserveFailure(instance model.InstanceID, reason model.ConnFailure) {
	if member := group.Member(instance); member != nil {
		member.failures++
		member.failure = reason
	}
}

// ObserveWrite records that instance, the primary of the term of mark, answered a
// write that it committed at mark in that term.
func (group *Group) ObserveWrite(instance model.InstanceID, mark model.Mark) {
	if member := group.Member(instance); member != nil && !member.Recovering() {
		member.recordReplicated(mark)
	}
}

// ObservePrimary records that instance is the primary of term. It returns true if
// the term is higher than the previously known one, and otherwise changes nothing.
func (group *Group) ObservePrimary(term model.Term, instance model.InstanceID) bool {
	if term <= group.term || group.Member(instance) == nil {
		return false
	}
	group.term = term
	group.recordPrimary(instance, true)
	return true
}

// Acknowledged reports whether a majority is known to have held mark while
// fenced with its term. Every later promotion preserves such an entry.
func (group *Group) Acknowledged(mark model.Mark) bool {
	count := 0
	for _, member := range group.members {
		if member.replicated.Term() == mark.Term() && member.replicated.Covers(mark) {
			count++
		}
	}
	return count >= group.Majority()
}

// Stable reports whether data read at mark survives every promotion: a majority
// is known to have held mark while fenced with its term. The primary of the term
// wrote the entry, so it counts without a report. The instance that served the
// read does not count without one, since it may have copied the entry in a later
// term.
func (group *Group) Stable(mark model.Mark) bool {
	count := 0
	for _, member := range group.members {
		wrote := mark.Term() == group.term && member.ID() == group.primary
		holds := member.replicated.Term() == mark.Term() && member.replicated.Covers(mark)
		if wrote || holds {
			count++
		}
	}
	return count >= group.Majority()
}

// ReadIndex returns a Mark that covers every write acknowledged before since. It
// uses only reports whose probes were sent at since or later. Every majority
// contains an instance that holds each acknowledged write, so the highest tail of
// any majority is such a Mark; the lowest of these is returned. The result is
// false until a majority has reported. An instance that lost its log does not
// count.
func (group *Group) ReadIndex(since time.Duration) (model.Mark, bool) {
	reported, lowestRank := 0, 0
	var index model.Mark
	for _, member := range group.members {
		if !member.reportedSince(since) {
			continue
		}
		reported++
		tail := member.status.Tail()
		rank := group.rank(tail, since)
		if rank >= group.Majority() && (lowestRank == 0 || rank < lowestRank) {
			index, lowestRank = tail, rank
		}
	}
	return index, reported >= group.Majority()
}

// rank returns the number of instances that reported since the given time and
// whose tail is covered by mark.
func (group *Group) rank(mark model.Mark, since time.Duration) int {
	count := 0
	for _, member := range group.members {
		if member.reportedSince(since) && mark.Covers(member.status.Tail()) {
			count++
		}
	}
	return count
}

// ReportPending reports whether an instance that answers probes has not reported
// since the given time. Its next report may lower the read index.
func (group *Group) ReportPending(since time.Duration) bool {
	for _, member := range group.members {
		if member.reported && member.failures == 0 && member.sentAt < since {
			return true
		}
	}
	return false
}

// WithinStaleness reports whether data read at mark is at most bound old at now.
func (group *Group) WithinStaleness(mark model.Mark, bound, now time.Duration) bool {
	return group.history.covers(mark, now-bound)
}

// View returns a snapshot for operators.
func (group *Group) View(now time.Duration) model.GroupView {
	views := make([]model.InstanceView, 0, len(group.members))
	for _, member := range group.members {
		views = append(views, member.View(now))
	}
	return model.NewGroupView(group.id, group.term, group.primary, views)
}

// latestReadIndex returns the newest read index that follows from the last reports.
func (group *Group) latestReadIndex() readIndex {
	var latest readIndex
	for _, member := range group.members {
		if !member.reported {
			continue
		}
		index, ok := group.ReadIndex(member.sentAt)
		if ok && member.sentAt >= latest.since {
			latest = readIndex{since: member.sentAt, mark: index}
		}
	}
	return latest
}
