package mirror_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

// newRelay returns a fixture of a relay or follower with a copy that is up to date now, in a system of the given
// number of proxies.
func newRelay(seed uint64, role route.ListRole, proxies int) *fixture {
	fixture := newSeededFixture(seed)
	views := make([]model.ProxyView, proxies)
	fixture.kernel.State().SetProxies(views)
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 10, []model.ListRow{row("i-1", 3)}))
	fixture.do(func() { fixture.mirror.SetRole(role) })
	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 10, nil)) // the wait that was pending
	return fixture
}

// A copy that has become too old is first asked for at the other proxies, and from the store only if
// they have none that is fresh. Guards against calls that another proxy makes needless.
func TestOthersAreAskedBeforeStore(t *testing.T) {
	tests := []struct {
		name string
		role route.ListRole
		age  time.Duration // from which on the copy is too old
	}{
		{"relay", route.ListRelay, sharedListWait * 5 / 4},
		{"follower", route.ListFollower, maxListAge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newRelay(1, test.role, 69)
			is.Equal(len(fixture.waits), 1)
			fixture.run(test.age - 20*time.Millisecond)
			is.Equal(fixture.helpCount, 0)
			fixture.run(50 * time.Millisecond)
			is.Equal(fixture.helpCount, 1)
			update := model.NewListUpdate(position(0, 10), false, nil, 0)
			fixture.do(func() { fixture.mirror.Apply([]model.ListUpdate{update}, fixture.now) })
			fixture.run(500 * time.Millisecond)
			is.Equal(len(fixture.waits), 1) // another proxy had a fresh copy
			fixture.run(test.age + 50*time.Millisecond)
			is.Equal(len(fixture.waits), 2) // none has
		})
	}
}

// The readers of 300 followers serve copies that are too old. All followers together make few calls,
// whatever their number, and the first one comes soon.
func TestReaderServesOldCopies(t *testing.T) {
	const followers, span = 300, 5 * time.Second
	is := is.New(t)
	calls, first := 0, span
	for seed := range followers {
		fixture := newRelay(uint64(seed), route.ListFollower, followers)
		began := fixture.now + maxListAge
		for fixture.now < began+span {
			fixture.run(500 * time.Millisecond)
			update := model.NewListUpdate(position(0, 10), false, nil, maxListAge)
			fixture.do(func() { fixture.mirror.Apply([]model.ListUpdate{update}, fixture.now) })
			if len(fixture.waits) > 1 && fixture.now-began < first {
				first = fixture.now - began
			}
		}
		calls += len(fixture.waits) - 1
	}
	t.Logf("%d calls in %v, the first after %v", calls, span, first)
	is.True(calls <= 6*int(span/time.Second))
	is.True(calls >= 2*int(span/time.Second))
	is.True(first <= time.Second)
}

// Guards against a promotion that relies on an old list of instances, or that waits for the end of
// a call that the store holds open.
func TestRefresh(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	refreshed := true
	refresh := func() { refreshed = fixture.mirror.Refresh(model.ListInstances) }
	fixture.do(refresh)
	is.True(!refreshed) // there is no copy yet

	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 7, []model.ListRow{row("i-1", 7)}))
	pending := fixture.lastWait()
	fixture.run(time.Second)
	askedAt := fixture.now
	fixture.do(refresh)
	is.True(refreshed)
	is.Equal(fixture.lastWait().After(), uint64(7))
	is.Equal(fixture.lastWait().Wait(), time.Duration(0))

	fixture.handle(event.NewListChanged(pending.CallID(), 0, 8, []model.ListRow{row("i-2", 8)}))
	is.Equal(len(fixture.applied), 1) // the call was given up

	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 8, []model.ListRow{row("i-2", 8)}))
	is.Equal(fixture.lastApplied().Rows(), []model.ListRow{row("i-2", 8)})
	checkedAt, _ := fixture.kernel.State().ListCheckedAt(model.ListInstances)
	is.True(checkedAt >= askedAt)
	fixture.run(time.Second)
	is.Equal(fixture.lastWait().Wait(), listWait)
}
