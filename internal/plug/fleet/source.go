package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// pollsPerListWait is the number of polls of a follower in the time for which its reader waits
	// for changes at the store.
	pollsPerListWait = 2
	// readerPollHold is how long a reader may hold the poll of another one, which asks for
	// members only.
	readerPollHold = 2 * time.Second
	// pollMargin is the time that the answer may take beyond the hold.
	pollMargin = 500 * time.Millisecond
	// avoidTime is the time for which a proxy that did not answer a poll is not polled while
	// there are others.
	avoidTime = 5 * time.Second
	// demandTime is the time since the last poll for lists for which a proxy reads for others,
	// though it is not among the first ones in their order.
	demandTime = 10 * time.Second
)

// source is a proxy that this one polls.
type source struct {
	view    model.ProxyView
	wanted  bool
	pending model.PollID // or 0
	sentAt  time.Duration
	// answeredAt is the time of the last answer, or 0.
	answeredAt time.Duration
	// members are those that the proxy has sent last, and version is their state.
	members    []model.ProxyView
	version    model.MembersVersion
	heardOnly  bool          // members are only those that the proxy hears
	avoidUntil time.Duration // the proxy did not answer
	gone       bool          // the proxy does not run
}

// pollTick chooses whom to poll and sends the polls that are due. It returns the time until the
// next check.
func (fleet *Fleet) pollTick() time.Duration {
	if fleet.leaving {
		return idlePollTick
	}
	fleet.forgetSilent()
	fleet.chooseRole()
	fleet.updateMembers()
	fleet.chooseSources()
	for _, id := range sortedIDs(fleet.sources) {
		if source := fleet.sources[id]; source.wanted && source.pending == 0 {
			fleet.sendPoll(source)
		}
	}
	fleet.answerHeld()
	return fleet.untilNextTick()
}

// wakeWithin makes the next check come within a delay.
func (fleet *Fleet) wakeWithin(delay time.Duration) {
	if fleet.pace != nil {
		fleet.pace.WakeWithin(delay)
	}
}

// untilNextTick returns the time until a held poll or an announcement is due, or idlePollTick if
// that is earlier.
func (fleet *Fleet) untilNextTick() time.Duration {
	now := fleet.context.Now()
	at := now + idlePollTick
	for _, held := range fleet.held {
		at = min(at, held.expiresAt())
	}
	if !fleet.isAnnounced() {
		at = min(at, fleet.announced.at+fleet.announceInterval())
	}
	return at - now + pollTick - 1 // not before it is due
}

func sortedIDs(sources map[model.ProxyID]*source) []model.ProxyID {
	ids := make([]model.ProxyID, 0, len(sources))
	for id := range sources {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// chooseRole determines whether this proxy reads the lists for itself, for others, too, or gets
// their changes from a reader.
func (fleet *Fleet) chooseRole() {
	role := route.ListAlone
	own := fleet.self().DataCenter()
	switch {
	case len(fleet.readingOrder[own]) < minFollowedProxies:
	case slices.ContainsFunc(fleet.readers(own), func(view model.ProxyView) bool { return view.ID() == fleet.self().ID() }), fleet.isAsked():
		role = route.ListReader
	default:
		role = route.ListFollower
	}
	if fleet.role == route.ListFollower && role != fleet.role {
		fleet.assumeLive()
	}
	fleet.role = role
	fleet.chooseListRole()
}

// isAsked reports whether another proxy has asked for changes of lists lately.
func (fleet *Fleet) isAsked() bool {
	return fleet.lastListPollAt > 0 && fleet.context.Now()-fleet.lastListPollAt < demandTime
}

// chooseSources determines which proxies to poll: a follower polls one reader of its data
// centre, the others poll all readers of all data centres.
func (fleet *Fleet) chooseSources() {
	for _, source := range fleet.sources {
		source.wanted = false
	}
	if fleet.role == route.ListFollower {
		if reader, ok := fleet.ownReader(); ok {
			fleet.source(reader).wanted = true
		}
	} else {
		for _, dataCenter := range fleet.dataCenters() {
			for _, reader := range fleet.readers(dataCenter) {
				if reader.ID() != fleet.self().ID() {
					fleet.source(reader).wanted = true
				}
			}
		}
	}
	now := fleet.context.Now()
	for id, source := range fleet.sources {
		if !source.wanted && source.pending == 0 && now > source.avoidUntil && now-source.answeredAt > maxSilence {
			delete(fleet.sources, id)
		}
	}
}

// ownReader returns the reader that this proxy polls as a follower. The followers are spread
// over the readers. One that answers is kept.
func (fleet *Fleet) ownReader() (model.ProxyView, bool) {
	readers := fleet.readers(fleet.self().DataCenter())
	readers = slices.DeleteFunc(readers, func(view model.ProxyView) bool { return view.ID() == fleet.self().ID() })
	if len(readers) == 0 {
		return model.ProxyView{}, false
	}
	return readers[xxhash.Sum64String(string(fleet.self().ID()))%uint64(len(readers))], true
}

// source returns the state of a proxy that is polled.
func (fleet *Fleet) source(view model.ProxyView) *source {
	found, ok := fleet.sources[view.ID()]
	if !ok {
		found = &source{}
		fleet.sources[view.ID()] = found
	}
	found.view = view
	return found
}

// avoids reports whether a proxy did not answer the last poll.
func (fleet *Fleet) avoids(id model.ProxyID) bool {
	found, ok := fleet.sources[id]
	return ok && fleet.context.Now() < found.avoidUntil
}

func (fleet *Fleet) sendPoll(source *source) {
	hold := readerPollHold
	spec := model.PollSpec{
		From:      fleet.self(),
		Process:   fleet.process,
		To:        source.view.ID(),
		Draining:  fleet.leaving,
		HeardOnly: true,

		TakesChanges: true,
	}
	listHold := fleet.context.Settings().SharedListWait() / pollsPerListWait
	switch {
	case fleet.role == route.ListFollower:
		hold, spec.HeardOnly, spec.Lists = listHold, false, fleet.positions()
		spec.FreshLists = fleet.mirror != nil && !fleet.mirror.Outdated()
	case fleet.listRole == route.ListRelay && source.view.ID() == fleet.listSource:
		hold, spec.Lists = listHold, fleet.positions()
	case fleet.role == route.ListReader && fleet.mirror != nil && fleet.mirror.Outdated():
		spec.Lists = fleet.positions()
	}
	if spec.HeardOnly == source.heardOnly {
		spec.Members = source.version
	}
	spec.Loads = fleet.reportLoads(scopeOfPoll(spec.HeardOnly))
	spec.Hold = hold
	source.heardOnly = spec.HeardOnly
	source.pending = model.PollID(fleet.context.NextID())
	source.sentAt = fleet.context.Now()
	fleet.polls[source.pending] = source
	fleet.context.Emit(event.NewSendPoll(source.pending, source.view.Address(), model.NewPoll(spec), hold+pollMargin))
}

// finishPoll ends a poll and returns the proxy that was polled, or nil if the poll is unknown.
func (fleet *Fleet) finishPoll(id model.PollID) *source {
	found := fleet.polls[id]
	delete(fleet.polls, id)
	if found != nil && found.pending == id {
		found.pending = 0
	}
	return found
}

func (fleet *Fleet) handleReply(answered event.PollAnswered) {
	if fleet.handleHelp(answered) {
		return
	}
	source := fleet.finishPoll(answered.ID())
	if source == nil {
		return
	}
	reply := answered.Reply()
	now := fleet.context.Now()
	if reply.Draining() {
		fleet.avoid(source, true)
		fleet.wakeWithin(pollTick)
		return
	}
	news := reply.Changed() || source.answeredAt == 0 || source.gone || now < source.avoidUntil
	source.answeredAt, source.avoidUntil, source.gone = now, 0, false
	fleet.lastReplyAt = now
	fleet.receiveLoads(source.view, reply.Process(), scopeOfReply(source.heardOnly), reply.Loads())
	if reply.Changed() {
		source.record(reply)
	}
	if fleet.mirror != nil && len(reply.Lists()) > 0 {
		fleet.mirror.Apply(reply.Lists(), source.sentAt+reply.Held())
	}
	if news {
		fleet.updateMembers()
	}
	if source.wanted && !fleet.leaving {
		fleet.sendPoll(source)
	}
}

// record records the members of a reply. Changes from another state than the recorded one are of
// no use; the next poll asks for all members.
func (source *source) record(reply model.PollReply) {
	switch {
	case !reply.Partial():
		source.members, source.version = reply.Members(), reply.Version()
	case reply.Changes().Since() == source.version:
		source.members, source.version = withChanges(source.members, reply.Changes()), reply.Version()
	default:
		source.version = model.MembersVersion{}
	}
}

func (fleet *Fleet) handlePollFailure(failed event.PollFailed) {
	delete(fleet.helps, failed.ID())
	source := fleet.finishPoll(failed.ID())
	if source == nil || fleet.leaving {
		return
	}
	if !fleet.avoids(source.view.ID()) {
		fleet.log("proxy_unreachable", string(source.view.ID())+": "+failed.Reason())
	}
	fleet.avoid(source, failed.Gone())
	fleet.updateMembers()
	fleet.pollTick()
}

// avoid does not poll a proxy for some time while there are others.
func (fleet *Fleet) avoid(source *source, gone bool) {
	source.avoidUntil = fleet.context.Now() + avoidTime
	source.gone = gone
}

// lastAnswered returns the proxy that has answered last, or nil.
func (fleet *Fleet) lastAnswered() *source {
	var last *source
	for _, id := range sortedIDs(fleet.sources) {
		if source := fleet.sources[id]; source.answeredAt > 0 && !source.heardOnly && (last == nil || source.answeredAt > last.answeredAt) {
			last = source
		}
	}
	return last
}

func (fleet *Fleet) log(name, reason string) {
	fleet.context.Emit(event.NewLogDecision(model.Decision{Name: name, Proxy: fleet.self().ID(), Reason: reason}))
}
