package route

import (
	"time"

	"almondway.dev/almondway/internal/core/model"
)

// LendersTable is the table of the store that holds the list of lenders, in the row LendersKey.
const (
	LendersTable = "almondway_lenders"
	LendersKey   = "lenders"
)

// FleetTable is the table of the store that holds the state shared by the proxies.
const FleetTable = "almondway"

// The names under which Fleet and Mirror are provided.
const (
	FleetService  = "fleet"
	MirrorService = "mirror"
	QuotaService  = "quota"
)

// Fleet shares state about live proxies and unusable instances between the proxies.
type Fleet interface {
	// SetComplaint publishes to the other proxies whether a primary is unusable from this one.
	SetComplaint(instance model.InstanceID, unusable bool)
	// HasComplaint reports whether an instance is unusable from this proxy.
	HasComplaint(instance model.InstanceID) bool
	// CountComplaints returns the number of live proxies from which an instance is
	// unusable and the number of live proxies. Both counts cover this proxy too.
	CountComplaints(instance model.InstanceID) (complaining, live int)
	// Refresh reads the state published by the other proxies, asynchronously.
	Refresh()
}

// ListRole is how a proxy gets the changes of the platform's lists.
type ListRole int

const (
	// ListAlone means that the proxy follows the lists in the store for itself.
	ListAlone ListRole = iota
	// ListReader means that it follows them for others, too, so that its copies have to be
	// fresher.
	ListReader
	// ListRelay means that it passes changes on to others, and gets them from the reader that follows
	// the lists for all data centres.
	ListRelay
	// ListFollower means that it gets the changes from a reader, and asks the store only when its copies
	// may be out of date.
	ListFollower
)

// String returns the name of the role in snake case.
func (role ListRole) String() string {
	switch role {
	case ListReader:
		return "reader"
	case ListRelay:
		return "relay"
	case ListFollower:
		return "follower"
	default:
		return "alone"
	}
}

// Mirror keeps copies of the platform's lists.
type Mirror interface {
	// SetRole changes how the proxy gets the changes of the lists.
	SetRole(role ListRole)
	// Positions returns the states of the copies.
	Positions() []model.ListPosition
	// HasNews reports whether a proxy with copies at these positions lacks changes.
	HasNews(positions []model.ListPosition) bool
	// CheckedAt returns when the copies of the lists at these positions were last known to be up to
	// date, in the order of the positions, and 0 for a list without a copy.
	CheckedAt(positions []model.ListPosition) []time.Duration
	// Outdated reports whether a copy is older than those of a proxy that passes changes on may be.
	Outdated() bool
	// StoreLost reports whether the last call to the store for a list failed, and no fresh copy has
	// come from another proxy since.
	StoreLost() bool
	// Updates returns the changes that a proxy with copies at these positions lacks. An update
	// without rows says how fresh the copy is.
	Updates(positions []model.ListPosition) []model.ListUpdate
	// Refresh asks the store now for the changes of a list. state.State.ListCheckedAt returns a later
	// time once they are in force. It reports false if this proxy has no copy of the list.
	Refresh(name model.ListName) bool
	// Apply adds changes that a reader has sent. The reader's answer was made at asOf or later.
	Apply(updates []model.ListUpdate, asOf time.Duration)
}
