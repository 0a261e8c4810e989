package fleet

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// announceTimePerMember is the least time between two announcements of changed members, for each
// of them. With 5 ms, 1,000 proxies did not know each other 15 s after a return of power, since
// each change passes two announcements of 5 s.
const announceTimePerMember = 2 * time.Millisecond

// maxHold limits how long a poll is held, whatever the sender allows.
const maxHold = 5 * time.Second

// heldPoll is a poll of another proxy that waits for news.
type heldPoll struct {
	id         model.PollID
	poll       model.Poll
	receivedAt time.Duration
	// checkedAt is how fresh the copies of the lists were then.
	checkedAt []time.Duration
}

// expiresAt returns the time at which a poll is answered even without news.
func (held heldPoll) expiresAt() time.Duration {
	return held.receivedAt + min(held.poll.Hold(), maxHold)
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
	changed := false
	if poll.Hold() > 0 {
		changed = fleet.hear(poll.From()) // a single poll for lists says nothing of who polls this proxy
		fleet.receiveLoads(poll.From(), poll.Process(), scopeOfPoll(poll.HeardOnly()), poll.Loads())
	}
	if len(poll.Lists()) > 0 && !poll.HeardOnly() {
		fleet.lastListPollAt = fleet.context.Now()
	}
	next.checkedAt = fleet.checkedAt(poll)
	fleet.askFollower(poll)
	fleet.held = append(fleet.held, next)
	fleet.wakeWithin(next.expiresAt() - fleet.context.Now() + pollTick - 1)
	if changed {
		// The members are determined again at each tick, and here only if there is news: with many
		// followers that took most of a reader's time.
		fleet.updateMembers()
	}
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
		if now < held.expiresAt() && !fleet.hasNews(held.poll) && !fleet.hasFresherLists(held) && !fleet.leaving {
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
	// liveStates and heardStates are the last announced ones.
	liveStates, heardStates history
}

// announce brings the announced state of the members up to date if it is time for that.
func (fleet *Fleet) announce() {
	now := fleet.context.Now()
	if fleet.isAnnounced() || fleet.announced.liveVersion > 0 && now-fleet.announced.at < fleet.announceInterval() {
		return
	}
	announced := &fleet.announced
	if announced.heardVersion != fleet.heardVersion {
		announced.heard = fleet.heardViews()
	}
	announced.live, announced.liveVersion, announced.heardVersion, announced.at = fleet.live, fleet.liveVersion, fleet.heardVersion, now
	announced.liveStates.add(fleet.liveVersion, announced.live)
	announced.heardStates.add(fleet.heardVersion, announced.heard)
}

// isAnnounced reports whether polls get the present state of the members.
func (fleet *Fleet) isAnnounced() bool {
	return fleet.announced.liveVersion == fleet.liveVersion && fleet.announced.heardVersion == fleet.heardVersion
}

// announceInterval returns the least time between two announcements.
func (fleet *Fleet) announceInterval() time.Duration {
	return time.Duration(len(fleet.live)) * announceTimePerMember
}

// addMembers adds what a poll lacks of the announced members to its answer: what has changed since
// the state that the poll names, or all members.
func (fleet *Fleet) addMembers(spec *model.PollReplySpec, poll model.Poll) {
	members, states := fleet.announced.live, fleet.announced.liveStates
	if poll.HeardOnly() {
		members, states = fleet.announced.heard, fleet.announced.heardStates
	}
	if poll.TakesChanges() && poll.Members().Process() == fleet.process {
		if spec.Changes, spec.Partial = states.changesSince(poll.Members(), members); spec.Partial {
			return
		}
	}
	spec.Members = members
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
		fleet.addMembers(&spec, held.poll)
	}
	spec.Loads = fleet.reportLoads(scopeOfReply(held.poll.HeardOnly()))
	if fleet.mirror != nil {
		spec.Lists = fleet.mirror.Updates(held.poll.Lists())
	}
	fleet.context.Emit(event.NewAnswerPoll(held.id, model.NewPollReply(spec)))
}
