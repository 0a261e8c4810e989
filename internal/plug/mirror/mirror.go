// Package mirror is the plug-in that keeps copies of the lists of a hosting platform: the
// operator's configuration and the entries of the instances. It follows them in the platform's
// store and passes what changed on to the adapter that decodes it.
package mirror

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func init() { kern.Register("mirror", kern.RankDeployments, New, kern.ProfileHosted) }

// Mirror is the plug-in. It implements route.Mirror.
type Mirror struct {
	context *kern.Context
	role    route.ListRole
	clock   storeClock
	lists   []*list
	calls   map[model.PlatformCallID]*list
	// helpAskedAt is when other proxies were last asked for fresher copies, or 0.
	helpAskedAt time.Duration
}

// New returns the plug-in. It does nothing if the settings give no time for which the store
// holds a call open.
func New(context *kern.Context) kern.Plugin {
	mirror := &Mirror{context: context, calls: make(map[model.PlatformCallID]*list)}
	context.ProvideService(route.MirrorService, mirror)
	if context.Settings().ListWait() == 0 {
		return mirror
	}
	for _, name := range []model.ListName{model.ListConfiguration, model.ListInstances} {
		mirror.follow(name)
	}
	return mirror
}

// follow starts to follow a list.
func (mirror *Mirror) follow(name model.ListName) {
	added := newList(mirror, name)
	mirror.lists = append(mirror.lists, added)
	mirror.context.Timers().After(0, added.callStore)
}

// Handle implements kern.Plugin.
func (mirror *Mirror) Handle(received event.Event) {
	switch received := received.(type) {
	case event.ListRead:
		if list := mirror.finishCall(received.CallID()); list != nil {
			list.handleRead(received)
		}
	case event.ListChanged:
		if list := mirror.finishCall(received.CallID()); list != nil {
			list.handleChanges(received)
		}
	case event.ListHistoryLost:
		if list := mirror.finishCall(received.CallID()); list != nil {
			list.readAgain("the store lacks the history")
		}
	case event.CatalogChanged:
		if mirror.context.State().Teams().Limited() && mirror.list(model.ListLenders) == nil && len(mirror.lists) > 0 {
			mirror.follow(model.ListLenders)
		}
	case event.ListApplied:
		if list := mirror.list(received.List()); list != nil {
			list.handleApplied(received)
		}
	case event.ListFailed:
		if list := mirror.finishCall(received.CallID()); list != nil {
			list.handleFailure(received.Reason())
		}
	case event.StoreRestored:
		for _, list := range mirror.lists {
			if list.era < received.Era() {
				list.readAgain("the store was restored")
			}
		}
	}
}

// SetRole implements route.Mirror.
func (mirror *Mirror) SetRole(role route.ListRole) {
	if role == mirror.role {
		return
	}
	mirror.role = role
	for _, list := range mirror.lists {
		list.shortenWait()
		list.callStoreAfter(0)
	}
}

// Positions implements route.Mirror.
func (mirror *Mirror) Positions() []model.ListPosition {
	positions := make([]model.ListPosition, 0, len(mirror.lists))
	for _, list := range mirror.lists {
		positions = append(positions, list.position())
	}
	return positions
}

// HasNews implements route.Mirror.
func (mirror *Mirror) HasNews(positions []model.ListPosition) bool {
	for _, position := range positions {
		if list := mirror.list(position.List()); list != nil && list.hasNews(position) {
			return true
		}
	}
	return false
}

// Updates implements route.Mirror.
func (mirror *Mirror) Updates(positions []model.ListPosition) []model.ListUpdate {
	var updates []model.ListUpdate
	for _, position := range positions {
		if list := mirror.list(position.List()); list != nil && list.known {
			updates = append(updates, list.updateFor(position))
		}
	}
	return updates
}

// Apply implements route.Mirror.
func (mirror *Mirror) Apply(updates []model.ListUpdate, asOf time.Duration) {
	for _, update := range updates {
		if list := mirror.list(update.Position().List()); list != nil {
			list.apply(update, asOf)
		}
	}
}

// list returns the copy of a list, or nil if this proxy does not follow it.
func (mirror *Mirror) list(name model.ListName) *list {
	for _, list := range mirror.lists {
		if list.name == name {
			return list
		}
	}
	return nil
}

// finishCall ends a call and returns its list. It returns nil if the call was given up.
func (mirror *Mirror) finishCall(id model.PlatformCallID) *list {
	found := mirror.calls[id]
	delete(mirror.calls, id)
	if found != nil {
		found.context().Timers().Cancel(found.timeout)
		found.call = 0
	}
	return found
}

// beginCall returns the ID of a new call for a list, which fails after the given time.
func (mirror *Mirror) beginCall(list *list, timeout time.Duration) model.PlatformCallID {
	id := model.PlatformCallID(mirror.context.NextID())
	mirror.calls[id] = list
	list.call = id
	list.timeout = mirror.context.Timers().After(timeout, func() {
		mirror.finishCall(id)
		list.handleFailure("no answer")
	})
	return id
}
