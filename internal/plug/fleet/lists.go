package fleet

import (
	"maps"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/rank"
	"almondway.dev/almondway/internal/core/route"
)

const (
	// listsKey is the key of the order in which the readers follow the lists in the store.
	listsKey = "lists"
	// A poll of a follower is answered early if the copies have become fresher by more than
	// freshNumerator/freshDenominator of the time for which the store holds a call: they have been
	// too old before, and the follower may wait for that.
	freshNumerator, freshDenominator = 5, 4
	// minSourceTime is how long a reader is polled for lists before old copies count against it.
	minSourceTime = time.Second
	// followerAskInterval is the least time between two polls of a reader for a follower's copies.
	followerAskInterval = 200 * time.Millisecond
	// offerInterval is the least time between two offers of a follower's copies to its reader.
	offerInterval = time.Second
)

// chooseListRole determines whether this proxy follows the lists in the store, and from whom it
// gets them else. One reader follows them for all data centres; the others get them from it.
func (fleet *Fleet) chooseListRole() {
	role, source := fleet.role, model.ProxyID("")
	if role == route.ListReader {
		fleet.avoidOldLists()
		source = fleet.firstReader()
		if source != fleet.self().ID() {
			role = route.ListRelay
		}
	}
	if source != fleet.listSource {
		fleet.listSource, fleet.listSourceSince = source, fleet.context.Now()
	}
	if fleet.mirror != nil {
		fleet.mirror.SetRole(role)
	}
	if role == fleet.listRole {
		return
	}
	fleet.listRole = role
	fleet.log("role_chosen", role.String())
}

// avoidOldLists replaces the reader that follows the lists if its copies have become old: this
// proxy, if the store does not answer it, or another one that has been polled for long enough.
func (fleet *Fleet) avoidOldLists() {
	if fleet.mirror == nil || fleet.listSource == "" || !fleet.mirror.Outdated() {
		return
	}
	now, isSelf := fleet.context.Now(), fleet.listSource == fleet.self().ID()
	if isSelf && fleet.mirror.StoreLost() || !isSelf && now-fleet.listSourceSince >= minSourceTime {
		if _, known := fleet.listsOldUntil[fleet.listSource]; !known {
			decision := model.Decision{Name: "list_source_avoided", Proxy: fleet.listSource, Reason: "its copies of the lists are too old, for " + avoidTime.String()}
			fleet.context.Emit(event.NewLogDecision(decision))
		}
		fleet.listsOldUntil[fleet.listSource] = now + avoidTime
	}
}

// firstReader returns the reader that follows the lists for all data centres: the first one, in an
// order that all proxies agree on, that this proxy can reach and whose copies are not old. A data
// centre whose proxies each read for themselves has none.
func (fleet *Fleet) firstReader() model.ProxyID {
	var readers []model.ProxyView
	for _, dataCenter := range fleet.dataCenters() {
		if len(fleet.readingOrder[dataCenter]) >= minFollowedProxies {
			readers = append(readers, fleet.readers(dataCenter)...)
		}
	}
	if len(readers) == 0 {
		return fleet.self().ID()
	}
	now := fleet.context.Now()
	maps.DeleteFunc(fleet.listsOldUntil, func(_ model.ProxyID, until time.Duration) bool { return now >= until })
	ordered := rank.ByCores(listsKey, readers)
	for _, reader := range ordered {
		if _, old := fleet.listsOldUntil[reader.ID()]; !old {
			return reader.ID()
		}
	}
	return ordered[0].ID()
}

// positions returns the states of the copies of the lists.
func (fleet *Fleet) positions() []model.ListPosition {
	if fleet.mirror == nil {
		return nil
	}
	return fleet.mirror.Positions()
}

// checkedAt returns how fresh the copies of the lists are that a poll asks for.
func (fleet *Fleet) checkedAt(poll model.Poll) []time.Duration {
	if fleet.mirror == nil {
		return nil
	}
	return fleet.mirror.CheckedAt(poll.Lists())
}

// hasFresherLists reports whether the copies have become so much fresher since a poll was received
// that the sender is told at once. A reader passes the age on, and is told each time.
func (fleet *Fleet) hasFresherLists(held heldPoll) bool {
	least := fleet.context.Settings().SharedListWait() * freshNumerator / freshDenominator
	if held.poll.HeardOnly() {
		least = 0
	}
	for index, at := range fleet.checkedAt(held.poll) {
		if at-held.checkedAt[index] > least {
			return true
		}
	}
	return false
}

// askForLists asks readers for fresher copies of the lists than those of this proxy. They answer at
// once. A reader asks all that it polls; a follower asks the other readers of its data centre and
// one of each other data centre.
func (fleet *Fleet) askForLists() {
	if !fleet.pollable() || fleet.leaving {
		return
	}
	if fleet.role == route.ListReader {
		fleet.pollTick() // another reader may follow the lists from now on
	}
	for _, dataCenter := range fleet.dataCenters() {
		for index, reader := range fleet.readers(dataCenter) {
			isOwn := dataCenter == fleet.self().DataCenter()
			if reader.ID() == fleet.self().ID() || fleet.role == route.ListFollower && !isOwn && index > 0 {
				continue
			}
			fleet.sendHelpPoll(reader)
		}
	}
}

// askFollower asks the sender of a poll for its copies of the lists if those of this reader are too
// old. No reader may reach the store, but some followers do.
func (fleet *Fleet) askFollower(poll model.Poll) {
	now := fleet.context.Now()
	if !poll.FreshLists() || fleet.role != route.ListReader || fleet.mirror == nil || !fleet.mirror.Outdated() {
		return
	}
	if fleet.lastFollowerAsk > 0 && now-fleet.lastFollowerAsk < followerAskInterval || poll.From().Address() == "" {
		return
	}
	fleet.lastFollowerAsk = now
	fleet.sendHelpPoll(poll.From())
}

// offerLists tells the reader of a follower that has asked the store itself, since the reader's
// copies were old, that it has fresh ones now.
func (fleet *Fleet) offerLists() {
	now := fleet.context.Now()
	if fleet.role != route.ListFollower || fleet.leaving || fleet.mirror == nil || fleet.mirror.Outdated() {
		return
	}
	if reader, ok := fleet.ownReader(); ok && (fleet.lastOffer == 0 || now-fleet.lastOffer >= offerInterval) {
		fleet.lastOffer = now
		fleet.sendHelpPoll(reader)
	}
}

func (fleet *Fleet) sendHelpPoll(reader model.ProxyView) {
	spec := model.PollSpec{From: fleet.self(), Process: fleet.process, To: reader.ID(), HeardOnly: true, Lists: fleet.positions()}
	spec.FreshLists = fleet.mirror != nil && !fleet.mirror.Outdated()
	if known, ok := fleet.sources[reader.ID()]; ok && known.heardOnly {
		spec.Members = known.version
	}
	id := model.PollID(fleet.context.NextID())
	fleet.helps[id] = fleet.context.Now()
	fleet.context.Emit(event.NewSendPoll(id, reader.Address(), model.NewPoll(spec), pollMargin))
}

// handleHelp adds the lists of an answer to askForLists. It reports false if the answer is to a
// regular poll.
func (fleet *Fleet) handleHelp(answered event.PollAnswered) bool {
	sentAt, ok := fleet.helps[answered.ID()]
	if !ok {
		return false
	}
	delete(fleet.helps, answered.ID())
	reply := answered.Reply()
	if fleet.mirror != nil && !reply.Draining() && len(reply.Lists()) > 0 {
		fleet.mirror.Apply(reply.Lists(), sentAt+reply.Held())
	}
	return true
}
