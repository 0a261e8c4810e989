// Package state holds the state that the plug-ins of one kernel share: the views
// of the groups, the deployments in force and the known proxies. All of it is a
// cache that can be lost at any time.
package state

import (
	"slices"
	"time"

	"almondway.dev/almondway/internal/core/count"
	"almondway.dev/almondway/internal/core/model"
)

// State is the shared state of one kernel. It is not safe for concurrent use; only
// the goroutine of the kernel uses it.
type State struct {
	self          model.ProxyView
	groups        map[model.GroupID]*Group
	groupOrder    []model.GroupID
	byInstance    map[model.InstanceID]*Group
	revision      uint64
	revisionKnown bool
	confirmed     bool
	deployments   map[string]*model.Deployment
	teams         *model.Teams
	proxies       []model.ProxyView
	registered    []model.ProxyID
	draining      bool
	promoter      uint32
	storeEra      model.StoreEra
	listCheckedAt map[model.ListName]time.Duration
	counts        *count.Counts

	proxiesVersion uint64             // raised by each change of proxies
	dataCenters    []model.DataCenter // of the proxies, or nil if they have changed since
	holdersEnabled bool
	holderOrders   map[model.InstanceID]holderOrder
}

// New returns an empty State for the proxy self.
func New(self model.ProxyView) *State {
	return &State{
		self:        self,
		groups:      make(map[model.GroupID]*Group),
		byInstance:  make(map[model.InstanceID]*Group),
		deployments: make(map[string]*model.Deployment),
		counts:      count.New(),

		listCheckedAt: make(map[model.ListName]time.Duration),
		holderOrders:  make(map[model.InstanceID]holderOrder),
	}
}

// Counts returns the counters of the kernel.
func (state *State) Counts() *count.Counts { return state.counts }

// Self returns the identity of this proxy.
func (state *State) Self() model.ProxyView { return state.self }

// Group returns the view of a group, or nil if the platform does not list it.
func (state *State) Group(id model.GroupID) *Group { return state.groups[id] }

// GroupOf returns the view of the group that contains the instance, or nil.
func (state *State) GroupOf(instance model.InstanceID) *Group { return state.byInstance[instance] }

// Groups returns the views of all groups, in ascending order of their names.
func (state *State) Groups() []*Group {
	groups := make([]*Group, 0, len(state.groupOrder))
	for _, id := range state.groupOrder {
		groups = append(groups, state.groups[id])
	}
	return groups
}

// SetGroups records the groups that the platform lists. Known groups with the
// same members keep their views.
func (state *State) SetGroups(groups []model.Group) {
	previous := state.groups
	state.groups = make(map[model.GroupID]*Group, len(groups))
	state.byInstance = make(map[model.InstanceID]*Group)
	state.groupOrder = state.groupOrder[:0]
	for _, listed := range groups {
		group, ok := previous[listed.ID()]
		if !ok || !sameInstances(group, listed) {
			group = NewGroup(listed)
		}
		state.groups[listed.ID()] = group
		state.groupOrder = append(state.groupOrder, listed.ID())
		for _, instance := range listed.Instances() {
			state.byInstance[instance.ID()] = group
		}
	}
	slices.Sort(state.groupOrder)
}

// PutGroup adds a group without instances, or replaces the replication and the
// connection limit of a known group and of its instances.
func (state *State) PutGroup(listed model.Group) *Group {
	group, ok := state.groups[listed.ID()]
	if !ok {
		group = NewGroup(listed)
		state.groups[listed.ID()] = group
		state.groupOrder = append(state.groupOrder, listed.ID())
		slices.Sort(state.groupOrder)
	}
	group.replication = listed.Replication()
	group.maxConns = listed.MaxConns()
	for _, member := range group.members {
		member.setMaxConns(group.maxConns)
	}
	return group
}

// PutMember records an entry of the platform's list in its group. It returns false
// if the group is not known.
func (state *State) PutMember(listing model.Listing) bool {
	group, ok := state.groups[listing.Group()]
	if !ok {
		return false
	}
	if other := state.byInstance[listing.ID()]; other != nil && other != group {
		state.DropMember(listing.ID())
	}
	member := group.Member(listing.ID())
	if member == nil {
		member = &Member{}
		group.members = append(group.members, member)
		state.byInstance[listing.ID()] = group
	}
	member.SetListing(listing, group.maxConns)
	return true
}

// DropMember removes an instance that is no longer listed.
func (state *State) DropMember(instance model.InstanceID) {
	group, ok := state.byInstance[instance]
	if !ok {
		return
	}
	delete(state.byInstance, instance)
	group.members = slices.DeleteFunc(group.members, func(member *Member) bool { return member.ID() == instance })
	if group.primary == instance {
		group.primary = ""
	}
}

// Revision returns the revision of the deployments in force and whether any is known.
func (state *State) Revision() (uint64, bool) { return state.revision, state.revisionKnown }

// Deployment returns a deployment in force.
func (state *State) Deployment(name string) (*model.Deployment, bool) {
	deployment, ok := state.deployments[name]
	return deployment, ok
}

// Deployments returns the deployments in force, in ascending order of their names.
func (state *State) Deployments() []*model.Deployment {
	list := make([]*model.Deployment, 0, len(state.deployments))
	for _, deployment := range state.deployments {
		list = append(list, deployment)
	}
	slices.SortFunc(list, func(left, right *model.Deployment) int {
		if left.Name() < right.Name() {
			return -1
		}
		return 1
	})
	return list
}

// SetDeployments puts a revision in force. It returns false and changes nothing if
// the same or a higher revision is already in force.
func (state *State) SetDeployments(revision uint64, deployments []*model.Deployment) bool {
	if state.revisionKnown && revision <= state.revision {
		return false
	}
	state.revisionKnown = true
	state.revision = revision
	state.deployments = make(map[string]*model.Deployment, len(deployments))
	for _, deployment := range deployments {
		state.deployments[deployment.Name()] = deployment
	}
	return true
}

// Confirmed reports whether the revision in force is confirmed to be current,
// so that the proxy may serve under it.
func (state *State) Confirmed() bool { return state.revisionKnown && state.confirmed }

// SetConfirmed records whether the revision in force is confirmed to be current.
func (state *State) SetConfirmed(confirmed bool) { state.confirmed = confirmed }

// assumedProxies is the number of live proxies that is assumed until they are known. A
// proxy that assumed to be alone would take all connections and slots of the instances
// when all proxies start at the same time.
const assumedProxies = 8

// ProxyCount returns the number of live proxies, this one included.
func (state *State) ProxyCount() int {
	if len(state.proxies) == 0 {
		return assumedProxies
	}
	return len(state.proxies)
}

// ProxiesKnown reports whether the live proxies are known.
func (state *State) ProxiesKnown() bool { return len(state.proxies) > 0 }

// Proxies returns the live proxies, this one included, in ascending order of
// their names. It is empty until they are known. Callers must not change it.
func (state *State) Proxies() []model.ProxyView { return state.proxies }

// SetProxies records the live proxies, this one included, in ascending order of their names.
func (state *State) SetProxies(proxies []model.ProxyView) {
	state.proxies, state.dataCenters = proxies, nil
	state.proxiesVersion++
}

// DataCenters returns the data centres of the live proxies, in ascending order of their names.
// Callers must not change the result.
func (state *State) DataCenters() []model.DataCenter {
	if state.dataCenters == nil {
		for _, proxy := range state.proxies {
			state.dataCenters = append(state.dataCenters, proxy.DataCenter())
		}
		slices.Sort(state.dataCenters)
		state.dataCenters = slices.Compact(state.dataCenters)
	}
	return state.dataCenters
}

// Registered returns the proxies that may serve under some revision, in ascending
// order of their names. It includes this proxy and proxies from which no heartbeat
// was received, and excludes draining proxies. A majority of them confirms a
// revision. It is empty until all of them are known. Callers must not change it.
func (state *State) Registered() []model.ProxyID { return state.registered }

// SetRegistered records the proxies that may serve, in ascending order of their names.
func (state *State) SetRegistered(registered []model.ProxyID) { state.registered = registered }

// Draining reports whether the proxy takes no new work.
func (state *State) Draining() bool { return state.draining }

// SetDraining records that the proxy takes no new work.
func (state *State) SetDraining() { state.draining = true }

// Promoter returns the number that makes this proxy's terms unique. It is 0 if no
// number is assigned yet; the proxy may not promote then.
func (state *State) Promoter() uint32 { return state.promoter }

// SetPromoter records the number that the table service assigned to this proxy only.
func (state *State) SetPromoter(promoter uint32) { state.promoter = promoter }

// StoreEra returns the highest era of the platform's store that was seen.
func (state *State) StoreEra() model.StoreEra { return state.storeEra }

// SetStoreEra records an era of the platform's store. It returns false if it is not higher
// than the known one.
func (state *State) SetStoreEra(era model.StoreEra) bool {
	if era <= state.storeEra {
		return false
	}
	state.storeEra = era
	return true
}

// ListCheckedAt returns the time at which a list was last known to be up to date. It returns
// false if it never was.
func (state *State) ListCheckedAt(list model.ListName) (time.Duration, bool) {
	at, ok := state.listCheckedAt[list]
	return at, ok
}

// SetListCheckedAt records the time at which a list was known to be up to date.
func (state *State) SetListCheckedAt(list model.ListName, at time.Duration) {
	state.listCheckedAt[list] = at
}

func sameInstances(group *Group, listed model.Group) bool {
	instances := listed.Instances()
	if len(group.members) != len(instances) {
		return false
	}
	for index, member := range group.members {
		if member.instance != instances[index] {
			return false
		}
	}
	return true
}
