// Package fleet is the plug-in that knows the other proxies on a hosting platform. Each proxy
// has a row in the platform's store that says where it can be reached. Which of them live is
// known from polls: in each data centre a few proxies, the readers, are polled by the others
// and poll the readers of the other data centres. A poll also carries the changes of the
// platform's lists. Where proxies cannot be polled, their rows show that they live.
package fleet

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/table"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("fleet", kern.RankMembership, New, kern.ProfileHosted) }

const (
	// pollTick is the least time between two checks whether polls are due to be sent or answered.
	// Several held polls are answered together.
	pollTick = 100 * time.Millisecond
	// idlePollTick is the time between two checks if nothing has changed and no held poll is due.
	idlePollTick = time.Second
	// firstUpdateInterval is the time between the first two updates. It is short, since
	// other proxies may have started at the same time.
	firstUpdateInterval = time.Second
)

// Fleet is the plug-in. It implements route.Fleet.
type Fleet struct {
	context *kern.Context
	client  *table.Client
	mirror  route.Mirror
	process uint64 // identifies this process
	leaving bool   // the proxy drains

	registry
	members
	sources   map[model.ProxyID]*source
	polls     map[model.PollID]*source
	held      []heldPoll
	announced announced
	role      route.ListRole
	// listRole is how this proxy gets the lists, and listSource the reader that follows them for all
	// data centres.
	listRole   route.ListRole
	listSource model.ProxyID
	// listSourceSince is when that was chosen, and listsOldUntil the times until which readers with
	// old copies are not chosen.
	listSourceSince time.Duration
	listsOldUntil   map[model.ProxyID]time.Duration
	// helps are the polls for copies of the lists outside of the regular ones, with when they were sent.
	helps map[model.PollID]time.Duration
	// lastFollowerAsk is when a follower was last asked for its copies of the lists, or 0.
	lastFollowerAsk time.Duration
	// lastOffer is when this proxy last offered its copies of the lists to its reader, or 0.
	lastOffer time.Duration
	// lastListPollAt is when another proxy last asked for changes of lists, or 0.
	lastListPollAt time.Duration
	// lastReplyAt is when another proxy last answered a poll, or 0.
	lastReplyAt time.Duration
	pace        *timer.Pace // of pollTick, or nil if the proxy cannot be polled
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	fleet := &Fleet{
		context: context,
		client:  table.New(context),
		process: context.Random().Uint64(),
		sources: make(map[model.ProxyID]*source),
		polls:   make(map[model.PollID]*source),
		helps:   make(map[model.PollID]time.Duration),

		listsOldUntil: make(map[model.ProxyID]time.Duration),
	}
	fleet.registry = newRegistry()
	fleet.members = newMembers()
	fleet.mirror, _ = context.Service(route.MirrorService).(route.Mirror)
	context.ProvideService(route.FleetService, fleet)
	context.Timers().After(0, fleet.tick)
	if fleet.pollable() {
		fleet.pace = context.Timers().Pace(pollTick, fleet.pollTick)
	}
	return fleet
}

// Handle implements kern.Plugin.
func (fleet *Fleet) Handle(received event.Event) {
	fleet.client.Handle(received)
	switch received := received.(type) {
	case event.DrainStarted:
		fleet.leave()
	case event.StoreRestored:
		fleet.versionCurrent = false
		fleet.scheduleRestoredUpdate()
	case event.PollReceived:
		fleet.handlePoll(received)
	case event.PollAnswered:
		fleet.handleReply(received)
		fleet.answerHeld()
	case event.PollFailed:
		fleet.handlePollFailure(received)
	case event.ListRead, event.ListChanged:
		if !fleet.known && !fleet.updating {
			fleet.update()
		}
		fleet.answerHeld()
		fleet.offerLists()
	case event.ListsOutdated:
		fleet.askForLists()
	}
}

func (fleet *Fleet) self() model.ProxyView { return fleet.context.State().Self() }

// pollable reports whether other proxies can poll this one.
func (fleet *Fleet) pollable() bool { return fleet.self().Address() != "" }

// usesRows reports whether rows show which proxies live, since this proxy or another one cannot
// be polled.
func (fleet *Fleet) usesRows() bool { return !fleet.pollable() || fleet.hasUnpollable() }

// leave tells the others that this proxy drains, so that they divide its share of the limits.
func (fleet *Fleet) leave() {
	fleet.leaving = true
	if fleet.usesRows() {
		fleet.startRemovingRow()
	}
	for _, source := range fleet.sources {
		fleet.sendPoll(source)
	}
}
