// Package mirror is the plug-in that keeps copies of the lists of a hosting platform: the
// operator's configuration and the entries of the instances. It follows them in the platform's
// store and passes what changed on to the adapter that decodes it.
package mirror

import (
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
)

func init() { kern.Register("mirror", kern.RankDeployments, New, kern.ProfileHosted) }

// Mirror is the plug-in.
type Mirror struct {
	context *kern.Context
	lists   []*list
	calls   map[model.PlatformCallID]*list
}

// New returns the plug-in. It does nothing if the settings give no time for which the store
// holds a call open.
func New(context *kern.Context) kern.Plugin {
	mirror := &Mirror{context: context, calls: make(map[model.PlatformCallID]*list)}
	if context.Settings().ListWait() == 0 {
		return mirror
	}
	for _, name := range model.ListNames() {
		added := newList(mirror, name)
		mirror.lists = append(mirror.lists, added)
		context.Timers().After(0, added.callStore)
	}
	return mirror
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
	case event.ListFailed:
		if list := mirror.finishCall(received.CallID()); list != nil {
			list.handleFailure(received.Reason())
		}
	case event.StoreRestored:
		for _, list := range mirror.lists {
			list.readAgain("the store was restored")
		}
	}
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
