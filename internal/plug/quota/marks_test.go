package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// A mark that a lender tells counts from the sending of the call less its age: at that time it
// was as old already. An older one than the known one changes nothing.
func TestMarksOfALender(t *testing.T) {
	tests := []struct {
		name   string
		group  model.GroupID
		known  time.Duration // since when the known mark holds, or 0
		age    time.Duration // of the told mark, when the call is sent at 3 s
		since  time.Duration
		wanted model.Mark
	}{
		{name: "first", group: "katalog", age: 400 * time.Millisecond, since: 2600 * time.Millisecond, wanted: model.NewMark(2, 7)},
		{name: "newer", group: "katalog", known: time.Second, age: 400 * time.Millisecond, since: 2600 * time.Millisecond, wanted: model.NewMark(2, 7)},
		{name: "older", group: "katalog", known: 2700 * time.Millisecond, age: 400 * time.Millisecond, since: 2700 * time.Millisecond, wanted: model.NewMark(2, 5)},
		{name: "unknown group", group: "nothing", known: time.Second, age: 0, since: time.Second, wanted: model.NewMark(2, 5)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			system := newSystem(2, limitedTeam(10, 10))
			borrower := system.members[0]
			borrower.kernel.State().SetGroups([]model.Group{model.NewGroup("katalog", nil)})
			group := borrower.kernel.State().Group("katalog")
			if test.known > 0 {
				group.ObserveSharedMark(model.NewGroupMark("katalog", model.NewMark(2, 5), 0), test.known)
			}
			borrower.kernel.Tick(3 * time.Second)
			borrower.quota.calls[9] = &call{sentAt: 3 * time.Second}
			told := []model.GroupMark{model.NewGroupMark(test.group, model.NewMark(2, 7), test.age)}
			borrower.kernel.Handle(3200*time.Millisecond, event.NewBorrowAnswered(9, nil).WithMarks(told))
			mark, since, ok := group.NewestMark()
			is.True(ok)
			is.Equal(mark, test.wanted)
			is.Equal(since, test.since)
		})
	}
}

// A lender tells the marks that are young enough to be of use.
func TestLenderTellsYoungMarks(t *testing.T) {
	is := is.New(t)
	system := newSystem(1, limitedTeam(10, 10))
	lender := system.members[0]
	lender.kernel.State().SetGroups([]model.Group{model.NewGroup("a", nil), model.NewGroup("b", nil), model.NewGroup("c", nil)})
	lender.kernel.State().Group("a").ObserveSharedMark(model.NewGroupMark("a", model.NewMark(1, 3), 0), 2*time.Second)
	lender.kernel.State().Group("b").ObserveSharedMark(model.NewGroupMark("b", model.NewMark(1, 4), 0), 4500*time.Millisecond)
	lender.kernel.Tick(5 * time.Second)
	is.Equal(lender.quota.newestMarks(), []model.GroupMark{model.NewGroupMark("b", model.NewMark(1, 4), 500*time.Millisecond)})
}
