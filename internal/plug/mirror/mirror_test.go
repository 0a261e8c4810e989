package mirror_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/eras"
	"almondway.dev/almondway/internal/plug/mirror"
)

const (
	listWait       = 5 * time.Second
	sharedListWait = time.Second
	maxListAge     = 2 * time.Second
)

// fixture is a kernel with the plug-in. Only the calls for the instances are looked at.
type fixture struct {
	kernel  *kern.Kernel
	context *kern.Context
	mirror  route.Mirror
	now     time.Duration
	reads   []model.PlatformCallID
	waits   []event.AwaitChanges
	applied []event.ApplyList
	pending []event.Event // answers to ApplyList and to the calls for the configuration
	// The wait for changes of the configuration, which is answered without changes.
	configWait    event.AwaitChanges
	configWaitEnd time.Duration
	// holdApplied leaves ApplyList without an answer.
	holdApplied bool
	logged      []string
	helpCount   int // how often other proxies were asked for fresher copies
}

// listener is a plug-in that counts ListsOutdated.
type listener struct {
	fixture *fixture
}

// Handle implements kern.Plugin.
func (listener listener) Handle(received event.Event) {
	if _, ok := received.(event.ListsOutdated); ok {
		listener.fixture.helpCount++
	}
}

func newFixture() *fixture { return newSeededFixture(1) }

func newSeededFixture(seed uint64) *fixture {
	fixture := &fixture{}
	settings := tune.Default()
	settings.ListWait, settings.SharedListWait, settings.MaxListAge = listWait, sharedListWait, maxListAge
	self := model.NewProxyView("self", "", "trnje-hall", 0, false, 0)
	fixture.kernel = kern.NewWithFactories(self, tune.New(settings), time.Unix(0, 0), seed, eras.New, func(context *kern.Context) kern.Plugin {
		plugin := mirror.New(context)
		fixture.context = context
		fixture.mirror = context.Service(route.MirrorService).(route.Mirror)
		return plugin
	}, func(*kern.Context) kern.Plugin { return listener{fixture: fixture} })
	fixture.run(0)
	return fixture
}

// run advances the time.
func (fixture *fixture) run(span time.Duration) {
	for until := fixture.now + span; ; fixture.now += 10 * time.Millisecond {
		fixture.record(fixture.kernel.Tick(fixture.now))
		if fixture.configWaitEnd > 0 && fixture.now >= fixture.configWaitEnd {
			fixture.configWaitEnd = 0
			fixture.pending = append(fixture.pending, event.NewListChanged(fixture.configWait.CallID(), fixture.era(), 1, nil))
		}
		fixture.answerPending()
		if fixture.now >= until {
			return
		}
	}
}

// do runs a call to the plug-in within the kernel.
func (fixture *fixture) do(call func()) {
	fixture.context.Timers().After(0, call)
	fixture.run(0)
}

func (fixture *fixture) handle(received event.Event) {
	fixture.record(fixture.kernel.Handle(fixture.now, received))
	fixture.run(0)
}

// answerPending answers the pending ApplyList actions.
func (fixture *fixture) answerPending() {
	for len(fixture.pending) > 0 {
		answer := fixture.pending[0]
		fixture.pending = fixture.pending[1:]
		fixture.record(fixture.kernel.Handle(fixture.now, answer))
	}
}

func (fixture *fixture) era() model.StoreEra { return fixture.kernel.State().StoreEra() }

func (fixture *fixture) record(actions []event.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case event.ReadList:
			if action.List() == model.ListInstances {
				fixture.reads = append(fixture.reads, action.CallID())
			} else {
				fixture.pending = append(fixture.pending, event.NewListRead(action.CallID(), fixture.era(), 1, nil))
			}
		case event.AwaitChanges:
			if action.List() == model.ListInstances {
				fixture.waits = append(fixture.waits, action)
			} else {
				fixture.configWait, fixture.configWaitEnd = action, max(1, fixture.now+action.Wait())
			}
		case event.ApplyList:
			if action.List() == model.ListInstances {
				fixture.applied = append(fixture.applied, action)
			}
			if !fixture.holdApplied {
				fixture.pending = append(fixture.pending, event.NewListApplied(action.List(), false))
			}
		case event.LogDecision:
			if action.Decision().List == model.ListInstances {
				fixture.logged = append(fixture.logged, action.Decision().Name)
			}
		}
	}
}

func (fixture *fixture) lastRead() model.PlatformCallID { return fixture.reads[len(fixture.reads)-1] }

func (fixture *fixture) lastWait() event.AwaitChanges { return fixture.waits[len(fixture.waits)-1] }

func (fixture *fixture) lastApplied() event.ApplyList {
	return fixture.applied[len(fixture.applied)-1]
}

func row(key string, version uint64) model.ListRow { return model.NewListRow(key, version, nil) }

func TestListIsFollowed(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 7, []model.ListRow{row("i-1", 3), row("i-2", 7)}))
	is.True(fixture.lastApplied().Whole())
	is.Equal(len(fixture.lastApplied().Rows()), 2)
	is.Equal(fixture.lastWait().After(), uint64(7))
	is.Equal(fixture.lastWait().Wait(), listWait)

	fixture.run(listWait)
	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 7, nil))
	is.Equal(len(fixture.applied), 1) // nothing changed

	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 9, []model.ListRow{
		model.NewDeletedListRow("i-1", 9), row("i-2", 6), row("i-3", 8),
	}))
	is.True(!fixture.lastApplied().Whole())
	is.Equal(fixture.lastApplied().Rows(), []model.ListRow{row("i-3", 8), model.NewDeletedListRow("i-1", 9)}) // i-2 is older than the copy
	fixture.run(time.Second)
	is.Equal(fixture.lastWait().After(), uint64(9))
	is.Equal(len(fixture.reads), 1)
}

// What makes the whole list be read again, and when.
func TestListIsReadAgain(t *testing.T) {
	tests := []struct {
		name       string
		happens    func(fixture *fixture)
		within     time.Duration
		wantLogged []string
	}{
		{"history lost", func(fixture *fixture) { fixture.handle(event.NewListHistoryLost(fixture.lastWait().CallID())) }, 0, []string{"list_reread"}},
		{"answer of another era", func(fixture *fixture) {
			fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 1, 9, nil))
		}, 0, []string{"list_reread"}},
		{"restore seen elsewhere", func(fixture *fixture) {
			fixture.handle(event.NewStoreEraSeen(0))
			fixture.handle(event.NewStoreEraSeen(1))
		}, 0, []string{"list_reread"}},
		{"call failed", func(fixture *fixture) {
			fixture.handle(event.NewListFailed(fixture.lastWait().CallID(), "reset"))
		}, 200 * time.Millisecond, []string{"store lost"}},
		{"no answer", func(fixture *fixture) { fixture.run(listWait + 700*time.Millisecond) }, 200 * time.Millisecond, []string{"store lost"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			fixture.handle(event.NewListRead(fixture.lastRead(), 0, 7, []model.ListRow{row("i-1", 3)}))
			waits := slices.Clone(fixture.waits)
			test.happens(fixture)
			fixture.run(test.within)
			is.Equal(len(fixture.reads), 2)
			is.Equal(fixture.logged, test.wantLogged)
			// A late answer to the call that was given up changes nothing.
			fixture.handle(event.NewListChanged(waits[0].CallID(), 0, 99, []model.ListRow{row("i-9", 99)}))
			is.Equal(len(fixture.applied), 1)
		})
	}
}

// An answer that is older than the copy is not used, and the calls become rarer while the store
// fails.
func TestListFailures(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 7, []model.ListRow{row("i-1", 3)}))
	fixture.handle(event.NewListHistoryLost(fixture.lastWait().CallID()))
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 6, nil))
	is.Equal(len(fixture.applied), 1)
	began := len(fixture.reads)
	for range 20 {
		fixture.run(500 * time.Millisecond)
		fixture.handle(event.NewListFailed(fixture.lastRead(), "busy"))
	}
	is.True(len(fixture.reads)-began >= 5)
	is.True(len(fixture.reads)-began <= 20)
	fixture.run(2 * time.Second)
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 8, []model.ListRow{row("i-1", 3)}))
	is.Equal(len(fixture.applied), 2)
	is.Equal(fixture.logged, []string{"list_reread", "store lost", "store regained"})
}
