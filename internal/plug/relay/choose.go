package relay

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/state"
)

const (
	// refutedFor is how long an instance that does not lead is not asked again for the lead.
	refutedFor = 150 * time.Millisecond
	// failedFor is how long an instance that did not answer gets no reads while others can take them.
	failedFor = time.Second
	// laggedFor is how long an instance that lacked a mark is not asked for one as high.
	laggedFor = 100 * time.Millisecond
	// sparePrimary is what an instance that leads costs more as the place of a
	// read, since writes can go nowhere else.
	sparePrimary = 10 * time.Millisecond
	// otherCenter is what an instance in another data centre costs more.
	otherCenter = 2 * time.Millisecond
	// warming is what an instance costs more that says that it is slow after its start.
	warming = 30 * time.Millisecond
)

// primary returns the instance that is believed to lead, or, where none is, one
// that has not denied it lately. It returns the empty name if there is none to ask.
func (relay *Relay) primary(view *state.Group) model.InstanceID {
	if primary := view.Primary(); primary != nil {
		return primary.ID()
	}
	oldest := relay.context.Now() - refutedFor
	for _, member := range view.Members() {
		if !member.Leaving() && !view.RefutedSince(member.ID(), oldest) && !relay.failed(member.ID()) {
			return member.ID()
		}
	}
	return ""
}

// replica returns the instance that is expected to answer a read first.
func (relay *Relay) replica(view *state.Group, task *task) model.InstanceID {
	var best model.InstanceID
	var lowest time.Duration
	members := view.Members()
	first := 0
	if len(members) > 1 {
		first = relay.context.Random().IntN(len(members))
	}
	for offset := range members {
		member := members[(first+offset)%len(members)]
		if member.Leaving() || task.avoids(member.ID()) || relay.lacks(member.ID(), task.after) {
			continue
		}
		if cost := relay.cost(view, member); best == "" || cost < lowest {
			best, lowest = member.ID(), cost
		}
	}
	return best
}

// lacks reports whether an instance said lately that its log lacks a mark.
func (relay *Relay) lacks(instance model.InstanceID, mark model.Mark) bool {
	known, ok := relay.lags[instance]
	return ok && relay.context.Now()-known.at < laggedFor && mark.Covers(known.mark)
}

// cost returns the expected time of a read at an instance and what speaks against it.
func (relay *Relay) cost(view *state.Group, member *state.Member) time.Duration {
	cost := relay.admission.ExpectedDelay(member.ID()) + relay.conns.ConnectDelay(member.ID())
	if primary := view.Primary(); primary != nil && primary.ID() == member.ID() {
		cost += sparePrimary
	}
	if member.Instance().DataCenter() != relay.context.State().Self().DataCenter() {
		cost += otherCenter
	}
	if member.Listing().WarmUpRemaining() > 0 {
		cost += warming
	}
	if relay.failed(member.ID()) {
		cost += failedFor
	}
	return cost
}

// failed reports whether an instance failed to answer lately.
func (relay *Relay) failed(instance model.InstanceID) bool {
	at, ok := relay.failures[instance]
	return ok && relay.context.Now()-at < failedFor
}

// fail records that an instance failed to answer. A primary is asked at once
// whether it is still there.
func (relay *Relay) fail(instance model.InstanceID) {
	relay.failures[instance] = relay.context.Now()
	view := relay.context.State().GroupOf(instance)
	if view != nil && view.Primary() != nil && view.Primary().ID() == instance {
		relay.ping(view.ID()).suspect = true
	}
}

// answered records that an instance answered.
func (relay *Relay) answered(instance model.InstanceID) { delete(relay.failures, instance) }

// lagged records that the log of an instance lacks a mark.
func (relay *Relay) lagged(instance model.InstanceID, mark model.Mark) {
	relay.lags[instance] = lag{mark: mark, at: relay.context.Now()}
}

// requirement tells what an instance must fulfil to run a job.
type requirement int

const (
	// needLead: the statement itself is refused by an instance that does not lead.
	needLead requirement = iota
	// needProof: the instance proves that it leads after the statement arrived.
	needProof
	// needMark: the log of the instance covers a mark.
	needMark
)

// requires returns what the instance must fulfil at the start of a job.
func requires(job *route.Job) requirement {
	tx := job.Tx()
	switch {
	case tx != nil && !tx.ReadOnly(), tx == nil && job.Request().Writes():
		return needLead
	case job.Kind().Staleness() == 0:
		return needProof
	default:
		return needMark
	}
}

// floor returns the mark that the log of the instance must cover for a read that
// accepts staleness, and when the statement that brought the mark was sent.
func floor(view *state.Group, job *route.Job) (model.Mark, time.Duration, bool) {
	mark, since, ok := view.MarkSince(job.Arrived() - job.Kind().Staleness())
	if !ok {
		return model.Mark{}, 0, false
	}
	if job.Kind().SeesOwnWrites() && job.Seen().Covers(mark) {
		mark = job.Seen()
	}
	return mark, since, true
}
