// Package catlog is the plug-in that applies the lists of a hosting platform: the
// operator's configuration and the instances of the groups.
package catlog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"almondway.dev/almondway/internal/core/event"
	"almondway.dev/almondway/internal/core/kern"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/core/timer"
)

func init() { kern.Register("catlog", kern.RankDeployments, New, kern.ProfileHosted) }

// unlistedGracePeriod is the time for which an instance is still used after its entry has
// disappeared. Entries that were lost while the store was unavailable are written again
// within two seconds.
const unlistedGracePeriod = 2500 * time.Millisecond

// Catalog is the plug-in.
type Catalog struct {
	context         *kern.Context
	removalTimers   map[model.InstanceID]timer.ID
	pendingListings map[model.InstanceID]model.Listing // entries whose groups are not known yet
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	return &Catalog{
		context:         context,
		removalTimers:   make(map[model.InstanceID]timer.ID),
		pendingListings: make(map[model.InstanceID]model.Listing),
	}
}

// Handle implements kern.Plugin.
func (catlog *Catalog) Handle(received event.Event) {
	switch received := received.(type) {
	case event.CatalogListed:
		catlog.applyCatalog(received)
	case event.InstancesListed:
		catlog.applyListings(received.Listings())
	case event.InstanceListed:
		catlog.applyListing(received.Listing())
	case event.InstanceUnlisted:
		catlog.unlist(received.Instance())
	}
}

// applyCatalog puts a configuration in force unless the same or a higher revision already
// is.
func (catlog *Catalog) applyCatalog(listed event.CatalogListed) {
	state := catlog.context.State()
	if !state.SetDeployments(listed.Revision(), listed.Deployments()) {
		return
	}
	for _, group := range listed.Groups() {
		state.PutGroup(group)
	}
	for _, id := range slices.Sorted(maps.Keys(catlog.pendingListings)) {
		listing := catlog.pendingListings[id]
		if state.PutMember(listing) {
			delete(catlog.pendingListings, id)
			catlog.recordListedRole(listing)
			catlog.context.Publish(event.NewGroupObserved(listing.Group()))
		}
	}
	state.SetConfirmed(true)
	catlog.log("catalog_applied", model.Decision{
		Revision: listed.Revision(),
		Reason:   strconv.Itoa(len(listed.Deployments())) + " deployments",
	})
	catlog.context.Publish(event.NewCatalogChanged(listed.Revision()))
}

// applyListings applies a complete list of instances. Instances that are missing from it
// are unlisted.
func (catlog *Catalog) applyListings(listings []model.Listing) {
	present := make(map[model.InstanceID]bool, len(listings))
	for _, listing := range listings {
		present[listing.ID()] = true
		catlog.applyListing(listing)
	}
	for _, group := range catlog.context.State().Groups() {
		// The members are copied, since unlist removes a leaving one from the group at once.
		for _, member := range slices.Clone(group.Members()) {
			if !present[member.ID()] {
				catlog.unlist(member.ID())
			}
		}
	}
}

// applyListing applies a new, changed or reappeared entry.
func (catlog *Catalog) applyListing(listing model.Listing) {
	state := catlog.context.State()
	catlog.context.Timers().Cancel(catlog.removalTimers[listing.ID()])
	delete(catlog.removalTimers, listing.ID())
	before := model.Listing{}
	if group := state.GroupOf(listing.ID()); group != nil {
		before = group.Member(listing.ID()).Listing()
	}
	if before == listing {
		state.PutMember(listing) // marks the instance as listed again
		return
	}
	if !state.PutMember(listing) {
		catlog.pendingListings[listing.ID()] = listing
		return
	}
	catlog.log("instance_listed", model.Decision{
		Group:    listing.Group(),
		Instance: listing.ID(),
		Reason:   describe(listing),
	})
	if listing.Leaving() != before.Leaving() {
		catlog.context.Publish(event.NewLeavingChanged(listing.ID(), listing.Leaving()))
	}
	if listing.Role() != before.Role() || before.ID() == "" {
		catlog.recordListedRole(listing)
	}
	catlog.context.Publish(event.NewGroupObserved(listing.Group()))
}

// recordListedRole records in the group whether the instance is listed as its primary.
func (catlog *Catalog) recordListedRole(listing model.Listing) {
	group := catlog.context.State().Group(listing.Group())
	if listing.Role() == model.RolePrimary {
		group.SetPrimary(listing.ID())
	} else {
		group.RefutePrimary(listing.ID(), catlog.context.Now())
	}
}

// unlist removes an instance whose entry has disappeared. A leaving instance is removed
// at once, any other one if its entry does not reappear within unlistedGracePeriod.
func (catlog *Catalog) unlist(instance model.InstanceID) {
	delete(catlog.pendingListings, instance)
	if _, ok := catlog.removalTimers[instance]; ok {
		return
	}
	group := catlog.context.State().GroupOf(instance)
	if group == nil {
		return
	}
	if group.Member(instance).Leaving() {
		catlog.removeInstance(group.ID(), instance)
		return
	}
	group.Member(instance).SetUnlisted()
	catlog.removalTimers[instance] = catlog.context.Timers().After(unlistedGracePeriod, func() {
		catlog.removeInstance(group.ID(), instance)
	})
}

func (catlog *Catalog) removeInstance(group model.GroupID, instance model.InstanceID) {
	delete(catlog.removalTimers, instance)
	catlog.context.State().DropMember(instance)
	catlog.log("instance_gone", model.Decision{Group: group, Instance: instance, Reason: "its entry is no longer in the platform's list"})
	catlog.context.Publish(event.NewLeavingChanged(instance, true))
	catlog.context.Publish(event.NewGroupObserved(group))
}

func (catlog *Catalog) log(name string, decision model.Decision) {
	decision.Name = name
	catlog.context.Emit(event.NewLogDecision(decision))
}

func describe(listing model.Listing) string {
	if listing.Leaving() {
		return listing.Role().String() + ", leaving"
	}
	return listing.Role().String()
}
