package fleet

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// announceTimePerMember is the least time between two announcements of changed members, for each
// of them.
const announceTimePerMember = 5 * time.Millisecond

// maxHold limits how long a poll is held, whatever the sender allows.
const maxHold = 5 * time.Second

// heldPoll is a poll of another proxy that waits for news.
type heldPoll struct {
	id         model.PollID
	poll       model.Poll
	receivedAt time.Duration
}

func (fleet *Fleet) handlePoll(received event.PollReceived) {
	poll := received.Poll()
	if poll.To() != fleet.self().ID() {
		fleet.log("poll_refused", "it is for proxy "+string(poll.To()))
		fleet.context.Emit(event.NewRefusePoll(received.ID(), codes.WrongProxy))
		return
	}
	next := heldPoll{id: received.ID(), poll: poll, receivedAt: fleet.context.Now()}
	if poll.Draining() || fleet.leaving {
		fleet.forget(poll.From().ID())
		fleet.answerPoll(next)
		return
	}
	fleet.hear(poll.From())
	fleet.receiveLoads(poll.From(), poll.Process(), scopeOfPoll(poll.HeardOnly()), poll.Loads())
	if len(poll.Lists()) > 0 {
		fleet.lastListPollAt = fleet.context.Now()
	}
	fleet.held = append(fleet.held, next)
	fleet.updateMembers()
	fleet.answerHeld()
}

// holdsPollOf reports whether a poll of a proxy is held.
func (fleet *Fleet) holdsPollOf(id model.ProxyID) bool {
	return slices.ContainsFunc(fleet.held, func(held heldPoll) bool { return held.poll.From().ID() == id })
}

// answerHeld answers the polls for which there is news, and those that were held long enough.
func (fleet *Fleet) answerHeld() {
	fleet.announce()
	now := fleet.context.Now()
	var kept []heldPoll
	for _, held := range fleet.held {
		expired := now-held.receivedAt >= min(held.poll.Hold(), maxHold)
		if !expired && !fleet.hasNews(held.poll) && !fleet.leaving {
			kept = append(kept, held)
			continue
		}
		if heard, ok := fleet.heard[held.poll.From().ID()]; ok {
			heard.at = now
		}
		fleet.answerPoll(held)
	}
	fleet.held = kept
}

func (fleet *Fleet) hasNews(poll model.Poll) bool {
	return poll.Members() != fleet.versionFor(poll) || fleet.mirror != nil && fleet.mirror.HasNews(poll.Lists())
}

// versionFor returns the announced state of the members that a poll asks for.
func (fleet *Fleet) versionFor(poll model.Poll) model.MembersVersion {
	if poll.HeardOnly() {
		return model.NewMembersVersion(fleet.process, fleet.announced.heardVersion)
	}
	return model.NewMembersVersion(fleet.process, fleet.announced.liveVersion)
}

// announced is the state of the members that polls get. It follows the known state at intervals,
// since each change of it is sent to all proxies that poll this one. While many proxies start,
// one announcement covers many of them.
type announced struct {
	live, heard               []model.ProxyView
	liveVersion, heardVersion uint64
	at                        time.Duration
}

// announce brings the announced state of the members up to date if it is time for that.
func (fleet *Fleet) announce() {
	now := fleet.context.Now()
	current := fleet.announced.liveVersion == fleet.liveVersion && fleet.announced.heardVersion == fleet.heardVersion
	interval := time.Duration(len(fleet.live)) * announceTimePerMember
	if current || fleet.announced.liveVersion > 0 && now-fleet.announced.at < interval {
		return
	}
	fleet.announced = announced{
		live:         fleet.live,
		heard:        fleet.heardViews(),
		liveVersion:  fleet.liveVersion,
		heardVersion: fleet.heardVersion,
		at:           now,
	}
}

func (fleet *Fleet) answerPoll(held heldPoll) {
	version := fleet.versionFor(held.poll)
	spec := model.PollReplySpec{
		Process:  fleet.process,
		Draining: fleet.leaving,
		Held:     fleet.context.Now() - held.receivedAt,
		Version:  version,
		Changed:  version != held.poll.Members(),
	}
	if spec.Changed {
		spec.Members = fleet.announced.live
		if held.poll.HeardOnly() {
			spec.Members = fleet.announced.heard
		}
	}
	spec.Loads = fleet.reportLoads(scopeOfReply(held.poll.HeardOnly()))
	if fleet.mirror != nil {
		spec.Lists = fleet.mirror.Updates(held.poll.Lists())
	}
	fleet.context.Emit(event.NewAnswerPoll(held.id, model.NewPollReply(spec)))
}
