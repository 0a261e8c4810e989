package mirror_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/route"
)

func position(era model.StoreEra, version uint64) model.ListPosition {
	return model.NewListPosition(model.ListInstances, era, version)
}

// What another proxy gets for the copies that it has.
func TestUpdates(t *testing.T) {
	tests := []struct {
		name      string
		have      model.ListPosition
		wantNews  bool
		wantWhole bool
		wantRows  []model.ListRow
		wantAt    model.ListPosition
	}{
		{"nothing", position(0, 0), true, true, []model.ListRow{row("i-2", 12), row("i-3", 15)}, position(2, 15)},
		{"older than the copy's first version", position(2, 9), true, true, []model.ListRow{row("i-2", 12), row("i-3", 15)}, position(2, 15)},
		{"the copy's first version", position(2, 10), true, false, []model.ListRow{row("i-2", 12), model.NewDeletedListRow("i-1", 13), row("i-3", 15)}, position(2, 15)},
		{"some changes", position(2, 13), true, false, []model.ListRow{row("i-3", 15)}, position(2, 15)},
		{"the same", position(2, 15), false, false, nil, position(2, 15)},
		{"more than the copy", position(2, 17), false, false, nil, position(2, 17)},
		{"an earlier era", position(1, 99), true, true, []model.ListRow{row("i-2", 12), row("i-3", 15)}, position(2, 15)},
		{"a later era", position(3, 1), false, false, nil, position(3, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			fixture.handle(event.NewStoreEraSeen(2))
			fixture.handle(event.NewListRead(fixture.lastRead(), 2, 10, []model.ListRow{row("i-1", 3), row("i-2", 7)}))
			fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 2, 15, []model.ListRow{row("i-2", 12), model.NewDeletedListRow("i-1", 13), row("i-3", 15)}))
			is.Equal(fixture.mirror.HasNews([]model.ListPosition{test.have}), test.wantNews)
			update := fixture.mirror.Updates([]model.ListPosition{test.have})[0]
			is.Equal(update.Whole(), test.wantWhole)
			is.Equal(update.Rows(), test.wantRows)
			is.Equal(update.Position(), test.wantAt)
		})
	}
}

// What a proxy does with an update of another one. Its copy is of version 10 of era 2.
func TestApply(t *testing.T) {
	update := func(era model.StoreEra, version uint64, whole bool, rows ...model.ListRow) model.ListUpdate {
		return model.NewListUpdate(position(era, version), whole, rows, 0)
	}
	tests := []struct {
		name         string
		update       model.ListUpdate
		wantApplied  []model.ListRow // or nil if nothing is applied
		wantWhole    bool
		wantRestored bool
		wantAt       model.ListPosition
	}{
		{"changes", update(2, 12, false, row("i-3", 12)), []model.ListRow{row("i-3", 12)}, false, false, position(2, 12)},
		{"changes that are partly known", update(2, 12, false, row("i-1", 3), row("i-3", 12)), []model.ListRow{row("i-3", 12)}, false, false, position(2, 12)},
		{"no changes", update(2, 12, false), nil, false, false, position(2, 12)},
		{"the whole list", update(2, 12, true, row("i-3", 12)), []model.ListRow{row("i-3", 12)}, true, false, position(2, 12)},
		{"an older version", update(2, 9, false, row("i-9", 9)), nil, false, false, position(2, 10)},
		{"an older version of the whole list", update(2, 9, true, row("i-9", 9)), nil, false, false, position(2, 10)},
		{"an earlier era", update(1, 99, true, row("i-9", 99)), nil, false, false, position(2, 10)},
		{"changes of a later era", update(3, 4, false, row("i-9", 4)), nil, false, false, position(2, 10)},
		{"the whole list of a later era", update(3, 4, true, row("i-9", 4)), []model.ListRow{row("i-9", 4)}, true, true, position(3, 4)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			fixture.handle(event.NewStoreEraSeen(2))
			fixture.handle(event.NewListRead(fixture.lastRead(), 2, 10, []model.ListRow{row("i-1", 3), row("i-2", 7)}))
			fixture.do(func() { fixture.mirror.SetRole(route.ListFollower) })
			fixture.applied = nil
			fixture.do(func() { fixture.mirror.Apply([]model.ListUpdate{test.update}, fixture.now) })
			if test.wantApplied == nil {
				is.Equal(len(fixture.applied), 0)
			} else {
				is.Equal(fixture.lastApplied().Rows(), test.wantApplied)
				is.Equal(fixture.lastApplied().Whole(), test.wantWhole)
				is.Equal(fixture.lastApplied().Restored(), test.wantRestored)
			}
			is.Equal(fixture.mirror.Positions()[1], test.wantAt)
		})
	}
}

// A follower asks the store only when its copy may be too old, whatever its reader says. If the
// reader's copy is too old as well, the reader asks the store, and a follower of a small system does so within 2 s.
func TestFollowerAsksStore(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration // of the reader's copy at each update
		updates  bool
		wantAsks bool
	}{
		{"fresh updates", 100 * time.Millisecond, true, false},
		{"no updates", 0, false, true},
		{"updates of an old copy", maxListAge + time.Second, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			fixture.handle(event.NewListRead(fixture.lastRead(), 0, 10, []model.ListRow{row("i-1", 3)}))
			fixture.do(func() { fixture.mirror.SetRole(route.ListFollower) })
			fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 10, nil)) // the wait that was pending
			waits := len(fixture.waits)
			for range 10 {
				fixture.run(500 * time.Millisecond)
				if test.updates {
					update := model.NewListUpdate(position(0, 10), false, nil, test.age)
					fixture.do(func() { fixture.mirror.Apply([]model.ListUpdate{update}, fixture.now) })
				}
			}
			is.Equal(len(fixture.waits) > waits, test.wantAsks)
			if test.wantAsks {
				is.Equal(fixture.lastWait().Wait(), time.Duration(0)) // it does not wait for the next change there
			}
		})
	}
}

// How old a copy is, by the store's clock: an answer that was on its way for a second is a second
// old, and a wait that was answered early is not as old as the wait.
func TestAgeOfCopy(t *testing.T) {
	const storeStart = time.Hour // on the store's clock, when the proxy starts
	is := is.New(t)
	fixture := newFixture()
	age := func() time.Duration {
		checkedAt, _ := fixture.kernel.State().ListCheckedAt(model.ListInstances)
		return fixture.now - checkedAt
	}
	fixture.run(10 * time.Millisecond)
	fixture.handle(event.NewListRead(fixture.lastRead(), 0, 10, nil).WithAnsweredAt(storeStart + fixture.now))
	is.Equal(age(), 10*time.Millisecond) // the answer may have been given at any time since the call

	fixture.run(3 * time.Second)
	answeredAt := storeStart + fixture.now
	fixture.run(time.Second)
	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 11, []model.ListRow{row("i-1", 11)}).WithAnsweredAt(answeredAt))
	is.Equal(age(), time.Second+10*time.Millisecond)

	fixture.run(time.Second)
	fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 11, nil)) // without the time
	is.True(age() >= 800*time.Millisecond && age() <= time.Second)                // it counts from the call
}

// A list is as fresh as its copy only once the changes of the copy are in force. One that cannot
// be decoded leaves the list as old as it was.
func TestAgeOfListInForce(t *testing.T) {
	tests := []struct {
		name     string
		rejected bool
		want     time.Duration // age when the next answer without changes has come
	}{
		{name: "in force", want: 0},
		{name: "not decoded", rejected: true, want: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture()
			age := func() time.Duration {
				checkedAt, _ := fixture.kernel.State().ListCheckedAt(model.ListInstances)
				return (fixture.now - checkedAt).Round(time.Second)
			}
			fixture.handle(event.NewListRead(fixture.lastRead(), 0, 10, nil).WithAnsweredAt(fixture.now + time.Hour))
			fixture.run(time.Second)
			fixture.holdApplied = true
			fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 11, []model.ListRow{row("i-1", 11)}).WithAnsweredAt(fixture.now + time.Hour))
			is.Equal(age(), time.Second) // decoding has not ended
			fixture.run(time.Second)
			is.Equal(age(), 2*time.Second)
			fixture.handle(event.NewListApplied(model.ListInstances, test.rejected))
			fixture.handle(event.NewListChanged(fixture.lastWait().CallID(), 0, 11, nil).WithAnsweredAt(fixture.now + time.Hour))
			is.Equal(age(), test.want)
		})
	}
}
