package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refutedRetryDelay is how long an instance that reported that it is not the primary
	// is not tried again as the primary.
	refutedRetryDelay = 150 * time.Millisecond
	// failureWindow is how long an instance that did not answer gets no reads while other
	// instances can serve them. It is also added to the cost of
	// such an instance.
	failureWindow = time.Second
	// missingMarkWindow is how long an instance whose log lacked a mark gets no reads that
	// require that mark or a higher one.
	missingMarkWindow = 100 * time.Millisecond
	// primaryCost is added to the cost of a read on the primary, because only the primary
	// can run writes.
	primaryCost = 10 * time.Millisecond
	// remoteDataCenterCost is added to the cost of an instance in another data centre.
	remoteDataCenterCost = 2 * time.Millisecond
	// warmUpCost is added to the cost of an instance that reports that it is still warming
	// up after its start.
	warmUpCost = 30 * time.Millisecond
)

// likelyPrimary returns the known primary. If none is known or it failed to answer, it returns an
// instance that is listed as the primary, else any one that may be it. It returns the empty ID if
// there is no such instance.
func (relay *Relay) likelyPrimary(group *state.Group) model.InstanceID {
	primary := group.Primary()
	if primary != nil && !relay.recentlyFailed(primary.ID()) {
		return primary.ID()
	}
	if listed := relay.listedPrimary(group); listed != "" {
		return listed
	}
	if primary != nil {
		return primary.ID()
	}
	for _, member := range group.Members() {
		if relay.mayLead(group, member) {
			return member.ID()
		}
	}
	return ""
}

// listedPrimary returns an instance that is listed as the primary and may be it, or the empty ID.
func (relay *Relay) listedPrimary(group *state.Group) model.InstanceID {
	for _, member := range group.Members() {
		if member.Listing().Role() == model.RolePrimary && relay.mayLead(group, member) {
			return member.ID()
		}
	}
	return ""
}

// mayLead reports whether an instance has neither failed nor reported recently that it is not the
// primary.
func (relay *Relay) mayLead(group *state.Group, member *state.Member) bool {
	oldest := relay.context.Now() - refutedRetryDelay
	return !member.Leaving() && !group.RefutedSince(member.ID(), oldest) && !relay.recentlyFailed(member.ID())
}

// cheapestInstance returns the instance with the lowest cost for a read, or the empty ID.
// The search starts at a random member, so that ties are spread over the instances.
func (relay *Relay) cheapestInstance(group *state.Group, task *task) model.InstanceID {
	var best model.InstanceID
	var lowest time.Duration
	members := group.Members()
	first := 0
	if len(members) > 1 {
		first = relay.context.Random().IntN(len(members))
	}
	for offset := range members {
		member := members[(first+offset)%len(members)]
		if member.Leaving() || task.isAvoided(member.ID()) || relay.knownToLack(member.ID(), task.after) {
			continue
		}
		if cost := relay.cost(group, member); best == "" || cost < lowest {
			best, lowest = member.ID(), cost
		}
	}
	return best
}

// knownToLack reports whether an instance reported recently that its log lacks a mark.
func (relay *Relay) knownToLack(instance model.InstanceID, mark model.Mark) bool {
	known, ok := relay.missingMarks[instance]
	return ok && relay.context.Now()-known.at < missingMarkWindow && mark.Covers(known.mark)
}

// cost returns the expected duration of a read on an instance plus penalties.
func (relay *Relay) cost(group *state.Group, member *state.Member) time.Duration {
	cost := relay.admission.ExpectedDelay(member.ID()) + relay.conns.ConnectDelay(member.ID())
	if primary := group.Primary(); primary != nil && primary.ID() == member.ID() {
		cost += primaryCost
	}
	if member.Instance().DataCenter() != relay.context.State().Self().DataCenter() {
		cost += remoteDataCenterCost
	}
	if member.Listing().WarmUpRemaining() > 0 {
		cost += warmUpCost
	}
	if relay.isAvoidable(member.ID()) {
		cost += failureWindow
	}
	return cost
}

// isAvoidable reports whether an instance gets no reads while others can serve them: it has just failed
// to answer, or no connection to it could be opened. Connections are tried again without reads.
func (relay *Relay) isAvoidable(instance model.InstanceID) bool {
	return relay.recentlyFailed(instance) || relay.conns.Unreachable(instance)
}

// recentlyFailed reports whether an instance failed to answer within failureWindow and has
// not answered since.
func (relay *Relay) recentlyFailed(instance model.InstanceID) bool {
	at, ok := relay.failedAt[instance]
	return ok && relay.context.Now()-at < failureWindow
}

// recordFailure records that an instance failed to answer. If it is the primary, it is
// pinged at the next refresh.
func (relay *Relay) recordFailure(instance model.InstanceID) {
	relay.failedAt[instance] = relay.context.Now()
	group := relay.context.State().GroupOf(instance)
	if group != nil && group.Primary() != nil && group.Primary().ID() == instance {
		relay.monitor(group.ID()).suspect = true
		relay.pace.Wake()
	}
}

// clearFailure records that an instance answered.
func (relay *Relay) clearFailure(instance model.InstanceID) {
	delete(relay.failedAt, instance)
	relay.answeredAt[instance] = relay.context.Now()
}

// recordMissingMark records that the log of an instance lacks a mark.
func (relay *Relay) recordMissingMark(instance model.InstanceID, mark model.Mark) {
	relay.missingMarks[instance] = missingMark{mark: mark, at: relay.context.Now()}
}

// requirement is the condition that an instance must meet to run a job.
type requirement int

const (
	// requirePrimary: the primary runs the statement; any other instance refuses it.
	requirePrimary requirement = iota
	// requireConfirmedPrimary: the instance confirms, after the arrival of the statement,
	// that it is the primary.
	requireConfirmedPrimary
	// requireMark: the log of the instance covers a mark.
	requireMark
)

// requirementOf returns the condition that the instance must meet at the start of a job.
func requirementOf(job *route.Job) requirement {
	tx := job.Tx()
	switch {
	case tx != nil && !tx.ReadOnly(), tx == nil && job.Request().Writes():
		return requirePrimary
	case job.Kind().Staleness() == 0:
		return requireConfirmedPrimary
	default:
		return requireMark
	}
}

// requiredMark returns the mark that the log of the instance must cover for a read that
// accepts staleness, and when the statement that returned the mark was sent. It returns
// false if no known mark is recent enough.
func requiredMark(group *state.Group, job *route.Job) (model.Mark, time.Duration, bool) {
	mark, since, ok := group.MarkSince(job.Arrived() - job.Kind().Staleness())
	if !ok {
		return model.Mark{}, 0, false
	}
	if job.Kind().SeesOwnWrites() && job.Seen().Covers(mark) {
		mark = job.Seen()
	}
	return mark, since, true
}
