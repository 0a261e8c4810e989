package event

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// StoreRestored is published when the platform's store has come back from an older copy. What
// was written or read before may no longer be there.
type StoreRestored struct {
	era model.StoreEra
}

// NewStoreRestored returns a StoreRestored.
func NewStoreRestored(era model.StoreEra) StoreRestored { return StoreRestored{era: era} }

// Era returns the new era of the store.
func (storeRestored StoreRestored) Era() model.StoreEra { return storeRestored.era }

func (StoreRestored) isEvent() {}

// ListsOutdated is published when copies of the platform's lists are too old, before the store is
// asked: other proxies may have fresher ones.
type ListsOutdated struct{}

// NewListsOutdated returns a ListsOutdated.
func NewListsOutdated() ListsOutdated { return ListsOutdated{} }

func (ListsOutdated) isEvent() {}

// GroupObserved is published when the view of a group has new reports.
type GroupObserved struct {
	group model.GroupID
}

// NewGroupObserved returns a GroupObserved.
func NewGroupObserved(group model.GroupID) GroupObserved {
	return GroupObserved{group: group}
}

// Group returns the group.
func (groupObserved GroupObserved) Group() model.GroupID { return groupObserved.group }

func (GroupObserved) isEvent() {}

// TermChanged is published when a group has a primary of a higher term.
type TermChanged struct {
	group   model.GroupID
	term    model.Term
	primary model.InstanceID
}

// NewTermChanged returns a TermChanged.
func NewTermChanged(group model.GroupID, term model.Term, primary model.InstanceID) TermChanged {
	return TermChanged{group: group, term: term, primary: primary}
}

// Group returns the group.
func (termChanged TermChanged) Group() model.GroupID { return termChanged.group }

// Term returns the new term.
func (termChanged TermChanged) Term() model.Term { return termChanged.term }

// Primary returns the new primary.
func (termChanged TermChanged) Primary() model.InstanceID { return termChanged.primary }

func (TermChanged) isEvent() {}

// CatalogChanged is published when a new revision of the deployments is in force.
type CatalogChanged struct {
	revision uint64
}

// NewCatalogChanged returns a CatalogChanged.
func NewCatalogChanged(revision uint64) CatalogChanged {
	return CatalogChanged{revision: revision}
}

// Revision returns the revision in force.
func (catalogChanged CatalogChanged) Revision() uint64 { return catalogChanged.revision }

func (CatalogChanged) isEvent() {}

// LeavingChanged is published when an instance starts leaving or is no longer leaving.
type LeavingChanged struct {
	instance model.InstanceID
	leaving  bool
}

// NewLeavingChanged returns a LeavingChanged.
func NewLeavingChanged(instance model.InstanceID, leaving bool) LeavingChanged {
	return LeavingChanged{instance: instance, leaving: leaving}
}

// Instance returns the instance.
func (leavingChanged LeavingChanged) Instance() model.InstanceID { return leavingChanged.instance }

// Leaving returns whether the instance is leaving.
func (leavingChanged LeavingChanged) Leaving() bool { return leavingChanged.leaving }

func (LeavingChanged) isEvent() {}

// ComplaintChanged is published when this proxy complains about a primary, or no longer does.
type ComplaintChanged struct {
	instance model.InstanceID
}

// NewComplaintChanged returns a ComplaintChanged.
func NewComplaintChanged(instance model.InstanceID) ComplaintChanged {
	return ComplaintChanged{instance: instance}
}

// Instance returns the primary.
func (complaintChanged ComplaintChanged) Instance() model.InstanceID {
	return complaintChanged.instance
}

func (ComplaintChanged) isEvent() {}

// DrainStarted is published when the proxy starts draining and accepts no new work.
type DrainStarted struct {
	end time.Duration
}

// NewDrainStarted returns a DrainStarted. What is in flight is ended at end.
func NewDrainStarted(end time.Duration) DrainStarted { return DrainStarted{end: end} }

// End returns the time at which what is in flight is ended.
func (drainStarted DrainStarted) End() time.Duration { return drainStarted.end }

func (DrainStarted) isEvent() {}

// InstanceRestarted is published when an instance has started again under its name. The new process
// knows nothing of the one before.
type InstanceRestarted struct {
	instance model.InstanceID
}

// NewInstanceRestarted returns an InstanceRestarted.
func NewInstanceRestarted(instance model.InstanceID) InstanceRestarted {
	return InstanceRestarted{instance: instance}
}

// Instance returns the instance.
func (instanceRestarted InstanceRestarted) Instance() model.InstanceID {
	return instanceRestarted.instance
}

func (InstanceRestarted) isEvent() {}
