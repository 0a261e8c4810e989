package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// fakeMirror counts how often the list of instances is asked for.
type fakeMirror struct {
	route.Mirror
	refreshed int
}

// Refresh implements route.Mirror.
func (fakeMirror *fakeMirror) Refresh(model.ListName) bool {
	fakeMirror.refreshed++
	return true
}

// Handle implements kern.Plugin.
func (*fakeMirror) Handle(event.Event) {}

func replicaAt(position model.Position) model.Status {
	return model.NewStatus(1, model.RoleReplica, model.NewMark(1, position), "", 0, false)
}

// Guards against a promotion that relies on an old list of instances: an instance that the list
// shows only after the choice may have commits that the chosen one lacks.
func TestPromotionAwaitsList(t *testing.T) {
	tests := []struct {
		name     string
		answered bool // the store confirms the list
		joins    bool // with an instance that has the longest log
		want     model.InstanceID
		within   time.Duration // from the choice to the order
	}{
		{name: "confirmed", answered: true, want: "i-3", within: 150 * time.Millisecond},
		{name: "confirmed, an instance has started", answered: true, joins: true, want: "i-4", within: 500 * time.Millisecond},
		{name: "store unavailable", want: "i-3", within: 400 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			mirror := &fakeMirror{}
			fixture := newFixtureWith(true, func(context *kern.Context) kern.Plugin {
				context.ProvideService(route.MirrorService, mirror)
				return mirror
			})
			fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(7), replicaAt(9)
			fixture.run(2 * time.Second)
			fixture.kernel.State().Group(group).RefutePrimary("i-1", fixture.now)
			for until := fixture.now + 5*time.Second; mirror.refreshed == 0 && fixture.now < until; {
				fixture.run(50 * time.Millisecond)
			}
			is.Equal(mirror.refreshed, 1)
			is.Equal(fixture.promoted, model.InstanceID("")) // the list is not confirmed yet
			if test.joins {
				fixture.statuses["i-4"] = replicaAt(11)
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceListed(listingOf("i-4"))))
			}
			for until := fixture.now + test.within; fixture.now < until; {
				if test.answered {
					fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
				}
				fixture.run(50 * time.Millisecond)
			}
			is.Equal(fixture.promoted, test.want)
		})
	}
}
