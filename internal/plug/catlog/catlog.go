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

// goneRetention is how long the last entry of an instance that is gone is kept, to recognize it
// when the platform's store is restored from a copy that still contains it.
const goneRetention = time.Minute

// unlistedGracePeriod is the time for which an instance is still used after its entry has
// disappeared. Entries that were lost while the store was unavailable are written again
// within two seconds.
const unlistedGracePeriod = 2500 * time.Millisecond

// Catalog is the plug-in.
type Catalog struct {
	context       *kern.Context
	removalTimers map[model.InstanceID]timer.ID
	// pendingListings are the entries whose groups are not known yet, and those of known instances
	// with another group or address.
	pendingListings map[model.InstanceID]model.Listing
	gone            map[model.InstanceID]goneEntry
}

// goneEntry is the last entry of an instance that was removed.
type goneEntry struct {
	listing   model.Listing
	removedAt time.Duration
}

// New returns the plug-in.
func New(context *kern.Context) kern.Plugin {
	return &Catalog{
		context:         context,
		removalTimers:   make(map[model.InstanceID]timer.ID),
		pendingListings: make(map[model.InstanceID]model.Listing),
		gone:            make(map[model.InstanceID]goneEntry),
	}
}

// Handle implements kern.Plugin.
func (catalog *Catalog) Handle(received event.Event) {
	switch received := received.(type) {
	case event.CatalogListed:
		catalog.applyCatalog(received)
	case event.InstancesListed:
		catalog.applyListings(received)
	case event.InstanceListed:
		catalog.applyListing(received.Listing())
	case event.InstanceUnlisted:
		delete(catalog.pendingListings, received.Instance())
		catalog.unlist(received.Instance(), false)
	}
}

// applyCatalog puts a configuration in force unless the same or a higher revision already
// is.
func (catalog *Catalog) applyCatalog(listed event.CatalogListed) {
	state := catalog.context.State()
	if !state.SetDeployments(listed.Revision(), listed.Deployments()) {
		return
	}
	state.SetTeams(listed.Teams())
	for _, group := range listed.Groups() {
		state.PutGroup(group)
	}
	for _, id := range slices.Sorted(maps.Keys(catalog.pendingListings)) {
		if state.GroupOf(id) == nil && state.Group(catalog.pendingListings[id].Group()) != nil {
			catalog.applyListing(catalog.pendingListings[id])
		}
	}
	state.SetConfirmed(true)
	catalog.log("catalog_applied", model.Decision{
		Revision: listed.Revision(),
		Reason:   strconv.Itoa(len(listed.Deployments())) + " deployments, " + strconv.Itoa(listed.Teams().Count()) + " teams",
	})
	catalog.context.Publish(event.NewCatalogChanged(listed.Revision()))
}

// applyListings applies a complete list of instances. Instances that are missing from it
// are unlisted. A list of a restored store may contain entries that are older than the known
// ones, which are ignored until the instances write theirs again.
func (catalog *Catalog) applyListings(listed event.InstancesListed) {
	present := make(map[model.InstanceID]bool, len(listed.Listings()))
	for _, listing := range listed.Listings() {
		present[listing.ID()] = true
		if listed.Restored() && catalog.outdated(listing) {
			catalog.log("entry_outdated", model.Decision{Group: listing.Group(), Instance: listing.ID(), Reason: "the store was restored with an older entry: " + describe(listing)})
			continue
		}
		catalog.applyListing(listing)
	}
	maps.DeleteFunc(catalog.pendingListings, func(id model.InstanceID, _ model.Listing) bool { return !present[id] })
	for _, group := range catalog.context.State().Groups() {
		// The members are copied, since unlist removes a leaving one from the group at once.
		for _, member := range slices.Clone(group.Members()) {
			if !present[member.ID()] {
				catalog.unlist(member.ID(), listed.Restored())
			}
		}
	}
}

// outdated reports whether an entry is older than the last known one of the same instance.
func (catalog *Catalog) outdated(listing model.Listing) bool {
	if group := catalog.context.State().GroupOf(listing.ID()); group != nil {
		known := group.Member(listing.ID()).Listing()
		return known.Supersedes(listing) && !known.SameContent(listing)
	}
	last, ok := catalog.gone[listing.ID()]
	return ok && !listing.Supersedes(last.listing)
}

// applyListing applies a new, changed or reappeared entry.
func (catalog *Catalog) applyListing(listing model.Listing) {
	state := catalog.context.State()
	delete(catalog.gone, listing.ID())
	before := model.Listing{}
	if group := state.GroupOf(listing.ID()); group != nil {
		before = group.Member(listing.ID()).Listing()
	}
	if before.ID() != "" && moved(before, listing) {
		catalog.postpone(before, listing)
		return
	}
	delete(catalog.pendingListings, listing.ID())
	catalog.context.Timers().Cancel(catalog.removalTimers[listing.ID()])
	delete(catalog.removalTimers, listing.ID())
	if before.SameContent(listing) {
		state.PutMember(listing) // marks the instance as listed again
		return
	}
	if !state.PutMember(listing) {
		catalog.pendingListings[listing.ID()] = listing
		return
	}
	catalog.log("instance_listed", model.Decision{
		Group:    listing.Group(),
		Instance: listing.ID(),
		Reason:   describe(listing),
	})
	if before.Born() != 0 && listing.Born() > before.Born() {
		catalog.log("instance_restarted", model.Decision{Group: listing.Group(), Instance: listing.ID(), Reason: "its entry names a later start"})
		catalog.context.Publish(event.NewInstanceRestarted(listing.ID()))
	}
	if listing.Leaving() != before.Leaving() {
		catalog.context.Publish(event.NewLeavingChanged(listing.ID(), listing.Leaving()))
	}
	if listing.Role() != before.Role() || before.ID() == "" {
		catalog.recordListedRole(listing, before.ID() == "")
	}
	catalog.context.Publish(event.NewGroupObserved(listing.Group()))
}

// moved reports whether an entry names another group or address than the one before. An instance keeps
// both while its process runs.
func moved(before, listing model.Listing) bool {
	changed := listing.Group() != before.Group() || listing.Instance().Address() != before.Instance().Address()
	return changed && listing.Born() <= before.Born()
}

// postpone applies an entry only after the time within which the instance, if it runs, writes its own
// one again.
func (catalog *Catalog) postpone(before, listing model.Listing) {
	catalog.unlist(listing.ID(), true)
	if _, known := catalog.pendingListings[listing.ID()]; !known {
		catalog.log("entry_postponed", model.Decision{Group: before.Group(), Instance: listing.ID(), Reason: "it names another group or address"})
	}
	catalog.pendingListings[listing.ID()] = listing
}

// recordListedRole records in the group whether the instance is listed as its primary. One that was
// not listed before does not replace a known primary until it answers: an instance starts as a
// replica, except for the one that led the group before.
func (catalog *Catalog) recordListedRole(listing model.Listing, isNew bool) {
	group := catalog.context.State().Group(listing.Group())
	switch {
	case listing.Role() != model.RolePrimary:
		group.RefutePrimary(listing.ID(), catalog.context.Now())
	case !isNew || !group.PrimaryWasKnown():
		group.SetPrimary(listing.ID())
	}
}

// unlist removes an instance whose entry has disappeared. A leaving instance is removed
// at once, any other one if its entry does not reappear within unlistedGracePeriod. A
// restored store may merely lack the entry, also that of a leaving instance.
func (catalog *Catalog) unlist(instance model.InstanceID, restored bool) {
	if _, ok := catalog.removalTimers[instance]; ok {
		return
	}
	group := catalog.context.State().GroupOf(instance)
	if group == nil {
		return
	}
	if group.Member(instance).Leaving() && !restored {
		catalog.removeInstance(group.ID(), instance)
		return
	}
	group.Member(instance).SetUnlisted()
	catalog.removalTimers[instance] = catalog.context.Timers().After(unlistedGracePeriod, func() {
		catalog.removeInstance(group.ID(), instance)
	})
}

func (catalog *Catalog) removeInstance(group model.GroupID, instance model.InstanceID) {
	delete(catalog.removalTimers, instance)
	catalog.recordGone(instance)
	catalog.context.State().DropMember(instance)
	catalog.log("instance_gone", model.Decision{Group: group, Instance: instance, Reason: "its entry is no longer in the platform's list"})
	catalog.context.Publish(event.NewLeavingChanged(instance, true))
	catalog.context.Publish(event.NewGroupObserved(group))
	if listing, ok := catalog.pendingListings[instance]; ok {
		catalog.applyListing(listing)
	}
}

// recordGone keeps the last entry of an instance that is about to be removed.
func (catalog *Catalog) recordGone(instance model.InstanceID) {
	now := catalog.context.Now()
	maps.DeleteFunc(catalog.gone, func(_ model.InstanceID, last goneEntry) bool { return now-last.removedAt > goneRetention })
	if group := catalog.context.State().GroupOf(instance); group != nil {
		catalog.gone[instance] = goneEntry{listing: group.Member(instance).Listing(), removedAt: now}
	}
}

func (catalog *Catalog) log(name string, decision model.Decision) {
	decision.Name = name
	catalog.context.Emit(event.NewLogDecision(decision))
}

func describe(listing model.Listing) string {
	if listing.Leaving() {
		return listing.Role().String() + ", leaving"
	}
	return listing.Role().String()
}
