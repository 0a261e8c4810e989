package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refutedRetryDelay is how long an instance that does not lead is not asked again for the lead.
	refutedRetryDelay = 150 * time.Millisecond
	// failureWindow is how long an instance that did not answer gets no reads while others can take them.
	failureWindow = time.Second
	// missingMarkWindow is how long an instance that lacked a mark is not asked for one as high.
	missingMarkWindow = 100 * time.Millisecond
	// primaryCost is what an instance that leads costs more as the place of a
	// read, since writes can go nowhere else.
	primaryCost = 10 * time.Millisecond
	// remoteDataCenterCost is what an instance in another data centre costs more.
	remoteDataCenterCost = 2 * time.Millisecond
	// warmUpCost is what an instance costs more that says that it is slow after its start.
	warmUpCost = 30 * time.Millisecond
)

// likelyPrimary returns the instance that is believed to lead, or, where none is, one
// that has not denied it lately. It returns the empty name if there is none to ask.
func (relay *Relay) likelyPrimary(view *state.Group) model.InstanceID {
	if primary := view.Primary(); primary != nil {
		return primary.ID()
	}
	oldest := relay.context.Now() - refutedRetryDelay
	for _, member := range view.Members() {
		if !member.Leaving() && !view.RefutedSince(member.ID(), oldest) && !relay.recentlyFailed(member.ID()) {
			return member.ID()
		}
	}
	return ""
}

// cheapestInstance returns the instance that is expected to answer a read first.
func (relay *Relay) cheapestInstance(view *state.Group, task *task) model.InstanceID {
	var best model.InstanceID
	var lowest time.Duration
	members := view.Members()
	first := 0
	if len(members) > 1 {
		first = relay.context.Random().IntN(len(members))
	}
	for offset := range members {
		member := members[(first+offset)%len(members)]
		if member.Leaving() || task.isAvoided(member.ID()) || relay.knownToLack(member.ID(), task.after) {
			continue
		}
		if cost := relay.cost(view, member); best == "" || cost < lowest {
			best, lowest = member.ID(), cost
		}
	}
	return best
}

// knownToLack reports whether an instance said lately that its log knownToLack a mark.
func (relay *Relay) knownToLack(instance model.InstanceID, mark model.Mark) bool {
	known, ok := relay.missingMarks[instance]
	return ok && relay.context.Now()-known.at < missingMarkWindow && mark.Covers(known.mark)
}

// cost returns the expected time of a read at an instance and what speaks against it.
func (relay *Relay) cost(view *state.Group, member *state.Member) time.Duration {
	cost := relay.admission.ExpectedDelay(member.ID()) + relay.conns.ConnectDelay(member.ID())
	if primary := view.Primary(); primary != nil && primary.ID() == member.ID() {
		cost += primaryCost
	}
	if member.Instance().DataCenter() != relay.context.State().Self().DataCenter() {
		cost += remoteDataCenterCost
	}
	if member.Listing().WarmUpRemaining() > 0 {
		cost += warmUpCost
	}
	if relay.recentlyFailed(member.ID()) {
		cost += failureWindow
	}
	return cost
}

// recentlyFailed reports whether an instance recentlyFailed to answer lately.
func (relay *Relay) recentlyFailed(instance model.InstanceID) bool {
	at, ok := relay.failedAt[instance]
	return ok && relay.context.Now()-at < failureWindow
}

// recordFailure records that an instance failed to answer. A primary is asked at once
// whether it is still there.
func (relay *Relay) recordFailure(instance model.InstanceID) {
	relay.failedAt[instance] = relay.context.Now()
	view := relay.context.State().GroupOf(instance)
	if view != nil && view.Primary() != nil && view.Primary().ID() == instance {
		relay.monitor(view.ID()).suspect = true
	}
}

// clearFailure records that an instance clearFailure.
func (relay *Relay) clearFailure(instance model.InstanceID) { delete(relay.failedAt, instance) }

// recordMissingMark records that the log of an instance lacks a mark.
func (relay *Relay) recordMissingMark(instance model.InstanceID, mark model.Mark) {
	relay.missingMarks[instance] = missingMark{mark: mark, at: relay.context.Now()}
}

// requirement tells what an instance must fulfil to run a job.
type requirement int

const (
	// requirePrimary: the statement itself is refused by an instance that does not lead.
	requirePrimary requirement = iota
	// requireConfirmedPrimary: the instance proves that it leads after the statement arrived.
	requireConfirmedPrimary
	// requireMark: the log of the instance covers a mark.
	requireMark
)

// requirementOf returns what the instance must fulfil at the start of a job.
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
// accepts staleness, and when the statement that brought the mark was sent.
func requiredMark(view *state.Group, job *route.Job) (model.Mark, time.Duration, bool) {
	mark, since, ok := view.MarkSince(job.Arrived() - job.Kind().Staleness())
	if !ok {
		return model.Mark{}, 0, false
	}
	if job.Kind().SeesOwnWrites() && job.Seen().Covers(mark) {
		mark = job.Seen()
	}
	return mark, since, true
}
