package elect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// Guards against a promotion that waits for the log of an instance that does not exist.
func TestPromotionBesideEntryOfNoInstance(t *testing.T) {
	tests := []struct {
		name      string
		none      bool // no odd entry
		odd       model.Role
		listedFor time.Duration // before the primary is lost, or 0 if it is listed after that
		unlisted  bool          // the entry is removed before the primary is lost
		silent    bool          // the address does not refuse connections but swallows them
		lost      bool          // a replica is lost that alone has what the primary has
		within    time.Duration
		want      model.InstanceID
	}{
		{name: "no entry", none: true, listedFor: 8 * time.Second, within: 4 * time.Second, want: "i-2"},
		{name: "replica", listedFor: 8 * time.Second, within: 4 * time.Second, want: "i-2"},
		{name: "primary", odd: model.RolePrimary, listedFor: 8 * time.Second, within: 4 * time.Second, want: "i-2"},
		{name: "removed again", listedFor: 8 * time.Second, unlisted: true, within: 4 * time.Second, want: "i-2"},
		{name: "listed after the loss", within: 25 * time.Second, want: "i-2"},
		{name: "primary, listed after the loss", odd: model.RolePrimary, within: 25 * time.Second, want: "i-2"},
		{name: "it may be an instance that only proxies cannot reach", listedFor: 8 * time.Second, silent: true, within: 25 * time.Second},
		{name: "a replica is lost, too", listedFor: 8 * time.Second, lost: true, within: 25 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			primary := model.NewStatus(1, model.RolePrimary, model.NewMark(1, 9), "", 0, false)
			fixture.statuses["i-1"], fixture.statuses["i-2"], fixture.statuses["i-3"] = primary, replicaAt(9), replicaAt(7)
			fixture.run(6 * time.Second)
			list := func() {
				if test.none {
					return
				}
				spec := model.ListingSpec{Group: group, Instance: model.NewInstance("x-1", "10.0.0.9:9", "trnje-hall"), Role: test.odd}
				fixture.refuses["x-1"] = !test.silent
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceListed(model.NewListing(spec))))
			}
			if test.listedFor > 0 {
				list()
			}
			if test.lost {
				fixture.refuses["i-2"] = true
			}
			for until := fixture.now + test.listedFor; fixture.now < until; {
				fixture.run(50 * time.Millisecond)
				fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
			}
			is.Equal(fixture.promoted, model.InstanceID("")) // the primary leads all the while
			if test.unlisted {
				fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceUnlisted("x-1")))
				fixture.run(4 * time.Second)
			}
			fixture.refuses["i-1"] = true
			if test.listedFor == 0 {
				list()
			}
			for until := fixture.now + test.within; fixture.now < until && fixture.promoted == ""; {
				fixture.run(50 * time.Millisecond)
				fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
			}
			is.Equal(fixture.promoted, test.want)
		})
	}
}

// Guards against a next holder of the lease that takes an odd entry for the former primary.
func TestNewHolderBesideEntryOfNoInstance(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
	}{{"ready", false}, {"leaving", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(9), replicaAt(7)
			fixture.refuses["x-1"] = true
			fixture.put("promoter", storedLease{
				Token: 64, Beat: 9,
				Counted: map[model.GroupID][]string{group: {"i-1", "i-2", "i-3"}},
				Led:     map[model.GroupID]primaryOf{group: {Instance: "i-1", Term: 1}},
			})
			odd := model.NewListing(model.ListingSpec{Group: group, Instance: model.NewInstance("x-1", "10.0.0.9:9", "trnje-hall"), Role: model.RolePrimary, Leaving: test.leaving})
			fixture.kernel.State().DropMember("i-1")
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstancesListed([]model.Listing{listingOf("i-2"), listingOf("i-3"), odd})))
			fixture.kernel.State().Group(group).ConfirmPrimary("x-1")
			for until := fixture.now + 12*time.Second; fixture.now < until && fixture.promoted == ""; {
				fixture.run(50 * time.Millisecond)
				fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
			}
			is.Equal(fixture.promoted, model.InstanceID("i-2"))
		})
	}
}

// Guards against the loss of a commit that a replica acknowledged after it had started again.
func TestInstanceThatStartsAgainCounts(t *testing.T) {
	tests := []struct {
		name    string
		again   func(spec *model.ListingSpec)
		answers bool
	}{
		{name: "it stays away", again: func(*model.ListingSpec) {}},
		{name: "it answers", again: func(*model.ListingSpec) {}, answers: true},
		{name: "its entry names a later start", again: func(spec *model.ListingSpec) { spec.Born = 9 }},
		{name: "its entry names a warm-up", again: func(spec *model.ListingSpec) { spec.WarmUpRemaining = time.Second }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			fixture.statuses["i-1"] = model.NewStatus(1, model.RolePrimary, model.NewMark(1, 9), "", 0, false)
			fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(9), replicaAt(9)
			fixture.run(6 * time.Second)
			fixture.refuses["i-2"] = true
			fixture.run(8 * time.Second)
			spec := model.ListingSpec{Group: group, Instance: model.NewInstance("i-2", "10.0.0.1:1", "trnje-hall")}
			test.again(&spec)
			fixture.answer(fixture.kernel.Handle(fixture.now, event.NewInstanceListed(model.NewListing(spec))))
			if test.answers {
				fixture.refuses["i-2"] = false
				fixture.run(300 * time.Millisecond)
			}
			// Only the primary and i-2 have the last commits.
			fixture.statuses["i-1"] = model.NewStatus(1, model.RolePrimary, model.NewMark(1, 12), "", 0, false)
			if test.answers || spec.Born > 0 || spec.WarmUpRemaining > 0 {
				fixture.statuses["i-2"] = replicaAt(12)
			}
			fixture.refuses["i-1"], fixture.refuses["i-2"] = true, true
			fixture.run(12 * time.Second)
			is.Equal(fixture.promoted, model.InstanceID(""))
		})
	}
}

// Guards against the loss of commits that an instance acknowledges while it refuses the proxies.
func TestPromotionWaitsForListedInstanceThatRefusesProxies(t *testing.T) {
	tests := []struct {
		name   string
		former bool // the holder of the lease before knew the instance, this one has never reached it
	}{{"reached before", false}, {"reached by the former holder", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fixture := newFixture(true)
			fixture.statuses["i-1"] = model.NewStatus(1, model.RolePrimary, model.NewMark(1, 9), "", 0, false)
			fixture.statuses["i-2"], fixture.statuses["i-3"] = replicaAt(9), replicaAt(9)
			if test.former {
				fixture.refuses["i-2"] = true
				fixture.put("promoter", storedLease{
					Token: 64, Beat: 9,
					Counted: map[model.GroupID][]string{group: {"i-1", "i-2", "i-3"}},
					Led:     map[model.GroupID]primaryOf{group: {Instance: "i-1", Term: 1}},
				})
			}
			run := func(duration time.Duration) {
				for until := fixture.now + duration; fixture.now < until; {
					fixture.run(50 * time.Millisecond)
					fixture.kernel.State().SetListCheckedAt(model.ListInstances, fixture.now)
				}
			}
			run(6 * time.Second)
			fixture.refuses["i-2"] = true
			run(10 * time.Second)
			fixture.refuses["i-1"] = true // it had one more commit, which i-2 has
			run(20 * time.Second)
			is.Equal(fixture.promoted, model.InstanceID(""))
			fixture.refuses["i-2"] = false
			fixture.statuses["i-2"] = replicaAt(10)
			run(5 * time.Second)
			is.Equal(fixture.promoted, model.InstanceID("i-2"))
		})
	}
}
