package event

import "almondway.dev/almondway/internal/core/model"

// CatalogListed reports the deployments and groups of the platform's configuration.
type CatalogListed struct {
	revision    uint64
	deployments []*model.Deployment
	groups      []model.Group
	teams       *model.Teams
}

// NewCatalogListed returns a CatalogListed. The groups are given without their
// instances.
func NewCatalogListed(revision uint64, deployments []*model.Deployment, groups []model.Group) CatalogListed {
	return CatalogListed{revision: revision, deployments: deployments, groups: groups}
}

// WithTeams returns a copy with the teams of the revision, which are nil if callers need no keys.
func (catalogListed CatalogListed) WithTeams(teams *model.Teams) CatalogListed {
	catalogListed.teams = teams
	return catalogListed
}

// Teams returns all teams of the revision, or nil if callers need no keys.
func (catalogListed CatalogListed) Teams() *model.Teams { return catalogListed.teams }

// WithRevision returns a copy of another revision.
func (catalogListed CatalogListed) WithRevision(revision uint64) CatalogListed {
	catalogListed.revision = revision
	return catalogListed
}

// Revision returns the revision of the configuration.
func (catalogListed CatalogListed) Revision() uint64 { return catalogListed.revision }

// Deployments returns all deployments of the revision.
func (catalogListed CatalogListed) Deployments() []*model.Deployment {
	return catalogListed.deployments
}

// Groups returns all groups of the revision, without their instances.
func (catalogListed CatalogListed) Groups() []model.Group { return catalogListed.groups }

func (CatalogListed) isEvent() {}

// InstancesListed reports the platform's whole list of instances.
type InstancesListed struct {
	listings []model.Listing
	restored bool
}

// NewInstancesListed returns an InstancesListed.
func NewInstancesListed(listings []model.Listing) InstancesListed {
	return InstancesListed{listings: listings}
}

// Listings returns all entries of the list.
func (instancesListed InstancesListed) Listings() []model.Listing { return instancesListed.listings }

// WithRestored returns a copy for the first list that was read after the store was restored.
func (instancesListed InstancesListed) WithRestored(restored bool) InstancesListed {
	instancesListed.restored = restored
	return instancesListed
}

// Restored reports whether the list may be older than what was read before, since the store
// was restored. It may lack entries and contain some that were removed.
func (instancesListed InstancesListed) Restored() bool { return instancesListed.restored }

func (InstancesListed) isEvent() {}

// InstanceListed reports a new or changed entry of the platform's list of instances.
type InstanceListed struct {
	listing model.Listing
}

// NewInstanceListed returns an InstanceListed.
func NewInstanceListed(listing model.Listing) InstanceListed {
	return InstanceListed{listing: listing}
}

// Listing returns the new state of the entry.
func (instanceListed InstanceListed) Listing() model.Listing { return instanceListed.listing }

func (InstanceListed) isEvent() {}

// InstanceUnlisted reports that an entry was removed from the platform's list of
// instances.
type InstanceUnlisted struct {
	instance model.InstanceID
}

// NewInstanceUnlisted returns an InstanceUnlisted.
func NewInstanceUnlisted(instance model.InstanceID) InstanceUnlisted {
	return InstanceUnlisted{instance: instance}
}

// Instance returns the identifier of the removed instance.
func (instanceUnlisted InstanceUnlisted) Instance() model.InstanceID {
	return instanceUnlisted.instance
}

func (InstanceUnlisted) isEvent() {}
