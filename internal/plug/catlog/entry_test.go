package catlog_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/model"
)

// odd returns the entry of i-1, the primary, after a change.
func odd(change func(spec *model.ListingSpec)) model.Listing {
	spec := model.ListingSpec{
		Group:    group,
		Instance: model.NewInstance("i-1", "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
		Role:     model.RolePrimary,
		Born:     7,
		Sequence: 3,
	}
	change(&spec)
	return model.NewListing(spec)
}

// Guards against an odd entry under the id of a live instance that takes it out of its group.
func TestOddEntryOfLiveInstance(t *testing.T) {
	const other = model.GroupID("other")
	own := odd(func(*model.ListingSpec) {})
	tests := []struct {
		name      string
		change    func(spec *model.ListingSpec)
		during    bool // i-1 is a member with its own address before its own entry is back
		later     model.GroupID
		laterHost string
	}{
		{"another group", func(spec *model.ListingSpec) { spec.Group = other }, true, other, "10.0.0.1:1"},
		{"unknown group", func(spec *model.ListingSpec) { spec.Group = "unknown" }, true, "", ""},
		{"another address", func(spec *model.ListingSpec) { spec.Instance = model.NewInstance("i-1", "10.0.0.2:2", "trnje-hall") }, true, group, "10.0.0.2:2"},
		{"another address of a later start", func(spec *model.ListingSpec) {
			spec.Instance, spec.Born = model.NewInstance("i-1", "10.0.0.2:2", "trnje-hall"), 8
		}, false, group, "10.0.0.2:2"},
		{"another role", func(spec *model.ListingSpec) { spec.Role = model.RoleReplica }, true, group, "10.0.0.1:1"},
		{"largest sequence", func(spec *model.ListingSpec) { spec.Sequence = math.MaxUint64; spec.Leaving = true }, true, group, "10.0.0.1:1"},
		{"latest start", func(spec *model.ListingSpec) { spec.Born = math.MaxInt64; spec.Leaving = true }, true, group, "10.0.0.1:1"},
	}
	for _, test := range tests {
		for _, whole := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, whole), func(t *testing.T) {
				is := is.New(t)
				kernel := newKernel()
				kernel.Handle(0, catalog(1, "a"))
				kernel.Handle(0, event.NewCatalogListed(2, nil, []model.Group{model.NewGroup(group, nil), model.NewGroup(other, nil)}))
				list := func(now time.Duration, listing model.Listing) {
					if whole {
						kernel.Handle(now, event.NewInstancesListed([]model.Listing{listing}))
						return
					}
					kernel.Handle(now, event.NewInstanceListed(listing))
				}
				address := func() string { return kernel.State().Group(group).Member("i-1").Instance().Address() }
				list(1, own)
				list(2, odd(test.change))
				kernel.Tick(time.Second)
				is.Equal(address() == "10.0.0.1:1", test.during)
				list(time.Second+1, own)
				kernel.Tick(5 * time.Second)
				member := kernel.State().Group(group).Member("i-1")
				is.True(member != nil && !member.Unlisted() && !member.Leaving())
				is.True(member.Listing() == own)
				is.Equal(len(kernel.State().Group(other).Members()), 0)
				// The odd entry stays from here on.
				list(6*time.Second, odd(test.change))
				kernel.Tick(10 * time.Second)
				found := kernel.State().GroupOf("i-1")
				if test.later == "" {
					is.True(found == nil)
					return
				}
				is.Equal(found.ID(), test.later)
				is.Equal(found.Member("i-1").Instance().Address(), test.laterHost)
			})
		}
	}
}

// Guards against writes that go to an entry which claims to be the primary.
func TestNewEntryDoesNotReplacePrimary(t *testing.T) {
	is := is.New(t)
	kernel := newKernel()
	kernel.Handle(0, catalog(1, "a"))
	kernel.Handle(1, event.NewInstanceListed(listing("i-1", model.RolePrimary, false)))
	kernel.Handle(2, event.NewInstanceListed(listing("odd", model.RolePrimary, false)))
	is.Equal(kernel.State().Group(group).Primary().ID(), model.InstanceID("i-1"))
	kernel.Handle(3, event.NewInstanceListed(listing("i-1", model.RoleReplica, false)))
	kernel.Handle(4, event.NewInstanceListed(listing("odd-2", model.RolePrimary, false)))
	is.True(kernel.State().Group(group).Primary() == nil)
}

// Guards against an entry that is long gone and becomes an instance when its group is configured.
func TestPendingEntryIsForgotten(t *testing.T) {
	const later = model.GroupID("later")
	pending := func(id model.InstanceID) model.Listing {
		return model.NewListing(model.ListingSpec{Group: later, Instance: model.NewInstance(id, "10.0.0.1:1", "trnje-hall")})
	}
	tests := []struct {
		name string
		next event.Event
		want int
	}{
		{"still listed", event.NewInstancesListed([]model.Listing{pending("i-1")}), 1},
		{"unlisted", event.NewInstanceUnlisted("i-1"), 0},
		{"missing from the whole list", event.NewInstancesListed(nil), 0},
		{"listed in another group since", event.NewInstanceListed(listing("i-1", model.RoleReplica, false)), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := newKernel()
			kernel.Handle(0, catalog(1, "a"))
			kernel.Handle(1, event.NewInstanceListed(pending("i-1")))
			kernel.Handle(2, test.next)
			kernel.Handle(3, event.NewCatalogListed(2, nil, []model.Group{model.NewGroup(group, nil), model.NewGroup(later, nil)}))
			is.Equal(len(kernel.State().Group(later).Members()), test.want)
		})
	}
}
