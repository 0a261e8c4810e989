package catlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/tune"
	"almondway.dev/almondway/internal/plug/catlog"
)

const group = model.GroupID("katalog")

func newKernel() *kern.Kernel {
	self := model.NewProxyView("p", "", "trnje-hall", 0, false, 0)
	return kern.NewWithFactories(self, tune.New(tune.Default()), time.Unix(0, 0), 1, catlog.New)
}

func catalog(revision uint64, names ...string) event.CatalogListed {
	var deployments []*model.Deployment
	for _, name := range names {
		deployments = append(deployments, model.NewDeployment(model.DeploymentSpec{Name: name, Revision: revision}))
	}
	listed := model.NewGroup(group, nil).WithReplication(model.NewPrimaryAcknowledged(1)).WithMaxConns(34)
	return event.NewCatalogListed(revision, deployments, []model.Group{listed})
}

func listing(id model.InstanceID, role model.Role, leaving bool) model.Listing {
	return model.NewListing(model.ListingSpec{
		Group:    group,
		Instance: model.NewInstance(id, "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
		Role:     role,
		Leaving:  leaving,
	})
}

func members(kernel *kern.Kernel) []model.InstanceID {
	var ids []model.InstanceID
	for _, member := range kernel.State().Group(group).Members() {
		ids = append(ids, member.ID())
	}
	return ids
}

func TestRevisionNeverReverts(t *testing.T) {
	tests := []struct {
		name     string
		listed   []event.CatalogListed
		revision uint64
		has      string
	}{
		{name: "newer", listed: []event.CatalogListed{catalog(2, "a"), catalog(5, "b")}, revision: 5, has: "b"},
		{name: "older", listed: []event.CatalogListed{catalog(5, "b"), catalog(2, "a")}, revision: 5, has: "b"},
		{name: "same", listed: []event.CatalogListed{catalog(5, "b"), catalog(5, "a")}, revision: 5, has: "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := newKernel()
			is.True(!kernel.State().Confirmed())
			for _, listed := range test.listed {
				kernel.Handle(0, listed)
			}
			revision, known := kernel.State().Revision()
			is.True(known && kernel.State().Confirmed())
			is.Equal(revision, test.revision)
			_, ok := kernel.State().Deployment(test.has)
			is.True(ok)
		})
	}
}

// An entry can be listed before the configuration that defines its group.
func TestInstancesListedBeforeTheirGroup(t *testing.T) {
	is := is.New(t)
	kernel := newKernel()
	kernel.Handle(0, event.NewInstancesListed([]model.Listing{listing("i-1", model.RolePrimary, false)}))
	kernel.Handle(1, catalog(1, "a"))
	is.Equal(members(kernel), []model.InstanceID{"i-1"})
	is.Equal(kernel.State().Group(group).Primary().ID(), model.InstanceID("i-1"))
	is.Equal(kernel.State().Group(group).Member("i-1").Instance().MaxConns(), 34)
}

// Several leaving instances that are missing from the same list are all removed at once.
func TestListWithoutLeavingInstances(t *testing.T) {
	is := is.New(t)
	kernel := newKernel()
	kernel.Handle(0, catalog(1, "a"))
	kernel.Handle(1, event.NewInstancesListed([]model.Listing{
		listing("i-1", model.RolePrimary, true),
		listing("i-2", model.RoleReplica, true),
		listing("i-3", model.RoleReplica, true),
		listing("i-4", model.RoleReplica, false),
	}))
	kernel.Handle(2, event.NewInstancesListed([]model.Listing{listing("i-4", model.RoleReplica, false)}))
	is.Equal(members(kernel), []model.InstanceID{"i-4"})
}

func TestUnlistedInstance(t *testing.T) {
	tests := []struct {
		name       string
		relistedAt time.Duration // when the entry is listed again, or 0
		at         time.Duration
		want       int
	}{
		{name: "within the grace period", at: 2 * time.Second, want: 1},
		{name: "gone", at: 3 * time.Second, want: 0},
		{name: "listed again in time", relistedAt: 2 * time.Second, at: 6 * time.Second, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := newKernel()
			kernel.Handle(0, catalog(1, "a"))
			kernel.Handle(1, event.NewInstanceListed(listing("i-1", model.RoleReplica, false)))
			kernel.Handle(2, event.NewInstanceUnlisted("i-1"))
			if test.relistedAt > 0 {
				kernel.Handle(test.relistedAt, event.NewInstanceListed(listing("i-1", model.RoleReplica, false)))
			}
			kernel.Tick(test.at)
			is.Equal(len(members(kernel)), test.want)
		})
	}
}

// An instance that is listed as primary replaces the known primary. A primary that is
// then listed as a replica leaves the group without one at once.
func TestListedRoleSetsPrimary(t *testing.T) {
	is := is.New(t)
	kernel := newKernel()
	kernel.Handle(0, catalog(1, "a"))
	kernel.Handle(1, event.NewInstanceListed(listing("i-1", model.RolePrimary, false)))
	kernel.Handle(1, event.NewInstanceListed(listing("i-2", model.RoleReplica, false)))
	is.Equal(kernel.State().Group(group).Primary().ID(), model.InstanceID("i-1"))
	kernel.Handle(2, event.NewInstanceListed(listing("i-2", model.RolePrimary, false)))
	is.Equal(kernel.State().Group(group).Primary().ID(), model.InstanceID("i-2"))
	kernel.Handle(3, event.NewInstanceListed(listing("i-2", model.RoleReplica, false)))
	is.True(kernel.State().Group(group).Primary() == nil)
}

// A list of a restored store may be older than what is known. It takes back neither the
// shutdown of an instance nor the removal of one, and an entry that it lacks may come back.
func TestListOfRestoredStore(t *testing.T) {
	entry := func(born int64, sequence uint64, leaving bool) model.Listing {
		return model.NewListing(model.ListingSpec{
			Group:    group,
			Instance: model.NewInstance("i-1", "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
			Leaving:  leaving,
			Born:     born,
			Sequence: sequence,
		})
	}
	tests := []struct {
		name        string
		known       model.Listing
		gone        bool // the instance has left before the restore
		restored    []model.Listing
		wantMembers int // at once
		wantLeaving bool
		wantLater   int // when the time for entries to come back has passed
	}{
		{name: "older entry of a leaving instance", known: entry(1, 7, true), restored: []model.Listing{entry(1, 6, false)}, wantMembers: 1, wantLeaving: true, wantLater: 1},
		{name: "older start of an instance", known: entry(9, 1, true), restored: []model.Listing{entry(1, 50, false)}, wantMembers: 1, wantLeaving: true, wantLater: 1},
		{name: "newer entry", known: entry(1, 7, false), restored: []model.Listing{entry(1, 8, true)}, wantMembers: 1, wantLeaving: true, wantLater: 1},
		{name: "restarted instance", known: entry(1, 7, true), restored: []model.Listing{entry(2, 1, false)}, wantMembers: 1, wantLater: 1},
		{name: "entry of an instance that has left", known: entry(1, 7, true), gone: true, restored: []model.Listing{entry(1, 6, false)}},
		{name: "no entry of a leaving instance", known: entry(1, 7, true), wantMembers: 1, wantLeaving: true},
		{name: "no entry", known: entry(1, 7, false), wantMembers: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kernel := newKernel()
			kernel.Handle(0, catalog(1, "a"))
			kernel.Handle(time.Second, event.NewInstanceListed(test.known))
			if test.gone {
				kernel.Handle(2*time.Second, event.NewInstanceUnlisted("i-1"))
				is.Equal(len(members(kernel)), 0)
			}
			kernel.Handle(3*time.Second, event.NewInstancesListed(test.restored).WithRestored(true))
			is.Equal(len(members(kernel)), test.wantMembers)
			if test.wantMembers > 0 {
				is.Equal(kernel.State().Group(group).Member("i-1").Leaving(), test.wantLeaving)
			}
			kernel.Tick(6 * time.Second)
			is.Equal(len(members(kernel)), test.wantLater)
		})
	}
}

// Guards against an instance that has started again under its name and is taken for the process
// before, and against one whose entry merely changes and is taken for a new process.
func TestRestartedInstance(t *testing.T) {
	entry := func(born int64, sequence uint64) model.Listing {
		return model.NewListing(model.ListingSpec{
			Group:    group,
			Instance: model.NewInstance("i-1", "10.0.0.1:1", "trnje-hall").WithCapacity(5, 0),
			Born:     born,
			Sequence: sequence,
		})
	}
	tests := []struct {
		name     string
		listings []model.Listing
		restarts int
	}{
		{name: "first entry", listings: []model.Listing{entry(100, 1)}},
		{name: "later entry of the same process", listings: []model.Listing{entry(100, 1), entry(100, 9)}},
		{name: "another process", listings: []model.Listing{entry(100, 9), entry(200, 1)}, restarts: 1},
		{name: "start time unknown before", listings: []model.Listing{entry(0, 9), entry(200, 1)}},
		{name: "two restarts", listings: []model.Listing{entry(100, 9), entry(200, 1), entry(300, 1)}, restarts: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			restarts := 0
			self := model.NewProxyView("p", "", "trnje-hall", 0, false, 0)
			kernel := kern.NewWithFactories(self, tune.New(tune.Default()), time.Unix(0, 0), 1, catlog.New, func(*kern.Context) kern.Plugin {
				return observer(func(received event.Event) {
					if restarted, ok := received.(event.InstanceRestarted); ok && restarted.Instance() == "i-1" {
						restarts++
					}
				})
			})
			kernel.Handle(0, catalog(1, "a"))
			for index, listing := range test.listings {
				kernel.Handle(time.Duration(index+1)*time.Second, event.NewInstanceListed(listing))
			}
			is.Equal(restarts, test.restarts)
		})
	}
}

// observer is a plug-in that passes events on to a function.
type observer func(received event.Event)

// Handle implements kern.Plugin.
func (observer observer) Handle(received event.Event) { observer(received) }
